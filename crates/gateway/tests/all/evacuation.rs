//! Data centres that operators evacuate and take back.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_gateway::Kind;
use briarshift_gateway::request::{Arrival, Cause, Decision, End, Event as Request, Send};
use briarshift_gateway::target::Report as TargetReport;
use briarshift_store::registry::{Call, Name, Reply, Row, Target, Value};
use briarshift_store::{Error, Position, Version};
use briarshift_units::{Moment, Span};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::evacuation::{Evacuation, Report};

use crate::fleet::{Fleet, address};
use crate::world::{
    KEY, World, changes, expect_refusal, expect_send, heartbeat, interrupted, member, prompt,
    target,
};

fn evacuation(data_centre: &str) -> Name {
    Name::Evacuation(data_centre.parse().unwrap())
}

fn target_in(id: &str, data_centre: &str) -> Value {
    let Value::Target(target) = target(id, "desk") else { unreachable!() };
    Value::Target(Target { data_centre: data_centre.parse().unwrap(), ..target })
}

/// A VM with a peer, and with the targets `a-1` and `a-2` of the data centre `a`, and
/// `b-1` and `b-2` of `b`.
fn world() -> World {
    let mut world = World::new(&["a-1", "a-2"]);
    for id in ["b-1", "b-2"] {
        world.change_row(Name::Target(id.parse().unwrap()), Some(target_in(id, "b")));
    }
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(member("vm-2")));
    world.apply(heartbeat("vm-2", 1));
    world
}

fn evacuate(world: &mut World, data_centre: &str) {
    world.change_row(evacuation(data_centre), Some(Value::Evacuation));
}

fn take_back(world: &mut World, data_centre: &str) {
    world.change_row(evacuation(data_centre), None);
}

/// Returns the data centres to which requests are sent, the first letter of their targets.
fn chosen(world: &mut World) -> String {
    let mut names = BTreeSet::new();
    for number in 0..40 {
        let parts = |arrival: &mut Arrival| arrival.parts = prompt(1, number);
        for path in ["/safe/a", "/chat/a"] {
            let Decision::Send(send) = world.arrive_with(path, parts) else { continue };
            names.insert(send.target.as_str().chars().next().unwrap());
            complete(world, &send);
        }
    }
    names.into_iter().collect()
}

fn complete(world: &mut World, send: &Send) {
    world.apply(Kind::Request(Request::AnswerBegan { id: send.id, report: None }));
    world.end(send, End::Complete { ok: true });
}

/// Returns the values of the `state` key of the log lines on evacuations.
fn states(world: &World) -> Vec<&str> {
    let lines = world.log.iter().filter(|line| line.starts_with("event=evacuation "));
    lines.map(|line| line.split(" state=").nth(1).unwrap().split(' ').next().unwrap()).collect()
}

/// Reads of changes that are due get an empty reply.
fn pass(world: &mut World, millis: u64) {
    for _ in 0..millis / 100 {
        world.advance(100);
        world.reply_rows(changes(), Ok(Vec::new()));
        world.tick();
    }
}

#[test]
fn nothing_new_reaches_an_evacuated_data_centre() {
    let mut world = world();
    assert_eq!(chosen(&mut world), "ab");
    world.closed.clear();
    evacuate(&mut world, "a");
    assert_eq!(world.closed.len(), 2);
    assert_eq!(world.state.status(world.now).targets, 2);
    assert_eq!(chosen(&mut world), "b");
    // A target that registers later, and one that writes its row again.
    for id in ["a-3", "a-1"] {
        world.change_row(Name::Target(id.parse().unwrap()), Some(target_in(id, "a")));
    }
    assert_eq!(chosen(&mut world), "b");
}

#[test]
fn a_word_that_is_told_twice_changes_nothing() {
    let mut world = world();
    evacuate(&mut world, "a");
    evacuate(&mut world, "a");
    let written_again = world.version();
    take_back(&mut world, "a");
    world.apply(report("a", written_again, true));
    assert_eq!(states(&world), ["evacuated", "taken_back"]);
    pass(&mut world, 8_000);
    assert_eq!(chosen(&mut world), "ab");
    assert_eq!(states(&world), ["evacuated", "taken_back", "in_use"]);
    evacuate(&mut world, "a");
    assert_eq!(chosen(&mut world), "b");
}

