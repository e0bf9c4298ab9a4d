//! The state of this VM's watch on the store.

use briarshift_units::{Moment, Span};

/// Time for which the store holds a watch open without a change. If a network
/// failure loses the reply, the watch is repeated after this time and
/// [`GRACE`].
pub(super) const MAX_WAIT: Span = Span::from_secs(2);
/// Time that the reply may take after the end of the watch.
const GRACE: Span = Span::from_millis(1_500);
/// Minimum delay after a failed watch; a random part up to the same length is
/// added.
const RETRY_DELAY: Span = Span::from_millis(500);
/// Maximum of the delay, without its random part, for a VM that watches only
/// because it starts. The delay then doubles with each failure, since a whole
/// fleet may start during an outage of the store.
const MAX_RETRY_DELAY: Span = Span::from_secs(4);
/// Time for which a VM goes on watching after it read a change. Until then the
/// next delegate has learned of the revision that selects it.
const HANDOVER_TIME: Span = Span::from_secs(3);
/// Time for which a VM watches after a request to take over.
const TAKEOVER_TIME: Span = Span::from_secs(10);
/// Time between two requests to take over.
const TAKEOVER_INTERVAL: Span = Span::from_secs(4);
/// Consecutive failed watches after which another VM is asked to take over.
const TAKEOVER_FAILURES: u32 = 1;
/// Maximum rank of a VM that is asked to take over; the delegate has rank 0. It
/// limits the number of VMs that call the store during an outage.
const MAX_RANK: u8 = 2;

/// The outstanding watch, its retries, and the reasons to watch although this
/// VM is not the delegate.
#[derive(Debug, Default)]
pub(super) struct Watch {
    started_at: Option<Moment>,
    retry_at: Moment,
    failures: u32,
    /// See [`Self::set_needed`].
    is_needed: bool,
    handover_until: Moment,
    takeover_until: Moment,
    /// This VM's rank in its last takeover, 0 if there was none.
    rank: u8,
    /// When this VM last asked another one to take over.
    requested_at: Option<Moment>,
}

impl Watch {
    /// Returns true if this VM watches for a handover or a takeover.
    pub(super) fn is_extended(&self, at: Moment) -> bool {
        at < self.handover_until || at < self.takeover_until
    }

    /// Sets whether the watch is needed: other VMs rely on it, or this VM has
    /// no peer to rely on. Otherwise failures back off for longer.
    pub(super) fn set_needed(&mut self, is_needed: bool) {
        self.is_needed = is_needed;
    }

    /// Marks a new watch as started, and returns true, if none is outstanding
    /// and no retry delay is running. An outstanding watch that is overdue
    /// counts as failed.
    pub(super) fn start(&mut self, at: Moment) -> bool {
        let is_outstanding =
            self.started_at.is_some_and(|started| at.since(started) < MAX_WAIT + GRACE);
        if is_outstanding || at < self.retry_at {
            return false;
        }
        if self.started_at.is_some() {
            self.failures = self.failures.saturating_add(1);
        }
        self.started_at = Some(at);
        true
    }

    /// Records that the store replied to the watch.
    pub(super) fn succeed(&mut self) {
        self.started_at = None;
        self.failures = 0;
    }

    /// Records that the watch failed, and sets the delay of the retry.
    pub(super) fn fail(&mut self, at: Moment, entropy: u64) {
        self.started_at = None;
        self.failures = self.failures.saturating_add(1);
        let delay = match self.is_needed {
            true => RETRY_DELAY,
            false => MAX_RETRY_DELAY.min(Span(RETRY_DELAY.0 << self.failures.min(u8::BITS))),
        };
        self.retry_at = at + delay + Span(entropy % delay.0);
    }

    /// Keeps this VM watching for a while, because the change that it read
    /// makes another VM the delegate.
    pub(super) fn hand_over(&mut self, at: Moment) {
        self.handover_until = at + HANDOVER_TIME;
    }

    /// Takes over from a peer whose watch fails, as the VM of the given rank.
    pub(super) fn take_over(&mut self, at: Moment, rank: u8) {
        if rank <= MAX_RANK {
            self.takeover_until = at + TAKEOVER_TIME;
            self.rank = rank;
        }
    }

    /// Returns the rank of the VM to ask to take over, if this VM's watch fails
    /// and the last request is not recent.
    pub(super) fn takeover_rank(&mut self, at: Moment, is_delegate: bool) -> Option<u8> {
        let rank = if is_delegate { 1 } else { self.rank.saturating_add(1) };
        let is_recent =
            self.requested_at.is_some_and(|requested| at.since(requested) < TAKEOVER_INTERVAL);
        if self.failures < TAKEOVER_FAILURES || MAX_RANK < rank || is_recent {
            return None;
        }
        self.requested_at = Some(at);
        Some(rank)
    }
}
