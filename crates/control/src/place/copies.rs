//! Where each chat's requests run.
//!
//! A request that crashes its targets may be sent through several VMs at
//! once, before any target has died and its fingerprint is known. Only the
//! admitting VM sees all copies. It lets requests of one account and chat run
//! on two targets at a time and no more; further ones wait for a place there.
//! (Equal desk calls ask as one chat.)

use std::collections::BTreeMap;

use briarshift_units::{AccountId, ChatKey, TargetId};
use briarshift_wire::place::Ask;

/// Targets that requests of one chat may run on at a time: as many as may die
/// under a request before it is known.
const MAX_TARGETS: usize = 2;

/// Whose request it is, and of which chat.
pub type Key = (AccountId, ChatKey);

/// The key of an ask.
pub fn key(ask: &Ask) -> Key {
    (ask.account.clone(), ask.chat)
}

/// Requests by chat and target.
#[derive(Debug, Default)]
pub struct Copies {
    running: BTreeMap<Key, BTreeMap<TargetId, u32>>,
}

impl Copies {
    /// A request got its place.
    pub fn add(&mut self, key: Key, target: TargetId) {
        *self.running.entry(key).or_default().entry(target).or_default() += 1;
    }

    /// A request gave its place back.
    pub fn remove(&mut self, key: &Key, target: &TargetId) {
        let Some(targets) = self.running.get_mut(key) else { return };
        if let Some(count) = targets.get_mut(target) {
            *count -= 1;
        }
        targets.retain(|_, count| 0 < *count);
        if targets.is_empty() {
            self.running.remove(key);
        }
    }

    /// Targets among `all` that an ask may not run on: those to avoid anyway,
    /// and all but those where its chat runs, if these are enough.
    pub fn avoid(&self, ask: &Ask, all: &[TargetId]) -> Vec<TargetId> {
        let mut avoid = ask.avoid.clone();
        if let Some(targets) = self.running.get(&key(ask))
            && MAX_TARGETS <= targets.len()
        {
            let others = all.iter().filter(|target| !targets.contains_key(*target));
            avoid.extend(others.cloned());
        }
        avoid
    }
}
