//! Drives the reducers of a whole fleet, its store and its targets in virtual
//! time.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use briarshift_gateway::request::{Arrival, Decision, End, Event as Request, Send};
use briarshift_gateway::{Bounds, Effect, Event, Features, Identity, Kind, State};
use briarshift_store::registry::{Call, Member, Name, Reply, Row, Secret, Target, Value};
use briarshift_store::{Error, Lease, LeaseId, Position, Version};
use briarshift_units::{
    Fingerprint, MegabitsPerSecond, Moment, RequestId, Span, StartNumber, TargetId,
};
use briarshift_wire::datagram::Datagram;

use crate::world::{KEY, answer, bounds, catalog, target};

/// Time between two events of the fleet.
const STEP: Span = Span::from_millis(25);
/// How long the store takes to reply with all rows.
const FULL_READ_TIME: Span = Span::from_millis(400);
/// The operators' bound on changes.
pub const CHANGE: Span = Span::from_secs(3);
/// How long a target runs a request.
const RUN_TIME: Span = Span::from_millis(60);
const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Runners in each of the five data centres.
const RUNNERS: [usize; 5] = [1, 2, 1, 2, 2];

/// A fleet whose datagrams arrive one step after they were sent.
pub struct Fleet {
    pub now: Moment,
    pub vms: BTreeMap<SocketAddr, State>,
    /// VMs that neither run nor receive anything.
    pub stopped: BTreeSet<SocketAddr>,
    pub datagrams: Vec<(SocketAddr, Datagram)>,
    /// Datagrams that each VM sent, by its address.
    pub sent: HashMap<SocketAddr, usize>,
    pub log: Vec<(SocketAddr, String)>,
    /// Calls to the store that read changes.
    pub reads: usize,
    /// VMs that made them.
    pub readers: BTreeSet<SocketAddr>,
    /// VMs whose calls to the store fail.
    pub cut_from_store: BTreeSet<SocketAddr>,
    /// Data centres that reach no other one.
    pub cut_off: BTreeSet<&'static str>,
    /// Reads of all rows.
    pub full_reads: usize,
    calls: Vec<(SocketAddr, Call, Moment)>,
    rows: Vec<Row>,
    /// The store's version, and the oldest one whose changes it still has.
    version: u64,
    history: u64,
    /// Requests at each target, each with the VM and when it ends.
    pub running: BTreeMap<TargetId, Vec<(Moment, SocketAddr, Decision)>>,
    requests: u64,
    /// The latest send.
    pub last_send: Option<Send>,
    /// Sends, and those to a target over the operators' bound on its load.
    pub sends: usize,
    pub overloads: usize,
    random: u64,
}

