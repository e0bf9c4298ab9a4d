//! Which prompt parts engines are expected to hold, and where prompts were
//! sent.
//!
//! Each VM reports in its next heartbeats where it sent prompts, so all VMs
//! know about one heartbeat interval later which engine holds what. One VM
//! writes this to the store every few seconds for VMs that start: engines still
//! hold their parts after a VM, or the whole fleet, has been lost.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use briarshift_routing::cache::{Cache, Prefix};
use briarshift_routing::popularity::Popularity;
use briarshift_units::Moment;
use briarshift_wire::heartbeat::{Placement, TargetHash};
use briarshift_wire::holding::Holdings;

use crate::limit::{
    CACHE_PRUNE_INTERVAL, HOLDINGS_WRITE_INTERVAL, MAX_HEARTBEAT_PLACEMENTS, MAX_HOLDINGS_PARTS,
    MAX_REPORTED_PLACEMENTS, PLACEMENT_SEND_TIME,
};

/// Memory of an engine whose pool does not state it, in tokens.
const DEFAULT_ENGINE_MEMORY: u64 = 100_000;

/// Expected contents of the engines' caches, and the placements to report.
#[derive(Debug, Default)]
pub struct State {
    engines: HashMap<TargetHash, Cache>,
    /// Engines that were sent a part and may still hold it.
    holders: HashMap<Prefix, BTreeSet<TargetHash>>,
    /// How often prompts are sent, by their last shared part.
    popularity: Popularity<Prefix>,
    /// Placements, each with the time at which it was first put into a
    /// heartbeat.
    outgoing: Vec<(Placement, Option<Moment>)>,
    /// Placements that no report to a relay has contained yet.
    unreported: Vec<Placement>,
    /// Prompts that this VM has sent since its start.
    prompts_sent: u64,
    pruned_at: Moment,
    /// When [`State::poll_holdings_write`] last returned true.
    holdings_polled_at: Moment,
}

impl State {
    /// Returns how many tokens of a prompt's leading parts an engine holds.
    pub fn cached_tokens(&self, engine: TargetHash, parts: &[(Prefix, u32)], now: Moment) -> u64 {
        self.engines.get(&engine).map_or(0, |cache| cache.cached_tokens(parts, now))
    }

    /// Returns the tokens of the shared parts that an engine's requests, of which there are
    /// `requests`, are assumed to use if a prompt with these parts joins them.
    pub fn tokens_in_use(
        &self,
        engine: TargetHash,
        parts: &[(Prefix, u32)],
        requests: u32,
        now: Moment,
    ) -> u64 {
        let unused = Cache::default();
        self.engines.get(&engine).unwrap_or(&unused).tokens_in_use(parts, requests, now)
    }

    /// Finds the longest prefix of a prompt that any engine accepted by
    /// `usable` holds, and returns the engines that hold at least this prefix,
    /// each with the number of the prompt's tokens that it holds.
    pub fn holders(
        &self,
        parts: &[(Prefix, u32)],
        usable: impl Fn(TargetHash) -> bool,
        now: Moment,
    ) -> Vec<(TargetHash, u64)> {
        for (index, (prefix, _)) in parts.iter().enumerate().rev() {
            let prefix_tokens = sum_tokens(&parts[..=index]);
            let engines = self.holders.get(prefix).into_iter().flatten().copied();
            let cached = engines.map(|engine| (engine, self.cached_tokens(engine, parts, now)));
            let holders: Vec<_> = cached
                .filter(|&(engine, tokens)| prefix_tokens <= tokens && usable(engine))
                .collect();
            if !holders.is_empty() {
                return holders;
            }
        }
        Vec::new()
    }

    /// Returns the share of recent prompts with the same last shared part, from
    /// 0 to 1.
    pub fn popularity(&self, parts: &[(Prefix, u32)], now: Moment) -> f64 {
        parts.last().map_or(0.0, |(last, _)| self.popularity.share(last, now))
    }

    /// Records that this VM sends a prompt to an engine with `memory` tokens of
    /// memory.
    pub fn record_send(
        &mut self,
        engine: TargetHash,
        parts: &[(Prefix, u32)],
        memory: Option<u64>,
        now: Moment,
    ) {
        let Some(&(last, _)) = parts.last() else { return };
        self.popularity.record(last, now);
        let memory = memory.unwrap_or(DEFAULT_ENGINE_MEMORY);
        self.insert(engine, parts, memory, now);
        self.prompts_sent += 1;
        let parts = parts.iter().map(|(prefix, tokens)| (prefix.0, *tokens)).collect();
        let placement = Placement { target: engine, parts };
        if self.unreported.len() < MAX_REPORTED_PLACEMENTS {
            self.unreported.push(placement.clone());
        }
        self.outgoing.push((placement, None));
    }

