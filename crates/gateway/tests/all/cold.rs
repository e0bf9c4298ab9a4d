//! Targets that are cold, and the rate at which they get requests from all VMs.

use std::sync::Arc;

use briarshift_catalog::{Catalog, Pool, Route, SlowStart};
use briarshift_gateway::Kind;
use briarshift_gateway::request::{Cause, Decision, End, Event as Request, Send};
use briarshift_gateway::target::Report;
use briarshift_store::registry::{Name, Target, Value};
use briarshift_units::{Moment, RequestRate, Revision, Span, StartNumber};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::{Failure, TargetHash};

use crate::world::{World, changes, expect_send, heartbeat, member, not_sent, target};

const SLOW_START: SlowStart = SlowStart { time: Span::from_secs(10), rate: RequestRate(11_000) };
/// The most requests that the operators permit a cold target in a second.
const BOUND: usize = 21;

fn catalog(slow_start: Option<SlowStart>) -> Value {
    let pool = "desk".parse().unwrap();
    let route = Route::builder("open", "shop.example", "/open/").pool(pool, 1).public(true);
    let pool = Pool { id: "desk".parse().unwrap(), max_connections: 60, engine: None, slow_start };
    let builder = Catalog::builder(Revision(2)).route(route.attempts(2).build()).pool(pool);
    Value::Catalog(Arc::new(builder.build()))
}

fn row(id: &str, warmup_left: Option<u64>, start: u64) -> (Name, Option<Value>) {
    let Value::Target(base) = target(id, "desk") else { unreachable!() };
    let warmup_left = warmup_left.map(Span::from_millis);
    let target = Target { warmup_left, start: Some(StartNumber(start)), ..base };
    (Name::Target(id.parse().unwrap()), Some(Value::Target(target)))
}

/// Starts a VM that knows these VMs and warm targets.
fn start(name: &str, vms: &[String], targets: &[&str], slow_start: Option<SlowStart>) -> World {
    let mut world = World::empty(name);
    world.tick();
    world.read(targets);
    world.change_row(Name::Catalog, Some(catalog(slow_start)));
    for peer in vms.iter().filter(|peer| *peer != name) {
        world.change_row(Name::Member(peer.parse().unwrap()), Some(member(peer)));
    }
    world
}

/// VMs under test, and when requests reached cold targets.
struct Fleet {
    vms: Vec<World>,
    /// VMs to which no datagram gets through, and that send none.
    deaf: Vec<usize>,
    lost: Vec<usize>,
    arrivals: Vec<(String, Moment)>,
    running: Vec<(Moment, usize, Send)>,
    random: u64,
    refused: usize,
    /// Whether calls to the store fail.
    is_store_lost: bool,
    /// Targets that can't be reached.
    down: Vec<String>,
}

impl Fleet {
    /// Starts VMs that know each other, and 60 warm targets.
    fn new(vms: usize) -> Self {
        let names: Vec<_> = (1..=vms).map(|number| format!("vm-{number}")).collect();
        let warm: Vec<_> = (0..60).map(|number| format!("warm-{number}")).collect();
        let warm: Vec<_> = warm.iter().map(String::as_str).collect();
        let start = |name: &String| start(name, &names, &warm, SLOW_START.into());
        Self {
            vms: names.iter().map(start).collect(),
            deaf: Vec::new(),
            lost: Vec::new(),
            arrivals: Vec::new(),
            running: Vec::new(),
            random: 1,
            refused: 0,
            is_store_lost: false,
            down: Vec::new(),
        }
    }

    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Tells VMs of a row.
    fn tell(&mut self, vms: impl IntoIterator<Item = usize>, row: &(Name, Option<Value>)) {
        for vm in vms {
            self.vms[vm].change_row(row.0.clone(), row.1.clone());
        }
    }

    /// Lets time pass. `rate` requests a second arrive at VMs drawn at random.
    fn run(&mut self, millis: u64, rate: u64) {
        const STEP: u64 = 50;
        for _ in 0..millis / STEP {
            for (index, vm) in self.vms.iter_mut().enumerate() {
                vm.advance(STEP);
                if !self.lost.contains(&index) {
                    match self.is_store_lost {
                        true => vm.fail_store(),
                        false => vm.reply_rows(changes(), Ok(Vec::new())),
                    }
                    vm.tick();
                }
                vm.calls.clear();
            }
            self.deliver();
            for _ in 0..rate * STEP / 1_000 {
                self.arrive();
            }
            let now = self.vms[0].now;
            for (_, vm, send) in self.running.extract_if(.., |(end, ..)| *end <= now) {
                self.vms[vm].end(&send, End::Complete { ok: true });
            }
        }
    }

