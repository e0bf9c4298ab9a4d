//! The model of an engine.

use briarshift_model::engine::{Engine, Spec, Step, Work};
use briarshift_routing::cache::prefixes;
use briarshift_routing::selection::Part;
use briarshift_units::{Moment, Span};

const SPEC: Spec = Spec {
    slots: 2,
    memory: 3_000,
    step: Span(5_000),
    crowded: 0.0,
    read: 100.0,
    chunk: 500,
    event: 2,
};

fn work(job: u64, thing: u64) -> Work {
    let part = |id, tokens| Part { id, tokens };
    let parts = prefixes(&[part(1, 500), part(thing, 500), part(1_000 + job, 100)]);
    Work { job, parts, events: 2, rank: 1, given: Vec::new() }
}

/// Steps until it is idle; the clock goes on from `from`.
fn steps(engine: &mut Engine, from: u64) -> Vec<Step> {
    (from..from + 100).map_while(|step| engine.step(Moment(step))).collect()
}

fn read(steps: &[Step]) -> u32 {
    steps.iter().flat_map(|step| &step.read).map(|(_, tokens)| tokens).sum()
}

#[test]
fn a_prompt_is_read_in_chunks_and_its_shared_parts_once() {
    let mut engine = Engine::new(SPEC);
    engine.accept(work(1, 7));
    let first = steps(&mut engine, 0);
    assert_eq!((first.len(), read(&first)), (6, 1_000));
    assert_eq!(first[0].took, Span(10_000));
    engine.accept(work(2, 7));
    engine.accept(work(3, 8));
    assert_eq!(read(&steps(&mut engine, 100)), 500);
}

#[test]
fn parts_used_least_recently_yield() {
    let mut engine = Engine::new(SPEC);
    for job in 0..8 {
        engine.accept(work(job, 10 + job));
        steps(&mut engine, 100 * job);
    }
    engine.accept(work(8, 17));
    assert_eq!(read(&steps(&mut engine, 800)), 0);
    engine.accept(work(9, 10));
    assert_eq!(read(&steps(&mut engine, 900)), 500);
}

#[test]
fn the_most_urgent_request_runs_first() {
    let mut engine = Engine::new(Spec { slots: 1, ..SPEC });
    for (job, rank) in [(1, 2), (2, 1), (3, 0)] {
        engine.accept(Work { rank, ..work(job, 7) });
    }
    let first = steps(&mut engine, 0).into_iter().flat_map(|step| step.first);
    assert_eq!(first.collect::<Vec<_>>(), [3, 2, 1]);
}
