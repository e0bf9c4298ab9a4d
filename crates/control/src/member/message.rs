//! Fills a gossip message with member records, up to its byte limit.

use std::ops::Bound;

use briarshift_units::Moment;
use briarshift_wire::gossip::Message;

use super::{Envelope, Purpose, State};
use crate::Context;

/// Long-term rate of update messages, in bytes a second.
const UPDATE_RATE: u64 = 4_000;
/// Bytes of update messages that may be sent in a burst.
const UPDATE_BURST: u64 = 8_000;
/// Bytes that the UDP, IP and QUIC headers add to a message.
const HEADER_BYTES: usize = 80;
/// Bytes reserved in a message for everything but the records: version,
/// lengths, flags and the head of the document.
const FIXED_BYTES: usize = 64;
/// Unchanged records that each message repeats, so that a VM that missed an
/// update receives it later.
const REPEATED_RECORDS: usize = 6;
/// Divisor for the part of a message that changed member records may fill; the
/// rest stays free for target loads.
const CHANGES_DIVISOR: usize = 2;

/// A token bucket for the bytes of update messages.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: i64,
    refilled_at: Moment,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { tokens: UPDATE_BURST as i64, refilled_at: Moment(0) }
    }
}

impl TokenBucket {
    /// Refills the bucket for the time that passed, and returns true if it is
    /// not empty.
    pub(crate) fn refill(&mut self, at: Moment) -> bool {
        let micros = u128::from(at.since(self.refilled_at).0);
        let added = u128::from(UPDATE_RATE) * micros / 1_000_000;
        if 0 < added {
            let capacity = UPDATE_BURST as i64;
            self.tokens =
                self.tokens.saturating_add(added.min(UPDATE_BURST.into()) as i64).min(capacity);
            self.refilled_at = at;
        }
        0 < self.tokens
    }

    fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as i64;
    }
}

/// The number of bytes that may still be added to a message.
#[derive(Debug)]
pub struct Budget(usize);

impl Budget {
    /// Takes `bytes` from the budget if it has that many. Returns true if it
    /// had.
    pub(crate) fn try_take(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.0;
        self.0 -= if fits { bytes } else { 0 };
        fits
    }

    /// Returns a separate budget of this one's bytes divided by `divisor`.
    pub(crate) fn fraction(&self, divisor: usize) -> Self {
        Self(self.0 / divisor)
    }

    /// Returns a separate budget that is smaller by `bytes`.
    pub(crate) fn reduced_by(&self, bytes: usize) -> Self {
        Self(self.0.saturating_sub(bytes))
    }
}

impl State {
    /// Begins a message with this VM's record, the record that the envelope
    /// names and changed records, latest first. Returns it with the bytes left.
    pub(crate) fn begin_message(
        &mut self,
        ctx: &Context<'_>,
        envelope: &Envelope,
    ) -> (Message, Budget) {
        let own = self.own_record(ctx);
        let mut budget = Budget(envelope.purpose.max_bytes() - FIXED_BYTES);
        budget.try_take(own.encoded_len());
        self.own_sends_left = self.own_sends_left.saturating_sub(1);
        let mut message = Message {
            members: vec![own],
            probe: envelope.purpose == Purpose::Probe,
            indirect_probe: envelope.indirect_probe.clone(),
            indirect_ack: envelope.indirect_ack.clone(),
            ..Message::default()
        };
        if let Some(record) =
            envelope.record.clone().filter(|record| budget.try_take(record.encoded_len()))
        {
            message.members.push(record);
        }
        let mut changes_budget = budget.fraction(CHANGES_DIVISOR);
        let mut changed: Vec<_> =
            self.entries.values_mut().filter(|entry| 0 < entry.sends_left).collect();
        changed.sort_by_key(|entry| std::cmp::Reverse(entry.changed_at));
        for entry in changed {
            let length = entry.member.encoded_len();
            if changes_budget.try_take(length) && budget.try_take(length) {
                entry.sends_left -= 1;
                message.members.push(entry.member.clone());
            }
        }
        (message, budget)
    }

    /// Finishes a message: fills the rest of a probe or acknowledgement with
    /// unchanged records in turn, or counts an update against its rate limit.
    pub(crate) fn finish_message(
        &mut self,
        ctx: &Context<'_>,
        purpose: Purpose,
        message: &mut Message,
        budget: &mut Budget,
    ) {
        if purpose == Purpose::Update {
            let bytes: usize = message.max_encoded_len() + HEADER_BYTES;
            self.update_bucket.refill(ctx.at);
            self.update_bucket.spend(bytes);
            return;
        }
        for _ in 0..REPEATED_RECORDS.min(self.entries.len()) {
            let after = self.repeat_cursor.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
            let next = self.entries.range((after, Bound::Unbounded)).next();
            let Some((vm, entry)) = next else {
                self.repeat_cursor = None;
                continue;
            };
            let wanted =
                entry.is_gossiped(ctx.at) && message.members.iter().all(|record| &record.vm != vm);
            if wanted && !budget.try_take(entry.member.encoded_len()) {
                return;
            }
            if wanted {
                message.members.push(entry.member.clone());
            }
            self.repeat_cursor = Some(vm.clone());
        }
    }
}
