//! A discrete-event simulation of chats and engines around a policy.
//!
//! Each chat sends a request, waits for its answer, pauses and sends the next one, so the load
//! follows from the number of chats. Engines are simulated: they hold running requests and cached
//! contexts. Load reports, lists and messages arrive with a delay. Measurements are taken on the
//! engines, not in the policy.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

use briarshift_control::Record;
use briarshift_settings::Document;
use briarshift_units::{ChatKey, Moment, PoolId, RequestId, Span, StartNumber, TargetId, VmId};
use briarshift_wire::reservation::Requirements;
use briarshift_wire::{Frame, Message};
use fastrand::Rng;

use crate::disturbance::{Change, Schedule};
use crate::document::{
    INTERACTIVE_ACCOUNTS, LOAD_FACTOR, OVERNIGHT_ACCOUNT, SURGING_ACCOUNT, account_id,
    account_weight,
};
use crate::engine::Engine;
use crate::fleet::vm_id;
use crate::policy::{Action, CurrentReport, Factory, Observation, Policy};
use crate::results::{Results, percentile};
use crate::scenario::{Disturbance, Scenario};

/// Bytes that the IP, UDP and QUIC headers and the authentication tag add to a frame.
const DATAGRAM_OVERHEAD: u64 = 60;
/// Delay from a VM to an engine or back.
const ENGINE_DELAY: Span = Span::from_millis(1);
/// Minimum and maximum delay between two VMs, in microseconds.
const VM_DELAY_US: [u64; 2] = [1_000, 2_000];
/// Time between two ticks of a VM.
const TICK_INTERVAL: Span = Span::from_millis(5);
/// Time between two deliveries of load reports to a VM.
const REPORT_INTERVAL: Span = Span::from_millis(500);
/// Time between two samples of the engines' loads.
const SAMPLE_INTERVAL: Span = Span::from_millis(100);
/// Time after a change to engines, VMs or their lists in which assignments above the bound aren't
/// counted as late.
const SETTLING_TIME: Span = Span::from_secs(2);
/// Number of contexts that an engine can hold, as a multiple of its share of the chats.
const CONTEXT_CAPACITY_FACTOR: usize = 2;
/// Mean time that an overnight answer takes.
const MEAN_OVERNIGHT_ANSWER: Span = Span::from_secs(60);
/// Number of overnight chats for each engine.
const OVERNIGHT_CHATS_PER_ENGINE: usize = 6;
/// Rate of the surging account, as a multiple of its usual rate.
const SURGE_FACTOR: f64 = 8.0;
/// Fraction of the answers that are long, and their mean length as a multiple of the overall mean.
const LONG_ANSWERS: [f64; 2] = [0.3, 2.27];

/// An event of the simulation.
#[derive(Debug)]
enum Event {
    /// A chat sends its next request to a random live VM.
    SendRequest(usize),
    /// A request reaches the engine that it was assigned to.
    ReachEngine(RequestId),
    /// The engine process with this start number has finished the answer.
    FinishAnswer(RequestId, StartNumber),
    /// The VM learns that a request has ended; true if the answer is complete.
    RequestEnded(RequestId, bool),
    /// A message reaches a VM.
    DeliverMessage(usize, VmId, Message),
    /// A VM gets the list of engines and their load reports.
    DeliverReports(usize),
    /// A VM runs its timers.
    Tick(usize),
    /// The engines' loads are sampled.
    SampleEngines,
    /// A change of the scenario takes place.
    Change(Change),
}

/// A chat that sends one request after another.
#[derive(Debug)]
struct Chat {
    key: ChatKey,
    account: usize,
    /// The engine that ran its last request.
    cached_on: Option<(TargetId, StartNumber)>,
    /// Length of its pauses, as a multiple of the mean.
    pause_factor: f64,
}

/// A request from its arrival to its answer or refusal.
#[derive(Debug)]
struct RequestState {
    chat: usize,
    vm: usize,
    requirements: Requirements,
    arrived_at: Moment,
    target: Option<TargetId>,
    running: bool,
    wait: Option<Span>,
}

/// The load reports and the platform's list of engines at one moment.
#[derive(Debug, Clone)]
struct Snapshot {
    at: Moment,
    observations: Vec<Observation>,
    engine_list: Vec<(TargetId, bool)>,
}

