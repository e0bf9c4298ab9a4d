//! One entry VM as this VM believes it to be, with what is known first hand.

use briarshift_units::{Moment, Span, StartNumber};
use briarshift_wire::gossip::{Health, Member};

use crate::Damper;

/// How long a suspected VM may take to refute.
const SUSPICION: Span = Span::from_secs(2);
/// A VM heard from within this time is not given up because a peer says so.
const RECENT: Span = Span::from_millis(1_500);
/// How long a dead VM that nobody proposes is still probed and told of.
pub(crate) const ABSENT: Span = Span::from_secs(600);

#[derive(Debug)]
pub(crate) struct Entry {
    pub member: Member,
    /// When the VM, or one that vouches for it, was last heard.
    pub heard_at: Option<Moment>,
    /// When the record last changed.
    pub changed_at: Moment,
    /// How often the record is still sent as news.
    pub news: u32,
    /// Since when it is suspected.
    pub suspected_at: Option<Moment>,
    /// Proposed by settings or by the platform's last list.
    pub proposed: bool,
    /// Held back because it comes and goes.
    pub held: bool,
    pub damper: Damper,
}

impl Entry {
    pub(crate) fn new(member: Member, at: Moment) -> Self {
        Self {
            member,
            heard_at: None,
            changed_at: at,
            news: 0,
            suspected_at: None,
            proposed: false,
            held: false,
            damper: Damper::default(),
        }
    }

    /// Whether any process of the VM was ever known; else it is a proposal.
    pub(crate) fn is_known(&self) -> bool {
        self.member.start != StartNumber(0)
    }

    /// Takes part: alive or suspect, and not held back.
    pub(crate) fn is_live(&self) -> bool {
        self.is_present() && self.member.health <= Health::Suspect && !self.held
    }

    /// Known and not gone: worth a probe in each cycle.
    pub(crate) fn is_present(&self) -> bool {
        self.is_known() && self.member.health < Health::Dead
    }

    /// Present, or gone so lately that both sides of a cut may disagree.
    pub(crate) fn is_worth_telling(&self, at: Moment) -> bool {
        self.is_known() && (self.is_present() || at.since(self.changed_at) < ABSENT)
    }

    pub(crate) fn heard_recently(&self, at: Moment) -> bool {
        self.heard_at.is_some_and(|heard| at.since(heard) <= RECENT)
    }

    /// Whether its time to refute has passed.
    pub(crate) fn is_overdue(&self, at: Moment) -> bool {
        self.suspected_at.is_some_and(|since| SUSPICION <= at.since(since))
    }

    /// Replaces the record.
    pub(crate) fn set(&mut self, member: Member, at: Moment) {
        let was_gone = self.is_known() && !self.is_present();
        let restarted = self.is_known() && self.member.start < member.start;
        let suspected = member.health == Health::Suspect;
        self.suspected_at = if suspected { self.suspected_at.or(Some(at)) } else { None };
        self.member = member;
        self.changed_at = at;
        if self.is_present() && (was_gone || restarted) {
            self.damper.record_return(at);
        }
        self.held = self.damper.is_suppressed(at);
    }
}
