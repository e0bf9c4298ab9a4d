//! Second sends of late requests, and what becomes of both.

use std::sync::Arc;

use briarshift_catalog::{Catalog, Kind as RouteKind, Route};
use briarshift_gateway::request::{Cause, Decision, End, Event as Request, Send};
use briarshift_gateway::{Bounds, Check, Kind};
use briarshift_routing::hedge::Policy;
use briarshift_routing::retry_window::Budget;
use briarshift_store::registry::{Name, Target, Value};
use briarshift_units::{Revision, Span};
use proptest::prelude::{any, prop};
use proptest::proptest;

use crate::world::{
    World, bounds, catalog, changes, expect_refusal, expect_send, heartbeat, interrupted, leaving,
    member, not_sent, prompt, target,
};

const TARGETS: [&str; 4] = ["t-1", "t-2", "t-3", "t-4"];
const COMPLETE: End = End::Complete { ok: true };
/// Time for which the first send of a late request has waited, in milliseconds.
const LATE: u64 = 60;

fn hedging() -> Bounds {
    Bounds { hedge: Policy { share: 0.1, ..Policy::OFF }, ..bounds() }
}

/// Starts a VM and lets it serve 80 requests of a route, which take 10 ms each. Up to eight
/// run at the same time, so that the parts of a prompt are cached at several engines.
fn start(targets: &[&str], path: &str, bounds: Bounds) -> World {
    let mut world = World::new(targets);
    world.apply(Kind::Settings(bounds));
    for _ in 0..10 {
        let sends: Vec<_> = (0..8).map(|_| arrive(&mut world, path)).collect();
        world.advance(10);
        for send in sends {
            if send.kind.is_stream() {
                begin(&mut world, &send);
            }
            world.end(&send, COMPLETE);
        }
    }
    world.confirm_catalog();
    world
}

fn arrive(world: &mut World, path: &str) -> Send {
    let is_prompt = path.starts_with("/long") || path.starts_with("/chat");
    let parts = if is_prompt { prompt(1, 2) } else { Vec::new() };
    expect_send(world.arrive_with(path, |arrival| arrival.parts = parts))
}

fn begin(world: &mut World, send: &Send) {
    world.apply(Kind::Request(Request::AnswerBegan { id: send.id, report: None }));
}

/// Lets some time pass and returns the second send that is due by then, if any.
fn wait(world: &mut World, millis: u64) -> Option<Send> {
    let before = world.decisions.len();
    world.advance(millis);
    world.tick();
    let decision = world.decisions.get(before)?.1.clone();
    Some(expect_send(decision))
}

/// Starts a VM with a request that has been sent twice.
fn hedged(path: &str) -> (World, Send, Send) {
    let mut world = start(&TARGETS, path, hedging());
    let first = arrive(&mut world, path);
    let hedge = wait(&mut world, LATE).unwrap();
    (world, first, hedge)
}

/// Returns the requests of this VM at all targets.
fn load(world: &World) -> u32 {
    let entries = TARGETS.iter().filter_map(|id| world.state.targets().get(&id.parse().unwrap()));
    entries.map(|entry| entry.requests).sum()
}

fn lines<'a>(world: &'a World, event: &str) -> Vec<&'a String> {
    let start = format!("event={event} ");
    world.log.iter().filter(|line| line.starts_with(&start)).collect()
}

/// Lets a request become late and returns why it was not hedged.
fn denial(world: &mut World, path: &str) -> Option<String> {
    arrive(world, path);
    denial_of_last(world)
}

fn denial_of_last(world: &mut World) -> Option<String> {
    assert_eq!(wait(world, LATE), None);
    world.advance(1_000);
    world.tick();
    let (_, reason) = lines(world, "hedge_denied").last()?.split_once("reason=")?;
    Some(reason.split(' ').next().unwrap().to_owned())
}

#[test]
fn a_late_request_is_sent_to_another_target() {
    let mut world = start(&TARGETS, "/safe/a", hedging());
    let first = arrive(&mut world, "/safe/a");
    assert_eq!(wait(&mut world, 5), None);
    let hedge = wait(&mut world, LATE).unwrap();
    assert!(hedge.is_hedge && !first.is_hedge);
    assert_eq!((hedge.id.request, hedge.id.number), (first.id.request, 2));
    assert_ne!(hedge.target, first.target);
    assert_eq!(hedge.deadline, first.deadline);
    assert_eq!(load(&world), 2);
    assert!(lines(&world, "hedged")[0].contains("request=a81 send=2"));
    assert!(lines(&world, "placed").last().unwrap().contains("hedge=true"));
    assert_eq!(wait(&mut world, LATE), None);
}

