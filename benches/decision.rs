//! Time of one reservation: the request for it through the reservation reducer, with the choice
//! among the targets of the slice, and its release.
//!
//! `held` measures a returning chat whose context a target holds, `ranked` a new chat, whose targets
//! are ranked in rendezvous order.

use std::net::SocketAddr;

use briarshift_control::{Context, Identity, Output, Step, cache, member, reservation, target};
use briarshift_settings::{Document, Engine, Kind, Pool};
use briarshift_store::{ListedVm, Role, Status};
use briarshift_target::LoadReport;
use briarshift_units::{ChatKey, Moment, RequestId, StartNumber, TargetId, WallTime};
use briarshift_wire::reservation::Requirements;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Numbers of engines in the pool.
const ENGINE_COUNTS: [usize; 4] = [20, 240, 960, 2_000];

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn identity() -> Identity {
    Identity {
        vm: "vm-0".parse().expect("an id"),
        start: StartNumber(1),
        data_centre: "dc-a".parse().expect("an id"),
        address: address(),
        environment: "bench".into(),
        token_key: [1; 32],
    }
}

fn document() -> Document {
    let engine = Engine { load_factor: 1.25, place_wait_ms: 300, overnight_share: 0.5 };
    let pool = Pool {
        id: "chat".parse().expect("an id"),
        owner: "rollenhaus".parse().expect("an id"),
        kind: Kind::Engine(engine),
        queue_wait_ms: 10_000,
        queue_length: 2_000,
        retry_share: 0.1,
        orders: None,
    };
    Document { pools: vec![pool], ..Document::default() }
}

/// Returns the state of a VM that knows this number of live engines without load.
fn live_targets(ctx: &Context<'_>, count: usize) -> target::State {
    let mut targets = target::State::default();
    let rows = (0..count).map(|index| ListedVm {
        vm: format!("e-{index}").parse().expect("an id"),
        role: Role::Target { pool: "chat".parse().expect("an id") },
        data_centre: "dc-a".parse().expect("an id"),
        address: address(),
        status: Status::Live,
    });
    let rows: Vec<_> = rows.collect();
    targets.handle_list(ctx, &rows, &mut Output::default());
    for index in 0..count {
        let id = format!("e-{index}").parse().expect("an id");
        let report = LoadReport { start: StartNumber(1), ..LoadReport::default() };
        targets.handle_report(ctx, &id, Ok(report), &mut Output::default());
    }
    targets
}

fn decision(criterion: &mut Criterion) {
    let identity = identity();
    let document = document();
    let mut group = criterion.benchmark_group("decision");
    for count in ENGINE_COUNTS {
        let now = Moment(1_000_000);
        let ctx = Context { at: now, wall: WallTime(0), entropy: 0, me: &identity };
        let targets = live_targets(&ctx, count);
        let view = reservation::View {
            targets: &targets,
            members: &member::State::default(),
            document: &document,
            cache: &cache::State::default(),
        };
        for has_context in [true, false] {
            let mut reservations = reservation::State::default();
            let mut request_number = 0_u64;
            let name = if has_context { "held" } else { "ranked" };
            group.bench_function(BenchmarkId::new(name, count), |bencher| {
                bencher.iter(|| {
                    request_number += 1;
                    let target: TargetId =
                        format!("e-{}", request_number as usize % count).parse().expect("an id");
                    let requirements = Requirements {
                        request: RequestId(request_number),
                        pool: document.pools[0].id.clone(),
                        account: "account-1".parse().expect("an id"),
                        chat: ChatKey(request_number),
                        cached_on: has_context.then_some((target, StartNumber(1))),
                        overnight: false,
                        avoid: Vec::new(),
                    };
                    let mut out = Output::default();
                    let step = &mut Step { ctx: &ctx, view, out: &mut out };
                    reservations.reserve(step, requirements);
                    reservations.release(step, RequestId(request_number));
                    out.effects.len()
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
