//! The simulated engine.

use briarshift_model::engine::{Engine, Spec, Step, Task};
use briarshift_routing::cache::prefixes;
use briarshift_routing::selection::Part;
use briarshift_units::{Moment, Span};

const SPEC: Spec = Spec {
    slots: 2,
    memory_tokens: 3_000,
    step: Span(5_000),
    full_slowdown: 0.0,
    read_rate: 100.0,
    max_chunk: 500,
    tokens_per_event: 2,
};

fn task(job: u64, topic: u64) -> Task {
    let part = |id, tokens| Part { id, tokens };
    let parts = prefixes(&[part(1, 500), part(topic, 500), part(1_000 + job, 100)]);
    Task { job, parts, events: 2, priority: 1, transferable: Vec::new() }
}

/// Executes steps until the engine is idle, at times from `from` on.
fn run_until_idle(engine: &mut Engine, from: u64) -> Vec<Step> {
    (from..from + 100).map_while(|step| engine.step(Moment(step))).collect()
}

/// Returns the number of tokens read from shared parts.
fn shared_tokens(steps: &[Step]) -> u32 {
    steps.iter().flat_map(|step| &step.shared_parts).map(|(_, tokens)| tokens).sum()
}

#[test]
fn prompt_is_read_in_chunks_and_shared_parts_only_once() {
    let mut engine = Engine::new(SPEC);
    engine.accept(task(1, 7));
    let first = run_until_idle(&mut engine, 0);
    assert_eq!((first.len(), shared_tokens(&first)), (6, 1_000));
    assert_eq!(first[0].duration, Span(10_000));
    engine.accept(task(2, 7));
    engine.accept(task(3, 8));
    assert_eq!(shared_tokens(&run_until_idle(&mut engine, 100)), 500);
}

#[test]
fn least_recently_used_parts_are_evicted() {
    let mut engine = Engine::new(SPEC);
    for job in 0..8 {
        engine.accept(task(job, 10 + job));
        run_until_idle(&mut engine, 100 * job);
    }
    engine.accept(task(8, 17));
    assert_eq!(shared_tokens(&run_until_idle(&mut engine, 800)), 0);
    engine.accept(task(9, 10));
    assert_eq!(shared_tokens(&run_until_idle(&mut engine, 900)), 500);
}

#[test]
fn highest_priority_runs_first() {
    let mut engine = Engine::new(Spec { slots: 1, ..SPEC });
    for (job, priority) in [(1, 2), (2, 1), (3, 0)] {
        engine.accept(Task { priority, ..task(job, 7) });
    }
    let first = run_until_idle(&mut engine, 0).into_iter().flat_map(|step| step.first_event);
    assert_eq!(first.collect::<Vec<_>>(), [3, 2, 1]);
}
