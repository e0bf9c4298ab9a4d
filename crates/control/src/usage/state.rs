//! Counts the usage of requests, and writes the records to the store.
//!
//! At most one write is outstanding. After a write whose reply is lost, or that
//! finds an unexpected version, the VM reads the key before it continues:
//! either it finds its own record, or it learns the version to replace.

use std::collections::{BTreeMap, VecDeque};

use briarshift_store::{Entry, Error, Expect, Operation, Reply, Version};
use briarshift_units::{Moment, Span, WallTime};

use super::counters::{Counters, Sample, Subject};
use super::day::Day;
use super::record::{Body, Code, Record as StoredRecord, Row, SegmentId};
use crate::{Context, Effect, Output, Record, Ticket};

/// Minimum time between two writes of a VM.
const MIN_INTERVAL: Span = Span::from_secs(10);
/// Time between two writes of a VM, for each VM of the fleet. The whole fleet
/// then makes at most four writes a second.
const INTERVAL_PER_VM: Span = Span::from_millis(250);
/// Delay before the retry of a failed write.
const RETRY_DELAY: Span = Span::from_secs(2);
/// Maximum encoded length of a segment's rows, in bytes. The store accepts
/// values of up to 1 MiB.
const MAX_SEGMENT_BYTES: usize = 1_000_000;
/// Maximum encoded length of a row without its ids, in bytes.
const MAX_ROW_BYTES: usize = 420;
/// Time for which a drained VM tries to make its last write.
const DRAIN_TIMEOUT: Span = Span::from_secs(5);

/// Returns the time between two writes of a VM, in a fleet of `vms` VMs.
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

/// The state of other components that the writes depend on.
#[derive(Debug, Clone, Copy)]
pub struct View {
    /// Number of VMs in the fleet, this one included.
    pub vms: usize,
    /// Whether this VM is shutting down and has no request in flight.
    pub drained: bool,
}

/// A segment whose last record is not written yet.
#[derive(Debug)]
struct Segment {
    id: SegmentId,
    previous: Code,
    rows: BTreeMap<Subject, Counters>,
    bytes: usize,
    sequence: u64,
    /// Version of the segment's key in the store.
    version: Version,
    /// Whether counters changed since the last write.
    dirty: bool,
    /// The last record, set when the segment is closed.
    last: Option<StoredRecord>,
}

/// Returns the maximum encoded length of a subject's row, in bytes.
fn row_bytes(subject: &Subject) -> usize {
    let ids = [subject.owner.as_str(), subject.account.as_str(), subject.pool.as_str()];
    let ids = ids.into_iter().chain(subject.model.as_deref());
    MAX_ROW_BYTES + ids.map(str::len).sum::<usize>()
}

impl Segment {
    fn record(&mut self, wall: WallTime, closed: bool, key: &[u8]) -> StoredRecord {
        self.sequence += 1;
        let row = |(subject, counters): (&Subject, &Counters)| Row {
            subject: subject.clone(),
            counters: *counters,
        };
        let body = Body {
            segment_id: self.id.clone(),
            sequence: self.sequence,
            at: wall,
            closed,
            previous: self.previous,
            total: self.rows.values().copied().sum(),
            rows: self.rows.iter().map(row).collect(),
        };
        StoredRecord::sign(body, key)
    }
}

/// The progress of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The write was sent.
    Writing,
    /// The outcome of the write is unknown; the key is to be read.
    Unknown,
    /// The key is being read.
    Reading,
}

/// The outstanding write of a record.
#[derive(Debug)]
struct Write {
    segment: u64,
    value: String,
    /// Whether the record is the last one of its segment.
    last: bool,
    phase: Phase,
}

/// The counters by owner, account, pool and model, and the state of the writes.
#[derive(Debug, Default)]
pub struct State {
    /// Segments whose last record is not written yet, oldest first. Only the
    /// newest one can be open.
    segments: VecDeque<Segment>,
    next_segment: u64,
    last_code: Code,
    write: Option<Write>,
    due_at: Option<Moment>,
    retry_at: Moment,
    drained_at: Option<Moment>,
}

impl State {
    /// Adds the usage of one request to the open segment.
    pub fn record(&mut self, ctx: &Context<'_>, sample: &Sample) {
        self.close_past_day(ctx);
        let subject = Subject {
            owner: sample.owner.clone(),
            account: sample.account.clone(),
            pool: sample.pool.clone(),
            model: sample.model.clone(),
        };
        let bytes = row_bytes(&subject);
        let full = |segment: &mut Segment| {
            MAX_SEGMENT_BYTES < segment.bytes + bytes && !segment.rows.contains_key(&subject)
        };
        if self.open_segment().is_some_and(full) {
            self.close_segment(ctx);
        }
        if self.open_segment().is_none() {
            self.start_segment(ctx);
        }
        let Some(segment) = self.open_segment() else { return };
        let counters = segment.rows.entry(subject).or_insert_with(|| {
            segment.bytes += bytes;
            Counters::default()
        });
        *counters += Counters::from_sample(sample);
        segment.dirty = true;
    }

