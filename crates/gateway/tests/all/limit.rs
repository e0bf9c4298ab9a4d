//! Targets that name a limit on the requests that they accept.

use std::collections::BTreeMap;

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Arrival, Cause, Decision, End, Event as Request, Refusal, Send};
use briarshift_gateway::target;
use briarshift_store::registry::Name;
use briarshift_units::{Moment, RequestRate, Span};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::TargetHash;
use briarshift_wire::limit::{Limit, Report};

use crate::world::{World, changes, expect_refusal, expect_send, member, prompt};

/// Ends a send with a success that names a limit, or none.
fn complete(world: &mut World, send: &Send, limit: Option<RequestRate>) {
    let report = Some(target::Report { limit, ..target::Report::default() });
    let end = End::Complete { ok: true };
    world.apply(Kind::Request(Request::SendEnded { id: send.id, end, report }));
}

#[test]
fn a_limit_that_a_target_names_is_logged_when_it_changes() {
    let mut world = World::new(&["t-1"]);
    for limit in [Some(RequestRate(2_600)), Some(RequestRate(2_600)), None, None] {
        world.advance(500);
        let send = expect_send(world.arrive("/safe/a"));
        complete(&mut world, &send, limit);
    }
    assert_eq!(logged_limits(&world), ["2.600/s", "none"]);
}

const TARGETS: [&str; 4] = ["t-1", "t-2", "t-3", "t-4"];
const LIMIT: RequestRate = RequestRate(2_000);
const VMS: usize = 6;
/// Time between two requests of the fleet, in milliseconds.
const GAP: u64 = 30;
const RUN_TIME: Span = Span::from_millis(200);

/// Which targets name the limit.
#[derive(Clone, Copy)]
enum Limited {
    Half,
    All,
}

/// The operators' rule: from 3 s after a target first named its limit, it gets at most one
/// and a half times as many requests as that allows in any 4 s, and five more, from VMs
/// that were told half a second before or earlier.
#[derive(Default)]
struct Target {
    told: BTreeMap<usize, Moment>,
    /// Sends of VMs that were told.
    sends: Vec<Moment>,
}

impl Target {
    fn record_send(&mut self, vm: usize, now: Moment) {
        if self.told.get(&vm).is_some_and(|at| Span::from_millis(500) <= now.since(*at)) {
            self.sends.push(now);
        }
    }

    fn most_in_4_s(&self) -> usize {
        let first = self.told.values().min().copied().unwrap_or_default();
        let later: Vec<_> =
            self.sends.iter().filter(|at| Span::from_secs(3) <= at.since(first)).collect();
        let within = |from: Moment| {
            later.iter().filter(|at| from <= ***at && at.since(from) < Span::from_secs(4)).count()
        };
        later.iter().map(|at| within(**at)).max().unwrap_or(0)
    }
}

/// Lets VMs that exchange heartbeats serve requests for 15 s. Returns the largest number of
/// sends that counts for a target that names a limit, and the refusals of each VM.
fn run(path: &str, limited: Limited) -> (usize, Vec<Refusal>) {
    let has_limit = |id: &str| matches!(limited, Limited::All) || id == "t-1" || id == "t-2";
    let ids: Vec<_> = (1..=VMS).map(|number| format!("vm-{number}")).collect();
    let mut worlds: Vec<_> = ids.iter().map(|id| start(id, &ids)).collect();
    let mut targets: BTreeMap<String, Target> = BTreeMap::new();
    let mut running: Vec<(Moment, usize, Send)> = Vec::new();
    let mut refusals = Vec::new();
    for step in 0..15_000 / GAP {
        for world in &mut worlds {
            world.advance(GAP);
            world.reply_rows(changes(), Ok(Vec::new()));
            world.tick();
        }
        deliver_datagrams(&mut worlds);
        let now = worlds[0].now;
        for (_, vm, send) in running.extract_if(.., |(end, ..)| *end <= now) {
            let limit = has_limit(send.target.as_str()).then_some(LIMIT);
            if limit.is_some() {
                let target = targets.entry(send.target.to_string()).or_default();
                target.told.entry(vm).or_insert(now);
            }
            complete(&mut worlds[vm], &send, limit);
        }
        let vm = (step * 7 % 11) as usize % VMS;
        let parts = |arrival: &mut Arrival| arrival.parts = prompt(1, step % 8);
        let decision = worlds[vm].arrive_with(path, parts);
        match decision {
            Decision::Send(send) => {
                let target = targets.entry(send.target.to_string()).or_default();
                target.record_send(vm, now);
                running.push((now + RUN_TIME, vm, send));
            }
            Decision::Refuse(refusal) => refusals.push(refusal),
            Decision::Deliver => unreachable!(),
        }
    }
    let limited = targets.iter().filter(|(id, _)| has_limit(id));
    (limited.map(|(_, target)| target.most_in_4_s()).max().unwrap(), refusals)
}

