//! VMs that read the store for their data centre.

use briarshift_gateway::Kind;
use briarshift_gateway::request::Cause;
use briarshift_store::Error;
use briarshift_store::registry::{Call, Name, Value};
use briarshift_units::{Moment, Span};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::sync::{Request, Response};

use crate::world::{World, beat, catalog, changes, member, refused, sent};

const PEERS: [&str; 4] = ["vm-2", "vm-3", "vm-4", "vm-5"];

/// The first VM of five that is no delegate, with the ask that it sends.
fn asker() -> (World, Request) {
    for me in ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"] {
        let mut world = World::empty(me);
        world.tick();
        world.read(&["t-1"]);
        for vm in ["vm-1"].iter().chain(&PEERS).filter(|vm| **vm != me) {
            world.change(Name::Member(vm.parse().unwrap()), Some(member(vm)));
            world.apply(beat(vm, 1));
        }
        world.calls.clear();
        world.pass(900);
        for vm in ["vm-1"].iter().chain(&PEERS).filter(|vm| **vm != me) {
            world.apply(beat(vm, 2));
        }
        world.tick();
        let ask = world.sent.iter().rev().find_map(|datagram| match datagram {
            Datagram::SyncRequest(ask) => Some(ask.clone()),
            _ => None,
        });
        if let Some(ask) = ask {
            assert!(!world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
            return (world, ask);
        }
    }
    panic!("all five VMs read the store");
}

/// When the asks were sent that wait for an answer.
fn asks(world: &World) -> Vec<Moment> {
    let asks = world.sent.iter().filter_map(|datagram| match datagram {
        Datagram::SyncRequest(ask) => Some(ask.sent_at),
        _ => None,
    });
    asks.collect()
}

/// An answer without changes, and of this age, from a VM that the store fails.
fn old(from: &str, at: Moment, age: Span) -> Response {
    let from = from.parse().unwrap();
    Response {
        from,
        request_sent_at: at,
        version: 12,
        age,
        store_failing: true,
        rows: Some(Vec::new()),
    }
}

fn delegate(world: &World) -> String {
    // The world answers for whichever VM was asked.
    let line = world.log.iter().rev().find(|line| line.starts_with("event=delegate_silent"));
    line.map(|line| line.split("peer=").nth(1).unwrap().to_owned()).unwrap_or_default()
}

#[test]
fn a_silent_delegate_is_passed_over_and_then_the_store_is_read() {
    let (mut world, _) = asker();
    for _ in 0..20 {
        world.pass(100);
        world.tick();
    }
    assert!(!delegate(&world).is_empty());
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
}

#[test]
fn news_counts_from_its_own_age() {
    let (mut world, ask) = asker();
    let mut row = None;
    for vm in ["vm-1"].iter().chain(&PEERS) {
        let rows = vec![briarshift_store::registry::Row {
            name: Name::Catalog,
            version: briarshift_store::Version(1_000),
            value: Some(catalog(9, "key-2")),
        }];
        row = Some(rows.clone());
        let tell = Response {
            from: vm.parse().unwrap(),
            request_sent_at: ask.sent_at,
            version: 1_000,
            age: Span::from_millis(400),
            store_failing: false,
            rows: Some(rows),
        };
        world.apply(Kind::Datagram(Datagram::SyncResponse(tell)));
    }
    assert!(row.is_some());
    assert_eq!(refused(world.arrive("/safe/a")), Cause::NoAccount);
    let send = sent(world.arrive_with("/safe/a", |arrival| arrival.key = Some("key-2".into())));
    let confirmed = Moment(ask.sent_at.0 - 400_000);
    assert_eq!(send.fence, Some(confirmed + crate::world::bounds().key_age));
}

#[test]
fn an_answer_to_no_question_is_ignored() {
    let (mut world, ask) = asker();
    let tell = Response {
        from: "vm-9".parse().unwrap(),
        request_sent_at: ask.sent_at,
        version: 5_000,
        age: Span::ZERO,
        store_failing: false,
        rows: Some(Vec::new()),
    };
    let before = sent(world.arrive("/safe/a")).fence;
    world.apply(Kind::Datagram(Datagram::SyncResponse(tell)));
    assert_eq!(sent(world.arrive("/safe/a")).fence, before);
}

/// Replays a delegate that is cut off from the store and still heard: what it
/// tells is old, and the asker must not wait for it (DRAIN was broken so).
#[test]
fn old_news_sends_the_asker_to_the_store_at_once() {
    let (mut world, ask) = asker();
    for vm in ["vm-1"].iter().chain(&PEERS) {
        let tell = old(vm, ask.sent_at, Span::from_millis(1_200));
        world.apply(Kind::Datagram(Datagram::SyncResponse(tell)));
    }
    world.tick();
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
}

/// When a VM among eight of a data centre turns to the store, while all that it
/// asks say that the store has failed them since the beginning.
fn turns(me: &str) -> Option<Moment> {
    let mut world = World::empty(me);
    world.tick();
    world.read(&["t-1"]);
    let begin = world.now;
    let peers = EIGHT.iter().filter(|vm| **vm != me);
    for vm in peers.clone() {
        world.change(Name::Member(vm.parse().unwrap()), Some(member(vm)));
    }
    world.calls.clear();
    for step in 1..100 {
        for vm in peers.clone() {
            world.apply(beat(vm, step));
        }
        world.sent.clear();
        world.tick();
        if world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })) {
            return Some(Moment(world.now.0 - begin.0));
        }
        for at in asks(&world) {
            for vm in peers.clone() {
                let age = Span(at.0 - begin.0);
                world.apply(Kind::Datagram(Datagram::SyncResponse(old(vm, at, age))));
            }
        }
        world.pass(50);
    }
    None
}

