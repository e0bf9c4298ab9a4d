//! Chats, engines and virtual time around a policy.
//!
//! Each chat asks, waits for its answer, pauses and returns, so load follows
//! from the number of chats. Engines are fakes that hold requests and
//! contexts. Reports, lists and messages arrive late. What is measured is
//! measured on the engines, not in the policy.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

use briarshift_control::Record;
use briarshift_settings::Document;
use briarshift_units::{ChatKey, Moment, PoolId, RequestId, Span, StartNumber, TargetId, VmId};
use briarshift_wire::reservation::Requirements;
use briarshift_wire::{Frame, Message};
use fastrand::Rng;

use crate::document::{ACCOUNTS, FACTOR, NIGHT, SURGING, account, weight};
use crate::engine::Engine;
use crate::fleet::vm_id;
use crate::measure::{Row, percentile};
use crate::policy::{Action, Fact, Known, Maker, Policy};
use crate::scenario::{Scenario, Trouble};
use crate::trouble::{Script, Step};

/// Bytes of one datagram beside its frame: IP, UDP, QUIC and its tag.
const DATAGRAM: u64 = 60;
/// From a VM to an engine or back.
const TO_ENGINE: Span = Span::from_millis(1);
/// From VM to VM, least and most.
const TO_VM: [u64; 2] = [1_000, 2_000];
/// Time between two ticks of a VM.
const TICK: Span = Span::from_millis(5);
/// Time between two reports of an engine.
const REPORT: Span = Span::from_millis(500);
/// Time between two looks at the engines.
const SAMPLE: Span = Span::from_millis(100);
/// After a change of lists, placements may be off for so long.
const SETTLING: Span = Span::from_secs(2);
/// Contexts that an engine has room for, as a multiple of its share.
const ROOM: usize = 2;
/// Mean time of an overnight answer.
const NIGHT_ANSWER: Span = Span::from_secs(60);
/// Overnight chats for each engine.
const NIGHT_CHATS: usize = 6;
/// How many times its usual pace the surging account takes.
const SURGE: f64 = 8.0;
/// Share of answers that are long, and their length over the mean.
const LONG: [f64; 2] = [0.3, 2.27];

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Reach(RequestId),
    Finish(RequestId, StartNumber),
    Ended(RequestId, bool),
    Deliver(usize, VmId, Message),
    Reports(usize),
    Tick(usize),
    Sample,
    Step(Step),
}

#[derive(Debug)]
struct Chat {
    key: ChatKey,
    account: usize,
    home: Option<(TargetId, StartNumber)>,
    pace: f64,
}

#[derive(Debug)]
struct Job {
    chat: usize,
    vm: usize,
    ask: Requirements,
    arrived: Moment,
    target: Option<TargetId>,
    running: bool,
    waited: Option<Span>,
}

/// The engines at a moment, as reports and the platform's list show them.
#[derive(Debug, Clone)]
struct Snapshot {
    at: Moment,
    known: Vec<Known>,
    listed: Vec<(TargetId, bool)>,
}

/// A run in progress.
pub struct World<'a> {
    pub(crate) at: Moment,
    pub(crate) rng: Rng,
    pub(crate) engines: BTreeMap<TargetId, Engine>,
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) live_vms: Vec<bool>,
    pub(crate) hidden_vms: Vec<Vec<usize>>,
    pub(crate) hidden_engines: Vec<Vec<TargetId>>,
    pub(crate) changed_at: Option<Moment>,
    pub(crate) surging: bool,
    scenario: &'a Scenario,
    pool: PoolId,
    chats: Vec<Chat>,
    jobs: BTreeMap<RequestId, Job>,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    snapshots: VecDeque<Snapshot>,
    lags: Vec<Span>,
    trace: bool,
    row: Row,
    returns: [u64; 3],
    waits: [Vec<f64>; 2],
    bytes: Vec<u64>,
    skews: Vec<f64>,
    window: f64,
    samples: u64,
    load: f64,
}

impl<'a> World<'a> {
    /// Runs a scenario with a policy.
    pub fn run(
        scenario: &'a Scenario,
        make: Maker,
        document: &Rc<Document>,
        seed: u64,
        trace: bool,
    ) -> Row {
        let mut world = Self::new(scenario, make, document, seed, trace);
        let end = Moment(0) + scenario.warm_up + scenario.measured;
        while let Some(Reverse((at, id))) = world.queue.pop() {
            if end < at {
                break;
            }
            world.at = at;
            if let Some(event) = world.events.remove(&id) {
                world.apply(event);
            }
        }
        world.finish()
    }