#[test]
fn the_answer_that_comes_first_counts_and_the_other_send_is_cancelled() {
    for hedge_wins in [false, true] {
        let (mut world, first, hedge) = hedged("/safe/a");
        let (winner, loser) = if hedge_wins { (&hedge, &first) } else { (&first, &hedge) };
        assert_eq!(world.end(winner, COMPLETE), None);
        assert_eq!((load(&world), world.state.status(world.now).in_flight), (0, 0));
        let end = lines(&world, "ended").last().unwrap().as_str();
        assert!(end.contains(&format!("target={} ", loser.target)), "{end}");
        assert!(end.contains("end=cancelled"), "{end}");
        assert_eq!(lines(&world, "hedge_won").len(), usize::from(hedge_wins));
        let loser = world.state.targets().get(&loser.target).unwrap();
        assert_eq!(loser.health.error_rate(world.now), 0.0);
        assert!(lines(&world, "strike").is_empty());
    }
}

#[test]
fn nothing_is_decided_while_the_other_send_runs() {
    for first_fails in [false, true] {
        for end in [interrupted(), not_sent(), End::Failed { status: 500 }, End::AnswerTimeout] {
            let (mut world, first, hedge) = hedged("/safe/a");
            let (failed, other) = if first_fails { (&first, &hedge) } else { (&hedge, &first) };
            assert_eq!(world.end(failed, end.clone()), None);
            assert_eq!(load(&world), 1);
            assert_eq!(world.end(other, COMPLETE), None);
            assert_eq!((load(&world), world.state.status(world.now).in_flight), (0, 0));
        }
    }
}

#[test]
fn the_last_of_two_failed_sends_decides_as_without_a_hedge() {
    let (mut world, first, hedge) = hedged("/safe/a");
    assert_eq!(world.end(&first, interrupted()), None);
    assert_eq!(expect_refusal(world.end(&hedge, interrupted()).unwrap()), Cause::Unknown);
    let (mut world, first, hedge) = hedged("/safe/a");
    assert_eq!(world.end(&hedge, End::Failed { status: 500 }), None);
    assert_eq!(world.end(&first, interrupted()), Some(Decision::Deliver));
    // Nothing was written to the second target, so the route allows another one.
    let (mut world, first, hedge) = hedged("/safe/a");
    assert_eq!(world.end(&hedge, not_sent()), None);
    let third = expect_send(world.end(&first, interrupted()).unwrap());
    assert!(!third.is_hedge && third.target != first.target && third.target != hedge.target);
}

#[test]
fn a_caller_that_leaves_ends_both_sends() {
    let (mut world, first, hedge) = hedged("/safe/a");
    world.apply(Kind::Request(Request::CallerLeft(first.id.request)));
    assert_eq!((load(&world), world.state.status(world.now).in_flight), (0, 0));
    assert_eq!(world.end(&hedge, COMPLETE), None);
    assert_eq!(wait(&mut world, 3_000), None);
}

#[test]
fn a_stream_is_hedged_only_before_its_first_event() {
    let (mut world, first, hedge) = hedged("/long/a");
    begin(&mut world, &hedge);
    assert_eq!(load(&world), 1);
    assert!(lines(&world, "ended").last().unwrap().contains("end=cancelled"));
    assert_eq!(world.end(&first, interrupted()), None);
    world.end(&hedge, COMPLETE);
    assert_eq!((load(&world), lines(&world, "hedge_won").len()), (0, 1));
    let next = arrive(&mut world, "/long/a");
    begin(&mut world, &next);
    assert_eq!(wait(&mut world, LATE), None);
}

/// Both targets may have run the stream, which uses up the attempts of its route.
#[test]
fn a_hedged_stream_that_breaks_off_is_not_sent_to_a_third_target() {
    let (mut world, _, hedge) = hedged("/long/a");
    begin(&mut world, &hedge);
    let end = End::Interrupted { reason: "reset".into(), relayed: true };
    assert_eq!(expect_refusal(world.end(&hedge, end).unwrap()), Cause::Unknown);
}

/// A stream that goes on at another target has reached the caller, who must not get parts of
/// a third one.
#[test]
fn a_stream_that_is_resumed_is_not_hedged() {
    let mut world = start(&TARGETS, "/long/a", hedging());
    let route = Route::builder("long", "shop.example", "/long/")
        .pool("desk".parse().unwrap(), 1)
        .kind(RouteKind::Stream { resumable: true })
        .attempts(4)
        .public(true)
        .build();
    let catalog = Catalog::builder(Revision(2)).route(route).build();
    world.change_row(Name::Catalog, Some(Value::Catalog(Arc::new(catalog))));
    let first = arrive(&mut world, "/long/a");
    begin(&mut world, &first);
    let end = End::Interrupted { reason: "reset".into(), relayed: true };
    let resumed = expect_send(world.end(&first, end).unwrap());
    assert_eq!(wait(&mut world, LATE), None);
    begin(&mut world, &resumed);
    world.end(&resumed, COMPLETE);
    assert_eq!((load(&world), world.state.status(world.now).in_flight), (0, 0));
}