/// Starts a VM that knows the others.
fn start(id: &str, all: &[String]) -> World {
    let mut world = World::empty(id);
    world.tick();
    world.read(&TARGETS);
    for peer in all.iter().filter(|peer| *peer != id) {
        world.change_row(Name::Member(peer.parse().unwrap()), Some(member(peer)));
    }
    world
}

fn deliver_datagrams(worlds: &mut [World]) {
    for from in 0..worlds.len() {
        for datagram in std::mem::take(&mut worlds[from].datagrams) {
            for to in (0..worlds.len()).filter(|to| *to != from) {
                worlds[to].apply(Kind::Datagram(datagram.clone()));
            }
        }
    }
}

/// What the rule allows in 4 s.
fn allowed() -> usize {
    (LIMIT.per_second() * 4.0 * 1.5) as usize + 5
}

#[test]
fn engines_get_no_more_prompts_than_the_limit_that_they_name() {
    let (most, refusals) = run("/chat/a", Limited::Half);
    assert!(most <= allowed(), "{most} in 4 s");
    assert_eq!(refusals, []);
}

#[test]
fn runners_get_no_more_requests_than_the_limit_that_they_name() {
    let (most, refusals) = run("/safe/a", Limited::Half);
    assert!(most <= allowed(), "{most} in 4 s");
    assert_eq!(refusals, []);
}

#[test]
fn requests_over_the_limits_of_all_targets_are_refused_as_not_run() {
    for path in ["/chat/a", "/safe/a"] {
        let (most, refusals) = run(path, Limited::All);
        assert!(most <= allowed(), "{most} in 4 s");
        assert!(!refusals.is_empty());
        for refusal in refusals {
            assert_eq!(refusal.cause, Cause::TurnedAway);
            assert!(refusal.cause.is_not_run());
            assert!(refusal.retry_after.is_some());
        }
    }
}

/// A peer's report of the limit of the target `t-1`.
fn limit_report(rate: Option<RequestRate>) -> Kind {
    let limits = vec![Limit { target: TargetHash::of("t-1"), rate }];
    Kind::Datagram(Datagram::LimitReport(Report { from: "vm-2".parse().unwrap(), limits }))
}

/// Returns the values of the `limit` key of the lines on changes, the last word of each.
fn logged_limits(world: &World) -> Vec<&str> {
    let lines = world.log.iter().filter(|line| line.contains("target_limit"));
    lines.filter_map(|line| Some(line.split_once(" limit=")?.1)).collect()
}

#[test]
fn a_limit_that_begins_or_ends_for_one_vm_does_so_for_all() {
    let all = ["vm-1".to_owned(), "vm-2".to_owned()];
    let mut worlds = all.each_ref().map(|id| start(id, &all));
    for limit in [Some(LIMIT), None] {
        let send = expect_send(worlds[0].arrive("/safe/a"));
        complete(&mut worlds[0], &send, limit);
        for world in &mut worlds {
            world.advance(1_000);
            world.reply_rows(changes(), Ok(Vec::new()));
            world.tick();
        }
        deliver_datagrams(&mut worlds);
    }
    for world in &worlds {
        assert_eq!(logged_limits(world), ["2.000/s", "none"]);
    }
}

#[test]
fn a_limit_that_no_answer_names_expires() {
    let mut world = start("vm-1", &["vm-2".to_owned()]);
    world.apply(limit_report(Some(LIMIT)));
    for _ in 0..6 {
        world.advance(1_000);
        world.tick();
    }
    assert_eq!(logged_limits(&world), ["2.000/s"]);
    world.advance(1_000);
    world.tick();
    assert_eq!(logged_limits(&world), ["2.000/s", "expired"]);
}

#[test]
fn engines_without_a_limit_are_not_drowned_by_what_the_others_refuse() {
    let mut world = World::new(&["t-1", "t-2"]);
    let arrive = |world: &mut World, number: u64| {
        world.arrive_with("/chat/a", |arrival| arrival.parts = prompt(1, number % 4))
    };
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.apply(limit_report(Some(LIMIT)));
    let mut running = 0;
    for number in 0..40 {
        match arrive(&mut world, number) {
            Decision::Send(send) => {
                // Its prompt is read at once.
                world.apply(Kind::Request(Request::AnswerBegan { id: send.id, report: None }));
                running += u32::from(send.target.as_str() == "t-2");
            }
            decision => assert_eq!(expect_refusal(decision), Cause::TurnedAway),
        }
    }
    // All slots of the engine are taken, and no more.
    assert_eq!(running, 8);
    world.apply(limit_report(None));
    expect_send(arrive(&mut world, 41));
}