    fn arrive(&mut self) {
        let vm = self.draw() as usize % self.vms.len();
        if self.lost.contains(&vm) {
            return;
        }
        let mut decision = self.vms[vm].arrive("/open/a");
        let now = self.vms[vm].now;
        while let Decision::Send(send) = &decision
            && self.down.contains(&send.target.to_string())
        {
            let Some(next) = self.vms[vm].end(&send.clone(), not_sent()) else { return };
            decision = next;
        }
        match decision {
            Decision::Send(send) => {
                self.arrivals.push((send.target.to_string(), now));
                self.running.push((now + Span::from_millis(600), vm, send));
            }
            Decision::Refuse(_) => self.refused += 1,
            Decision::Deliver => {}
        }
    }

    fn deliver(&mut self) {
        for from in 0..self.vms.len() {
            let datagrams = std::mem::take(&mut self.vms[from].datagrams);
            if self.deaf.contains(&from) || self.lost.contains(&from) {
                continue;
            }
            for datagram in datagrams {
                for to in 0..self.vms.len() {
                    if to != from && !self.deaf.contains(&to) && !self.lost.contains(&to) {
                        self.vms[to].apply(Kind::Datagram(datagram.clone()));
                    }
                }
            }
        }
    }

    /// Returns the most requests that a target with this beginning of its name got in any
    /// second, and the number that the targets got in all.
    fn most_per_second(&self, prefix: &str) -> (usize, usize) {
        let cold: Vec<_> = self.arrivals.iter().filter(|it| it.0.starts_with(prefix)).collect();
        let within = |(name, from): &(String, Moment)| {
            let is_within = |at: Moment| *from <= at && at.since(*from) < Span::from_secs(1);
            cold.iter().filter(|it| it.0 == *name && is_within(it.1)).count()
        };
        (cold.iter().map(|it| within(it)).max().unwrap_or(0), cold.len())
    }
}

/// All VMs prefer an empty target.
#[test]
fn a_target_that_starts_gets_no_more_than_it_tolerates() {
    let mut fleet = Fleet::new(12);
    fleet.run(6_000, 1_200);
    fleet.tell(0..12, &row("cold-1", Some(10_000), 1));
    fleet.run(3_000, 1_200);
    let (most, total) = fleet.most_per_second("cold");
    assert!(most <= BOUND, "{most} in a second");
    assert!(10 <= total, "{total} in all");
    // It becomes warm, and cold again.
    fleet.tell(0..12, &row("cold-1", Some(0), 1));
    fleet.run(2_000, 1_200);
    fleet.tell(0..12, &row("cold-1", Some(10_000), 1));
    fleet.arrivals.clear();
    fleet.run(4_000, 1_200);
    let (most, total) = fleet.most_per_second("cold");
    assert!(most <= BOUND, "{most} in a second");
    assert!(15 <= total, "{total} in all");
}

/// A data centre of targets returns to 81 VMs, a third of which hear nothing; six have just
/// started, and the others learn of them and of the targets at different times. A third of
/// the VMs is lost later.
#[test]
fn a_data_centre_that_returns_gets_no_more_than_it_tolerates() {
    let mut fleet = Fleet::new(75);
    fleet.deaf = (0..75).step_by(3).collect();
    fleet.run(5_000, 1_200);
    let names: Vec<_> = (1..=81).map(|number| format!("vm-{number}")).collect();
    let rows: Vec<_> =
        (0..30).map(|number| row(&format!("cold-{number}"), Some(9_000), 1)).collect();
    let now = fleet.vms[0].now;
    fleet.vms.extend(names[75..].iter().map(|name| {
        let mut world = start(name, &names, &["warm-1", "warm-2"], SLOW_START.into());
        world.now = now;
        world
    }));
    for third in 0..3 {
        for row in &rows {
            fleet.tell((third..81).step_by(3), row);
        }
        fleet.run(800, 1_200);
        for name in &names[75..] {
            let peer = (Name::Member(name.parse().unwrap()), Some(member(name)));
            fleet.tell((third..75).step_by(3), &peer);
        }
    }
    fleet.run(2_000, 1_200);
    fleet.lost = (0..81).filter(|vm| vm % 3 == 1).collect();
    fleet.run(3_000, 1_200);
    let (most, total) = fleet.most_per_second("cold");
    assert!(most <= BOUND - 5, "{most} in a second");
    assert!(100 <= total, "{total} in all");
}

/// The targets' words before the store is lost hold; nobody takes other VMs' turns.
#[test]
fn targets_that_return_while_the_store_is_lost_get_no_more_than_they_tolerate() {
    let mut fleet = Fleet::new(24);
    fleet.run(5_000, 1_200);
    fleet.tell((0..24).step_by(2), &row("cold-1", Some(8_000), 1));
    fleet.is_store_lost = true;
    fleet.run(3_000, 1_200);
    fleet.is_store_lost = false;
    fleet.tell((1..24).step_by(2), &row("cold-1", Some(8_000), 1));
    fleet.run(3_000, 1_200);
    let (most, total) = fleet.most_per_second("cold");
    assert!(most <= BOUND, "{most} in a second");
    assert!(10 <= total, "{total} in all");
}

