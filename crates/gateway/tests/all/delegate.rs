//! VMs that read the store for the others of their data centre.

use briarshift_gateway::Kind;
use briarshift_gateway::request::Cause;
use briarshift_store::registry::{Call, Name, Reply, Row, Value};
use briarshift_store::{Error, Position, Version};
use briarshift_units::{Moment, Revision, Span};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::sync::{Request, Response};

use crate::world::{KEY, World, catalog, changes, expect_refusal, expect_send, heartbeat, member};

const PEERS: [&str; 4] = ["vm-2", "vm-3", "vm-4", "vm-5"];

/// Returns the first of five VMs that is no delegate, and the request that it
/// sends.
fn requesting_vm() -> (World, Request) {
    for me in ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"] {
        let mut world = World::empty(me);
        world.tick();
        world.read(&["t-1"]);
        for vm in ["vm-1"].iter().chain(&PEERS).filter(|vm| **vm != me) {
            world.change_row(Name::Member(vm.parse().unwrap()), Some(member(vm)));
            world.apply(heartbeat(vm, 1));
        }
        world.calls.clear();
        world.advance(900);
        for vm in ["vm-1"].iter().chain(&PEERS).filter(|vm| **vm != me) {
            world.apply(heartbeat(vm, 2));
        }
        world.tick();
        let request = world.datagrams.iter().rev().find_map(|datagram| match datagram {
            Datagram::SyncRequest(request) => Some(request.clone()),
            _ => None,
        });
        if let Some(request) = request {
            assert!(!world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
            return (world, request);
        }
    }
    panic!("all five VMs read the store");
}

/// Returns when the requests to delegates were sent.
fn request_times(world: &World) -> Vec<Moment> {
    let times = world.datagrams.iter().filter_map(|datagram| match datagram {
        Datagram::SyncRequest(request) => Some(request.sent_at),
        _ => None,
    });
    times.collect()
}

/// A response without changes, of a given age, from a VM whose store calls
/// fail.
fn stale_response(from: &str, at: Moment, age: Span) -> Response {
    let from = from.parse().unwrap();
    Response {
        from,
        request_sent_at: at,
        version: Position::first(12),
        age,
        rows_age: Some(age),
        store_failing: true,
        rows: Some(Vec::new()),
    }
}

/// A current response with these rows.
fn response(rows: Option<Vec<Row>>) -> Response {
    Response {
        from: "vm-1".parse().unwrap(),
        request_sent_at: Moment(0),
        version: Position::first(1_000),
        age: Span::ZERO,
        rows_age: Some(Span::ZERO),
        store_failing: false,
        rows,
    }
}

/// Lets the delegate, whichever VM it is, respond to a request.
fn respond(world: &mut World, request_sent_at: Moment, response: &Response) {
    for vm in ["vm-1"].iter().chain(&PEERS) {
        let from = vm.parse().unwrap();
        let response = Response { from, request_sent_at, ..response.clone() };
        world.apply(Kind::Datagram(Datagram::SyncResponse(response)));
    }
}

/// Returns the peer named by the last `delegate_silent` log record, or an empty
/// string. Which of the five VMs is the delegate is not known in advance.
fn silent_delegate(world: &World) -> String {
    let line = world.log.iter().rev().find(|line| line.starts_with("event=delegate_silent"));
    line.map(|line| line.split("peer=").nth(1).unwrap().to_owned()).unwrap_or_default()
}

#[test]
fn a_silent_delegate_is_skipped_and_then_the_store_is_read() {
    let (mut world, _) = requesting_vm();
    for _ in 0..20 {
        world.advance(100);
        world.tick();
    }
    assert!(!silent_delegate(&world).is_empty());
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
}

