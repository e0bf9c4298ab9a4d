//! What a message of gossip says about members, within its bytes.

use std::ops::Bound;

use briarshift_units::Moment;
use briarshift_wire::gossip::Message;

use super::{Envelope, Purpose, State};
use crate::Context;

/// Bytes a second for news beside the rounds.
const NEWS_RATE: u64 = 4_000;
/// Bytes of news that may be sent at once.
const NEWS_BURST: u64 = 8_000;
/// Bytes that UDP, IP and QUIC add to a message.
const OVERHEAD: usize = 80;
/// Bytes of a message beside its records: version, lengths, flags, the
/// document's head.
const HEAD: usize = 64;
/// Records without news that a message repeats, so that whoever missed the
/// news learns it.
const REPEATED: usize = 6;
/// Share of a message that members' news may take, as a divisor.
const NEWS_SHARE: usize = 2;

/// Bytes left for news.
#[derive(Debug)]
pub(crate) struct Allowance {
    level: i64,
    at: Moment,
}

impl Default for Allowance {
    fn default() -> Self {
        Self { level: NEWS_BURST as i64, at: Moment(0) }
    }
}

impl Allowance {
    /// Refills by time, and says whether any is left.
    pub(crate) fn is_left(&mut self, at: Moment) -> bool {
        let micros = u128::from(at.since(self.at).0);
        let gained = u128::from(NEWS_RATE) * micros / 1_000_000;
        if 0 < gained {
            let full = NEWS_BURST as i64;
            self.level = self.level.saturating_add(gained.min(NEWS_BURST.into()) as i64).min(full);
            self.at = at;
        }
        0 < self.level
    }

    fn spend(&mut self, bytes: usize) {
        self.level -= bytes as i64;
    }
}

/// Counts what a message may still carry.
#[derive(Debug)]
pub struct Budget(usize);

impl Budget {
    /// Takes up a record of this many bytes, if it fits.
    pub(crate) fn try_take(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.0;
        self.0 -= if fits { bytes } else { 0 };
        fits
    }

    /// A part of the budget.
    pub(crate) fn fraction(&self, divisor: usize) -> Self {
        Self(self.0 / divisor)
    }

    /// The budget but for some bytes that are kept for something else.
    pub(crate) fn reduced_by(&self, bytes: usize) -> Self {
        Self(self.0.saturating_sub(bytes))
    }
}

impl State {
    /// Begins a message: this VM, what the receiver must see, and news.
    pub(crate) fn begin_message(
        &mut self,
        ctx: &Context<'_>,
        round: &Envelope,
    ) -> (Message, Budget) {
        let own = self.own_record(ctx);
        let mut budget = Budget(round.purpose.max_bytes() - HEAD);
        budget.try_take(own.encoded_len());
        self.own_news = self.own_news.saturating_sub(1);
        let mut message = Message {
            members: vec![own],
            probe: round.purpose == Purpose::Probe,
            indirect_probe: round.relay.clone(),
            indirect_ack: round.vouch.clone(),
            ..Message::default()
        };
        if let Some(told) = round.tell.clone().filter(|told| budget.try_take(told.encoded_len())) {
            message.members.push(told);
        }
        let mut part = budget.fraction(NEWS_SHARE);
        let mut news: Vec<_> = self.entries.values_mut().filter(|entry| 0 < entry.news).collect();
        news.sort_by_key(|entry| std::cmp::Reverse(entry.changed_at));
        for entry in news {
            let weight = entry.member.encoded_len();
            if part.try_take(weight) && budget.try_take(weight) {
                entry.news -= 1;
                message.members.push(entry.member.clone());
            }
        }
        (message, budget)
    }

    /// Ends a message: repeats members in turn, while there is budget.
    pub(crate) fn finish_message(
        &mut self,
        ctx: &Context<'_>,
        purpose: Purpose,
        message: &mut Message,
        budget: &mut Budget,
    ) {
        if purpose == Purpose::Update {
            let bytes: usize = message.max_encoded_len() + OVERHEAD;
            self.allowance.is_left(ctx.at);
            self.allowance.spend(bytes);
            return;
        }
        for _ in 0..REPEATED.min(self.entries.len()) {
            let after = self.cursor.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
            let next = self.entries.range((after, Bound::Unbounded)).next();
            let Some((vm, entry)) = next else {
                self.cursor = None;
                continue;
            };
            let known =
                entry.is_worth_telling(ctx.at) && message.members.iter().all(|told| &told.vm != vm);
            if known && !budget.try_take(entry.member.encoded_len()) {
                return;
            }
            if known {
                message.members.push(entry.member.clone());
            }
            self.cursor = Some(vm.clone());
        }
    }
}