/// The state of a run.
pub struct Simulation<'a> {
    pub(crate) now: Moment,
    pub(crate) rng: Rng,
    pub(crate) engines: BTreeMap<TargetId, Engine>,
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) live_vms: Vec<bool>,
    /// For each VM, the VMs that are missing from its list.
    pub(crate) hidden_vms: Vec<Vec<usize>>,
    /// For each VM, the engines whose reports it doesn't get.
    pub(crate) hidden_engines: Vec<Vec<TargetId>>,
    /// Time of the last change to the engines, the VMs or their lists.
    pub(crate) fleet_changed_at: Option<Moment>,
    pub(crate) surge_active: bool,
    scenario: &'a Scenario,
    pool: PoolId,
    chats: Vec<Chat>,
    requests: BTreeMap<RequestId, RequestState>,
    /// Times and numbers of the scheduled events. Events at the same time run in the order in which
    /// they were scheduled.
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: BTreeMap<u64, Event>,
    /// Number of the event that was scheduled last.
    last_event: u64,
    snapshots: VecDeque<Snapshot>,
    /// For each VM, the age of load reports when they reach it.
    report_lags: Vec<Span>,
    trace: bool,
    results: Results,
    /// Returning requests whose context an engine that accepts requests held, those of them that
    /// ran on an engine with the context, and all returning requests.
    returns: [u64; 3],
    /// Waits for an assignment of interactive and of overnight requests, in milliseconds.
    waits: [Vec<f64>; 2],
    /// For each VM, the control bytes that it has sent.
    bytes_sent: Vec<u64>,
    /// The highest ratio of an engine's load to the mean in each window of one second.
    skews: Vec<f64>,
    /// The highest ratio in the current window.
    window_skew: f64,
    sample_count: u64,
    /// Sum over all samples of the mean load.
    load_sum: f64,
}

impl<'a> Simulation<'a> {
    /// Runs a scenario with a policy and returns the results.
    pub fn run(
        scenario: &'a Scenario,
        create: Factory,
        document: &Rc<Document>,
        seed: u64,
        trace: bool,
    ) -> Results {
        let mut simulation = Self::new(scenario, create, document, seed, trace);
        let end = Moment(0) + scenario.warm_up + scenario.measured;
        while let Some(Reverse((at, id))) = simulation.queue.pop() {
            if end < at {
                break;
            }
            simulation.now = at;
            if let Some(event) = simulation.events.remove(&id) {
                simulation.handle(event);
            }
        }
        simulation.into_results()
    }

    fn new(
        scenario: &'a Scenario,
        create: Factory,
        document: &Rc<Document>,
        seed: u64,
        trace: bool,
    ) -> Self {
        let mut rng = Rng::with_seed(seed);
        let policy = create(scenario.vms, document, seed);
        let max_contexts = scenario.chats_per_engine * CONTEXT_CAPACITY_FACTOR;
        let engines = (0..scenario.engines).map(|index| Engine::new(index, max_contexts));
        let report_lags =
            (0..scenario.vms).map(|_| scenario.report_lag + Span(rng.u64(0..100_000)));
        let results = Results {
            scenario: scenario.name.to_owned(),
            policy: policy.name().to_owned(),
            seed,
            vms: scenario.vms,
            engines: scenario.engines,
            bound: LOAD_FACTOR,
            ..Results::default()
        };
        let mut simulation = Self {
            now: Moment(0),
            engines: engines.map(|engine| (engine.id.clone(), engine)).collect(),
            live_vms: vec![true; scenario.vms],
            hidden_vms: vec![Vec::new(); scenario.vms],
            hidden_engines: vec![Vec::new(); scenario.vms],
            fleet_changed_at: None,
            surge_active: false,
            pool: document.pools[0].id.clone(),
            chats: Vec::new(),
            requests: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            snapshots: VecDeque::new(),
            report_lags: report_lags.collect(),
            trace,
            results,
            returns: [0; 3],
            waits: [Vec::new(), Vec::new()],
            bytes_sent: vec![0; scenario.vms],
            skews: Vec::new(),
            window_skew: 0.0,
            sample_count: 0,
            load_sum: 0.0,
            rng,
            policy,
            scenario,
        };
        simulation.start();
        simulation
    }