#[test]
fn a_response_confirms_the_configuration_as_of_its_age() {
    let (mut world, request) = requesting_vm();
    let value = Some(catalog(9, "key-2"));
    let (version, created) = (Position::first(1_000), Version(1));
    let rows = Some(vec![Row { name: Name::Catalog, version, created, value }]);
    let age = Span::from_millis(400);
    let response = Response { age, rows_age: Some(age), ..response(rows) };
    respond(&mut world, request.sent_at, &response);
    assert_eq!(world.state.status(world.now).revision, Revision(9));
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::NoAccount);
    let send =
        expect_send(world.arrive_with("/safe/a", |arrival| arrival.key = Some("key-2".into())));
    let confirmed = Moment(request.sent_at.0 - 400_000);
    assert_eq!(send.config_expires_at, Some(confirmed + crate::world::bounds().key_age));
}

#[test]
fn a_response_without_a_request_is_ignored() {
    let (mut world, request) = requesting_vm();
    let response = Response {
        from: "vm-9".parse().unwrap(),
        request_sent_at: request.sent_at,
        version: Position::first(5_000),
        age: Span::ZERO,
        rows_age: Some(Span::ZERO),
        store_failing: false,
        rows: Some(Vec::new()),
    };
    let before = expect_send(world.arrive("/safe/a")).config_expires_at;
    world.apply(Kind::Datagram(Datagram::SyncResponse(response)));
    assert_eq!(expect_send(world.arrive("/safe/a")).config_expires_at, before);
}

/// A delegate that is cut off from the store and still sends heartbeats returns
/// stale data. A VM that waited for it broke the guarantee on leaving targets
/// (DRAIN).
#[test]
fn a_stale_response_makes_a_vm_read_the_store_at_once() {
    let (mut world, request) = requesting_vm();
    for vm in ["vm-1"].iter().chain(&PEERS) {
        let response = stale_response(vm, request.sent_at, Span::from_millis(1_200));
        world.apply(Kind::Datagram(Datagram::SyncResponse(response)));
    }
    world.tick();
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
}

/// Returns when one of eight VMs in a data centre reads the store, if all VMs
/// that it queries report that the store has failed since the beginning.
fn store_read_time(me: &str) -> Option<Moment> {
    let mut world = World::empty(me);
    world.tick();
    world.read(&["t-1"]);
    let start = world.now;
    let peers = VMS.iter().filter(|vm| **vm != me);
    for vm in peers.clone() {
        world.change_row(Name::Member(vm.parse().unwrap()), Some(member(vm)));
    }
    world.calls.clear();
    for step in 1..100 {
        for vm in peers.clone() {
            world.apply(heartbeat(vm, step));
        }
        world.datagrams.clear();
        world.tick();
        if world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })) {
            return Some(Moment(world.now.0 - start.0));
        }
        for at in request_times(&world) {
            for vm in peers.clone() {
                let age = Span(at.0 - start.0);
                world.apply(Kind::Datagram(Datagram::SyncResponse(stale_response(vm, at, age))));
            }
        }
        world.advance(50);
    }
    None
}

const VMS: [&str; 8] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"];

/// In an outage of the store, 91 VMs each read it, again and again, when their
/// data became stale. Only the delegate and two backups may do so at once; the
/// others must follow one after the other.
#[test]
fn in_an_outage_vms_read_the_store_one_after_the_other() {
    let mut times: Vec<_> = VMS.iter().filter_map(|vm| store_read_time(vm)).collect();
    times.sort();
    assert_eq!(times.len(), 8);
    // The delegate reads the store at its next query, the backups once its data
    // is stale.
    assert!(times[2] <= Moment(1_600_000), "{times:?}");
    for pair in times[2..].windows(2) {
        assert!(Span::from_millis(200) <= pair[1].since(pair[0]), "{times:?}");
    }
}

/// After the leases of a store have lapsed, a delegate reports at once that a
/// target's row was deleted and written again unchanged. The target must stay.
#[test]
fn a_target_whose_row_is_deleted_and_written_again_stays() {
    let (mut world, request) = requesting_vm();
    let row = |version, value| target_row("t-1", version, version, value);
    let rows = vec![row(900, None), row(950, Some(crate::world::target("t-1", "desk")))];
    let response = Response { store_failing: true, ..response(Some(rows)) };
    respond(&mut world, request.sent_at, &response);
    world.advance(2_000);
    world.tick();
    assert_eq!(world.state.targets().ready_count(world.now), 1);
}