/// It crashes, and answers again 3 s later at its address; its new registration is known
/// after another 2 s.
#[test]
fn a_target_that_restarts_at_its_address_gets_no_more_than_it_tolerates() {
    let mut fleet = Fleet::new(30);
    fleet.run(6_000, 600);
    fleet.down.push("warm-7".to_owned());
    fleet.run(3_000, 600);
    fleet.down.clear();
    fleet.arrivals.clear();
    fleet.run(2_000, 600);
    fleet.tell(0..30, &row("warm-7", Some(8_000), 2));
    fleet.run(4_000, 600);
    let (most, _) = fleet.most_per_second("warm-7");
    assert!(most <= BOUND, "{most} in a second");
}

/// What it did not get while it was cold does not come all at once.
#[test]
fn a_target_that_becomes_warm_is_not_flooded() {
    let mut fleet = Fleet::new(24);
    fleet.run(6_000, 1_200);
    fleet.tell(0..24, &row("cold-1", Some(4_000), 1));
    fleet.run(3_900, 1_200);
    fleet.arrivals.clear();
    fleet.run(4_000, 1_200);
    let (most, _) = fleet.most_per_second("cold-1");
    let fair = 1_200 / 61;
    assert!(most <= 3 * fair, "{most} in a second");
}

/// Ends a request at a target with a success that says for how long it remains cold.
fn answer(world: &mut World, send: &Send, cold: Option<u64>) {
    let report = Report { cold: cold.map(Span::from_millis), ..Report::default() };
    let end = End::Complete { ok: true };
    let ended = Request::SendEnded { id: send.id, end, report: Some(report) };
    world.apply(Kind::Request(ended));
}

fn logged<'a>(world: &'a World, event: &str) -> Vec<&'a str> {
    let prefix = format!("event={event} ");
    world.log.iter().filter_map(|line| line.strip_prefix(&prefix)).collect()
}

/// A VM alone, 6 s after its start.
fn settled(targets: &[&str], slow_start: Option<SlowStart>) -> World {
    let mut world = start("vm-1", &[], targets, slow_start);
    for _ in 0..6 {
        pass(&mut world, 1_000);
    }
    world
}

fn pass(world: &mut World, millis: u64) {
    world.advance(millis);
    world.reply_rows(changes(), Ok(Vec::new()));
    world.tick();
}

/// Returns how many of 20 requests at once are sent.
fn sent_at_once(world: &mut World) -> usize {
    let is_sent = |world: &mut World| matches!(world.arrive("/open/a"), Decision::Send(_));
    (0..20).filter(|_| is_sent(world)).count()
}

#[test]
fn the_newest_word_on_coldness_counts() {
    let mut world = settled(&["t-1"], SLOW_START.into());
    assert_eq!(sent_at_once(&mut world), 20);
    let send = expect_send(world.arrive("/open/a"));
    answer(&mut world, &send, Some(6_000));
    assert_eq!(sent_at_once(&mut world), 0);
    // A row that was written before does not end it.
    pass(&mut world, 1_000);
    let written = |left| {
        let (name, value) = row("t-1", Some(left), 0);
        let Some(Value::Target(written)) = value else { unreachable!() };
        (name, Some(Value::Target(Target { start: None, ..written })))
    };
    let (name, value) = written(2_000);
    world.change_row(name, value);
    pass(&mut world, 2_000);
    assert_eq!(sent_at_once(&mut world), 1);
    // A later one does.
    pass(&mut world, 1_000);
    let (name, value) = written(0);
    world.change_row(name, value);
    assert_eq!(sent_at_once(&mut world), 20);
    let send = expect_send(world.arrive("/open/a"));
    answer(&mut world, &send, Some(3_000));
    assert_eq!(sent_at_once(&mut world), 0);
    pass(&mut world, 3_000);
    assert_eq!(sent_at_once(&mut world), 20);
    let by = |line: &str| line.rsplit_once("by=").unwrap().1.to_owned();
    let ends: Vec<_> = logged(&world, "target_warm").into_iter().map(by).collect();
    assert_eq!(ends, ["row", "time"]);
    assert_eq!(logged(&world, "target_cold").len(), 2);
}

