//! The store comes back from an older copy.

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Cause, Decision};
use briarshift_store::registry::{Call, Name, Reply, Row, Value};
use briarshift_store::{Lease, LeaseId, Position, Version};
use briarshift_units::{Revision, Span};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::sync::Request;

use crate::world::{
    KEY, World, answer, catalog, changes, expect_refusal, expect_send, heartbeat, leaving, member,
    target,
};

/// Lets the VM read all rows of the copy, the first of its era.
fn read_copy(world: &mut World, rows: &[(Name, Value)]) {
    let version = world.position();
    let row = |(name, value): &(Name, Value)| {
        let (name, value) = (name.clone(), Some(value.clone()));
        Row { name, version, created: Version(1), value }
    };
    let rows = rows.iter().map(row).collect();
    world.reply_rows(Call::ReadAll { newest: true }, Ok(rows));
}

fn name(id: &str) -> Name {
    Name::Target(id.parse().unwrap())
}

/// Advances time, with reads of the store that find nothing new.
fn pass(world: &mut World, millis: u64) {
    for _ in 0..millis / 200 {
        world.advance(200);
        world.reply_rows(changes(), Ok(Vec::new()));
        world.tick();
    }
}

fn is_stale(world: &mut World) -> bool {
    match world.arrive("/safe/a") {
        Decision::Refuse(refusal) => refusal.cause == Cause::Stale,
        _ => false,
    }
}

/// Guards against a lease that a VM renews or ends although the store has given its number
/// to another VM.
#[test]
fn a_lease_of_an_earlier_era_is_forgotten() {
    let mut world = World::new(&["t-1"]);
    let lease = Lease { id: LeaseId(4), ttl: Span::from_secs(30) };
    world.tick();
    world.reply(Call::Grant { ttl: Span::from_secs(30) }, Reply::Leased(lease));
    world.tick();
    let Some(register @ Call::Register { .. }) = world.calls.last().cloned() else { panic!() };
    world.reply(register, Reply::Done);
    world.return_to(5);
    // The store renews another VM's lease of the same number.
    world.reply(Call::Renew { lease: LeaseId(4) }, Reply::Leased(lease));
    read_copy(&mut world, &[(Name::Catalog, catalog(1, KEY))]);
    world.calls.clear();
    pass(&mut world, 1_200);
    assert!(world.calls.contains(&Call::Grant { ttl: Span::from_secs(30) }), "{:?}", world.calls);
    world.apply(Kind::Drain);
    let is_of_lease = |call: &Call| {
        matches!(call, Call::Renew { .. } | Call::Revoke { .. } | Call::Register { .. })
    };
    assert!(!world.calls.iter().any(is_of_lease), "{:?}", world.calls);
}

/// Guards against a key that works again for as long as operators have not written again.
#[test]
fn reads_confirm_the_configuration_only_when_operators_had_time() {
    let mut world = World::new(&["t-1"]);
    world.advance(3_100);
    world.return_to(5);
    read_copy(
        &mut world,
        &[(Name::Catalog, catalog(1, KEY)), (name("t-1"), target("t-1", "desk"))],
    );
    pass(&mut world, 1_800);
    assert!(is_stale(&mut world));
    pass(&mut world, 400);
    expect_send(world.arrive("/safe/a"));
}

/// Guards against a VM that starts on a copy and serves a key that its peers know to be gone.
#[test]
fn a_vm_that_starts_on_a_copy_believes_its_peers() {
    let mut world = World::empty("vm-1");
    world.return_to(5);
    world.tick();
    let rows = [
        (Name::Catalog, catalog(1, KEY)),
        (name("t-1"), target("t-1", "desk")),
        (Name::Member("vm-2".parse().unwrap()), member("vm-2")),
    ];
    read_copy(&mut world, &rows);
    let Kind::Datagram(Datagram::Heartbeat(mut newer)) = heartbeat("vm-2", 1) else { panic!() };
    newer.revision = Revision(7);
    world.apply(Kind::Datagram(Datagram::Heartbeat(newer)));
    pass(&mut world, 4_000);
    assert!(is_stale(&mut world));
    world.change_row(Name::Catalog, Some(catalog(7, "key-2")));
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::NoAccount);
}

/// Guards against an answer of the earlier history that comes late and looks new.
#[test]
fn a_late_answer_of_an_earlier_era_counts_for_nothing() {
    let mut world = World::new(&["t-1"]);
    world.return_to(5);
    read_copy(
        &mut world,
        &[(Name::Catalog, catalog(1, KEY)), (name("t-1"), target("t-1", "desk"))],
    );
    let (version, created) = (Position::first(900), Version(900));
    let row = Row { name: Name::Catalog, version, created, value: Some(catalog(9, "key-9")) };
    let late = answer(Ok(Reply::Rows { rows: vec![row], version }));
    world.apply(Kind::Store { call: changes(), sent: world.now, answer: late });
    assert_eq!(world.state.status(world.now).revision, Revision(1));
}

/// Guards against requests to a target that had said that it leaves, or had gone, and that the
/// copy shows as ready.
#[test]
fn a_target_of_the_copy_is_used_when_its_row_is_written_again() {
    let mut world = World::new(&["t-1", "t-2", "t-3"]);
    world.change_row(name("t-2"), Some(leaving("t-2")));
    world.change_row(name("t-3"), None);
    world.return_to(5);
    let ready = ["t-1", "t-2", "t-3"].map(|id| (name(id), target(id, "desk")));
    let mut rows = ready.to_vec();
    rows.push((Name::Catalog, catalog(1, KEY)));
    read_copy(&mut world, &rows);
    for _ in 0..10 {
        assert_eq!(expect_send(world.arrive("/open/a")).target.as_str(), "t-1");
        world.advance(50);
    }
    world.change_row(name("t-3"), Some(target("t-3", "desk")));
    let sends = (0..20).map(|_| expect_send(world.arrive("/open/a")).target.to_string());
    let mut used: Vec<_> = sends.collect();
    used.sort();
    used.dedup();
    assert_eq!(used, ["t-1", "t-3"]);
}

/// Guards against a VM that answers peers of a later era with rows of the earlier one.
#[test]
fn a_peer_of_a_later_era_shows_that_the_store_has_returned() {
    let mut world = World::new(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.return_to(5);
    world.datagrams.clear();
    let after = world.position();
    let request = Request { from: "vm-2".parse().unwrap(), sent_at: world.now, after };
    world.apply(Kind::Datagram(Datagram::SyncRequest(request)));
    assert!(!world.datagrams.iter().any(|it| matches!(it, Datagram::SyncResponse(_))));
    assert!(world.log.iter().any(|line| line.starts_with("event=store_returned")));
    for _ in 0..20 {
        world.advance(200);
        world.tick();
    }
    assert!(world.calls.contains(&Call::ReadAll { newest: true }), "{:?}", world.calls);
}