/// A report of the peer `vm-2`.
fn report(data_centre: &str, version: u64, is_evacuated: bool) -> Kind {
    let data_centre = data_centre.parse().unwrap();
    let evacuations =
        vec![Evacuation { data_centre, version: Position::first(version), is_evacuated }];
    let report = Report { from: "vm-2".parse().unwrap(), evacuations };
    Kind::Datagram(Datagram::EvacuationReport(report))
}

#[test]
fn the_newest_version_decides_whichever_way_it_comes() {
    let mut world = world();
    let version = world.version();
    world.apply(report("a", version + 5, true));
    assert_eq!(chosen(&mut world), "b");
    // An older deletion, and snapshots that are older than the evacuation.
    world.apply(report("a", version + 4, false));
    let read = Call::ReadAll { newest: true };
    let rows = ["a-1", "b-1"].map(|id| {
        let (name, value) = (Name::Target(id.parse().unwrap()), target_in(id, &id[..1]));
        Row { name, version: Position::first(version), created: Version(1), value: Some(value) }
    });
    let reply = |version| Reply::Rows { rows: rows.to_vec(), version: Position::first(version) };
    world.reply(read.clone(), reply(version + 4));
    assert_eq!(chosen(&mut world), "b");
    world.reply(read, reply(version + 6));
    assert_eq!(states(&world), ["evacuated", "taken_back"]);
    // The peer has not heard of it yet.
    world.apply(report("a", version + 5, true));
    assert_eq!(states(&world), ["evacuated", "taken_back"]);
}

#[test]
fn an_evacuation_outlives_the_history_of_the_store() {
    let mut world = world();
    evacuate(&mut world, "a");
    let written = world.version();
    world.reply_rows(changes(), Err(Error::Compacted));
    assert_eq!(chosen(&mut world), "b");
    let row = |name, version, value| {
        let (version, created) = (Position::first(version), Version(version));
        Row { name, version, created, value: Some(value) }
    };
    let read = |world: &mut World, rows: Vec<Row>, version| {
        let targets = ["a-1", "b-1"]
            .map(|id| row(Name::Target(id.parse().unwrap()), written, target_in(id, &id[..1])));
        let rows = rows.into_iter().chain(targets).collect();
        world.reply(
            Call::ReadAll { newest: true },
            Reply::Rows { rows, version: Position::first(version) },
        );
    };
    read(&mut world, vec![row(evacuation("a"), written, Value::Evacuation)], written + 5);
    assert_eq!(chosen(&mut world), "b");
    // The next time, its row has been deleted.
    world.reply_rows(changes(), Err(Error::Compacted));
    read(&mut world, Vec::new(), written + 9);
    assert_eq!(states(&world), ["evacuated", "taken_back"]);
}

/// The first read may be seconds old. What confirms the configuration, and opens the VM for
/// callers, tells of the evacuation too.
#[test]
fn a_vm_that_starts_knows_of_an_evacuation_before_it_serves_keys() {
    let mut world = World::empty("vm-1");
    world.tick();
    world.read_unconfirmed(&["a-1"]);
    let (name, version) = (evacuation("a"), Position::first(world.version() + 1));
    let row =
        Row { name, version, created: Version(version.revision), value: Some(Value::Evacuation) };
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::Stale);
    world.reply_rows(Call::ReadCatalog { after: Position::first(0) }, Ok(vec![row]));
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::Evacuated);
}

#[test]
fn peers_are_told_several_times_but_not_of_what_they_told() {
    let reports = |world: &World| {
        let is_report = |it: &&Datagram| matches!(it, Datagram::EvacuationReport(_));
        world.datagrams.iter().filter(is_report).count()
    };
    let (mut first, mut second) = (world(), world());
    evacuate(&mut first, "a");
    second.apply(report("a", first.version(), true));
    for world in [&mut first, &mut second] {
        pass(world, 1_000);
    }
    assert_eq!((reports(&first), reports(&second)), (3, 0));
    // A VM that starts knows of it from the rows that all others have.
    let mut started = World::empty("vm-3");
    started.tick();
    started.read_with(&["a-1"], evacuation("a"), Value::Evacuation);
    pass(&mut started, 1_000);
    assert_eq!(reports(&started), 0);
}