const EIGHT: [&str; 8] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"];

/// Replays an outage of the store: 91 VMs each turned to it as their news grew
/// old, and again and again. Now the delegate and two backups do, and the others
/// one after the other.
#[test]
fn an_outage_does_not_send_all_vms_to_the_store_at_once() {
    let mut turns: Vec<_> = EIGHT.iter().filter_map(|vm| turns(vm)).collect();
    turns.sort();
    assert_eq!(turns.len(), 8);
    // The delegate at its next turn, the backups when its news is old.
    assert!(turns[2] <= Moment(1_600_000), "{turns:?}");
    for pair in turns[2..].windows(2) {
        assert!(Span::from_millis(200) <= pair[1].since(pair[0]), "{turns:?}");
    }
}

/// Replays a store whose leases lapsed: a delegate tells at once that a target's
/// row was deleted and written again as it was, and the target must stay.
#[test]
fn a_row_deleted_and_written_again_stays() {
    let (mut world, ask) = asker();
    let row = |version, value| briarshift_store::registry::Row {
        name: Name::Target("t-1".parse().unwrap()),
        version: briarshift_store::Version(version),
        value,
    };
    for vm in ["vm-1"].iter().chain(&PEERS) {
        let rows = vec![row(900, None), row(950, Some(crate::world::target("t-1", "desk")))];
        let tell = Response {
            from: vm.parse().unwrap(),
            request_sent_at: ask.sent_at,
            version: 1_000,
            age: Span::ZERO,
            store_failing: true,
            rows: Some(rows),
        };
        world.apply(Kind::Datagram(Datagram::SyncResponse(tell)));
    }
    world.pass(2_000);
    world.tick();
    assert_eq!(world.state.targets().ready(world.now), 1);
}

/// The store turns this VM away and serves another one far away.
#[test]
fn a_vm_in_touch_confirms_for_one_that_the_store_turns_away() {
    let mut world = World::new(&["t-1"]);
    let Value::Member(mut far) = member("vm-2") else { unreachable!() };
    far.data_centre = "b".parse().unwrap();
    world.change(Name::Member("vm-2".parse().unwrap()), Some(Value::Member(far)));
    for step in 1..60 {
        world.pass(100);
        let Kind::Datagram(Datagram::Heartbeat(mut beat)) = beat("vm-2", step) else {
            unreachable!()
        };
        beat.revision_age = Some(Span::from_millis(300));
        world.apply(Kind::Datagram(Datagram::Heartbeat(beat)));
        world.sent.clear();
        world.calls.clear();
        world.tick();
        if world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })) {
            world.fail();
        }
        for at in asks(&world) {
            let tell = Response {
                from: "vm-2".parse().unwrap(),
                request_sent_at: at,
                version: 40,
                age: Span::from_millis(300),
                store_failing: false,
                rows: Some(Vec::new()),
            };
            world.apply(Kind::Datagram(Datagram::SyncResponse(tell)));
        }
        sent(world.arrive("/safe/a"));
    }
}

#[test]
fn a_vm_that_can_not_be_told_reads_the_store_at_once() {
    let (mut world, ask) = asker();
    for vm in ["vm-1"].iter().chain(&PEERS) {
        let tell = Response {
            from: vm.parse().unwrap(),
            request_sent_at: ask.sent_at,
            version: 1_000,
            age: Span::ZERO,
            store_failing: false,
            rows: None,
        };
        world.apply(Kind::Datagram(Datagram::SyncResponse(tell)));
    }
    world.tick();
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
}

/// Replays a store that drops its history: a delegate reads everything anew, and
/// what others lack can still be told, so that they need not read it too.
#[test]
fn a_delegate_that_read_anew_tells_what_has_changed() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.apply(beat("vm-2", 1));
    let after = world.version();
    world.answer(changes(), Err(Error::Compacted));
    world.read_only(&["t-2", "t-3"]);
    let ask = Request { from: "vm-2".parse().unwrap(), sent_at: Moment(77), after };
    world.apply(Kind::Datagram(Datagram::SyncRequest(ask)));
    let Some(Datagram::SyncResponse(tell)) = world.sent.last() else { panic!() };
    let rows = tell.rows.as_ref().unwrap().iter();
    let told: Vec<_> = rows.map(|row| (row.name.to_string(), row.value.is_some())).collect();
    let expected = [("target:t-3", true), ("target:t-1", false), ("member:vm-2", false)];
    let expected = expected.map(|(name, is_there)| (name.to_owned(), is_there));
    assert_eq!(told, expected);
}

#[test]
fn an_ask_is_answered_with_the_age_of_the_news() {
    let mut world = World::new(&["t-1"]);
    world.change(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.pass(300);
    let from = "vm-2".parse().unwrap();
    let ask = Request { from, sent_at: Moment(77), after: 12 };
    world.apply(Kind::Datagram(Datagram::SyncRequest(ask)));
    let Some(Datagram::SyncResponse(tell)) = world.sent.last() else { panic!() };
    assert_eq!((tell.request_sent_at, tell.age), (Moment(77), Span::from_millis(300)));
    assert!(tell.rows.is_some());
}