/// A target whose row is deleted while only a peer has lost the store may have left right
/// after the rows before. Its last use counted from the news, too late for the bound.
#[test]
fn the_last_use_of_a_target_counts_from_the_rows_before_if_a_peer_lost_the_store() {
    let (mut world, request) = requesting_vm();
    let rows = vec![target_row("t-1", 900, 0, None)];
    let response = Response { store_failing: true, ..response(Some(rows)) };
    respond(&mut world, request.sent_at, &response);
    // The rows before were read 0.9 s ago.
    expect_send(world.arrive("/safe/a"));
    world.advance(600);
    world.tick();
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::NoTarget);
}

/// The store turns this VM away, but serves one in another data centre.
#[test]
fn a_vm_that_reaches_the_store_confirms_for_one_that_does_not() {
    let mut world = World::new(&["t-1"]);
    let Value::Member(mut far) = member("vm-2") else { unreachable!() };
    far.data_centre = "b".parse().unwrap();
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(Value::Member(far)));
    for step in 1..60 {
        world.advance(100);
        let Kind::Datagram(Datagram::Heartbeat(mut heartbeat)) = heartbeat("vm-2", step) else {
            unreachable!()
        };
        heartbeat.revision_age = Some(Span::from_millis(300));
        world.apply(Kind::Datagram(Datagram::Heartbeat(heartbeat)));
        world.datagrams.clear();
        world.calls.clear();
        world.tick();
        if world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })) {
            world.fail_store();
        }
        for at in request_times(&world) {
            let response = Response {
                from: "vm-2".parse().unwrap(),
                request_sent_at: at,
                version: Position::first(40),
                age: Span::from_millis(300),
                rows_age: Some(Span::from_millis(300)),
                store_failing: false,
                rows: Some(Vec::new()),
            };
            world.apply(Kind::Datagram(Datagram::SyncResponse(response)));
        }
        expect_send(world.arrive("/safe/a"));
    }
}

#[test]
fn a_vm_whose_delegates_lack_changes_reads_the_store_at_once() {
    let (mut world, request) = requesting_vm();
    respond(&mut world, request.sent_at, &response(None));
    world.tick();
    assert!(world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })));
}