#[test]
fn a_report_of_a_stranger_is_ignored() {
    let mut world = World::new(&["a-1"]);
    world.apply(report("a", world.version() + 1, true));
    expect_send(world.arrive("/safe/a"));
}

#[test]
fn retries_and_resumed_streams_go_elsewhere_and_requests_there_end() {
    let mut world = world();
    let mut arrive = |path: &str| {
        let is_there = |send: &Send| send.target.as_str().starts_with('a');
        (0..40).map(|_| expect_send(world.arrive(path))).filter(is_there).collect::<Vec<_>>()
    };
    let (safe, long) = (arrive("/safe/a"), arrive("/long/a"));
    let [first, second, third] = &safe[..3] else { panic!() };
    for send in &long {
        world.apply(Kind::Request(Request::AnswerBegan { id: send.id, report: None }));
    }
    evacuate(&mut world, "a");
    let broken = End::Interrupted { reason: "reset".into(), relayed: true };
    let full = End::NotRun { status: 503, moved: false };
    let again = [
        world.end(first, interrupted()),
        world.end(second, full),
        world.end(third, End::NotSent { reason: "closed".into() }),
        world.end(&long[0], broken),
    ];
    for decision in again {
        assert!(expect_send(decision.unwrap()).target.as_str().starts_with('b'));
    }
    let report = Some(TargetReport::default());
    let ended = Request::SendEnded { id: long[1].id, end: End::Complete { ok: true }, report };
    let before = world.decisions.len();
    world.apply(Kind::Request(ended));
    assert_eq!(world.decisions.len(), before);
}

#[test]
fn a_pool_that_is_evacuated_refuses_at_once_and_is_used_when_taken_back() {
    let mut world = world();
    evacuate(&mut world, "a");
    let running = expect_send(world.arrive("/safe/a"));
    evacuate(&mut world, "b");
    let mut waits = BTreeSet::new();
    for _ in 0..20 {
        let Decision::Refuse(refusal) = world.arrive("/safe/a") else { panic!() };
        assert_eq!(refusal.cause, Cause::Evacuated);
        assert!(refusal.cause.is_not_run());
        waits.extend(refusal.retry_after);
    }
    assert!(15 < waits.len(), "{waits:?}");
    assert!(waits.iter().all(|it| (Span::from_secs(2)..Span::from_millis(4_250)).contains(it)));
    // Callers are to learn why, so the VM stays ready for them.
    assert!(world.state.status(world.now).ready);
    // What may have run is not called not run.
    let cause = expect_refusal(world.end(&running, interrupted()).unwrap());
    assert_eq!(cause, Cause::Unknown);
    take_back(&mut world, "b");
    assert_eq!(chosen(&mut world), "b");
}

/// Targets that have lapsed or begun to leave get requests if no others are left, but not
/// in an evacuated data centre.
#[test]
fn an_evacuated_target_is_no_last_resort() {
    let mut world = World::new(&["a-1"]);
    world.fail_store();
    world.change_row(Name::Target("a-1".parse().unwrap()), None);
    expect_send(world.arrive("/safe/a"));
    evacuate(&mut world, "a");
    assert_eq!(expect_refusal(world.arrive("/safe/a")), Cause::Evacuated);
}

#[test]
fn an_evacuated_engine_is_a_source_of_transfers() {
    let mut world = world();
    let arrive = |world: &mut World, key| {
        expect_send(world.arrive_with("/chat/a", |arrival| arrival.parts = prompt(1, key)))
    };
    let there = (0..40).map(|key| (key, arrive(&mut world, key)));
    let there: Vec<_> = there.filter(|(_, send)| send.target.as_str().starts_with('a')).collect();
    there.iter().for_each(|(_, send)| complete(&mut world, send));
    evacuate(&mut world, "a");
    for (key, before) in there {
        let send = arrive(&mut world, key);
        assert_ne!(send.target, before.target);
        assert_eq!(send.fetch_from, Some(before.address));
    }
}