#[test]
fn prompts_are_hedged_only_where_their_shared_parts_are_cached() {
    let mut world = start(&TARGETS, "/long/a", hedging());
    let parts = prompt(7, 8);
    expect_send(world.arrive_with("/long/a", |arrival| arrival.parts = parts));
    assert_eq!(denial_of_last(&mut world).unwrap(), "reread");
}

#[test]
fn bookings_and_streams_that_may_not_be_resumed_are_never_hedged() {
    for path in ["/book/a", "/chat/a"] {
        let mut world = start(&TARGETS, path, hedging());
        assert_eq!(denial(&mut world, path), None);
    }
}

#[test]
fn without_the_operators_limit_nothing_is_hedged() {
    let mut world = start(&TARGETS, "/safe/a", bounds());
    assert_eq!(denial(&mut world, "/safe/a"), None);
    let (mut world, first, hedge) = hedged("/safe/a");
    arrive(&mut world, "/safe/a");
    world.apply(Kind::Settings(bounds()));
    assert_eq!(wait(&mut world, LATE), None);
    assert_eq!(world.end(&first, interrupted()), None);
    assert_eq!(world.end(&hedge, COMPLETE), None);
}

#[test]
fn the_limit_holds_although_all_requests_are_late() {
    let hedge = Policy { share: 0.05, ..Policy::OFF };
    let mut world = start(&TARGETS, "/safe/a", Bounds { hedge, ..bounds() });
    for _ in 0..12 {
        arrive(&mut world, "/safe/a");
    }
    // A twentieth of 92 requests is less than five.
    for _ in 0..12 {
        world.advance(100);
        world.tick();
        assert_eq!(lines(&world, "hedged").len(), 4);
    }
    assert_eq!(lines(&world, "hedge_denied"), ["event=hedge_denied reason=limit requests=8"]);
}

#[test]
fn an_overloaded_pool_gets_no_hedges() {
    let mut world = start(&TARGETS, "/safe/a", hedging());
    for _ in 0..26 {
        arrive(&mut world, "/safe/a");
    }
    assert_eq!(denial(&mut world, "/safe/a").unwrap(), "overload");
}

#[test]
fn a_request_needs_another_target() {
    let mut world = start(&["t-1"], "/safe/a", hedging());
    assert_eq!(denial(&mut world, "/safe/a").unwrap(), "no_target");
}

#[test]
fn a_target_that_asks_for_a_pause_gets_no_hedge() {
    use briarshift_gateway::target::Report;
    let mut world = start(&TARGETS[..2], "/safe/a", hedging());
    let send = arrive(&mut world, "/safe/a");
    let report = Some(Report { pause: Some(Span::from_secs(9)), ..Report::default() });
    let end = End::NotRun { status: 503, moved: false };
    world.apply(Kind::Request(Request::SendEnded { id: send.id, end, report }));
    assert_eq!(denial(&mut world, "/safe/a").unwrap(), "no_target");
}

#[test]
fn targets_that_leave_or_are_evacuated_get_no_hedges() {
    let changes = [
        (Name::Target("t-2".parse().unwrap()), leaving("t-2")),
        (Name::Evacuation("b".parse().unwrap()), Value::Evacuation),
    ];
    for (name, value) in changes {
        let mut world = start(&TARGETS[..2], "/safe/a", hedging());
        let Value::Target(other) = target("t-2", "desk") else { unreachable!() };
        let other = Target { data_centre: "b".parse().unwrap(), ..other };
        let id = Name::Target("t-2".parse().unwrap());
        world.change_row(id, Some(Value::Target(other)));
        arrive(&mut world, "/safe/a");
        assert!(wait(&mut world, LATE).is_some());
        world.change_row(name, Some(value));
        assert_eq!(denial(&mut world, "/safe/a").unwrap(), "no_target");
    }
}

#[test]
fn hedges_draw_on_the_budget_of_retries() {
    let retry_budget = Budget { ratio: 0.0, allowance: 1.0, length: Span::from_secs(10) };
    let mut world = start(&TARGETS, "/safe/a", Bounds { retry_budget, ..hedging() });
    arrive(&mut world, "/safe/a");
    assert!(wait(&mut world, LATE).is_some());
    assert_eq!(denial(&mut world, "/safe/a").unwrap(), "retry_budget");
}

#[test]
fn a_request_without_time_for_an_answer_is_not_hedged() {
    let mut world = start(&TARGETS, "/safe/a", hedging());
    let deadline = Some(Span::from_millis(LATE + 30));
    expect_send(world.arrive_with("/safe/a", |arrival| arrival.deadline = deadline));
    assert_eq!(denial_of_last(&mut world).unwrap(), "time_left");
}

