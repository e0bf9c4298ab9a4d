//! Cache events of engines, as corrections.
//!
//! Where a chat's context is held is what its token says. Events only correct
//! it: a chat whose context was evicted there need not wait for that engine.
//! They come late and with gaps; after a gap or a restart nothing is known of
//! that engine, which costs at most a short wait for nothing.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_target::{CacheEvent, CacheEventKind, Failure};
use briarshift_units::{ChatKey, Moment, Span, TargetId};

use crate::{Context, Effect, Output, Record, target};

/// Time between two reads of an engine's events.
const INTERVAL: Span = Span::from_secs(1);
/// Evictions remembered for one engine.
const MAX_EVICTED: usize = 4096;

#[derive(Debug, Default)]
struct Engine {
    sequence: u64,
    evicted: BTreeSet<ChatKey>,
    read_at: Option<Moment>,
}

/// What the events of each engine say.
#[derive(Debug, Default)]
pub struct State {
    engines: BTreeMap<TargetId, Engine>,
}

impl State {
    /// Whether an engine is known to have evicted a chat's context.
    pub fn has_evicted(&self, target: &TargetId, chat: ChatKey) -> bool {
        self.engines.get(target).is_some_and(|engine| engine.evicted.contains(&chat))
    }

    /// Reads the events of the engines that this VM admits for, when due.
    pub fn tick(
        &mut self,
        ctx: &Context<'_>,
        targets: &target::State,
        admitted: impl Iterator<Item = TargetId>,
        out: &mut Output,
    ) {
        for target in admitted.filter_map(|id| targets.get(&id)).filter(|row| row.takes_work()) {
            let engine = self.engines.entry(target.id.clone()).or_default();
            if engine.read_at.is_some_and(|at| ctx.at.since(at) < INTERVAL) {
                continue;
            }
            engine.read_at = Some(ctx.at);
            out.push(Effect::ReadCacheEvents {
                target: target.id.clone(),
                address: target.address,
                after: engine.sequence,
            });
        }
    }

    /// Takes an engine's events.
    pub fn handle_events(
        &mut self,
        target: &TargetId,
        result: Result<Vec<CacheEvent>, Failure>,
        out: &mut Output,
    ) {
        let Ok(changes) = result else { return };
        let engine = self.engines.entry(target.clone()).or_default();
        for change in changes {
            if change.sequence != engine.sequence + 1 && 0 < engine.sequence {
                let line = Record::new("cache_gap").with("target", target);
                out.log(line.with("after", engine.sequence).with("next", change.sequence));
                engine.evicted.clear();
            }
            engine.sequence = change.sequence;
            match change.kind {
                CacheEventKind::Stored => engine.evicted.remove(&change.chat),
                CacheEventKind::Evicted => engine.evicted.insert(change.chat),
            };
            if MAX_EVICTED < engine.evicted.len() {
                engine.evicted.clear();
            }
        }
    }
}
