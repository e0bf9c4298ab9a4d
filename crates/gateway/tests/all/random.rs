//! Guarantees that hold for any order of events.

use std::collections::BTreeMap;

use briarshift_gateway::request::{Decision, End, Event as Request, Send};
use briarshift_gateway::target::Entry;
use briarshift_gateway::{Features, Kind};
use briarshift_store::registry::Name;
use briarshift_units::RequestId;
use proptest::prelude::{Strategy, any, prop};
use proptest::{prop_oneof, proptest};

use crate::world::{World, catalog, interrupted, leaving, not_sent, prompt, target};

const PATHS: [&str; 4] = ["/safe/a", "/book/a", "/chat/a", "/long/a"];
const IDS: [&str; 3] = ["t-1", "t-2", "t-3"];

#[derive(Debug, Clone)]
enum Step {
    RequestArrives(usize),
    End(usize, usize),
    CallerLeaves(usize),
    TimePasses(u64),
    StoreFails,
    TargetChanges(usize, usize),
    ConfigChanges,
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..PATHS.len()).prop_map(Step::RequestArrives),
        6 => (any::<usize>(), 0..9_usize).prop_map(|(which, end)| Step::End(which, end)),
        1 => any::<usize>().prop_map(Step::CallerLeaves),
        3 => (0..1500_u64).prop_map(Step::TimePasses),
        1 => proptest::strategy::Just(Step::StoreFails),
        2 => (0..IDS.len(), 0..3_usize).prop_map(|(id, what)| Step::TargetChanges(id, what)),
        1 => proptest::strategy::Just(Step::ConfigChanges),
        1 => proptest::strategy::Just(Step::Drain),
    ]
}

fn end(number: usize) -> End {
    match number {
        0 => End::Complete { ok: true },
        1 => End::Failed { status: 500 },
        2 => not_sent(),
        3 => End::ConfigExpired,
        4 => End::NotRun { status: 503, moved: false },
        5 => End::NotRun { status: 421, moved: true },
        6 => interrupted(),
        7 => End::Ambiguous { status: 503 },
        _ => End::AnswerTimeout,
    }
}

/// Progress of one request.
#[derive(Default)]
struct Progress {
    path: usize,
    /// Number of sends that may have run.
    ran: usize,
    /// Number of sends that a target received.
    received: usize,
    over: bool,
}

#[derive(Default)]
struct Checker {
    requests: BTreeMap<RequestId, Progress>,
    running: Vec<Send>,
    seen: usize,
}

impl Checker {
    fn check(&mut self, world: &World) {
        for (request, decision) in &world.decisions[self.seen..] {
            let progress = self.requests.get_mut(request).expect("a decision on a known request");
            assert!(!progress.over, "{request} was decided on after its end");
            match decision {
                Decision::Send(send) => {
                    let runs_once = matches!(PATHS[progress.path], "/book/a" | "/chat/a");
                    assert!(!runs_once || progress.ran == 0, "{request} could run twice");
                    assert!(world.now < send.deadline, "{request} was sent too late");
                    assert!(send.config_expires_at.is_none_or(|expires_at| world.now < expires_at));
                    let max_targets = if runs_once { 1 } else { 2 };
                    assert!(progress.received < max_targets, "{request} went to too many targets");
                    self.running.push(send.clone());
                }
                Decision::Refuse(refusal) => {
                    assert!(progress.ran == 0 || !refusal.cause.is_not_run(), "{request} ran");
                    progress.over = true;
                }
                Decision::Deliver => progress.over = true,
            }
        }
        self.seen = world.decisions.len();
    }
}

/// Runs the steps with what the deployment calls for.
fn run_steps(steps: Vec<Step>, features: Features) {
    let mut world = World::with_features(features);
    world.tick();
    world.read(&IDS);
    let mut checker = Checker::default();
    let mut revision = 1;
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::RequestArrives(path) => {
                let id = RequestId(checker.requests.len() as u64 + 1);
                checker.requests.insert(id, Progress { path, ..Progress::default() });
                world.arrive_with(PATHS[path], |arrival| {
                    if features.room {
                        arrival.parts = prompt(path as u64, number as u64 % 5);
                    }
                });
            }
            Step::End(which, kind) if !checker.running.is_empty() => {
                let send = checker.running.remove(which % checker.running.len());
                let progress = checker.requests.get_mut(&send.id.request).unwrap();
                let end = end(kind);
                let received = !matches!(end, End::NotSent { .. } | End::ConfigExpired);
                let ran = received && !matches!(end, End::NotRun { .. });
                progress.received += usize::from(received);
                progress.ran += usize::from(ran);
                progress.over |= matches!(end, End::Complete { .. });
                world.end(&send, end);
            }
            Step::CallerLeaves(which) if !checker.running.is_empty() => {
                let send = checker.running.remove(which % checker.running.len());
                checker.requests.get_mut(&send.id.request).unwrap().over = true;
                world.apply(Kind::Request(Request::CallerLeft(send.id.request)));
            }
            Step::End(..) | Step::CallerLeaves(_) => {}
            Step::TimePasses(millis) => {
                world.advance(millis);
                world.tick();
            }
            Step::StoreFails => world.fail_store(),
            Step::TargetChanges(id, what) => {
                let id = IDS[id];
                let value = [Some(target(id, "desk")), Some(leaving(id)), None][what].clone();
                world.change_row(Name::Target(id.parse().unwrap()), value);
            }
            Step::ConfigChanges => {
                revision += 1;
                world.change_row(Name::Catalog, Some(catalog(revision, crate::world::KEY)));
            }
            Step::Drain if number % 7 == 0 => world.apply(Kind::Drain),
            Step::Drain => {}
        }
        checker.check(&world);
        check_memory(&world, &checker.running);
    }
}

/// Checks that memory of targets is counted only for requests that run there.
fn check_memory(world: &World, running: &[Send]) {
    for id in IDS {
        let is_used = running.iter().any(|send| send.target.as_str() == id);
        let entry = world.state.targets().get(&id.parse().unwrap());
        let memory = entry.map_or(0, Entry::own_memory);
        assert!(is_used || memory == 0, "{memory} tokens of {id} are taken by nothing");
    }
}

proptest! {
    #[test]
    fn guarantees_hold_in_any_order_of_events(steps in prop::collection::vec(step(), 0..120)) {
        run_steps(steps, Features::default());
    }

    #[test]
    fn guarantees_hold_where_requests_wait(steps in prop::collection::vec(step(), 0..240)) {
        run_steps(steps, Features { fair_shares: true, ..Features::default() });
    }

    #[test]
    fn guarantees_hold_where_requests_are_placed_by_room(
        steps in prop::collection::vec(step(), 0..120),
    ) {
        run_steps(steps, Features { fair_shares: false, room: true });
    }
}
