//! What this VM knows of one entry VM: its member record, and what this VM
//! observed itself.

use briarshift_units::{Moment, Span, StartNumber};
use briarshift_wire::gossip::{Health, Member};

use crate::Damper;

/// Time that a suspected VM has to refute before it counts as dead.
const SUSPICION_TIMEOUT: Span = Span::from_secs(2);
/// Time after hearing from a VM during which a peer's report of its death is
/// ignored.
const RECENTLY_HEARD: Span = Span::from_millis(1_500);
/// Time for which the record of a dead VM is still gossiped, and the VM still
/// probed. A dead seed is probed without this limit.
pub(crate) const DEAD_GOSSIP_TIME: Span = Span::from_secs(600);

/// What this VM knows of one entry VM.
#[derive(Debug)]
pub(crate) struct Entry {
    pub member: Member,
    /// When this VM last heard from the VM, directly or through a peer that
    /// probed it for this VM.
    pub heard_at: Option<Moment>,
    /// When the record was last replaced.
    pub changed_at: Moment,
    /// Number of messages that still carry the record as an update.
    pub sends_left: u32,
    /// When the VM became suspect.
    pub suspected_at: Option<Moment>,
    /// Whether the settings or a list of the platform named the VM.
    pub is_seed: bool,
    /// Whether the VM counts as not live because it returned too often
    /// recently.
    pub suppressed: bool,
    pub damper: Damper,
}

impl Entry {
    pub(crate) fn new(member: Member, at: Moment) -> Self {
        Self {
            member,
            heard_at: None,
            changed_at: at,
            sends_left: 0,
            suspected_at: None,
            is_seed: false,
            suppressed: false,
            damper: Damper::default(),
        }
    }

    /// Returns true if a process of the VM was ever known; a seed that never
    /// answered is not.
    pub(crate) fn is_known(&self) -> bool {
        self.member.start != StartNumber(0)
    }

    /// Returns true if the VM takes part in the fleet: it is alive or suspect,
    /// and not suppressed.
    pub(crate) fn is_live(&self) -> bool {
        self.is_present() && self.member.health <= Health::Suspect && !self.suppressed
    }

    /// Returns true if the VM is known and not dead. Each probe cycle covers
    /// these VMs.
    pub(crate) fn is_present(&self) -> bool {
        self.is_known() && self.member.health < Health::Dead
    }

    /// Returns true if the record goes into gossip: the VM is present, or died
    /// so recently that the two sides of a network partition may disagree about
    /// it.
    pub(crate) fn is_gossiped(&self, at: Moment) -> bool {
        self.is_known() && (self.is_present() || at.since(self.changed_at) < DEAD_GOSSIP_TIME)
    }

    /// Returns true if this VM heard from it within [`RECENTLY_HEARD`].
    pub(crate) fn heard_recently(&self, at: Moment) -> bool {
        self.heard_at.is_some_and(|heard| at.since(heard) <= RECENTLY_HEARD)
    }

    /// Returns true if the VM did not refute its suspicion in time.
    pub(crate) fn is_overdue(&self, at: Moment) -> bool {
        self.suspected_at.is_some_and(|since| SUSPICION_TIMEOUT <= at.since(since))
    }

    /// Replaces the member record and what follows from it.
    pub(crate) fn replace_record(&mut self, member: Member, at: Moment) {
        let was_gone = self.is_known() && !self.is_present();
        let restarted = self.is_known() && self.member.start < member.start;
        let suspected = member.health == Health::Suspect;
        self.suspected_at = if suspected { self.suspected_at.or(Some(at)) } else { None };
        self.member = member;
        self.changed_at = at;
        if self.is_present() && (was_gone || restarted) {
            self.damper.record_return(at);
        }
        self.suppressed = self.damper.is_suppressed(at);
    }
}