    /// Schedules the first events: samples, reports, ticks, chats and the scenario's changes.
    fn start(&mut self) {
        self.sample_engines();
        for vm in 0..self.scenario.vms {
            self.deliver_vm_list(vm);
            self.deliver_reports(vm);
            if self.policy.is_distributed() {
                let phase = self.rng.u64(0..TICK_INTERVAL.0);
                self.schedule(Span(phase), Event::Tick(vm));
            }
        }
        let weights: f64 = (0..INTERACTIVE_ACCOUNTS).map(account_weight).sum();
        for _ in 0..self.scenario.chats_per_engine * self.scenario.engines {
            let mut remaining = self.rng.f64() * weights;
            let mut accounts = (0..INTERACTIVE_ACCOUNTS).filter(|&index| {
                remaining -= account_weight(index);
                remaining < 0.0
            });
            let account = accounts.next().unwrap_or(0);
            drop(accounts);
            let mean_cycle = (self.scenario.mean_pause + self.scenario.mean_answer).0;
            let delay = self.rng.u64(0..mean_cycle);
            self.add_chat(account, Span(delay));
        }
        if self.scenario.disturbance == Disturbance::Overnight {
            for _ in 0..OVERNIGHT_CHATS_PER_ENGINE * self.scenario.engines {
                let delay = self.rng.u64(0..MEAN_OVERNIGHT_ANSWER.0 / 4);
                self.add_chat(OVERNIGHT_ACCOUNT, Span(delay));
            }
        }
        let schedule = Schedule::new(self.scenario, &mut self.rng);
        for (delay, change) in schedule.changes {
            self.schedule(delay, Event::Change(change));
        }
    }

    fn add_chat(&mut self, account: usize, delay: Span) {
        let key = ChatKey(self.rng.u64(..));
        let pause_factor = 0.5 + self.rng.f64();
        self.chats.push(Chat { key, account, cached_on: None, pause_factor });
        self.schedule(delay, Event::SendRequest(self.chats.len() - 1));
    }

    pub(crate) fn schedule_change(&mut self, delay: Span, change: Change) {
        self.schedule(delay, Event::Change(change));
    }

