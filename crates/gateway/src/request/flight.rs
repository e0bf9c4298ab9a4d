//! One request under way.

use std::sync::Arc;

use briarshift_catalog::{Account, Route};
use briarshift_routing::cache::Prefix;
use briarshift_routing::selection::Prompt;
use briarshift_units::{ChatKey, Moment, PoolId, TargetId};

use super::{Arrival, End, SendId};
use crate::limit::MIN_ATTEMPT_TIME;

/// Where a request is now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Sent {
    pub id: SendId,
    pub target: TargetId,
    /// Prompt tokens counted as still to be read there.
    pub backlog: u64,
    pub at: Moment,
    pub begun: bool,
}

/// A request under way.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub arrival: Arrival,
    pub route: Arc<Route>,
    pub account: Option<Arc<Account>>,
    pub pool: PoolId,
    /// Chains of its prompt's parts, where its route goes by them.
    pub parts: Vec<(Prefix, u32)>,
    /// When nobody waits for it any more.
    pub until: Moment,
    /// Sends that a target may have received.
    pub attempts: u32,
    /// All sends.
    pub sends: u32,
    /// Targets that it is not sent to again.
    pub tried: Vec<TargetId>,
    /// A target's answer, a failure, is held by the worker.
    pub failed: bool,
    /// A target may have run it, and did not answer whole.
    pub maybe_ran: bool,
    pub sent: Option<Sent>,
}

impl Flight {
    /// Takes in how a send of it ended.
    pub fn ended(&mut self, sent: &Sent, end: &End) {
        if !matches!(end, End::NotSent { .. } | End::Fenced) {
            self.attempts += 1;
        }
        self.tried.push(sent.target.clone());
        self.failed |= matches!(end, End::Failed { .. });
        self.maybe_ran |= matches!(end, End::Interrupted { .. } | End::AnswerTimeout);
    }

    /// Whether one more target may receive it: the route allows it, and there
    /// is time.
    pub fn has_attempt(&self, now: Moment) -> bool {
        self.attempts < self.route.attempts && MIN_ATTEMPT_TIME < self.until.since(now)
    }

    /// The parts that other requests share: all but its own.
    pub fn shared(&self) -> &[(Prefix, u32)] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Names its last shared part.
    pub fn key(&self) -> ChatKey {
        ChatKey(self.shared().last().map_or(0, |(chain, _)| u64::from(chain.0)))
    }

    /// Tokens of its shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Tokens of its whole prompt.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// What it brings to an engine, as one of a `share` of the pool's requests.
    pub fn prompt(&self, share: f64) -> Prompt {
        Prompt { key: self.key(), tokens: self.tokens(), share }
    }

    /// Its rank, 0 first.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }

    /// Whether it may be sent only while the configuration is confirmed.
    pub fn is_keyed(&self) -> bool {
        self.account.is_some()
    }
}
