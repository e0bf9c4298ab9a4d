//! Loads that relays sum up in a large fleet.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use briarshift_gateway::request::{Arrival, Decision, End, Event as Request};
use briarshift_gateway::{Effect, Event, Identity, Kind, State};
use briarshift_store::Version;
use briarshift_store::registry::{Call, Member, Name, Reply, Row, Secret, Target, Value};
use briarshift_units::{
    Fingerprint, MegabitsPerSecond, Moment, RequestId, Span, StartNumber, TargetId,
};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::load::{Report, Scope};

use crate::world::{KEY, bounds, catalog, target};

/// Time between two events of the fleet.
const STEP: Span = Span::from_millis(25);
/// How long a target runs a request.
const RUN_TIME: Span = Span::from_millis(60);
const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Runners in each of the five data centres.
const RUNNERS: [usize; 5] = [1, 2, 1, 2, 2];

/// A fleet whose datagrams arrive one step after they were sent.
struct Fleet {
    now: Moment,
    vms: BTreeMap<SocketAddr, State>,
    /// VMs that neither run nor receive anything.
    stopped: BTreeSet<SocketAddr>,
    datagrams: Vec<(SocketAddr, Datagram)>,
    /// Datagrams that each VM sent, by its address.
    sent: HashMap<SocketAddr, usize>,
    log: Vec<(SocketAddr, String)>,
    /// Requests at each target, each with the VM and when it ends.
    running: BTreeMap<TargetId, Vec<(Moment, SocketAddr, Decision)>>,
    requests: u64,
    /// Sends, and those to a target over the operators' bound on its load.
    sends: usize,
    overloads: usize,
    random: u64,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let members: Vec<_> = (0..size).map(fleet_member).collect();
        let names = DATA_CENTRES.iter().zip(RUNNERS);
        let names = names.flat_map(|(name, count)| (0..count).map(move |index| (*name, index)));
        let targets: Vec<_> = names.map(|(name, index)| fleet_target(name, index)).collect();
        let named = |id: &str| Name::Target(id.parse().unwrap());
        let mut rows = vec![(Name::Catalog, catalog(1, KEY))];
        rows.extend(targets.iter().map(|(id, value)| (named(id), value.clone())));
        rows.extend(
            members.iter().map(|vm| (Name::Member(vm.vm.clone()), Value::Member(vm.clone()))),
        );
        let rows: Vec<_> = (1..)
            .zip(rows)
            .map(|(version, (name, value))| Row {
                name,
                version: Version(version),
                value: Some(value),
            })
            .collect();
        let mut fleet = Self {
            now: Moment(10_000_000),
            vms: BTreeMap::new(),
            stopped: BTreeSet::new(),
            datagrams: Vec::new(),
            sent: HashMap::new(),
            log: Vec::new(),
            running: targets.iter().map(|(id, _)| (id.parse().unwrap(), Vec::new())).collect(),
            requests: 0,
            sends: 0,
            overloads: 0,
            random: 1,
        };
        for member in members {
            let address = member.address;
            fleet.vms.insert(address, State::new(identity(member)));
            let version = Version(rows.len() as u64);
            let reply = Reply::Rows { rows: rows.clone(), version };
            fleet.reply(address, Call::ReadAll { newest: true }, reply);
            let reply = Reply::Rows { rows: Vec::new(), version };
            fleet.reply(address, Call::ReadCatalog { after: version }, reply);
        }
        fleet
    }

    fn reply(&mut self, vm: SocketAddr, call: Call, reply: Reply) {
        self.apply(vm, Kind::Store { call, sent: self.now, result: Ok(reply) });
    }

    fn apply(&mut self, vm: SocketAddr, kind: Kind) {
        let event = Event { at: self.now, entropy: self.draw(), kind };
        let Some(state) = self.vms.get_mut(&vm) else { return };
        for effect in state.apply(event) {
            match effect {
                Effect::Send { address, datagram } => self.send(vm, address, datagram),
                Effect::Broadcast { addresses, datagram } => {
                    for address in addresses {
                        self.send(vm, address, datagram.clone());
                    }
                }
                Effect::Decide { decision: Decision::Send(send), .. } => {
                    self.record_send(vm, Decision::Send(send));
                }
                Effect::Log(record) => self.log.push((vm, record.to_string())),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, datagram: Datagram) {
        *self.sent.entry(from).or_default() += 1;
        self.datagrams.push((to, datagram));
    }

    fn record_send(&mut self, vm: SocketAddr, decision: Decision) {
        let Decision::Send(send) = &decision else { return };
        let mean = self.running.values().map(Vec::len).sum::<usize>() as f64
            / self.running.len().max(1) as f64;
        let end = self.now + RUN_TIME;
        let running = self.running.get_mut(&send.target).unwrap();
        running.push((end, vm, decision));
        self.sends += 1;
        if 2.0 * mean + 3.0 < running.len() as f64 {
            self.overloads += 1;
        }
    }

    /// Lets time pass. `arrivals` callers per step turn to VMs drawn at random.
    fn run(&mut self, length: Span, arrivals: f64) {
        let end = self.now + length;
        let mut due = 0.0;
        while self.now < end {
            self.now = self.now + STEP;
            for (to, datagram) in std::mem::take(&mut self.datagrams) {
                if !self.stopped.contains(&to) {
                    self.apply(to, Kind::Datagram(datagram));
                }
            }
            self.end_requests();
            let vms: Vec<_> =
                self.vms.keys().filter(|vm| !self.stopped.contains(vm)).copied().collect();
            due += arrivals;
            while 1.0 <= due {
                due -= 1.0;
                let vm = vms[self.draw() as usize % vms.len()];
                self.arrive(vm);
            }
            for vm in vms {
                self.apply(vm, Kind::Tick);
            }
        }
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let mut ended = Vec::new();
        for running in self.running.values_mut() {
            let (done, rest) = running.drain(..).partition(|(end, ..)| *end <= now);
            *running = rest;
            ended.extend::<Vec<_>>(done);
        }
        for (_, vm, decision) in ended {
            let Decision::Send(send) = decision else { continue };
            let end = End::Complete { ok: true };
            self.apply(vm, Kind::Request(Request::SendEnded { id: send.id, end, report: None }));
        }
    }

    fn arrive(&mut self, vm: SocketAddr) {
        self.requests += 1;
        let arrival = Arrival {
            request: RequestId(self.requests),
            attempt: format!("a{}", self.requests).parse().unwrap(),
            at: self.now,
            host: "shop.example".into(),
            path: "/open/a".into(),
            key: None,
            deadline: None,
            parts: Vec::new(),
            fingerprint: Fingerprint(self.requests),
        };
        self.apply(vm, Kind::Request(Request::Arrived(arrival)));
    }

    /// Returns the relays to which the VMs of the first data centre last turned.
    fn relays(&self) -> BTreeSet<String> {
        let mut last = BTreeMap::new();
        for (vm, line) in &self.log {
            let Some(rest) = line.strip_prefix("event=relay relay=") else { continue };
            last.insert(*vm, rest.split_whitespace().next().unwrap_or_default().to_owned());
        }
        let is_here = |vm: &SocketAddr| !self.stopped.contains(vm) && data_centre(*vm) == "a";
        last.into_iter().filter(|(vm, _)| is_here(vm)).map(|(_, relay)| relay).collect()
    }

    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.{}.{}:1", index / 250, index % 250 + 1).parse().unwrap()
}

fn data_centre(vm: SocketAddr) -> &'static str {
    let index = (0..).find(|index| address(*index) == vm).unwrap();
    DATA_CENTRES[index % 5]
}

