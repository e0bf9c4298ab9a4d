//! Any order of events: what always holds.

use std::collections::BTreeMap;

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Decision, End, Event as Request, Send};
use briarshift_store::registry::Name;
use briarshift_units::RequestId;
use proptest::prelude::{Strategy, any, prop};
use proptest::{prop_oneof, proptest};

use crate::world::{World, broken, catalog, leaving, not_sent, target};

const PATHS: [&str; 4] = ["/safe/a", "/book/a", "/chat/a", "/long/a"];
const IDS: [&str; 3] = ["t-1", "t-2", "t-3"];

#[derive(Debug, Clone)]
enum Step {
    Arrive(usize),
    End(usize, usize),
    Leave(usize),
    Pass(u64),
    Fail,
    Target(usize, usize),
    Configure,
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..PATHS.len()).prop_map(Step::Arrive),
        6 => (any::<usize>(), 0..8_usize).prop_map(|(which, end)| Step::End(which, end)),
        1 => any::<usize>().prop_map(Step::Leave),
        3 => (0..1500_u64).prop_map(Step::Pass),
        1 => proptest::strategy::Just(Step::Fail),
        2 => (0..IDS.len(), 0..3_usize).prop_map(|(id, what)| Step::Target(id, what)),
        1 => proptest::strategy::Just(Step::Configure),
        1 => proptest::strategy::Just(Step::Drain),
    ]
}

fn end(number: usize) -> End {
    match number {
        0 => End::Complete { ok: true },
        1 => End::Failed { status: 500 },
        2 => not_sent(),
        3 => End::Fenced,
        4 => End::NotRun { status: 503, moved: false },
        5 => End::NotRun { status: 421, moved: true },
        6 => broken(),
        _ => End::AnswerTimeout,
    }
}

/// What became of one request so far.
#[derive(Default)]
struct Fate {
    path: usize,
    /// Sends that may have run.
    ran: usize,
    /// Sends that a target received.
    received: usize,
    over: bool,
}

#[derive(Default)]
struct Watch {
    fates: BTreeMap<RequestId, Fate>,
    running: Vec<Send>,
    seen: usize,
}

impl Watch {
    fn look(&mut self, world: &World) {
        for (request, decision) in &world.decisions[self.seen..] {
            let fate = self.fates.get_mut(request).expect("a decision on a known request");
            assert!(!fate.over, "{request} was decided on after its end");
            match decision {
                Decision::Send(send) => {
                    let once = matches!(PATHS[fate.path], "/book/a" | "/chat/a");
                    assert!(!once || fate.ran == 0, "{request} could run twice");
                    assert!(world.now < send.deadline, "{request} was sent too late");
                    assert!(send.fence.is_none_or(|fence| world.now < fence));
                    let most = if once { 1 } else { 2 };
                    assert!(fate.received < most, "{request} went to too many targets");
                    self.running.push(send.clone());
                }
                Decision::Refuse(refusal) => {
                    assert!(fate.ran == 0 || !refusal.cause.is_not_run(), "{request} ran");
                    fate.over = true;
                }
                Decision::Deliver => fate.over = true,
            }
        }
        self.seen = world.decisions.len();
    }
}

fn play(steps: Vec<Step>) {
    let mut world = World::new(&IDS);
    let mut watch = Watch::default();
    let mut revision = 1;
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::Arrive(path) => {
                let id = RequestId(watch.fates.len() as u64 + 1);
                watch.fates.insert(id, Fate { path, ..Fate::default() });
                world.arrive(PATHS[path]);
            }
            Step::End(which, kind) if !watch.running.is_empty() => {
                let send = watch.running.remove(which % watch.running.len());
                let fate = watch.fates.get_mut(&send.id.request).unwrap();
                let end = end(kind);
                let received = !matches!(end, End::NotSent { .. } | End::Fenced);
                let ran = received && !matches!(end, End::NotRun { .. });
                fate.received += usize::from(received);
                fate.ran += usize::from(ran);
                fate.over |= matches!(end, End::Complete { .. });
                world.end(&send, end);
            }
            Step::Leave(which) if !watch.running.is_empty() => {
                let send = watch.running.remove(which % watch.running.len());
                watch.fates.get_mut(&send.id.request).unwrap().over = true;
                world.apply(Kind::Request(Request::CallerLeft(send.id.request)));
            }
            Step::End(..) | Step::Leave(_) => {}
            Step::Pass(millis) => {
                world.pass(millis);
                world.tick();
            }
            Step::Fail => world.fail(),
            Step::Target(id, what) => {
                let id = IDS[id];
                let value = [Some(target(id, "desk")), Some(leaving(id)), None][what].clone();
                world.change(Name::Target(id.parse().unwrap()), value);
            }
            Step::Configure => {
                revision += 1;
                world.change(Name::Catalog, Some(catalog(revision, crate::world::KEY)));
            }
            Step::Drain if number % 7 == 0 => world.apply(Kind::Drain),
            Step::Drain => {}
        }
        watch.look(&world);
    }
}

proptest! {
    #[test]
    fn promises_hold_in_any_order_of_events(steps in prop::collection::vec(step(), 0..120)) {
        play(steps);
    }
}