    /// Records placements that a peer reported, the newest first. The first
    /// `new` of them have not been reported before and count towards
    /// popularity.
    pub fn record_placements(&mut self, placements: &[Placement], new: u64, now: Moment) {
        for (index, placement) in placements.iter().enumerate() {
            let parts = placement_parts(placement);
            if let Some(&(last, _)) = parts.last().filter(|_| (index as u64) < new) {
                self.popularity.record(last, now);
            }
            self.insert(placement.target, &parts, DEFAULT_ENGINE_MEMORY * 2, now);
        }
    }

    /// Restores what another VM wrote before this one started. Returns the
    /// number of parts.
    pub fn restore(&mut self, holdings: &Holdings, now: Moment) -> usize {
        for engine in &holdings.engines {
            self.insert(engine.target, &placement_parts(engine), DEFAULT_ENGINE_MEMORY * 2, now);
        }
        holdings.engines.iter().map(|engine| engine.parts.len()).sum()
    }

    /// Returns true if nothing is known yet.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns true if holdings are due to be written, at most once per
    /// interval. The interval starts anew on every VM, whichever of them
    /// writes.
    pub fn poll_holdings_write(&mut self, now: Moment) -> bool {
        let is_due =
            !self.is_empty() && HOLDINGS_WRITE_INTERVAL <= now.since(self.holdings_polled_at);
        if is_due {
            self.holdings_polled_at = now;
        }
        is_due
    }

    /// Returns what engines hold: the most recently used parts, up to the
    /// maximum that may be written.
    pub fn holdings(&self, now: Moment) -> Holdings {
        let engine_parts = |(&engine, cache): (&TargetHash, &Cache)| {
            let parts = cache.parts(now).into_iter();
            parts.map(move |(prefix, tokens, used)| (Reverse(used), engine, prefix.0, tokens))
        };
        let mut parts: Vec<_> = self.engines.iter().flat_map(engine_parts).collect();
        parts.sort_unstable();
        let mut engines: BTreeMap<TargetHash, Vec<(u32, u32)>> = BTreeMap::new();
        for (_, engine, prefix, tokens) in parts.into_iter().take(MAX_HOLDINGS_PARTS) {
            engines.entry(engine).or_default().push((prefix, tokens));
        }
        let engines = engines.into_iter().map(|(target, parts)| Placement { target, parts });
        Holdings { engines: engines.collect(), ..Holdings::default() }
    }

    fn insert(&mut self, engine: TargetHash, parts: &[(Prefix, u32)], memory: u64, now: Moment) {
        self.engines.entry(engine).or_default().record(parts, memory, now);
        for (prefix, _) in parts {
            self.holders.entry(*prefix).or_default().insert(engine);
        }
    }

    /// Returns how many prompts this VM has sent since its start.
    pub fn prompts_sent(&self) -> u64 {
        self.prompts_sent
    }

    /// Returns the placements since the last call, for a report to a relay.
    pub fn take_unreported(&mut self) -> Vec<Placement> {
        std::mem::take(&mut self.unreported)
    }

    /// Returns the placements for the next heartbeat, the newest first.
    pub fn placements_to_send(&mut self, now: Moment) -> Vec<Placement> {
        self.outgoing.retain(|(_, at)| at.is_none_or(|at| now.since(at) < PLACEMENT_SEND_TIME));
        for (_, at) in &mut self.outgoing {
            at.get_or_insert(now);
        }
        let newest = self.outgoing.iter().rev().take(MAX_HEARTBEAT_PLACEMENTS);
        newest.map(|(placement, _)| placement.clone()).collect()
    }

    /// Removes expired entries.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.pruned_at) < CACHE_PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        for cache in self.engines.values_mut() {
            cache.prune(now);
        }
        self.popularity.prune(now);
        self.engines.retain(|_, cache| !cache.is_empty());
        let engines = &self.engines;
        self.holders.retain(|prefix, holders| {
            holders
                .retain(|engine| engines.get(engine).is_some_and(|cache| cache.contains(*prefix)));
            !holders.is_empty()
        });
    }
}

/// Returns the parts of a placement.
fn placement_parts(placement: &Placement) -> Vec<(Prefix, u32)> {
    placement.parts.iter().map(|&(prefix, tokens)| (Prefix(prefix), tokens)).collect()
}

fn sum_tokens(parts: &[(Prefix, u32)]) -> u64 {
    parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
}