    /// Starts the write or read that is due.
    pub fn tick(&mut self, ctx: &Context<'_>, view: View, out: &mut Output) {
        self.close_past_day(ctx);
        if view.drained {
            self.drained_at.get_or_insert(ctx.at);
        }
        if ctx.at < self.retry_at {
            return;
        }
        if let Some(write) = &mut self.write {
            if write.phase == Phase::Unknown {
                write.phase = Phase::Reading;
                let number = write.segment;
                let found = self.segments.iter().find(|segment| segment.id.segment == number);
                let Some(segment) = found else { return };
                let operation = Operation::Get { key: segment.id.key() };
                out.push(Effect::Store { ticket: Ticket::Usage, operation });
            }
            return;
        }
        let interval = write_interval(view.vms);
        // The first write is delayed by a random part of the interval, so that
        // VMs that started together don't write together.
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
        let (key, number) = (segment.id.key(), segment.id.segment);
        let operation = Operation::Put { key, value: value.clone(), expect, lease: None };
        self.write = Some(Write { segment: number, value, last: is_last, phase: Phase::Writing });
        out.push(Effect::Store { ticket: Ticket::Usage, operation });
    }

    /// Applies the store's reply to a write, or to the read after it.
    pub fn handle_store_reply(
        &mut self,
        ctx: &Context<'_>,
        result: &Result<Reply, Error>,
        out: &mut Output,
    ) {
        let Some(write) = &mut self.write else { return };
        match (write.phase, result) {
            (Phase::Writing, Ok(Reply::Written(version))) => self.finish_write(*version),
            (Phase::Reading, Ok(Reply::Value(entry))) => self.handle_read(ctx, entry.as_ref(), out),
            (Phase::Writing, Err(Error::Refused(_) | Error::LeaseEnded)) => {
                self.schedule_retry(ctx);
            }
            (_, result) => {
                write.phase = Phase::Unknown;
                self.retry_at = ctx.at + RETRY_DELAY;
                if let Err(err) = result {
                    out.log(Record::new("usage_write_unknown").with("error", err));
                }
            }
        }
    }

    /// Returns true if a drained VM may exit: all records are written, or
    /// `DRAIN_TIMEOUT` has passed.
    pub fn is_flushed(&self, now: Moment) -> bool {
        let idle = self.write.is_none();
        let clean =
            idle && self.segments.iter().all(|segment| !segment.dirty && segment.last.is_none());
        clean || self.drained_at.is_some_and(|at| DRAIN_TIMEOUT <= now.since(at))
    }

    fn open_segment(&mut self) -> Option<&mut Segment> {
        self.segments.back_mut().filter(|segment| segment.last.is_none())
    }

    /// Closes the open segment if its day is over.
    fn close_past_day(&mut self, ctx: &Context<'_>) {
        let today = Day::of(ctx.wall);
        if self.open_segment().is_some_and(|segment| segment.id.day < today) {
            self.close_segment(ctx);
        }
    }

    fn start_segment(&mut self, ctx: &Context<'_>) {
        let id = SegmentId {
            vm: ctx.me.vm.clone(),
            start: ctx.me.start,
            segment: self.next_segment,
            day: Day::of(ctx.wall),
        };
        self.next_segment += 1;
        self.segments.push_back(Segment {
            id,
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
        self.segments.iter_mut().find(|segment| segment.id.segment == number)
    }

    /// Completes the outstanding write, and drops its segment if the record was
    /// the last one.
    fn finish_write(&mut self, version: Version) {
        let Some(write) = self.write.take() else { return };
        if let Some(segment) = self.segment(write.segment) {
            segment.version = version;
        }
        if write.last {
            self.segments.retain(|segment| segment.id.segment != write.segment);
        }
    }

    /// Drops the outstanding write and schedules a retry, which writes the
    /// counters of that time.
    fn schedule_retry(&mut self, ctx: &Context<'_>) {
        let Some(write) = self.write.take() else { return };
        self.retry_at = ctx.at + RETRY_DELAY;
        self.due_at = Some(self.retry_at);
        if let Some(segment) = self.segment(write.segment) {
            segment.dirty = segment.last.is_none();
        }
    }

    /// Compares the stored record with the outstanding write. Completes the
    /// write if they are equal, else schedules a retry that replaces the stored
    /// version.
    fn handle_read(&mut self, ctx: &Context<'_>, entry: Option<&Entry>, out: &mut Output) {
        let Some(write) = &self.write else { return };
        if let Some(entry) = entry.filter(|entry| entry.value == write.value) {
            self.finish_write(entry.version);
            return;
        }
        let number = write.segment;
        if let Some(entry) = entry {
            let is_own = serde_json::from_str(&entry.value)
                .is_ok_and(|record: StoredRecord| record.is_authentic(&ctx.me.token_key));
            if !is_own {
                out.log(Record::new("usage_record_altered").with("key", &entry.key));
            }
        }
        if let Some(segment) = self.segment(number) {
            segment.version = entry.map_or(Version(0), |entry| entry.version);
        }
        self.schedule_retry(ctx);
    }
}
