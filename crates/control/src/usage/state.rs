//! Counts, and writes what was counted.
//!
//! One write is under way at a time. A write whose answer is lost, or that
//! meets a version it did not expect, reads the key back before it goes on:
//! either its own record is there, or the version to replace is known.

use std::collections::{BTreeMap, VecDeque};

use briarshift_store::{Entry, Error, Expect, Operation, Reply, Version};
use briarshift_units::{Moment, Span, WallTime};

use super::counters::{Counters, Sample, Subject};
use super::day::Day;
use super::record::{Body, Code, Record as Written, Row, SegmentId};
use crate::{Context, Effect, Output, Record, Ticket};

/// Least time between two writes of a VM.
const MIN_INTERVAL: Span = Span::from_secs(10);
/// Time between two writes for each VM of the fleet: four writes a second by
/// all of them together.
const INTERVAL_PER_VM: Span = Span::from_millis(250);
/// Pause after a failed write.
const RETRY_PAUSE: Span = Span::from_secs(2);
/// Most bytes of a segment's rows: a value may have a mebibyte.
const MAX_BYTES: usize = 1_000_000;
/// Most bytes of a row as JSON, its ids apart.
const ROW_BYTES: usize = 420;
/// How long a drained VM waits for its last write.
const DRAIN_WAIT: Span = Span::from_secs(5);

/// Time between two writes of a VM in a fleet of so many.
///
/// # Examples
///
/// ```
/// use briarshift_control::usage::write_interval;
/// use briarshift_units::Span;
/// assert_eq!(write_interval(12), Span::from_secs(10));
/// assert_eq!(write_interval(2_600), Span::from_secs(650));
/// ```
pub fn write_interval(vms: usize) -> Span {
    let grown = INTERVAL_PER_VM.0.saturating_mul(vms as u64);
    Span(grown).max(MIN_INTERVAL)
}

/// What the writer looks at.
#[derive(Debug, Clone, Copy)]
pub struct View {
    /// VMs of the fleet, this one included.
    pub vms: usize,
    /// This VM is shutting down and has no request in flight.
    pub drained: bool,
}

#[derive(Debug)]
struct Segment {
    place: SegmentId,
    previous: Code,
    rows: BTreeMap<Subject, Counters>,
    bytes: usize,
    sequence: u64,
    /// Store version of its newest record.
    version: Version,
    /// Counts that no write has taken along yet.
    dirty: bool,
    /// Its last record, once no more is counted in it.
    last: Option<Written>,
}

/// Most bytes that a subject's row takes.
fn bytes(subject: &Subject) -> usize {
    let ids = [subject.owner.as_str(), subject.account.as_str(), subject.pool.as_str()];
    let ids = ids.into_iter().chain(subject.model.as_deref());
    ROW_BYTES + ids.map(str::len).sum::<usize>()
}

impl Segment {
    fn record(&mut self, wall: WallTime, closed: bool, key: &[u8]) -> Written {
        self.sequence += 1;
        let row = |(subject, counters): (&Subject, &Counters)| Row {
            subject: subject.clone(),
            counters: *counters,
        };
        let body = Body {
            segment_id: self.place.clone(),
            sequence: self.sequence,
            at: wall,
            closed,
            previous: self.previous,
            total: self.rows.values().copied().sum(),
            rows: self.rows.iter().map(row).collect(),
        };
        Written::sign(body, key)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The write is on its way.
    Writing,
    /// Its outcome is unknown: the key is to be read.
    Unsure,
    /// The key is being read.
    Reading,
}

#[derive(Debug)]
struct Write {
    segment: u64,
    value: String,
    last: bool,
    phase: Phase,
}

/// Counters by owner, account, pool and model, and their writer.
#[derive(Debug, Default)]
pub struct State {
    /// Segments not yet written for good, oldest first. Only the newest is
    /// counted into.
    segments: VecDeque<Segment>,
    next_segment: u64,
    last_code: Code,
    write: Option<Write>,
    due_at: Option<Moment>,
    retry_at: Moment,
    drained_at: Option<Moment>,
}

impl State {
    /// Counts one request.
    pub fn record(&mut self, ctx: &Context<'_>, sample: &Sample) {
        self.roll(ctx);
        let subject = Subject {
            owner: sample.owner.clone(),
            account: sample.account.clone(),
            pool: sample.pool.clone(),
            model: sample.model.clone(),
        };
        let bytes = bytes(&subject);
        let full = |segment: &mut Segment| {
            MAX_BYTES < segment.bytes + bytes && !segment.rows.contains_key(&subject)
        };
        if self.open().is_some_and(full) {
            self.close_segment(ctx);
        }
        if self.open().is_none() {
            self.open_segment(ctx);
        }
        let Some(segment) = self.open() else { return };
        let counters = segment.rows.entry(subject).or_insert_with(|| {
            segment.bytes += bytes;
            Counters::default()
        });
        *counters += Counters::from_sample(sample);
        segment.dirty = true;
    }