#[test]
fn a_target_that_does_not_say_is_cold_after_its_start_alone() {
    for (left, sent) in [(None, 0), (Some(0), 20), (Some(4_000), 0)] {
        let mut world = settled(&[], SLOW_START.into());
        let (name, value) = row("t-1", left, 1);
        world.change_row(name, value);
        assert_eq!(sent_at_once(&mut world), sent);
        // The same start is no news; a later one is cold again.
        pass(&mut world, 10_000);
        let (name, value) = row("t-1", left, 1);
        world.change_row(name, value);
        pass(&mut world, 4_000);
        assert_eq!(sent_at_once(&mut world), 20);
        let (name, value) = row("t-1", left, 2);
        world.change_row(name, value);
        assert_eq!(sent_at_once(&mut world), sent);
    }
    let (name, value) = row("t-1", None, 1);
    let mut world = World::empty("vm-1");
    world.tick();
    world.read_with(&["t-2"], name, value.unwrap());
    assert_eq!(logged(&world, "target_cold"), [""; 0]);
}

#[test]
fn what_only_cold_targets_could_serve_is_refused_as_not_run() {
    let mut world = settled(&[], SLOW_START.into());
    let (name, value) = row("t-1", Some(4_000), 1);
    world.change_row(name, value);
    let Decision::Refuse(refusal) = world.arrive("/open/a") else { panic!() };
    assert!(refusal.cause.is_not_run());
    assert_eq!(refusal.cause, Cause::TurnedAway);
    assert!(Span::from_secs(4) <= refusal.retry_after.unwrap());
    // A turn permits one, and one more a ninth of a second later.
    pass(&mut world, 500);
    pass(&mut world, 500);
    assert_eq!(sent_at_once(&mut world), 1);
    pass(&mut world, 120);
    assert_eq!(sent_at_once(&mut world), 1);
}

#[test]
fn pools_without_a_slow_start_have_no_cold_targets() {
    let mut world = settled(&[], None);
    let (name, value) = row("t-1", Some(4_000), 1);
    world.change_row(name, value);
    assert_eq!(sent_at_once(&mut world), 20);
    let send = expect_send(world.arrive("/open/a"));
    answer(&mut world, &send, Some(4_000));
    assert_eq!(sent_at_once(&mut world), 20);
    assert_eq!(logged(&world, "target_cold"), [""; 0]);
}

/// A VM that reaches few of a pool's targets does not hold back the others.
#[test]
fn targets_that_a_vm_can_not_reach_are_cold_unless_its_link_is_at_fault() {
    let mut world = settled(&["t-1", "t-2", "t-3", "t-4", "t-5"], SLOW_START.into());
    let mut lost = Vec::new();
    while lost.len() < 3 {
        let send = expect_send(world.arrive("/open/a"));
        if !lost.contains(&send.target) {
            lost.push(send.target.clone());
            world.end(&send, not_sent());
        }
        pass(&mut world, 25);
        let cold = logged(&world, "target_cold").len();
        assert_eq!(cold, lost.len());
    }
    // The pauses are over.
    pass(&mut world, 2_000);
    let targets: std::collections::BTreeSet<_> =
        (0..40).map(|_| expect_send(world.arrive("/open/a")).target).collect();
    assert_eq!(targets.len(), 5);
}

/// Reports of peers that a target is down.
#[test]
fn a_target_that_two_peers_can_not_reach_is_lost() {
    let targets = ["t-1", "t-2", "t-3"];
    let peers = ["vm-1", "vm-2", "vm-3"].map(str::to_owned);
    let failure = Failure { target: TargetHash::of("t-1"), count: 1, down: true };
    let check = |reports: &[(&str, u64)], expected: usize| {
        let mut world = start("vm-1", &peers, &targets, SLOW_START.into());
        for (sequence, (vm, wait)) in reports.iter().enumerate() {
            pass(&mut world, *wait);
            let Kind::Datagram(Datagram::Heartbeat(mut report)) =
                heartbeat(vm, sequence as u64 + 1)
            else {
                unreachable!()
            };
            report.failures = vec![failure];
            world.apply(Kind::Datagram(Datagram::Heartbeat(report)));
        }
        assert_eq!(logged(&world, "target_cold").len(), expected, "{reports:?}");
    };
    check(&[("vm-2", 0), ("vm-3", 800)], 1);
    check(&[("vm-2", 0), ("vm-2", 800)], 0);
    check(&[("vm-2", 0), ("vm-3", 4_000)], 0);
}

/// It answers late, and it is silent.
#[test]
fn a_slow_target_is_not_lost() {
    for (answers, lost) in [(true, 0), (false, 1)] {
        let mut world = settled(&["t-1"], SLOW_START.into());
        for _ in 0..2 {
            let send = expect_send(world.arrive("/open/a"));
            let other = expect_send(world.arrive("/open/a"));
            if answers {
                world.end(&other, End::Complete { ok: true });
            }
            world.end(&send, End::AnswerTimeout);
            pass(&mut world, 1_000);
        }
        assert_eq!(logged(&world, "target_cold").len(), lost);
    }
}
