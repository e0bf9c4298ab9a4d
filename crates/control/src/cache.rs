//! Evictions that engines report in their cache events.
//!
//! A chat's token names the engine that holds its context. The cache events only
//! correct this: a chat whose context was evicted needn't wait for that engine.
//! Events arrive late and with gaps. After a gap or a restart nothing is known
//! of the engine's evictions, which costs at most a short unnecessary wait.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_target::{CacheEvent, CacheEventKind, Failure};
use briarshift_units::{ChatKey, Moment, Span, TargetId};

use crate::{Context, Effect, Output, Record, target};

/// Time between two reads of an engine's events.
const READ_INTERVAL: Span = Span::from_secs(1);
/// Maximum number of evictions kept per engine. If there are more, all of them
/// are dropped, as after a gap.
const MAX_EVICTED: usize = 4096;

/// The known evictions of one engine.
#[derive(Debug, Default)]
struct Engine {
    /// Sequence number of the last event.
    sequence: u64,
    evicted: BTreeSet<ChatKey>,
    read_at: Option<Moment>,
}

/// The known evictions of each engine.
#[derive(Debug, Default)]
pub struct State {
    engines: BTreeMap<TargetId, Engine>,
}

impl State {
    /// Returns true if an engine is known to have evicted a chat's context.
    pub fn has_evicted(&self, target: &TargetId, chat: ChatKey) -> bool {
        self.engines.get(target).is_some_and(|engine| engine.evicted.contains(&chat))
    }

    /// Reads the cache events of the engines that this VM admits for when they
    /// are due.
    pub fn tick(
        &mut self,
        ctx: &Context<'_>,
        targets: &target::State,
        admitted: impl Iterator<Item = TargetId>,
        out: &mut Output,
    ) {
        for target in
            admitted.filter_map(|id| targets.get(&id)).filter(|target| target.takes_work())
        {
            let engine = self.engines.entry(target.id.clone()).or_default();
            if engine.read_at.is_some_and(|at| ctx.at.since(at) < READ_INTERVAL) {
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

    /// Handles the cache events of an engine.
    pub fn handle_events(
        &mut self,
        target: &TargetId,
        result: Result<Vec<CacheEvent>, Failure>,
        out: &mut Output,
    ) {
        let Ok(events) = result else { return };
        let engine = self.engines.entry(target.clone()).or_default();
        for event in events {
            if event.sequence != engine.sequence + 1 && 0 < engine.sequence {
                let line = Record::new("cache_gap").with("target", target);
                out.log(line.with("after", engine.sequence).with("next", event.sequence));
                engine.evicted.clear();
            }
            engine.sequence = event.sequence;
            match event.kind {
                CacheEventKind::Stored => engine.evicted.remove(&event.chat),
                CacheEventKind::Evicted => engine.evicted.insert(event.chat),
            };
            if MAX_EVICTED < engine.evicted.len() {
                engine.evicted.clear();
            }
        }
    }
}