fn fleet_member(index: usize) -> Member {
    Member {
        vm: format!("vm-{index}").parse().unwrap(),
        start: StartNumber(1),
        data_centre: DATA_CENTRES[index % 5].parse().unwrap(),
        address: address(index),
        link: MegabitsPerSecond(100),
    }
}

fn fleet_target(data_centre: &str, index: usize) -> (String, Value) {
    let id = format!("t-{data_centre}-{index}");
    let Value::Target(base) = target(&id, "desk") else { unreachable!() };
    let value = Target { data_centre: data_centre.parse().unwrap(), slots: 6, ..base };
    (id, Value::Target(value))
}

fn identity(member: Member) -> Identity {
    Identity {
        vm: member.vm,
        start: member.start,
        data_centre: member.data_centre,
        address: member.address,
        link: member.link,
        secret: Secret([1; 32]),
        bounds: bounds(),
    }
}

/// 120 VMs, each with a few requests a second, and eight runners that are half
/// occupied. With loads from heartbeats alone, which are 1.2 s apart, one send in
/// five went to a runner with more than twice the mean load and three requests:
/// each VM took the runner in its own data centre for idle.
#[test]
fn vms_that_decide_at_once_do_not_overload_a_runner() {
    let mut fleet = Fleet::new(120);
    fleet.run(Span::from_secs(3), 0.0);
    fleet.run(Span::from_secs(4), 9.0);
    let share = fleet.overloads as f64 / fleet.sends as f64;
    assert!(share < 0.03, "{} of {} sends", fleet.overloads, fleet.sends);
}

