//! Limits how fast one chat's requests spread over targets.
//!
//! A request that crashes its targets may be sent through several VMs at
//! once, before any target has crashed and its fingerprint is known. Only the
//! admitting VM sees all copies. Requests of one account and chat therefore
//! start on a further target only after the targets they run on have survived
//! them for a while. Until then they wait for a reservation on those targets.
//! Equal desk calls count as one chat.
//!
//! Allowing two targets at a time without any wait is not enough: when one of
//! the two crashed, a third copy was admitted before its VM had learned of the
//! crash.

use std::collections::BTreeMap;

use briarshift_units::{AccountId, ChatKey, Moment, Span, TargetId};
use briarshift_wire::reservation::Requirements;

/// How long a target has to survive a chat's requests before another target may
/// run them too.
const SURVIVAL_TIME: Span = Span::from_secs(2);

/// The account and the chat of a request.
pub type Key = (AccountId, ChatKey);

/// Returns the key of a request for a reservation.
pub fn key(requirements: &Requirements) -> Key {
    (requirements.account.clone(), requirements.chat)
}

/// The requests of each chat that run on each target.
#[derive(Debug, Default)]
pub struct ChatTargets {
    running: BTreeMap<Key, BTreeMap<TargetId, Running>>,
}

/// Number of a chat's requests on a target, and when the first one started.
#[derive(Debug)]
struct Running {
    count: u32,
    since: Moment,
}

impl ChatTargets {
    /// Adds a request that got a reservation.
    pub fn add(&mut self, at: Moment, key: Key, target: TargetId) {
        let targets = self.running.entry(key).or_default();
        targets.entry(target).or_insert(Running { count: 0, since: at }).count += 1;
    }

    /// Removes a request that released its reservation.
    pub fn remove(&mut self, key: &Key, target: &TargetId) {
        let Some(targets) = self.running.get_mut(key) else { return };
        if let Some(running) = targets.get_mut(target) {
            running.count -= 1;
        }
        targets.retain(|_, running| 0 < running.count);
        if targets.is_empty() {
            self.running.remove(key);
        }
    }

    /// Returns the targets that a request may not run on. These are the ones
    /// that the request itself excludes and, if one of the targets its chat runs
    /// on has not survived long enough, all targets among `all` that the chat
    /// doesn't run on.
    pub fn avoid(
        &self,
        at: Moment,
        requirements: &Requirements,
        all: &[TargetId],
    ) -> Vec<TargetId> {
        let mut avoid = requirements.avoid.clone();
        if let Some(targets) = self.running.get(&key(requirements))
            && targets.values().any(|running| at.since(running.since) < SURVIVAL_TIME)
        {
            let others = all.iter().filter(|target| !targets.contains_key(*target));
            avoid.extend(others.cloned());
        }
        avoid
    }
}