impl Fleet {
    pub fn new(size: usize) -> Self {
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
                version: Position::first(version),
                created: Version(version),
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
            reads: 0,
            readers: BTreeSet::new(),
            cut_from_store: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            full_reads: 0,
            calls: Vec::new(),
            rows: rows.clone(),
            version: rows.len() as u64,
            history: 0,
            running: targets.iter().map(|(id, _)| (id.parse().unwrap(), Vec::new())).collect(),
            requests: 0,
            last_send: None,
            sends: 0,
            overloads: 0,
            random: 1,
        };
        for member in members {
            let address = member.address;
            fleet.vms.insert(address, State::new(identity(member)));
            let version = Position::first(rows.len() as u64);
            let reply = Reply::Rows { rows: rows.clone(), version };
            fleet.reply(address, Call::ReadAll { newest: true }, reply);
            let reply = Reply::Rows { rows: Vec::new(), version };
            fleet.reply(address, Call::ReadCatalog { after: version }, reply);
        }
        fleet
    }

    fn reply(&mut self, vm: SocketAddr, call: Call, reply: Reply) {
        self.apply(vm, Kind::Store { call, sent: self.now, answer: answer(Ok(reply)) });
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
                Effect::Call(call) => self.calls.push((vm, call, self.now)),
                Effect::Log(record) => self.log.push((vm, record.to_string())),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, datagram: Datagram) {
        *self.sent.entry(from).or_default() += 1;
        let (here, there) = (data_centre(from), data_centre(to));
        if here != there && (self.cut_off.contains(here) || self.cut_off.contains(there)) {
            return;
        }
        self.datagrams.push((to, datagram));
    }

    fn record_send(&mut self, vm: SocketAddr, decision: Decision) {
        let Decision::Send(send) = &decision else { return };
        let mean = self.running.values().map(Vec::len).sum::<usize>() as f64
            / self.running.len().max(1) as f64;
        let end = self.now + RUN_TIME;
        self.last_send = Some(send.clone());
        let running = self.running.get_mut(&send.target).unwrap();
        running.push((end, vm, decision));
        self.sends += 1;
        if 2.0 * mean + 3.0 < running.len() as f64 {
            self.overloads += 1;
        }
    }

    /// Lets time pass. `arrivals` callers per step turn to VMs drawn at random.
    pub fn run(&mut self, length: Span, arrivals: f64) {
        let end = self.now + length;
        let mut due = 0.0;
        while self.now < end {
            self.now = self.now + STEP;
            for (to, datagram) in std::mem::take(&mut self.datagrams) {
                if !self.stopped.contains(&to) {
                    self.apply(to, Kind::Datagram(datagram));
                }
            }
            self.reply_to_calls();
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

    /// Writes a row to the store, or deletes it.
    pub fn write(&mut self, name: Name, value: Option<Value>) {
        self.version += 1;
        self.rows.retain(|row| row.name != name);
        let version = Position::first(self.version);
        let created = Version(if value.is_some() { self.version } else { 0 });
        self.rows.push(Row { name, version, created, value });
    }

    /// Returns the rows that a call reads from the store.
    fn read(&self, call: &Call) -> Vec<Row> {
        let is_read = |row: &&Row| match call {
            Call::ReadAll { .. } => row.value.is_some(),
            Call::ReadChanges { after, .. } => *after < row.version,
            Call::ReadCatalog { after } => {
                *after < row.version && matches!(row.name, Name::Catalog | Name::Evacuation(_))
            }
            _ => false,
        };
        self.rows.iter().filter(is_read).cloned().collect()
    }

    /// Makes the store drop its history.
    pub fn compact(&mut self) {
        self.version += 1;
        self.history = self.version;
    }

    /// Replies to the calls of the last step, and to reads of all rows after
    /// [`FULL_READ_TIME`].
    fn reply_to_calls(&mut self) {
        let is_due = |(_, call, sent): &(SocketAddr, Call, Moment)| {
            !matches!(call, Call::ReadAll { .. }) || FULL_READ_TIME <= self.now.since(*sent)
        };
        let (due, rest) = std::mem::take(&mut self.calls).into_iter().partition(is_due);
        self.calls = rest;
        for (vm, call, sent) in due {
            if self.stopped.contains(&vm) {
                continue;
            }
            let version = Position::first(self.version);
            let rows = Ok(Reply::Rows { rows: self.read(&call), version });
            let lease = Lease { id: LeaseId(1), ttl: Span::from_secs(30) };
            let result = match &call {
                _ if self.cut_from_store.contains(&vm) => Err(Error::Unknown("cut off".into())),
                Call::ReadChanges { after, .. } if after.revision < self.history => {
                    Err(Error::Compacted)
                }
                Call::ReadAll { .. } | Call::ReadChanges { .. } | Call::ReadCatalog { .. } => rows,
                Call::Grant { .. } | Call::Renew { .. } => Ok(Reply::Leased(lease)),
                _ => Ok(Reply::Done),
            };
            self.full_reads += usize::from(matches!(call, Call::ReadAll { .. }));
            if matches!(call, Call::ReadChanges { .. }) {
                self.reads += 1;
                self.readers.insert(vm);
            }
            self.apply(vm, Kind::Store { call, sent, answer: answer(result) });
        }
    }

    /// Returns the largest age of the configuration on any running VM, in
    /// milliseconds.
    pub fn max_age(&self) -> u64 {
        let running = self.vms.iter().filter(|(vm, _)| !self.stopped.contains(vm));
        running.map(|(_, state)| state.status(self.now).confirmed_ms_ago).max().unwrap_or(0)
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
        self.arrive_with(vm, |_| {});
    }

    pub fn arrive_with(&mut self, vm: SocketAddr, change: impl FnOnce(&mut Arrival)) {
        self.requests += 1;
        let mut arrival = Arrival {
            request: RequestId(self.requests),
            attempt: format!("a{}", self.requests).parse().unwrap(),
            at: self.now,
            host: "shop.example".into(),
            path: "/open/a".into(),
            key: None,
            deadline: None,
            parts: Vec::new(),
            length: Default::default(),
            fingerprint: Fingerprint(self.requests),
        };
        change(&mut arrival);
        self.apply(vm, Kind::Request(Request::Arrived(arrival)));
    }

    /// Returns the relays to which the VMs of the first data centre last turned.
    pub fn relays(&self) -> BTreeSet<String> {
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

pub fn address(index: usize) -> SocketAddr {
    format!("10.0.{}.{}:1", index / 250, index % 250 + 1).parse().unwrap()
}

pub fn data_centre(vm: SocketAddr) -> &'static str {
    let index = (0..).find(|index| address(*index) == vm).unwrap();
    DATA_CENTRES[index % 5]
}

fn fleet_member(index: usize) -> Member {
    Member {
        vm: format!("vm-{index}").parse().unwrap(),
        start: StartNumber(1),
        data_centre: DATA_CENTRES[index % 5].parse().unwrap(),
        address: address(index),
        link: link(index),
    }
}

/// The widest link of the first data centre is twice as wide as that of the others,
/// so that the first VM of the fleet's ranking need not be the first of its data
/// centre's.
fn link(index: usize) -> MegabitsPerSecond {
    let widest = if index.is_multiple_of(5) { 200 } else { 100 };
    MegabitsPerSecond(if (index / 5).is_multiple_of(2) { widest } else { widest / 2 })
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
        bounds: Bounds { key_age: Span::from_millis(3_600), change: CHANGE, ..bounds() },
        features: Features::default(),
    }
}