#[test]
fn vms_of_a_data_centre_use_one_relay_and_its_successor() {
    let mut fleet = Fleet::new(60);
    fleet.run(Span::from_secs(3), 0.0);
    let first = fleet.relays();
    assert_eq!(first.len(), 1, "{first:?}");
    let relay = (0..60).find(|index| first.contains(&format!("vm-{index}"))).unwrap();
    fleet.stopped.insert(address(relay));
    fleet.run(Span::from_millis(1_500), 0.0);
    let second = fleet.relays();
    assert_eq!(second.len(), 1, "{second:?}");
    assert!(first.is_disjoint(&second));
}

/// A VM that is no relay sends a few reports a second, whatever the fleet's size.
#[test]
fn reports_cost_a_vm_the_same_in_a_larger_fleet() {
    for size in [60, 120] {
        let mut fleet = Fleet::new(size);
        fleet.run(Span::from_secs(3), 0.0);
        fleet.sent.clear();
        fleet.run(Span::from_secs(4), 0.0);
        // A hundred heartbeats, five reports and five sync requests a second.
        let mut counts: Vec<_> = fleet.sent.values().copied().collect();
        counts.sort_unstable();
        assert!(counts[size / 2] <= 4 * 115, "{size} VMs: {}", counts[size / 2]);
    }
}

fn load_report(from: &str, sequence: u64, scope: Scope, requests: u32) -> Kind {
    let target = briarshift_wire::heartbeat::TargetHash::of("t-1");
    Kind::Datagram(Datagram::LoadReport(Report {
        from: from.parse().unwrap(),
        start: StartNumber(1),
        sequence,
        scope,
        loads: vec![briarshift_wire::heartbeat::Load { target, requests, backlog: 0 }],
    }))
}

/// Returns the load with which the next request is placed.
fn placed_load(world: &mut crate::world::World) -> u32 {
    world.arrive("/open/a");
    let line = world.log.iter().rev().find(|line| line.starts_with("event=placed")).unwrap();
    let load = line.split_whitespace().find_map(|pair| pair.strip_prefix("load="));
    load.unwrap().parse().unwrap()
}

#[test]
fn a_sum_is_used_while_it_is_recent_and_never_goes_back() {
    let mut world = crate::world::World::new(&["t-1"]);
    world.change_row(Name::Member("vm-2".parse().unwrap()), Some(crate::world::member("vm-2")));
    world.apply(load_report("vm-2", 2, Scope::Fleet, 9));
    assert_eq!(placed_load(&mut world), 9);
    world.apply(load_report("vm-2", 1, Scope::Fleet, 90));
    assert_eq!(placed_load(&mut world), 10);
    world.advance(1_000);
    assert_eq!(placed_load(&mut world), 2);
    world.apply(load_report("vm-9", 5, Scope::Fleet, 70));
    assert_eq!(placed_load(&mut world), 3);
}
