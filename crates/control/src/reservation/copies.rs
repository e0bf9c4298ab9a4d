//! Where each chat's requests run.
//!
//! A request that crashes its targets may be sent through several VMs at
//! once, before any target has died and its fingerprint is known. Only the
//! admitting VM sees all copies. Requests of one account and chat therefore
//! start on a further target only when those where they run have survived them
//! for a while; until then they wait for a place there. (Equal desk calls ask
//! as one chat. Weighed: two targets at a time without any wait; when one of
//! two died, a third copy was placed before its VM had heard of the death.)

use std::collections::BTreeMap;

use briarshift_units::{AccountId, ChatKey, Moment, Span, TargetId};
use briarshift_wire::reservation::Requirements;

/// How long a target has to survive a chat's requests before another may run
/// them too.
const TRIAL: Span = Span::from_secs(2);

/// Whose request it is, and of which chat.
pub type Key = (AccountId, ChatKey);

/// The key of an ask.
pub fn key(ask: &Requirements) -> Key {
    (ask.account.clone(), ask.chat)
}

/// Requests by chat and target.
#[derive(Debug, Default)]
pub struct Copies {
    running: BTreeMap<Key, BTreeMap<TargetId, Running>>,
}

#[derive(Debug)]
struct Running {
    count: u32,
    since: Moment,
}

impl Copies {
    /// A request got its place.
    pub fn add(&mut self, at: Moment, key: Key, target: TargetId) {
        let targets = self.running.entry(key).or_default();
        targets.entry(target).or_insert(Running { count: 0, since: at }).count += 1;
    }

    /// A request gave its place back.
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

    /// Targets among `all` that an ask may not run on: those to avoid anyway,
    /// and all but those where its chat runs, if one of these is new to it.
    pub fn avoid(&self, at: Moment, ask: &Requirements, all: &[TargetId]) -> Vec<TargetId> {
        let mut avoid = ask.avoid.clone();
        if let Some(targets) = self.running.get(&key(ask))
            && targets.values().any(|running| at.since(running.since) < TRIAL)
        {
            let others = all.iter().filter(|target| !targets.contains_key(*target));
            avoid.extend(others.cloned());
        }
        avoid
    }
}