/// A fleet of VMs in five data centres, and the time that its slowest VM took to know of an
/// evacuation, or of its end.
struct Measured {
    fleet: Fleet,
    slowest: Span,
}

impl Measured {
    /// Evacuates a data centre, or takes it back, and waits until all VMs know.
    fn change(&mut self, value: Option<Value>) {
        let fleet = &mut self.fleet;
        let is_evacuated = value.is_some();
        fleet.write(evacuation("b"), value);
        let acknowledged_at = fleet.now;
        let id = "t-b-0".parse().unwrap();
        let knows = |fleet: &Fleet| {
            let running = fleet.vms.iter().filter(|(vm, _)| !fleet.stopped.contains(vm));
            let mut entries = running.map(|(_, state)| state.targets().get(&id).unwrap());
            entries.all(|entry| entry.is_evacuated() == is_evacuated)
        };
        while !knows(fleet) {
            fleet.run(Span::from_millis(25), 0.0);
            assert!(fleet.now.since(acknowledged_at) < Span::from_secs(10));
        }
        self.slowest = self.slowest.max(fleet.now.since(acknowledged_at));
    }
}

/// Applies a fault to a fleet, lets operators change their mind at different times, and
/// checks that all VMs know within two seconds of the store's acknowledgement.
#[track_caller]
fn check_time(size: usize, fault: impl Fn(&mut Fleet)) {
    let mut measured = Measured { fleet: Fleet::new(size), slowest: Span::ZERO };
    measured.fleet.run(Span::from_secs(6), 0.0);
    fault(&mut measured.fleet);
    for phase in 0..4 {
        measured.fleet.run(Span::from_millis(700 + phase * 325), 0.0);
        measured.change(Some(Value::Evacuation));
        measured.fleet.run(Span::from_millis(475 + phase * 175), 0.0);
        measured.change(None);
    }
    let slowest = measured.slowest;
    println!("{size} VMs: {slowest}");
    assert!(slowest <= Span::from_secs(2), "{size} VMs: {slowest}");
}

#[test]
fn all_vms_know_within_two_seconds() {
    check_time(6, |_| {});
    check_time(81, |_| {});
}

#[test]
fn vms_that_do_not_reach_the_store_hear_it_from_the_others() {
    for size in [6, 81] {
        check_time(size, |fleet| {
            fleet.cut_from_store.extend((0..size).step_by(3).map(address));
        });
    }
}

#[test]
fn all_vms_know_in_time_if_the_readers_are_lost() {
    check_time(81, |fleet| {
        let readers: Vec<_> = fleet.readers.iter().copied().collect();
        fleet.stopped.extend(readers);
    });
}

/// The rest of the pool is full in the second in which the data centre is taken back.
#[test]
fn requests_without_room_elsewhere_return_at_once() {
    let mut world = world();
    evacuate(&mut world, "a");
    let sends: Vec<_> = (0..16).map(|_| expect_send(world.arrive("/safe/a"))).collect();
    assert!(sends.iter().all(|send| send.target.as_str().starts_with('b')));
    take_back(&mut world, "a");
    assert!(expect_send(world.arrive("/safe/a")).target.as_str().starts_with('a'));
    complete(&mut world, &sends[0]);
    assert!(expect_send(world.arrive("/safe/a")).target.as_str().starts_with('b'));
}

#[test]
fn one_vm_that_knows_is_enough_if_the_store_is_lost() {
    for size in [6, 81] {
        let mut fleet = Fleet::new(size);
        fleet.run(Span::from_secs(6), 0.0);
        fleet.write(evacuation("b"), Some(Value::Evacuation));
        let id = "t-b-0".parse().unwrap();
        let count = |fleet: &Fleet| {
            let entries = fleet.vms.values().map(|state| state.targets().get(&id).unwrap());
            entries.filter(|entry| entry.is_evacuated()).count()
        };
        while count(&fleet) == 0 {
            fleet.run(Span::from_millis(25), 0.0);
        }
        fleet.cut_from_store.extend((0..size).map(address));
        fleet.run(Span::from_millis(300), 0.0);
        assert_eq!(count(&fleet), size);
    }
}