    fn schedule(&mut self, delay: Span, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((self.now + delay, self.last_event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendRequest(chat) => self.send_request(chat),
            Event::ReachEngine(request) => self.reach_engine(request),
            Event::FinishAnswer(request, start) => self.finish_answer(request, start),
            Event::RequestEnded(request, completed) => self.end_request(request, completed),
            Event::DeliverMessage(vm, from, message) => {
                if self.live_vms[vm] {
                    self.call_policy(|policy, now, out| {
                        policy.handle_message(now, vm, from, message, out);
                    });
                }
            }
            Event::DeliverReports(vm) => self.deliver_reports(vm),
            Event::Tick(vm) => {
                if self.live_vms[vm] {
                    self.call_policy(|policy, now, out| policy.tick(now, vm, out));
                }
                self.schedule(TICK_INTERVAL, Event::Tick(vm));
            }
            Event::SampleEngines => self.sample_engines(),
            Event::Change(change) => change.apply(self),
        }
    }

    /// Returns true after the warm-up.
    fn is_measuring(&self) -> bool {
        Moment(0) + self.scenario.warm_up <= self.now
    }

    /// Draws an exponentially distributed time.
    fn draw_exponential(&mut self, mean: Span) -> Span {
        let u = 1.0 - self.rng.f64();
        Span((-u.ln() * mean.0 as f64) as u64)
    }

    /// Sends a chat's next request to a random live VM.
    fn send_request(&mut self, index: usize) {
        let live: Vec<_> = (0..self.live_vms.len()).filter(|&vm| self.live_vms[vm]).collect();
        let vm = live[self.rng.usize(0..live.len())];
        let chat = &self.chats[index];
        let requirements = Requirements {
            request: RequestId(self.rng.u64(..)),
            pool: self.pool.clone(),
            account: account_id(chat.account),
            chat: chat.key,
            cached_on: chat.cached_on.clone(),
            overnight: chat.account == OVERNIGHT_ACCOUNT,
            avoid: Vec::new(),
        };
        let request = requirements.request;
        let arrived_at = self.now;
        let state = RequestState {
            chat: index,
            vm,
            requirements: requirements.clone(),
            arrived_at,
            target: None,
            running: false,
            wait: None,
        };
        self.requests.insert(request, state);
        self.results.requests_per_s += f64::from(u8::from(self.is_measuring()));
        self.update_oracle();
        self.call_policy(|policy, now, out| policy.handle_request(now, vm, requirements, out));
    }

    /// Passes a request to its VM again, after its engine failed.
    fn resend_request(&mut self, request: RequestId) {
        let Some(state) = self.requests.get(&request) else { return };
        let (vm, requirements) = (state.vm, state.requirements.clone());
        self.update_oracle();
        self.call_policy(|policy, now, out| policy.handle_request(now, vm, requirements, out));
    }

    /// Gives the oracle the engines' current load reports.
    fn update_oracle(&mut self) {
        if !self.policy.is_oracle() {
            return;
        }
        let reports = self.engines.values().filter_map(|engine| {
            Some(CurrentReport { id: engine.id.clone(), report: engine.report()? })
        });
        let reports: Vec<_> = reports.collect();
        self.call_policy(|policy, now, out| policy.handle_current_reports(now, &reports, out));
    }

    /// Calls the policy and performs the actions that it requests.
    fn call_policy(&mut self, call: impl FnOnce(&mut dyn Policy, Moment, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        call(&mut *self.policy, self.now, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Assign(request, target) => self.assign(request, target),
            Action::Deny(request, denial) => {
                let Some(state) = self.requests.remove(&request) else { return };
                if self.trace {
                    println!("{} denied request={request} reason={denial:?}", self.now);
                }
                if self.is_measuring() {
                    self.results.shed += 1;
                    let is_other_account = self.chats[state.chat].account != SURGING_ACCOUNT;
                    self.results.shed_others += u64::from(is_other_account);
                }
                let pause = self.draw_pause(state.chat);
                self.schedule(pause, Event::SendRequest(state.chat));
            }
            Action::Send(from, to, message) => self.send_message(from, &to, message),
            Action::Log(vm, record) => self.print_log(vm, &record),
        }
    }

    fn print_log(&self, vm: usize, record: &Record) {
        if self.trace {
            println!("{} vm-{vm} {record}", self.now);
        }
    }

    fn send_message(&mut self, from: usize, to: &VmId, message: Message) {
        if self.is_measuring() {
            let frame = Frame::encode(&message).expect("reservation messages fit a frame");
            self.bytes_sent[from] += frame.as_bytes().len() as u64 + DATAGRAM_OVERHEAD;
        }
        let to = to.as_str().trim_start_matches("vm-").parse().expect("a VM's index");
        let delay = Span(self.rng.u64(VM_DELAY_US[0]..VM_DELAY_US[1]));
        self.schedule(delay, Event::DeliverMessage(to, vm_id(from), message));
    }

    /// Sends a request to its engine.
    fn assign(&mut self, request: RequestId, target: TargetId) {
        let now = self.now;
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.target = Some(target);
        state.wait.get_or_insert(now.since(state.arrived_at));
        if self.policy.is_oracle() {
            self.reach_engine(request);
        } else {
            self.schedule(ENGINE_DELAY, Event::ReachEngine(request));
        }
    }

    /// Starts a request on its engine and records its measurements.
    fn reach_engine(&mut self, request: RequestId) {
        let is_measured = self.is_measuring();
        let Some(state) = self.requests.get_mut(&request) else { return };
        let Some(target) = state.target.clone() else { return };
        let chat = state.requirements.chat;
        let is_first_attempt = state.requirements.avoid.is_empty();
        let overnight = state.requirements.overnight;
        let is_returning = state.requirements.cached_on.is_some();
        if !self.engines.get(&target).is_some_and(|engine| engine.up) {
            self.schedule(ENGINE_DELAY, Event::RequestEnded(request, false));
            return;
        }
        state.running = true;
        let wait = state.wait.unwrap_or_default();
        let context_held = self
            .engines
            .values()
            .any(|engine| engine.accepts_requests() && engine.holds_context(chat));
        let Some(engine) = self.engines.get_mut(&target) else { return };
        engine.running.insert(request);
        let (reused, start) = (engine.holds_context(chat), engine.start);
        let load = engine.running.len() as u32;
        if is_measured {
            if is_first_attempt {
                self.waits[usize::from(overnight)].push(wait.0 as f64 / 1e3);
                self.results.overnight_placed += u64::from(overnight);
            }
            if is_returning {
                self.returns[0] += u64::from(context_held);
                self.returns[1] += u64::from(context_held && reused);
                self.returns[2] += 1;
                self.results.reuse_all += f64::from(u8::from(reused));
            }
            self.check_load_bound(request, &target, load);
        }
        let answer = self.draw_answer_time(overnight);
        self.schedule(answer, Event::FinishAnswer(request, start));
    }

    /// Counts a request that raised its engine's load above the bound, computed from the engines'
    /// current loads.
    fn check_load_bound(&mut self, request: RequestId, target: &TargetId, load: u32) {
        self.results.assignments += 1;
        let accepting = self.engines.values().filter(|engine| engine.accepts_requests());
        let loads: Vec<_> = accepting.map(|engine| engine.running.len() as u32).collect();
        let total: u32 = loads.iter().sum();
        let mean = f64::from(total) / loads.len().max(1) as f64;
        let cap = (LOAD_FACTOR * mean).ceil() as u32;
        if load <= cap {
            return;
        }
        self.results.bound_violations += 1;
        self.results.bound_excess_max = self.results.bound_excess_max.max(load - cap);
        let is_settling =
            self.fleet_changed_at.is_some_and(|at| self.now.since(at) <= SETTLING_TIME);
        self.results.bound_violations_late += u64::from(!is_settling);
        if self.trace {
            let age = self.fleet_changed_at.map_or(Span::ZERO, |at| self.now.since(at));
            println!(
                "{} above request={request} target={target} load={load} cap={cap} total={total} changed={age}",
                self.now
            );
        }
    }

    /// Draws the time that an answer takes.
    fn draw_answer_time(&mut self, overnight: bool) -> Span {
        if overnight {
            return self.draw_exponential(MEAN_OVERNIGHT_ANSWER);
        }
        let mean = self.scenario.mean_answer.0 as f64;
        let is_long = self.rng.f64() < LONG_ANSWERS[0];
        let short_factor = (1.0 - LONG_ANSWERS[0] * LONG_ANSWERS[1]) / (1.0 - LONG_ANSWERS[0]);
        self.draw_exponential(Span(
            (mean * if is_long { LONG_ANSWERS[1] } else { short_factor }) as u64,
        ))
    }

    /// Draws the time until a chat's next request.
    fn draw_pause(&mut self, index: usize) -> Span {
        let chat = &self.chats[index];
        if chat.account == OVERNIGHT_ACCOUNT {
            return self.draw_exponential(Span::from_secs(1));
        }
        let speed_up =
            if self.surge_active && chat.account == SURGING_ACCOUNT { SURGE_FACTOR } else { 1.0 };
        let mean = self.scenario.mean_pause.0 as f64 * chat.pause_factor / speed_up;
        self.draw_exponential(Span(mean as u64))
    }

    /// Ends a request on its engine, unless the engine has restarted since.
    fn finish_answer(&mut self, request: RequestId, start: StartNumber) {
        let Some(state) = self.requests.get(&request).filter(|state| state.running) else { return };
        let engine = state.target.as_ref().and_then(|id| self.engines.get_mut(id));
        let Some(engine) = engine.filter(|engine| engine.start == start) else { return };
        if !engine.running.remove(&request) {
            return;
        }
        engine.store_context(state.requirements.chat);
        self.chats[state.chat].cached_on = Some((engine.id.clone(), engine.start));
        if self.policy.is_oracle() {
            self.end_request(request, true);
        } else {
            self.schedule(ENGINE_DELAY, Event::RequestEnded(request, true));
        }
    }

    /// Tells the VM that a request has ended. A request that isn't completed is sent again.
    fn end_request(&mut self, request: RequestId, completed: bool) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let (vm, chat) = (state.vm, state.chat);
        if completed {
            self.requests.remove(&request);
            let pause = self.draw_pause(chat);
            self.schedule(pause, Event::SendRequest(chat));
        } else {
            state.running = false;
            let target = state.target.take();
            state.requirements.avoid.extend(target.clone());
            if let Some(target) = target {
                self.policy.handle_failure(vm, &target);
            }
        }
        self.call_policy(|policy, now, out| policy.handle_end(now, vm, request, out));
        if completed {
            self.update_oracle();
        } else {
            self.resend_request(request);
        }
    }

    /// Interrupts requests whose engine has stopped.
    pub(crate) fn interrupt(&mut self, requests: Vec<RequestId>) {
        for request in requests {
            self.schedule(ENGINE_DELAY, Event::RequestEnded(request, false));
        }
    }

    /// Stops a VM. Its callers send their requests again to other VMs within two seconds.
    pub(crate) fn stop_vm(&mut self, vm: usize) {
        self.live_vms[vm] = false;
        let interrupted = self.requests.iter().filter(|(_, state)| state.vm == vm);
        let interrupted: Vec<_> = interrupted.map(|(request, _)| *request).collect();
        for request in interrupted {
            let Some(state) = self.requests.remove(&request) else { continue };
            if let Some(engine) = state.target.and_then(|id| self.engines.get_mut(&id)) {
                engine.running.remove(&request);
            }
            let pause = Span(self.rng.u64(0..2_000_000));
            self.schedule(pause, Event::SendRequest(state.chat));
        }
    }

    /// Gives a VM the list of the other live VMs, without those hidden from it.
    pub(crate) fn deliver_vm_list(&mut self, vm: usize) {
        let visible = (0..self.live_vms.len()).filter(|&other| {
            other != vm && self.live_vms[other] && !self.hidden_vms[vm].contains(&other)
        });
        let visible: Vec<_> = visible.map(vm_id).collect();
        self.policy.handle_vm_list(self.now, vm, &visible);
    }

    /// Gives a VM the list of engines and their load reports, with the VM's delay.
    fn deliver_reports(&mut self, vm: usize) {
        self.schedule(REPORT_INTERVAL, Event::DeliverReports(vm));
        let taken_by = Moment(self.now.0.saturating_sub(self.report_lags[vm].0));
        let latest = self.snapshots.iter().rev().find(|snapshot| snapshot.at <= taken_by);
        let Some(mut snapshot) = latest.or(self.snapshots.front()).cloned() else { return };
        for observation in &mut snapshot.observations {
            if self.hidden_engines[vm].contains(&observation.id) {
                observation.report = None;
            }
        }
        self.policy.handle_engine_list(self.now, vm, &snapshot.engine_list);
        self.call_policy(|policy, now, out| {
            policy.handle_reports(now, vm, &snapshot.observations, out);
        });
    }

    /// Takes a snapshot of the engines and measures their loads.
    fn sample_engines(&mut self) {
        self.schedule(SAMPLE_INTERVAL, Event::SampleEngines);
        let listed = self.engines.values().filter(|engine| engine.listed);
        let observations = listed.clone().map(|engine| Observation {
            id: engine.id.clone(),
            report: engine.report(),
            taken_at: self.now,
        });
        let list = listed.map(|engine| (engine.id.clone(), engine.leaving));
        let (observations, engine_list) = (observations.collect(), list.collect());
        self.snapshots.push_back(Snapshot { at: self.now, observations, engine_list });
        if 40 < self.snapshots.len() {
            self.snapshots.pop_front();
        }
        if !self.is_measuring() {
            return;
        }
        let accepting = self.engines.values().filter(|engine| engine.accepts_requests());
        let loads: Vec<_> = accepting.map(|engine| engine.running.len() as f64).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let max_load = loads.iter().copied().fold(0.0, f64::max);
        self.window_skew = self.window_skew.max(max_load / mean.max(1.0));
        self.load_sum += mean;
        self.sample_count += 1;
        if self.sample_count.is_multiple_of(10) {
            self.skews.push(self.window_skew);
            self.window_skew = 0.0;
        }
    }

    /// Computes the results at the end of the run.
    fn into_results(mut self) -> Results {
        let seconds = self.scenario.measured.as_secs_f64();
        let [cached, reused, all] = self.returns.map(|count| count.max(1) as f64);
        self.results.reuse = reused / cached;
        self.results.reuse_all /= all;
        self.results.skew_max_over_mean = self.skews.iter().copied().fold(0.0, f64::max);
        self.results.skew_p99 = percentile(&mut self.skews, 0.99);
        self.results.queue_wait_ms_p50 = percentile(&mut self.waits[0], 0.5);
        self.results.queue_wait_ms_p99 = percentile(&mut self.waits[0], 0.99);
        self.results.overnight_wait_ms_p50 = percentile(&mut self.waits[1], 0.5);
        self.results.overnight_wait_ms_p99 = percentile(&mut self.waits[1], 0.99);
        let bytes: u64 = self.bytes_sent.iter().sum();
        let vms = self.scenario.vms as f64;
        self.results.control_bytes_per_s_per_vm = bytes as f64 / seconds / vms;
        let max_bytes = self.bytes_sent.iter().max().copied().unwrap_or(0);
        self.results.control_bytes_per_s_max = max_bytes as f64 / seconds;
        self.results.requests_per_s /= seconds;
        self.results.mean_load = self.load_sum / self.sample_count.max(1) as f64;
        self.results
    }
}