    fn new(
        scenario: &'a Scenario,
        make: Maker,
        document: &Rc<Document>,
        seed: u64,
        trace: bool,
    ) -> Self {
        let mut rng = Rng::with_seed(seed);
        let policy = make(scenario.vms, document, seed);
        let capacity = scenario.chats * ROOM;
        let engines = (0..scenario.engines).map(|index| Engine::new(index, capacity));
        let lags = (0..scenario.vms).map(|_| scenario.lag + Span(rng.u64(0..100_000)));
        let row = Row {
            scenario: scenario.name.to_owned(),
            policy: policy.name().to_owned(),
            seed,
            vms: scenario.vms,
            engines: scenario.engines,
            bound: FACTOR,
            ..Row::default()
        };
        let mut world = Self {
            at: Moment(0),
            engines: engines.map(|engine| (engine.id.clone(), engine)).collect(),
            live_vms: vec![true; scenario.vms],
            hidden_vms: vec![Vec::new(); scenario.vms],
            hidden_engines: vec![Vec::new(); scenario.vms],
            changed_at: None,
            surging: false,
            pool: document.pools[0].id.clone(),
            chats: Vec::new(),
            jobs: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            snapshots: VecDeque::new(),
            lags: lags.collect(),
            trace,
            row,
            returns: [0; 3],
            waits: [Vec::new(), Vec::new()],
            bytes: vec![0; scenario.vms],
            skews: Vec::new(),
            window: 0.0,
            samples: 0,
            load: 0.0,
            rng,
            policy,
            scenario,
        };
        world.open();
        world
    }

    fn open(&mut self) {
        self.sample();
        for vm in 0..self.scenario.vms {
            self.tell_vms(vm);
            self.report(vm);
            if self.policy.is_distributed() {
                let phase = self.rng.u64(0..TICK.0);
                self.schedule(Span(phase), Event::Tick(vm));
            }
        }
        let weights: f64 = (0..ACCOUNTS).map(weight).sum();
        for _ in 0..self.scenario.chats * self.scenario.engines {
            let mut drawn = self.rng.f64() * weights;
            let mut owners = (0..ACCOUNTS).filter(|&index| {
                drawn -= weight(index);
                drawn < 0.0
            });
            let owner = owners.next().unwrap_or(0);
            drop(owners);
            let cycle = (self.scenario.pause + self.scenario.answer).0;
            let first = self.rng.u64(0..cycle);
            self.add_chat(owner, Span(first));
        }
        if self.scenario.trouble == Trouble::Overnight {
            for _ in 0..NIGHT_CHATS * self.scenario.engines {
                let first = self.rng.u64(0..NIGHT_ANSWER.0 / 4);
                self.add_chat(NIGHT, Span(first));
            }
        }
        let script = Script::new(self.scenario, &mut self.rng);
        for (after, step) in script.steps {
            self.schedule(after, Event::Step(step));
        }
    }

    fn add_chat(&mut self, account: usize, first: Span) {
        let key = ChatKey(self.rng.u64(..));
        let pace = 0.5 + self.rng.f64();
        self.chats.push(Chat { key, account, home: None, pace });
        self.schedule(first, Event::Arrive(self.chats.len() - 1));
    }

    pub(crate) fn schedule_step(&mut self, after: Span, step: Step) {
        self.schedule(after, Event::Step(step));
    }

