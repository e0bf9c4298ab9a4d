//! What engines are believed to hold of prompts, and where prompts went.
//!
//! Each VM tells its peers where it sent prompts, in its next beats, so that
//! all of them know which engine holds what about a beat later. One VM writes it
//! to the store every few seconds, for VMs that start: engines still hold what
//! they held when a VM, or the whole fleet, is lost.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use briarshift_routing::cache::{Cache, Prefix};
use briarshift_routing::popularity::Popularity;
use briarshift_units::Moment;
use briarshift_wire::heartbeat::{Placement, TargetHash};
use briarshift_wire::holding::Holdings;

use crate::limit::{
    CACHE_PRUNE_INTERVAL, HOLDINGS_WRITE_INTERVAL, MAX_HEARTBEAT_PLACEMENTS, MAX_HOLDINGS_PARTS,
    PLACEMENT_SEND_TIME,
};

/// Memory of an engine whose pool does not tell it, in tokens.
const DEFAULT_ENGINE_MEMORY: u64 = 100_000;

/// Prompts at engines.
#[derive(Debug, Default)]
pub struct State {
    engines: HashMap<TargetHash, Cache>,
    /// Engines that were sent a part and may still hold it.
    holders: HashMap<Prefix, BTreeSet<TargetHash>>,
    /// How often prompts are sent, by their last shared part.
    heat: Popularity<Prefix>,
    /// Placements, each with the moment at which it was first told.
    told: Vec<(Placement, Option<Moment>)>,
    /// Prompts sent so far.
    placed: u64,
    pruned: Moment,
    /// When it was last time to write what engines hold.
    turn: Moment,
}

impl State {
    /// Tokens of a prompt's leading parts that an engine holds.
    pub fn held(&self, engine: TargetHash, parts: &[(Prefix, u32)], now: Moment) -> u64 {
        self.engines.get(&engine).map_or(0, |cache| cache.cached_tokens(parts, now))
    }

    /// Engines that hold at least the leading parts up to the longest beginning
    /// that any engine among `usable` holds, with the tokens of a prompt that
    /// each of them holds.
    pub fn holders(
        &self,
        parts: &[(Prefix, u32)],
        usable: impl Fn(TargetHash) -> bool,
        now: Moment,
    ) -> Vec<(TargetHash, u64)> {
        for (index, (chain, _)) in parts.iter().enumerate().rev() {
            let beginning = tokens(&parts[..=index]);
            let sent = self.holders.get(chain).into_iter().flatten().copied();
            let held = sent.map(|engine| (engine, self.held(engine, parts, now)));
            let holders: Vec<_> =
                held.filter(|&(engine, held)| beginning <= held && usable(engine)).collect();
            if !holders.is_empty() {
                return holders;
            }
        }
        Vec::new()
    }

    /// Share of all prompts lately with the same last shared part, 0 to 1.
    pub fn share(&self, parts: &[(Prefix, u32)], now: Moment) -> f64 {
        parts.last().map_or(0.0, |(last, _)| self.heat.share(last, now))
    }

    /// This VM sends a prompt to an engine.
    pub fn sent(
        &mut self,
        engine: TargetHash,
        parts: &[(Prefix, u32)],
        memory: Option<u64>,
        now: Moment,
    ) {
        let Some(&(last, _)) = parts.last() else { return };
        self.heat.record(last, now);
        let memory = memory.unwrap_or(DEFAULT_ENGINE_MEMORY);
        self.read(engine, parts, memory, now);
        self.placed += 1;
        let parts = parts.iter().map(|(chain, tokens)| (chain.0, *tokens)).collect();
        self.told.push((Placement { target: engine, parts }, None));
    }

    /// A peer told where prompts went. The first `new` have not been told before.
    pub fn told(&mut self, placements: &[Placement], new: u64, now: Moment) {
        for (index, placement) in placements.iter().enumerate() {
            let parts = chained(placement);
            if let Some(&(last, _)) = parts.last().filter(|_| (index as u64) < new) {
                self.heat.record(last, now);
            }
            self.read(placement.target, &parts, DEFAULT_ENGINE_MEMORY * 2, now);
        }
    }

    /// Takes up what a VM wrote before this one started. Returns how many parts.
    pub fn restore(&mut self, holdings: &Holdings, now: Moment) -> usize {
        for engine in &holdings.engines {
            self.read(engine.target, &chained(engine), DEFAULT_ENGINE_MEMORY * 2, now);
        }
        holdings.engines.iter().map(|engine| engine.parts.len()).sum()
    }

    /// Whether nothing is known yet.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Whether it is time to write what engines hold; the next time is a pause
    /// later, whoever writes.
    pub fn take_turn(&mut self, now: Moment) -> bool {
        let is_due = !self.is_empty() && HOLDINGS_WRITE_INTERVAL <= now.since(self.turn);
        if is_due {
            self.turn = now;
        }
        is_due
    }

    /// What engines hold: the parts used last, as many as may be written.
    pub fn holdings(&self, now: Moment) -> Holdings {
        let of = |(&engine, cache): (&TargetHash, &Cache)| {
            let parts = cache.parts(now).into_iter();
            parts.map(move |(chain, tokens, used)| (Reverse(used), engine, chain.0, tokens))
        };
        let mut parts: Vec<_> = self.engines.iter().flat_map(of).collect();
        parts.sort_unstable();
        let mut engines: BTreeMap<TargetHash, Vec<(u32, u32)>> = BTreeMap::new();
        for (_, engine, chain, tokens) in parts.into_iter().take(MAX_HOLDINGS_PARTS) {
            engines.entry(engine).or_default().push((chain, tokens));
        }
        let engines = engines.into_iter().map(|(target, parts)| Placement { target, parts });
        Holdings { engines: engines.collect() }
    }

    fn read(&mut self, engine: TargetHash, parts: &[(Prefix, u32)], memory: u64, now: Moment) {
        self.engines.entry(engine).or_default().record(parts, memory, now);
        for (chain, _) in parts {
            self.holders.entry(*chain).or_default().insert(engine);
        }
    }

    /// Prompts that this VM has sent.
    pub fn placed(&self) -> u64 {
        self.placed
    }

    /// What the next beat tells.
    pub fn to_tell(&mut self, now: Moment) -> Vec<Placement> {
        self.told.retain(|(_, at)| at.is_none_or(|at| now.since(at) < PLACEMENT_SEND_TIME));
        for (_, at) in &mut self.told {
            at.get_or_insert(now);
        }
        let newest = self.told.iter().rev().take(MAX_HEARTBEAT_PLACEMENTS);
        newest.map(|(placement, _)| placement.clone()).collect()
    }

    /// Forgets what is old.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.pruned) < CACHE_PRUNE_INTERVAL {
            return;
        }
        self.pruned = now;
        for cache in self.engines.values_mut() {
            cache.prune(now);
        }
        self.heat.prune(now);
        self.engines.retain(|_, cache| !cache.is_empty());
        let engines = &self.engines;
        self.holders.retain(|chain, holders| {
            holders
                .retain(|engine| engines.get(engine).is_some_and(|cache| cache.contains(*chain)));
            !holders.is_empty()
        });
    }
}

/// The parts of a placement.
fn chained(placement: &Placement) -> Vec<(Prefix, u32)> {
    placement.parts.iter().map(|&(chain, tokens)| (Prefix(chain), tokens)).collect()
}

fn tokens(parts: &[(Prefix, u32)]) -> u64 {
    parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
}