/// If the store drops its history, a delegate reads all rows again. It must
/// still be able to send the changes to its peers, so that they need not read
/// all rows too.
#[test]
fn a_delegate_that_read_a_snapshot_sends_what_changed() {
    let mut world = World::new(&["t-1", "t-2"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.apply(heartbeat("vm-2", 1));
    let after = world.version();
    world.reply_rows(changes(), Err(Error::Compacted));
    world.read_unconfirmed(&["t-2", "t-3"]);
    let expected = [("target:t-1", false), ("target:t-3", true), ("member:vm-2", false)];
    let expected = expected.map(|(name, is_there)| (name.to_owned(), is_there));
    assert_eq!(rows_for_peer(&mut world, after), Some(expected.to_vec()));
}

#[test]
fn a_response_carries_the_age_of_its_data() {
    let mut world = World::new(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.advance(300);
    let from = "vm-2".parse().unwrap();
    let request = Request { from, sent_at: Moment(77), after: Position::first(12) };
    world.apply(Kind::Datagram(Datagram::SyncRequest(request)));
    let Some(Datagram::SyncResponse(response)) = world.datagrams.last() else { panic!() };
    assert_eq!((response.request_sent_at, response.age), (Moment(77), Span::from_millis(300)));
    assert!(response.rows.is_some());
}

fn target_row(id: &str, version: u64, created: u64, value: Option<Value>) -> Row {
    let name = Name::Target(id.parse().unwrap());
    Row { name, version: Position::first(version), created: Version(created), value }
}

/// Returns a delegate that has read a snapshot with these rows, complete up to version
/// 20, and then changes up to version 30.
fn delegate(snapshot: Vec<Row>, changes_read: Vec<Row>) -> World {
    let mut world = World::empty("vm-1");
    world.tick();
    let name = Name::Member("vm-2".parse().unwrap());
    let peer =
        Row { name, version: Position::first(9), created: Version(9), value: Some(member("vm-2")) };
    let (name, value) = (Name::Catalog, Some(catalog(1, KEY)));
    let catalog = Row { name, version: Position::first(10), created: Version(1), value };
    let rows = [peer, catalog].into_iter().chain(snapshot).collect();
    let reply = |rows, version| Reply::Rows { rows, version: Position::first(version) };
    world.reply(Call::ReadAll { newest: false }, reply(rows, 20));
    world.reply(Call::ReadCatalog { after: Position::first(20) }, reply(Vec::new(), 20));
    if !changes_read.is_empty() {
        world.reply(changes(), reply(changes_read, 30));
    }
    world
}

/// Returns the rows that the VM sends to a peer that is complete up to a version, each
/// with whether it exists; `None` if it does not have all of them.
fn rows_for_peer(world: &mut World, after: u64) -> Option<Vec<(String, bool)>> {
    let request = Request {
        from: "vm-2".parse().unwrap(),
        sent_at: Moment(77),
        after: Position::first(after),
    };
    world.apply(Kind::Datagram(Datagram::SyncRequest(request)));
    let Some(Datagram::SyncResponse(response)) = world.datagrams.last() else { panic!() };
    let rows = response.rows.as_ref()?.iter();
    Some(rows.map(|row| (row.name.to_string(), row.value.is_some())).collect())
}

/// Peers of a VM that had just started were told nothing of a configuration that it had
/// read on a later page than the first, and served a revoked key.
#[test]
fn a_row_newer_than_the_snapshot_reaches_peers() {
    let leaving = Some(crate::world::leaving("t-1"));
    let mut world = delegate(vec![target_row("t-1", 25, 3, leaving)], Vec::new());
    assert_eq!(rows_for_peer(&mut world, 22), Some(vec![("target:t-1".to_owned(), true)]));
}

/// A delegate that had never seen a target did not pass on its deletion, and peers that
/// knew it went on sending to it.
#[test]
fn the_deletion_of_an_unknown_row_reaches_peers() {
    let mut world = delegate(Vec::new(), vec![target_row("t-1", 28, 0, None)]);
    assert_eq!(rows_for_peer(&mut world, 25), Some(vec![("target:t-1".to_owned(), false)]));
}

/// A delegate that knew a row as deleted dropped its next deletion, and peers that had seen
/// it written in between went on sending to that target.
#[test]
fn the_second_deletion_of_a_row_reaches_peers() {
    let deletion = |version| vec![target_row("t-1", version, 0, None)];
    let mut world = delegate(Vec::new(), deletion(22));
    let reply = Reply::Rows { rows: deletion(38), version: Position::first(40) };
    world.reply(changes(), reply);
    assert_eq!(rows_for_peer(&mut world, 35), Some(vec![("target:t-1".to_owned(), false)]));
}

/// A row that was deleted and written again unchanged between two reads of a delegate
/// stayed deleted for peers that had seen the deletion.
#[test]
fn a_row_that_was_written_again_reaches_peers() {
    let row = |version, created| {
        target_row("t-1", version, created, Some(crate::world::target("t-1", "desk")))
    };
    let mut world = delegate(vec![row(15, 3)], vec![row(28, 27)]);
    assert_eq!(rows_for_peer(&mut world, 26), Some(vec![("target:t-1".to_owned(), true)]));
    let mut world = delegate(vec![row(15, 3)], vec![row(28, 3)]);
    assert_eq!(rows_for_peer(&mut world, 26), Some(Vec::new()));
}

/// What was written and deleted while a store lost its history is not known, and a peer
/// that has seen it written must read the store.
#[test]
fn a_peer_inside_a_lost_history_is_told_nothing() {
    let mut world = delegate(Vec::new(), vec![target_row("t-1", 28, 0, None)]);
    world.apply(heartbeat("vm-2", 1));
    world.reply_rows(changes(), Err(Error::Compacted));
    let reply = Reply::Rows { rows: Vec::new(), version: Position::first(40) };
    world.reply(Call::ReadAll { newest: true }, reply);
    assert_eq!(rows_for_peer(&mut world, 35), None);
    assert!(rows_for_peer(&mut world, 30).is_some());
    assert_eq!(rows_for_peer(&mut world, 40), Some(Vec::new()));
}

/// Changes that were too long to be read were requested again without end.
#[test]
fn changes_that_are_too_long_make_a_vm_read_all_rows() {
    let mut world = World::new(&["t-1"]);
    world.reply_rows(changes(), Err(Error::TooLong));
    world.calls.clear();
    world.tick();
    assert!(world.calls.contains(&Call::ReadAll { newest: true }), "{:?}", world.calls);
}

/// A VM that has just started confirms the configuration before it reads what else has
/// changed. Peers took this for a confirmation of all rows, and knew of a leaving target
/// too late.
#[test]
fn a_peer_that_vouches_only_for_the_configuration_does_not_delay_a_read() {
    let (mut world, request) = requesting_vm();
    let (started, mut sequence) = (world.now, 2);
    let mut sent_at = vec![request.sent_at];
    while !world.calls.iter().any(|call| matches!(call, Call::ReadChanges { .. })) {
        for at in std::mem::take(&mut sent_at) {
            let response = Response {
                version: Position::first(0),
                rows_age: None,
                ..response(Some(Vec::new()))
            };
            respond(&mut world, at, &response);
        }
        world.datagrams.clear();
        world.advance(25);
        sequence += 1;
        for vm in ["vm-1"].iter().chain(&PEERS) {
            world.apply(heartbeat(vm, sequence));
        }
        world.tick();
        sent_at = request_times(&world);
        assert!(world.now.since(started) < Span::from_millis(1_600));
    }
}

/// A VM whose rows were a snapshot that may be out of date, and that a peer completed as of
/// an earlier time, vouched for them as of its snapshot.
#[test]
fn rows_completed_by_a_peer_are_as_old_as_that_peer_says() {
    let mut world = delegate(Vec::new(), Vec::new());
    world.apply(heartbeat("vm-2", 1));
    // The store fails this VM, so that it queries the peer.
    world.advance(500);
    world.reply_rows(changes(), Err(Error::Refused("503".into())));
    let Kind::Datagram(Datagram::Heartbeat(mut fresh)) = heartbeat("vm-2", 2) else {
        unreachable!()
    };
    fresh.revision_age = Some(Span::ZERO);
    world.apply(Kind::Datagram(Datagram::Heartbeat(fresh)));
    world.advance(400);
    world.tick();
    let response = Response {
        from: "vm-2".parse().unwrap(),
        request_sent_at: *request_times(&world).last().unwrap(),
        version: Position::first(20),
        age: Span::ZERO,
        rows_age: Some(Span::from_millis(950)),
        store_failing: false,
        rows: Some(Vec::new()),
    };
    world.apply(Kind::Datagram(Datagram::SyncResponse(response)));
    rows_for_peer(&mut world, 25);
    let Some(Datagram::SyncResponse(response)) = world.datagrams.last() else { panic!() };
    assert_eq!(response.rows_age, Some(Span::from_millis(950)));
}

#[test]
fn a_vm_that_has_only_read_a_snapshot_vouches_only_for_the_configuration() {
    let rows_age = |world: &mut World| {
        rows_for_peer(world, 25);
        let Some(Datagram::SyncResponse(response)) = world.datagrams.last() else { panic!() };
        response.rows_age
    };
    assert_eq!(rows_age(&mut delegate(Vec::new(), Vec::new())), None);
    let deletion = target_row("t-1", 28, 0, None);
    assert_eq!(rows_age(&mut delegate(Vec::new(), vec![deletion])), Some(Span::ZERO));
}