    fn schedule(&mut self, after: Span, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((self.at + after, self.next)));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(chat) => self.arrive(chat),
            Event::Reach(request) => self.reach(request),
            Event::Finish(request, start) => self.finish_job(request, start),
            Event::Ended(request, whole) => self.ended(request, whole),
            Event::Deliver(vm, from, message) => {
                if self.live_vms[vm] {
                    self.call(|policy, at, out| policy.deliver(at, vm, from, message, out));
                }
            }
            Event::Reports(vm) => self.report(vm),
            Event::Tick(vm) => {
                if self.live_vms[vm] {
                    self.call(|policy, at, out| policy.tick(at, vm, out));
                }
                self.schedule(TICK, Event::Tick(vm));
            }
            Event::Sample => self.sample(),
            Event::Step(step) => step.apply(self),
        }
    }

    fn is_measuring(&self) -> bool {
        Moment(0) + self.scenario.warm_up <= self.at
    }

    /// An exponentially distributed time.
    fn draw(&mut self, mean: Span) -> Span {
        let u = 1.0 - self.rng.f64();
        Span((-u.ln() * mean.0 as f64) as u64)
    }

    fn arrive(&mut self, chat: usize) {
        let live: Vec<_> = (0..self.live_vms.len()).filter(|&vm| self.live_vms[vm]).collect();
        let vm = live[self.rng.usize(0..live.len())];
        let row = &self.chats[chat];
        let ask = Requirements {
            request: RequestId(self.rng.u64(..)),
            pool: self.pool.clone(),
            account: account(row.account),
            chat: row.key,
            cached_on: row.home.clone(),
            overnight: row.account == NIGHT,
            avoid: Vec::new(),
        };
        let request = ask.request;
        let arrived = self.at;
        let job =
            Job { chat, vm, ask: ask.clone(), arrived, target: None, running: false, waited: None };
        self.jobs.insert(request, job);
        self.row.requests_per_s += f64::from(u8::from(self.is_measuring()));
        self.show_truth();
        self.call(|policy, at, out| policy.arrive(at, vm, ask, out));
    }

    fn again(&mut self, request: RequestId) {
        let Some(job) = self.jobs.get(&request) else { return };
        let (vm, ask) = (job.vm, job.ask.clone());
        self.show_truth();
        self.call(|policy, at, out| policy.arrive(at, vm, ask, out));
    }

    fn show_truth(&mut self) {
        if !self.policy.is_oracle() {
            return;
        }
        let facts = self
            .engines
            .values()
            .filter_map(|engine| Some(Fact { id: engine.id.clone(), report: engine.report()? }));
        let facts: Vec<_> = facts.collect();
        self.call(|policy, at, out| policy.truth(at, &facts, out));
    }

    fn call(&mut self, apply: impl FnOnce(&mut dyn Policy, Moment, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        apply(&mut *self.policy, self.at, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Place(request, target) => self.place(request, target),
            Action::Deny(request, denial) => {
                let Some(job) = self.jobs.remove(&request) else { return };
                if self.trace {
                    println!("{} denied request={request} reason={denial:?}", self.at);
                }
                if self.is_measuring() {
                    self.row.shed += 1;
                    let usual = self.chats[job.chat].account != SURGING;
                    self.row.shed_others += u64::from(usual);
                }
                let pause = self.pause(job.chat);
                self.schedule(pause, Event::Arrive(job.chat));
            }
            Action::Send(from, to, message) => self.send(from, &to, message),
            Action::Log(vm, record) => self.log(vm, &record),
        }
    }

    fn log(&self, vm: usize, record: &Record) {
        if self.trace {
            println!("{} vm-{vm} {record}", self.at);
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: Message) {
        if self.is_measuring() {
            let frame = Frame::encode(&message).expect("placement messages are small");
            self.bytes[from] += frame.as_bytes().len() as u64 + DATAGRAM;
        }
        let to = to.as_str().trim_start_matches("vm-").parse().expect("a VM's index");
        let delay = Span(self.rng.u64(TO_VM[0]..TO_VM[1]));
        self.schedule(delay, Event::Deliver(to, vm_id(from), message));
    }

    fn place(&mut self, request: RequestId, target: TargetId) {
        let at = self.at;
        let Some(job) = self.jobs.get_mut(&request) else { return };
        job.target = Some(target);
        job.waited.get_or_insert(at.since(job.arrived));
        if self.policy.is_oracle() {
            self.reach(request);
        } else {
            self.schedule(TO_ENGINE, Event::Reach(request));
        }
    }

    fn reach(&mut self, request: RequestId) {
        let measuring = self.is_measuring();
        let Some(job) = self.jobs.get_mut(&request) else { return };
        let Some(target) = job.target.clone() else { return };
        let key = job.ask.chat;
        let first_try = job.ask.avoid.is_empty();
        let night = job.ask.overnight;
        let returns = job.ask.cached_on.is_some();
        if !self.engines.get(&target).is_some_and(|engine| engine.up) {
            self.schedule(TO_ENGINE, Event::Ended(request, false));
            return;
        }
        job.running = true;
        let waited = job.waited.unwrap_or_default();
        let held = self.engines.values().any(|engine| engine.is_open() && engine.holds(key));
        let Some(engine) = self.engines.get_mut(&target) else { return };
        engine.running.insert(request);
        let (hit, start) = (engine.holds(key), engine.start);
        let load = engine.running.len() as u32;
        if measuring {
            if first_try {
                self.waits[usize::from(night)].push(waited.0 as f64 / 1e3);
                self.row.overnight_placed += u64::from(night);
            }
            if returns {
                self.returns[0] += u64::from(held);
                self.returns[1] += u64::from(held && hit);
                self.returns[2] += 1;
                self.row.reuse_all += f64::from(u8::from(hit));
            }
            self.judge(request, &target, load);
        }
        let answer = self.answer(night);
        self.schedule(answer, Event::Finish(request, start));
    }

    /// Checks an arrival against the bound, as the engines stand now.
    fn judge(&mut self, request: RequestId, target: &TargetId, load: u32) {
        self.row.assignments += 1;
        let open = self.engines.values().filter(|engine| engine.is_open());
        let loads: Vec<_> = open.map(|engine| engine.running.len() as u32).collect();
        let total: u32 = loads.iter().sum();
        let mean = f64::from(total) / loads.len().max(1) as f64;
        let cap = (FACTOR * mean).ceil() as u32;
        if load <= cap {
            return;
        }
        self.row.bound_violations += 1;
        self.row.bound_excess_max = self.row.bound_excess_max.max(load - cap);
        let changed = self.changed_at.is_some_and(|at| self.at.since(at) <= SETTLING);
        self.row.bound_violations_late += u64::from(!changed);
        if self.trace {
            let age = self.changed_at.map_or(Span::ZERO, |at| self.at.since(at));
            println!(
                "{} above request={request} target={target} load={load} cap={cap} total={total} changed={age}",
                self.at
            );
        }
    }

    fn answer(&mut self, night: bool) -> Span {
        if night {
            return self.draw(NIGHT_ANSWER);
        }
        let mean = self.scenario.answer.0 as f64;
        let long = self.rng.f64() < LONG[0];
        let short = (1.0 - LONG[0] * LONG[1]) / (1.0 - LONG[0]);
        self.draw(Span((mean * if long { LONG[1] } else { short }) as u64))
    }

    fn pause(&mut self, chat: usize) -> Span {
        let row = &self.chats[chat];
        if row.account == NIGHT {
            return self.draw(Span::from_secs(1));
        }
        let hurry = if self.surging && row.account == SURGING { SURGE } else { 1.0 };
        let mean = self.scenario.pause.0 as f64 * row.pace / hurry;
        self.draw(Span(mean as u64))
    }

    fn finish_job(&mut self, request: RequestId, start: StartNumber) {
        let Some(job) = self.jobs.get(&request).filter(|job| job.running) else { return };
        let engine = job.target.as_ref().and_then(|id| self.engines.get_mut(id));
        let Some(engine) = engine.filter(|engine| engine.start == start) else { return };
        if !engine.running.remove(&request) {
            return;
        }
        engine.keep(job.ask.chat);
        self.chats[job.chat].home = Some((engine.id.clone(), engine.start));
        if self.policy.is_oracle() {
            self.ended(request, true);
        } else {
            self.schedule(TO_ENGINE, Event::Ended(request, true));
        }
    }

    fn ended(&mut self, request: RequestId, whole: bool) {
        let Some(job) = self.jobs.get_mut(&request) else { return };
        let (vm, chat) = (job.vm, job.chat);
        if whole {
            self.jobs.remove(&request);
            let pause = self.pause(chat);
            self.schedule(pause, Event::Arrive(chat));
        } else {
            job.running = false;
            let target = job.target.take();
            job.ask.avoid.extend(target.clone());
            if let Some(target) = target {
                self.policy.suspect(vm, &target);
            }
        }
        self.call(|policy, at, out| policy.end(at, vm, request, out));
        if whole {
            self.show_truth();
        } else {
            self.again(request);
        }
    }

    /// An engine is gone: what ran there is broken off.
    pub(crate) fn break_off(&mut self, requests: Vec<RequestId>) {
        for request in requests {
            self.schedule(TO_ENGINE, Event::Ended(request, false));
        }
    }

    /// A VM is gone: its callers come again elsewhere.
    pub(crate) fn lose_vm(&mut self, vm: usize) {
        self.live_vms[vm] = false;
        let lost = self.jobs.iter().filter(|(_, job)| job.vm == vm);
        let lost: Vec<_> = lost.map(|(request, _)| *request).collect();
        for request in lost {
            let Some(job) = self.jobs.remove(&request) else { continue };
            if let Some(engine) = job.target.and_then(|id| self.engines.get_mut(&id)) {
                engine.running.remove(&request);
            }
            let pause = Span(self.rng.u64(0..2_000_000));
            self.schedule(pause, Event::Arrive(job.chat));
        }
    }

    /// Tells a VM which others are live.
    pub(crate) fn tell_vms(&mut self, vm: usize) {
        let seen = (0..self.live_vms.len()).filter(|&other| {
            other != vm && self.live_vms[other] && !self.hidden_vms[vm].contains(&other)
        });
        let seen: Vec<_> = seen.map(vm_id).collect();
        self.policy.vms(self.at, vm, &seen);
    }

    fn report(&mut self, vm: usize) {
        self.schedule(REPORT, Event::Reports(vm));
        let until = Moment(self.at.0.saturating_sub(self.lags[vm].0));
        let past = self.snapshots.iter().rev().find(|snapshot| snapshot.at <= until);
        let Some(mut snapshot) = past.or(self.snapshots.front()).cloned() else { return };
        for known in &mut snapshot.known {
            if self.hidden_engines[vm].contains(&known.id) {
                known.report = None;
            }
        }
        self.policy.engines(self.at, vm, &snapshot.listed);
        self.call(|policy, at, out| policy.reports(at, vm, &snapshot.known, out));
    }

    fn sample(&mut self) {
        self.schedule(SAMPLE, Event::Sample);
        let listed = self.engines.values().filter(|engine| engine.listed);
        let known = listed.clone().map(|engine| Known {
            id: engine.id.clone(),
            report: engine.report(),
            taken_at: self.at,
        });
        let list = listed.map(|engine| (engine.id.clone(), engine.leaving));
        let (known, listed) = (known.collect(), list.collect());
        self.snapshots.push_back(Snapshot { at: self.at, known, listed });
        if 40 < self.snapshots.len() {
            self.snapshots.pop_front();
        }
        if !self.is_measuring() {
            return;
        }
        let open = self.engines.values().filter(|engine| engine.is_open());
        let loads: Vec<_> = open.map(|engine| engine.running.len() as f64).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let most = loads.iter().copied().fold(0.0, f64::max);
        self.window = self.window.max(most / mean.max(1.0));
        self.load += mean;
        self.samples += 1;
        if self.samples.is_multiple_of(10) {
            self.skews.push(self.window);
            self.window = 0.0;
        }
    }

    fn finish(mut self) -> Row {
        let seconds = self.scenario.measured.as_secs_f64();
        let [held, reused, all] = self.returns.map(|count| count.max(1) as f64);
        self.row.reuse = reused / held;
        self.row.reuse_all /= all;
        self.row.skew_max_over_mean = self.skews.iter().copied().fold(0.0, f64::max);
        self.row.skew_p99 = percentile(&mut self.skews, 0.99);
        self.row.queue_wait_ms_p50 = percentile(&mut self.waits[0], 0.5);
        self.row.queue_wait_ms_p99 = percentile(&mut self.waits[0], 0.99);
        self.row.overnight_wait_ms_p50 = percentile(&mut self.waits[1], 0.5);
        self.row.overnight_wait_ms_p99 = percentile(&mut self.waits[1], 0.99);
        let bytes: u64 = self.bytes.iter().sum();
        let vms = self.scenario.vms as f64;
        self.row.control_bytes_per_s_per_vm = bytes as f64 / seconds / vms;
        let most = self.bytes.iter().max().copied().unwrap_or(0);
        self.row.control_bytes_per_s_max = most as f64 / seconds;
        self.row.requests_per_s /= seconds;
        self.row.mean_load = self.load / self.samples.max(1) as f64;
        self.row
    }
}