#[test]
fn a_vm_that_drains_or_has_an_old_configuration_makes_no_hedges() {
    let mut world = start(&TARGETS, "/safe/a", hedging());
    world.apply(Kind::Drain);
    assert_eq!(denial(&mut world, "/safe/a").unwrap(), "draining");
    let mut world = start(&TARGETS, "/open/a", hedging());
    world.advance(4_000);
    assert_eq!(denial(&mut world, "/open/a").unwrap(), "stale");
}

#[test]
fn a_request_that_may_have_crashed_a_target_is_not_hedged() {
    let mut world = start(&TARGETS, "/safe/a", hedging());
    let first = arrive(&mut world, "/safe/a");
    let address = first.address;
    expect_send(world.end(&first, interrupted()).unwrap());
    let down = Kind::TargetChecked { target: first.target, address, found: Check::Refuses };
    world.apply(down);
    assert_eq!(lines(&world, "strike").len(), 1);
    let fingerprint = briarshift_units::Fingerprint(first.id.request.0);
    expect_send(world.arrive_with("/safe/a", |arrival| arrival.fingerprint = fingerprint));
    assert_eq!(denial_of_last(&mut world).unwrap(), "suspect");
}

#[test]
fn a_vm_that_hears_no_peer_and_no_store_keeps_to_its_own_part() {
    let mut world = start(&TARGETS, "/safe/a", hedging());
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.apply(heartbeat("vm-2", 1));
    world.advance(2_000);
    world.fail_store();
    world.tick();
    let mut hedges = 0;
    for _ in 0..20 {
        arrive(&mut world, "/safe/a");
        hedges += u32::from(wait(&mut world, LATE / 2).is_some());
    }
    // A tenth of the hundred requests of the last ten seconds, while no more than the
    // free slots allow.
    assert!((1..=10).contains(&hedges), "{hedges}");
}

#[test]
fn a_removed_target_does_not_confuse_the_other_send() {
    let (mut world, first, hedge) = hedged("/safe/a");
    world.change_row(Name::Target(first.target.clone()), None);
    assert_eq!(world.end(&hedge, COMPLETE), None);
    assert_eq!((load(&world), world.state.status(world.now).in_flight), (0, 0));
}

#[test]
fn the_end_of_the_process_answers_a_hedged_request_once() {
    let (mut world, first, _) = hedged("/safe/a");
    world.apply(Kind::Drain);
    for _ in 0..100 {
        world.advance(100);
        world.reply_rows(changes(), Ok(Vec::new()));
        world.tick();
    }
    let ends = world.decisions.iter().filter(|(request, decision)| {
        *request == first.id.request && !matches!(decision, Decision::Send(_))
    });
    assert_eq!((ends.count(), world.drained), (1, true));
}

proptest! {
    /// Whatever becomes of the sends of late requests, in whichever order: each request
    /// ends once, no target gets more than the route allows, and no load is left.
    #[test]
    fn every_request_ends_once(
        steps in prop::collection::vec((any::<u8>(), 0..6_u8, 1..60_u64), 20..200),
    ) {
        let mut world = start(&TARGETS, "/safe/a", hedging());
        world.change_row(Name::Catalog, Some(catalog(2, crate::world::KEY)));
        let mut active: Vec<Send> = Vec::new();
        let mut ended = Vec::new();
        for (pick, end, wait) in steps {
            if active.len() < 6 {
                active.push(arrive(&mut world, "/open/a"));
            }
            let before = world.decisions.len();
            world.advance(wait);
            world.reply_rows(changes(), Ok(Vec::new()));
            world.tick();
            let send = active.remove(usize::from(pick) % active.len());
            let request = send.id.request;
            let end = match end {
                0..=2 => COMPLETE,
                3 => interrupted(),
                4 => not_sent(),
                _ => End::Failed { status: 500 },
            };
            if end == COMPLETE {
                active.retain(|other| other.id.request != request);
                ended.push(request);
            }
            world.end(&send, end.clone());
            for (request, decision) in &world.decisions[before..] {
                match decision {
                    Decision::Send(next) => {
                        let runs = active.iter().filter(|it| it.id.request == *request);
                        assert!(runs.clone().count() < 2);
                        assert!(runs.clone().all(|it| it.target != next.target));
                        if !ended.contains(request) {
                            active.push(next.clone());
                        }
                    }
                    _ => {
                        assert!(active.iter().all(|it| it.id.request != *request));
                        assert!(!ended.contains(request), "{request:?} ended twice");
                        ended.push(*request);
                    }
                }
            }
            assert_eq!(load(&world) as usize, active.len());
        }
        for send in std::mem::take(&mut active) {
            world.apply(Kind::Request(Request::CallerLeft(send.id.request)));
        }
        assert_eq!((load(&world), world.state.status(world.now).in_flight), (0, 0));
    }
}
