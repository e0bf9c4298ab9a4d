//! This VM's watch on the store.

use briarshift_units::{Moment, Span};

/// How long one watch waits for a change. A watch whose answer is lost in a
/// cut is missed for no longer than this and [`GRACE`].
pub(super) const WAIT: Span = Span::from_secs(2);
/// How long after its end a watch's answer may take.
const GRACE: Span = Span::from_millis(1_500);
/// Shortest pause after a failed watch; the longest is twice as long.
const PAUSE: Span = Span::from_millis(500);
/// The same for a VM that only starts: it grows with each failure up to this,
/// since a whole fleet may start in an outage.
const MAX_PAUSE: Span = Span::from_secs(4);
/// How long after it read a change a VM goes on watching: until the next
/// delegate has heard of the revision that makes it one.
const HANDOVER: Span = Span::from_secs(3);
/// How long a VM watches when asked to take over.
const TAKEOVER: Span = Span::from_secs(10);
/// Time between two requests to take over.
const TAKEOVER_INTERVAL: Span = Span::from_secs(4);
/// Failed watches in a row after which another VM is asked to take over.
const MAX_FAILURES: u32 = 1;
/// How many VMs in a row are asked to take over: an outage of the whole
/// service must not bring all VMs to its door.
const MAX_RANK: u8 = 2;

/// The watch and who asked for it.
#[derive(Debug, Default)]
pub(super) struct Watch {
    waiting_since: Option<Moment>,
    retry_at: Moment,
    failures: u32,
    has_duty: bool,
    handover_until: Moment,
    takeover_until: Moment,
    rank: u8,
    asked_at: Option<Moment>,
}

impl Watch {
    /// Whether this VM watches although it is not the delegate.
    pub(super) fn is_extended(&self, at: Moment) -> bool {
        at < self.handover_until || at < self.takeover_until
    }

    /// Says whether others rely on this watch, or this VM relies on nobody
    /// else.
    pub(super) fn set_duty(&mut self, has_duty: bool) {
        self.has_duty = has_duty;
    }

    /// Whether a new watch may start now; it is taken to have started.
    pub(super) fn start(&mut self, at: Moment) -> bool {
        let waits = self.waiting_since.is_some_and(|since| at.since(since) < WAIT + GRACE);
        if waits || at < self.retry_at {
            return false;
        }
        if self.waiting_since.is_some() {
            self.failures = self.failures.saturating_add(1);
        }
        self.waiting_since = Some(at);
        true
    }

    /// A watch was answered.
    pub(super) fn answered(&mut self) {
        self.waiting_since = None;
        self.failures = 0;
    }

    /// A watch failed.
    pub(super) fn failed(&mut self, at: Moment, entropy: u64) {
        self.waiting_since = None;
        self.failures = self.failures.saturating_add(1);
        let pause = match self.has_duty {
            true => PAUSE,
            false => MAX_PAUSE.min(Span(PAUSE.0 << self.failures.min(u8::BITS))),
        };
        self.retry_at = at + pause + Span(entropy % pause.0);
    }

    /// A change was read from the store.
    pub(super) fn read(&mut self, at: Moment) {
        self.handover_until = at + HANDOVER;
    }

    /// A peer whose watch fails asked this VM to take over.
    pub(super) fn take_over(&mut self, at: Moment, rank: u8) {
        if rank <= MAX_RANK {
            self.takeover_until = at + TAKEOVER;
            self.rank = rank;
        }
    }

    /// The rank of the VM that should be asked to take over, if this one's
    /// watch fails and it has not asked of late.
    pub(super) fn ask(&mut self, at: Moment, is_delegate: bool) -> Option<u8> {
        let rank = if is_delegate { 1 } else { self.rank.saturating_add(1) };
        let of_late = self.asked_at.is_some_and(|asked| at.since(asked) < TAKEOVER_INTERVAL);
        if self.failures < MAX_FAILURES || MAX_RANK < rank || of_late {
            return None;
        }
        self.asked_at = Some(at);
        Some(rank)
    }
}