    /// Writes what is due.
    pub fn tick(&mut self, ctx: &Context<'_>, view: View, out: &mut Output) {
        self.roll(ctx);
        if view.drained {
            self.drained_at.get_or_insert(ctx.at);
        }
        if ctx.at < self.retry_at {
            return;
        }
        if let Some(write) = &mut self.write {
            if write.phase == Phase::Unsure {
                write.phase = Phase::Reading;
                let number = write.segment;
                let place = self.segments.iter().find(|segment| segment.place.segment == number);
                let Some(segment) = place else { return };
                let operation = Operation::Get { key: segment.place.key() };
                out.push(Effect::Store { ticket: Ticket::Usage, operation });
            }
            return;
        }
        let interval = write_interval(view.vms);
        // The first write comes at a random part of the interval, so that a
        // fleet that was started at once does not write at once.
        let first = Span(ctx.entropy % interval.0.max(1));
        let due_at = *self.due_at.get_or_insert(ctx.at + first);
        let due = due_at <= ctx.at || view.drained;
        let closed = |segment: &&mut Segment| segment.last.is_some();
        let open = |segment: &&mut Segment| segment.dirty && due;
        let mut segments = self.segments.iter_mut();
        let Some(segment) = segments.find(|segment| closed(segment) || open(segment)) else {
            return;
        };
        let last = segment.last.clone();
        let is_last = last.is_some();
        let key = &ctx.me.token_key;
        let record = last.unwrap_or_else(|| segment.record(ctx.wall, view.drained, key));
        if !is_last {
            self.due_at = Some(ctx.at + interval);
            segment.dirty = false;
        }
        let value = record.to_json();
        let expect = match segment.version {
            Version(0) => Expect::Absent,
            version => Expect::Version(version),
        };
        let (key, number) = (segment.place.key(), segment.place.segment);
        let operation = Operation::Put { key, value: value.clone(), expect, lease: None };
        self.write = Some(Write { segment: number, value, last: is_last, phase: Phase::Writing });
        out.push(Effect::Store { ticket: Ticket::Usage, operation });
    }

    /// A write, or the read after it, was answered.
    pub fn handle_store_reply(
        &mut self,
        ctx: &Context<'_>,
        result: &Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Some(write) = &mut self.write else { return };
        match (write.phase, result) {
            (Phase::Writing, Ok(Reply::Written(version))) => self.written(*version),
            (Phase::Reading, Ok(Reply::Value(entry))) => self.read(ctx, entry.as_ref(), out),
            (Phase::Writing, Err(Error::Refused(_) | Error::LeaseEnded)) => self.again(ctx),
            (_, result) => {
                write.phase = Phase::Unsure;
                self.retry_at = ctx.at + RETRY_PAUSE;
                if let Err(err) = result {
                    out.log(Record::new("usage_write_unknown").with("error", err));
                }
            }
        }
    }

    /// Whether a drained VM may end: all is written, or has been tried for
    /// long enough.
    pub fn is_flushed(&self, now: Moment) -> bool {
        let idle = self.write.is_none();
        let clean = idle && self.segments.iter().all(|row| !row.dirty && row.last.is_none());
        clean || self.drained_at.is_some_and(|at| DRAIN_WAIT <= now.since(at))
    }

    fn open(&mut self) -> Option<&mut Segment> {
        self.segments.back_mut().filter(|segment| segment.last.is_none())
    }

    /// Closes the segment of a day that is over.
    fn roll(&mut self, ctx: &Context<'_>) {
        let today = Day::of(ctx.wall);
        if self.open().is_some_and(|segment| segment.place.day < today) {
            self.close_segment(ctx);
        }
    }

    fn open_segment(&mut self, ctx: &Context<'_>) {
        let place = SegmentId {
            vm: ctx.me.vm.clone(),
            start: ctx.me.start,
            segment: self.next_segment,
            day: Day::of(ctx.wall),
        };
        self.next_segment += 1;
        self.segments.push_back(Segment {
            place,
            previous: self.last_code,
            rows: BTreeMap::new(),
            bytes: 0,
            sequence: 0,
            version: Version(0),
            dirty: false,
            last: None,
        });
    }

    fn close_segment(&mut self, ctx: &Context<'_>) {
        let Some(segment) = self.segments.back_mut() else { return };
        let record = segment.record(ctx.wall, true, &ctx.me.token_key);
        self.last_code = record.code;
        segment.dirty = false;
        segment.last = Some(record);
    }

    fn segment(&mut self, number: u64) -> Option<&mut Segment> {
        self.segments.iter_mut().find(|segment| segment.place.segment == number)
    }

    fn written(&mut self, version: Version) {
        let Some(write) = self.write.take() else { return };
        if let Some(segment) = self.segment(write.segment) {
            segment.version = version;
        }
        if write.last {
            self.segments.retain(|segment| segment.place.segment != write.segment);
        }
    }

    /// Tries again with what is counted by then.
    fn again(&mut self, ctx: &Context<'_>) {
        let Some(write) = self.write.take() else { return };
        self.retry_at = ctx.at + RETRY_PAUSE;
        self.due_at = Some(self.retry_at);
        if let Some(segment) = self.segment(write.segment) {
            segment.dirty = segment.last.is_none();
        }
    }

    fn read(&mut self, ctx: &Context<'_>, entry: Option<&Entry>, out: &mut Output) {
        let Some(write) = &self.write else { return };
        if let Some(entry) = entry.filter(|entry| entry.value == write.value) {
            self.written(entry.version);
            return;
        }
        let number = write.segment;
        if let Some(entry) = entry {
            let ours = serde_json::from_str(&entry.value)
                .is_ok_and(|record: Written| record.is_authentic(&ctx.me.token_key));
            if !ours {
                out.log(Record::new("usage_record_altered").with("key", &entry.key));
            }
        }
        if let Some(segment) = self.segment(number) {
            segment.version = entry.map_or(Version(0), |entry| entry.version);
        }
        self.again(ctx);
    }
}
