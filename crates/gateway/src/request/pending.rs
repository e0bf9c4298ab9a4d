//! A request in progress.

use std::sync::Arc;

use briarshift_catalog::{Account, Route};
use briarshift_routing::cache::Prefix;
use briarshift_routing::hedge::Denial;
use briarshift_routing::selection::Prompt;
use briarshift_units::{ChatKey, Moment, PoolId, TargetId};

use super::work::Active;
use super::{Arrival, End, SendId};
use crate::limit::MIN_ATTEMPT_TIME;
use crate::poison::suspect_parts;
use crate::target::Interruption;

/// The current send of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ActiveSend {
    pub id: SendId,
    pub target: TargetId,
    /// Prompt tokens counted as the target's backlog for this send.
    pub backlog: u64,
    pub at: Moment,
    pub answer_began: bool,
    /// Requests at the target before this one, from all VMs.
    pub load: u32,
    /// What is learned from the answer.
    pub work: Active,
    pub is_hedge: bool,
}

/// A request in progress.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub arrival: Arrival,
    pub route: Arc<Route>,
    pub account: Option<Arc<Account>>,
    pub pool: PoolId,
    /// The prompt's prefix up to each of its parts, with the part's tokens.
    /// Empty unless the route is cache-aware.
    pub parts: Vec<(Prefix, u32)>,
    /// Memory that it is expected to need at an engine, in tokens, without the shared
    /// parts; 0 where requests are not placed by memory.
    pub memory: u64,
    /// When the caller or the route stops waiting.
    pub deadline: Moment,
    /// Number of sends that a target may have received.
    pub attempts: u32,
    /// Number of all sends.
    pub sends: u32,
    /// Targets that the request is not sent to again while there are others.
    pub tried: Vec<TargetId>,
    /// The worker holds a failure answer from a target.
    pub holds_failure: bool,
    /// A target may have run the request without answering in full.
    pub may_have_run: bool,
    /// Events of an answer have reached the caller. From then on, another send can only
    /// resume the stream.
    pub has_begun: bool,
    pub active_send: Option<ActiveSend>,
    /// The second send, which runs beside the active one.
    pub hedge: Option<ActiveSend>,
    /// Why it was last not hedged.
    pub hedge_denial: Option<Denial>,
}

impl Pending {
    /// Returns the send with this id, if it has not ended.
    pub fn send_mut(&mut self, id: SendId) -> Option<&mut ActiveSend> {
        self.active_send.iter_mut().chain(&mut self.hedge).find(|send| send.id == id)
    }

    /// Removes the send with this id, if it has not ended. The other one, if there is one,
    /// is the active send from then on.
    pub fn take_send(&mut self, id: SendId) -> Option<ActiveSend> {
        if self.hedge.as_ref().is_some_and(|hedge| hedge.id == id) {
            return self.hedge.take();
        }
        let ended = self.active_send.take_if(|active| active.id == id)?;
        self.active_send = self.hedge.take();
        Some(ended)
    }

    /// Returns the sends that have not ended.
    pub fn active_sends(&self) -> impl Iterator<Item = &ActiveSend> {
        self.active_send.iter().chain(&self.hedge)
    }

    /// Records how a send ended.
    pub fn record_end(&mut self, active: &ActiveSend, end: &End) {
        if !matches!(end, End::NotSent { .. } | End::ConfigExpired) {
            self.attempts += 1;
        }
        self.tried.push(active.target.clone());
        self.holds_failure |= matches!(end, End::Failed { .. });
        self.may_have_run |=
            matches!(end, End::Ambiguous { .. } | End::Interrupted { .. } | End::AnswerTimeout);
    }

    /// Returns what to suspect if the target turns out to have crashed. Only a prompt
    /// whose answer has not begun may have crashed it.
    pub fn interruption(&self, active: &ActiveSend, at: Moment) -> Interruption {
        let is_suspect = self.route.kind.is_stream() && !active.answer_began;
        let parts = if is_suspect { suspect_parts(&self.arrival) } else { Vec::new() };
        Interruption { request: self.arrival.fingerprint, parts, at }
    }

    /// Returns true if another target may receive the request: the route allows
    /// a further attempt, and there is enough time.
    pub fn may_attempt(&self, now: Moment) -> bool {
        self.attempts < self.route.attempts && MIN_ATTEMPT_TIME < self.deadline.since(now)
    }

    /// Returns the parts that other requests share: all but the last.
    pub fn shared_parts(&self) -> &[(Prefix, u32)] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Returns the key of the prompt: the hash of its longest shared prefix.
    pub fn prompt_key(&self) -> ChatKey {
        ChatKey(self.shared_parts().last().map_or(0, |(prefix, _)| u64::from(prefix.0)))
    }

    /// Returns the number of tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Returns the number of tokens of the whole prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Returns the number of tokens of the prompt that are its own, by its parts or by what
    /// the caller states, whichever is more.
    pub fn own_tokens(&self) -> u64 {
        let stated = self.arrival.length.prompt.map_or(0, u64::from);
        self.prompt_tokens().max(stated) - self.shared_tokens()
    }

    /// Returns the prompt for choosing an engine, where `share` is the share of
    /// recent prompts with the same last shared part.
    pub fn prompt(&self, share: f64) -> Prompt {
        Prompt { key: self.prompt_key(), tokens: self.prompt_tokens(), share }
    }

    /// Returns the request's priority: that of its account, or else of its
    /// route.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }

    /// Returns true if the request belongs to a client account. It may then
    /// only be sent while the configuration is fresh.
    pub fn has_account(&self) -> bool {
        self.account.is_some()
    }
}