/// Its VMs reach the store, and read it themselves.
#[test]
fn a_data_centre_that_is_cut_off_knows_in_time() {
    check_time(81, |fleet| {
        fleet.cut_off.insert("c");
        fleet.run(Span::from_secs(3), 0.0);
    });
}

/// Number of prompt keys, each of which is asked for every two seconds. The engines can hold
/// the parts of all of them.
const KEYS: u64 = 160;

/// Prompts at a fleet of six VMs, of whose eight engines two are in the data centre `b`.
struct Prompts {
    fleet: Fleet,
    sent: u64,
    /// Prompts that went to `b`, with the time and the key.
    there: Vec<(Moment, u64)>,
    elsewhere: Vec<(Moment, u64)>,
}

impl Prompts {
    fn run(&mut self, length: Span) {
        let end = self.fleet.now + length;
        while self.fleet.now < end {
            self.fleet.run(Span::from_millis(25), 0.0);
            for _ in 0..2 {
                self.send();
            }
        }
    }

    fn send(&mut self) {
        self.sent += 1;
        let (key, mut vm) = (self.sent % KEYS, address((self.sent * 7 % 11) as usize % 6));
        while self.fleet.stopped.contains(&vm) {
            vm = address(5);
        }
        self.fleet.last_send = None;
        self.fleet.arrive_with(vm, |arrival| {
            arrival.path = "/chat/a".into();
            arrival.key = Some(KEY.into());
            arrival.parts = prompt(1, key);
        });
        let send = self.fleet.last_send.take().unwrap();
        let is_there = send.target.as_str().starts_with("t-b");
        let sent = if is_there { &mut self.there } else { &mut self.elsewhere };
        sent.push((self.fleet.now, key));
    }
}

/// Chats return in the order of their keys' hashes over eight seconds, and stay, also if a VM
/// is lost and another one does not reach the store meanwhile.
#[test]
fn prompts_return_to_a_data_centre_step_by_step_and_once() {
    let (there, elsewhere) = (Vec::new(), Vec::new());
    let mut prompts = Prompts { fleet: Fleet::new(6), sent: 0, there, elsewhere };
    prompts.run(Span::from_secs(8));
    // A full engine may pass on a prompt now and then.
    let mut homes: BTreeMap<u64, usize> = BTreeMap::new();
    prompts.there.iter().for_each(|(_, key)| *homes.entry(*key).or_default() += 1);
    homes.retain(|_, count| 3 <= *count);
    assert!((20..60).contains(&homes.len()), "{}", homes.len());
    prompts.fleet.write(evacuation("b"), Some(Value::Evacuation));
    prompts.run(Span::from_secs(2));
    prompts.there.clear();
    prompts.run(Span::from_secs(5));
    assert_eq!(prompts.there.len(), 0);

    prompts.fleet.cut_from_store.insert(address(3));
    prompts.fleet.write(evacuation("b"), None);
    let taken_back_at = prompts.fleet.now;
    prompts.elsewhere.clear();
    prompts.run(Span::from_secs(5));
    prompts.fleet.stopped.insert(address(1));
    prompts.run(Span::from_secs(8));
    let mut returned = BTreeMap::new();
    for (at, key) in prompts.there.iter().filter(|(_, key)| homes.contains_key(key)) {
        returned.entry(*key).or_insert(*at);
    }
    let has_left = |(at, key): &&(Moment, u64)| returned.get(key).is_some_and(|since| since < at);
    let left_again = prompts.elsewhere.iter().filter(has_left).count();
    let mut by_second = [0; 13];
    for at in returned.values() {
        by_second[(at.since(taken_back_at).as_millis() / 1_000) as usize] += 1;
    }
    println!("{} keys returned by second {by_second:?}, {left_again} left", homes.len());
    assert_eq!(returned.len(), homes.len());
    assert!(by_second.iter().all(|count| *count * 4 <= homes.len()), "{by_second:?}");
    assert!(left_again <= 1, "{left_again} left");
}
