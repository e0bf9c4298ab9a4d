//! Reservations stay within the bound for any order of events, and each request
//! gets exactly one decision.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_control::{
    Context, Effect, Identity, Output, Signal, Step, cache, member, reservation, target,
};
use briarshift_settings::{Account, Document, Kind, Pool, Priority, Rate, Runner};
use briarshift_store::{ListedVm, Role, Status};
use briarshift_target::{CacheEvent, CacheEventKind, LoadReport};
use briarshift_units::{ChatKey, Moment, RequestId, Span, StartNumber, TargetId, VmId, WallTime};
use briarshift_wire::Message;
use briarshift_wire::gossip::{self, Health, Member};
use briarshift_wire::reservation::{Denial, Message as ReservationMessage, Peer, Requirements};
use proptest::prelude::*;

/// Concurrent requests on one runner.
const CONCURRENCY: u32 = 2;
/// Number of runners in the pool.
const RUNNERS: usize = 3;
/// Burst of the account's rate limit.
const BURST: u32 = 40;
/// Number of messages within one tick that only a message loop can cause.
const MAX_MESSAGES_PER_TICK: u32 = 2_000;
/// Time between two ticks.
const TICK: Span = Span::from_millis(5);

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str, index: usize) -> T {
    format!("{text}-{index}").parse().unwrap()
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn listed(vm: VmId, role: Role) -> ListedVm {
    let data_centre = id("dc", 1);
    ListedVm { vm, role, data_centre, address: address(), status: Status::Live }
}

/// Adds other VMs as live members, as their gossip would.
fn add_members(members: &mut member::State, ctx: &Context<'_>, vms: &[VmId]) {
    let others = vms.iter().filter(|vm| **vm != ctx.me.vm).map(|vm| Member {
        vm: vm.clone(),
        data_centre: ctx.me.data_centre.clone(),
        address: address(),
        start: StartNumber(1),
        version: 0,
        health: Health::Alive,
    });
    let message = gossip::Message { members: others.collect(), ..Default::default() };
    if let Some(first) = message.members.first().map(|member| member.vm.clone()) {
        members.handle_gossip(ctx, &first, &message, &mut Output::default());
    }
}

fn document() -> Document {
    let runner = Runner {
        concurrency: CONCURRENCY,
        timeout_ms: 1_000,
        retention_s: 1,
        repeatable: Vec::new(),
    };
    let account = Account {
        id: id("account", 1),
        owner: id("owner", 1),
        key_sha256: "0".repeat(64).into(),
        rate: Rate { per_second: 0.001, burst: BURST },
        priority: Priority::Interactive,
    };
    let pool = Pool {
        id: id("pool", 1),
        owner: id("owner", 1),
        kind: Kind::Runner(runner),
        queue_wait_ms: 2_000,
        queue_length: 100,
        retry_share: 0.1,
        orders: None,
    };
    Document { accounts: vec![account], pools: vec![pool], ..Document::default() }
}

struct Vm {
    me: Identity,
    reservations: reservation::State,
    targets: target::State,
    members: member::State,
    alive: bool,
}

/// A few VMs, the messages in transit between them, and the decisions about
/// requests.
struct Fleet {
    at: Moment,
    document: Document,
    vms: Vec<Vm>,
    messages: Vec<(usize, VmId, Message)>,
    decisions: BTreeMap<RequestId, Vec<Result<TargetId, Denial>>>,
    running: BTreeMap<RequestId, (usize, TargetId)>,
    senders: BTreeMap<RequestId, usize>,
    log: Vec<String>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let vms = (0..count).map(|index| Vm {
            me: Identity {
                vm: id("vm", index),
                start: StartNumber(1),
                data_centre: id("dc", 1),
                address: address(),
                environment: "test".into(),
                token_key: [0; 32],
            },
            reservations: reservation::State::default(),
            targets: target::State::default(),
            members: member::State::default(),
            alive: true,
        });
        let mut fleet = Self {
            at: Moment(1_000_000),
            document: document(),
            vms: vms.collect(),
            messages: Vec::new(),
            decisions: BTreeMap::new(),
            running: BTreeMap::new(),
            senders: BTreeMap::new(),
            log: Vec::new(),
        };
        let role = || Role::Target { pool: id("pool", 1) };
        let targets: Vec<_> = (0..RUNNERS).map(|i| listed(id("r", i), role())).collect();
        let peers: Vec<_> = (0..count).map(|i| id("vm", i)).collect();
        for vm in &mut fleet.vms {
            let ctx = Context { at: fleet.at, wall: WallTime(0), entropy: 0, me: &vm.me };
            add_members(&mut vm.members, &ctx, &peers);
            vm.targets.handle_list(&ctx, &targets, &mut Output::default());
            for index in 0..RUNNERS {
                let report = LoadReport { start: StartNumber(1), ..LoadReport::default() };
                vm.targets.handle_report(&ctx, &id("r", index), Ok(report), &mut Output::default());
            }
        }
        fleet
    }

    fn with(
        &mut self,
        index: usize,
        apply: impl FnOnce(&mut reservation::State, &mut reservation::Step<'_>),
    ) {
        let vm = &mut self.vms[index];
        if !vm.alive {
            return;
        }
        let ctx = Context { at: self.at, wall: WallTime(0), entropy: 0, me: &vm.me };
        let view = reservation::View {
            targets: &vm.targets,
            members: &vm.members,
            document: &self.document,
            cache: &cache::State::default(),
        };
        let mut out = Output::default();
        apply(&mut vm.reservations, &mut Step { ctx: &ctx, view, out: &mut out });
        let from = vm.me.vm.clone();
        for effect in out.effects {
            self.log.push(format!("{index} {effect:?}"));
            let Effect::Send { to, message, .. } = effect else { continue };
            let to = to.as_str().trim_start_matches("vm-").parse().unwrap();
            self.messages.push((to, from.clone(), message));
        }
        for signal in out.signals {
            let Signal::ReservationDecided(decision) = signal else { continue };
            if let Ok(target) = &decision.result {
                self.running.insert(decision.request, (index, target.clone()));
            }
            self.decisions.entry(decision.request).or_default().push(decision.result);
        }
    }

    fn ask(&mut self, vm: usize, number: u64) {
        let ask = Requirements {
            request: RequestId(number),
            pool: id("pool", 1),
            account: id("account", 1),
            chat: ChatKey(number),
            cached_on: None,
            overnight: false,
            avoid: Vec::new(),
        };
        self.senders.insert(ask.request, vm);
        self.with(vm, |reservations, step| reservations.reserve(step, ask));
    }

    fn release(&mut self, nth: usize) {
        let Some((&request, &(vm, _))) = self.running.iter().nth(nth % 7) else { return };
        self.running.remove(&request);
        self.with(vm, |reservations, step| reservations.release(step, request));
    }

    fn deliver(&mut self, nth: usize) {
        if self.messages.is_empty() {
            return;
        }
        let (to, from, message) = self.messages.remove(nth % self.messages.len());
        let Message::Reservation(message) = message else { return };
        self.with(to, |reservations, step| reservations.handle_message(step, &from, message));
    }

    fn tick(&mut self) {
        self.at = self.at + TICK;
        for vm in 0..self.vms.len() {
            self.with(vm, reservation::State::tick);
        }
    }

    /// Delivers all messages, lets time pass and ends the running requests.
    fn run_to_end(&mut self) {
        for _ in 0..800 {
            for delivered in 0.. {
                if self.messages.is_empty() {
                    break;
                }
                assert!(
                    delivered < MAX_MESSAGES_PER_TICK,
                    "messages cause further messages without end"
                );
                self.deliver(0);
                self.check_bound();
            }
            self.tick();
            self.release(0);
        }
    }

    /// Removes a VM from another VM's member list.
    fn remove_member(&mut self, from: usize, hidden: usize) {
        let count = self.vms.len();
        let vm = &mut self.vms[from];
        let ctx = Context { at: self.at, wall: WallTime(0), entropy: 0, me: &vm.me };
        let others: Vec<_> =
            (0..count).filter(|index| *index != hidden).map(|index| id("vm", index)).collect();
        vm.members = member::State::default();
        add_members(&mut vm.members, &ctx, &others);
    }

    fn kill(&mut self, index: usize) {
        self.vms[index].alive = false;
        self.running.retain(|_, (vm, _)| *vm != index);
    }

    fn check_bound(&self) {
        let mut loads = BTreeMap::<_, u32>::new();
        for (_, target) in self.running.values() {
            *loads.entry(target).or_default() += 1;
        }
        assert!(
            loads.values().all(|load| *load <= CONCURRENCY),
            "above the concurrency bound: {loads:?}"
        );
    }

    fn check_decisions(&self) {
        for (request, vm) in self.senders.iter().filter(|(_, vm)| self.vms[**vm].alive) {
            let count = self.decisions.get(request).map_or(0, Vec::len);
            assert_eq!(count, 1, "decisions about {request}, asked by vm-{vm}");
        }
    }
}

#[derive(Debug, Clone)]
enum Action {
    Ask(usize),
    Release(usize),
    Deliver(usize),
    Tick,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0_usize..3).prop_map(Action::Ask),
        2 => (0_usize..7).prop_map(Action::Release),
        6 => (0_usize..50).prop_map(Action::Deliver),
        2 => Just(Action::Tick),
    ]
}

fn run(actions: &[Action], killed: Option<(usize, usize)>) -> Fleet {
    let mut fleet = Fleet::new(3);
    for (number, action) in actions.iter().enumerate() {
        if let Some((vm, _)) = killed.filter(|(_, at)| *at == number) {
            fleet.kill(vm);
        }
        match action {
            Action::Ask(vm) => fleet.ask(*vm, number as u64),
            Action::Release(nth) => fleet.release(*nth),
            Action::Deliver(nth) => fleet.deliver(*nth),
            Action::Tick => fleet.tick(),
        }
        fleet.check_bound();
    }
    fleet.run_to_end();
    fleet
}

proptest! {
    #[test]
    fn bound_holds_for_any_order_of_events(actions in prop::collection::vec(action(), 1..150)) {
        run(&actions, None).check_decisions();
    }

    #[test]
    fn each_request_gets_one_decision_if_a_vm_fails(
        actions in prop::collection::vec(action(), 1..150),
        vm in 0_usize..3,
        at in 0_usize..150,
    ) {
        run(&actions, Some((vm, at))).check_decisions();
    }

    #[test]
    fn equal_events_give_equal_effects(actions in prop::collection::vec(action(), 1..60)) {
        prop_assert_eq!(run(&actions, None).log, run(&actions, None).log);
    }

    #[test]
    fn account_limit_holds_for_any_order_of_events(
        vms in prop::collection::vec(0_usize..3, 41..80),
    ) {
        let actions: Vec<_> = vms.iter().copied().map(Action::Ask).collect();
        let fleet = run(&actions, None);
        let limited = |decisions: &&Vec<Result<TargetId, Denial>>| {
            matches!(decisions[..], [Err(Denial::Limit { .. })])
        };
        let limited = fleet.decisions.values().filter(limited).count();
        prop_assert_eq!(limited, vms.len() - BURST as usize);
    }
}

/// Asks for a reservation before any VM knows a target. The targets become known
/// `after` that time.
fn check_unknown_targets(after: Span, wanted: bool) {
    let mut fleet = Fleet::new(3);
    let known: Vec<_> = fleet.vms.iter_mut().map(|vm| std::mem::take(&mut vm.targets)).collect();
    fleet.ask(0, 1);
    let due = fleet.at + after;
    while fleet.at < due {
        while !fleet.messages.is_empty() {
            fleet.deliver(0);
        }
        fleet.tick();
    }
    for (vm, targets) in fleet.vms.iter_mut().zip(known) {
        vm.targets = targets;
    }
    let before = fleet.log.len();
    fleet.run_to_end();
    for line in &fleet.log[before.saturating_sub(40)..(before + 40).min(fleet.log.len())] {
        eprintln!("{}", &line[..line.len().min(260)]);
    }
    fleet.check_decisions();
    assert_eq!(fleet.decisions[&RequestId(1)][0].is_ok(), wanted, "known after {after}");
}

#[test]
fn request_waits_for_targets_that_are_just_starting() {
    check_unknown_targets(Span::from_millis(300), true);
    check_unknown_targets(Span::from_secs(2), false);
}

#[test]
fn different_member_lists_cause_no_message_loop() {
    for (from, hidden) in [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)] {
        let mut fleet = Fleet::new(3);
        fleet.remove_member(from, hidden);
        for number in 0..30 {
            fleet.ask(number as usize % 3, number);
            fleet.deliver(0);
        }
        fleet.run_to_end();
        fleet.check_decisions();
    }
}

fn check_cache(changes: &[(u64, u64, CacheEventKind)], evicted: &[u64]) {
    let mut state = cache::State::default();
    let target: TargetId = id("e", 1);
    let row = |&(sequence, chat, kind)| CacheEvent { sequence, chat: ChatKey(chat), kind };
    let changes = changes.iter().map(row).collect();
    state.handle_events(&target, Ok(changes), &mut Output::default());
    for chat in 0..5 {
        let found = state.has_evicted(&target, ChatKey(chat));
        assert_eq!(found, evicted.contains(&chat), "chat {chat}");
    }
}

#[test]
fn cache_events_update_evictions_and_gaps_clear_them() {
    use CacheEventKind::{Evicted, Stored};
    check_cache(&[(1, 1, Evicted), (2, 2, Evicted), (3, 1, Stored)], &[2]);
    check_cache(&[(1, 1, Evicted), (3, 2, Evicted)], &[2]);
}

/// The README's first command hung when redirects had made a VM admit locally: it claimed
/// the slice, was told who admits, stepped down and sent the request to itself again.
#[test]
fn a_vm_that_is_told_who_admits_does_not_claim_the_slice_again_at_once() {
    let mut fleet = Fleet::new(3);
    fleet.ask(0, 1);
    fleet.run_to_end();
    let is_admitting = |line: &&String| line.contains("(\"phase\", \"admitting\")");
    let admitting = fleet.log.iter().rfind(is_admitting).expect("no VM admits");
    let admitting: usize = admitting[..1].parse().unwrap();
    let asking = (admitting + 1) % 3;
    fleet.ask(asking, 2);
    fleet.messages.clear();
    // VMs that disagree redirect the request until its VM admits locally.
    for name in [admitting].into_iter().chain([asking; 7]) {
        let to = Peer { vm: id("vm", name), address: address() };
        let redirect = ReservationMessage::Redirect { request: RequestId(2), to };
        let from = id("vm", (asking + 1) % 3);
        fleet.messages.clear();
        fleet.with(asking, |state, step| state.handle_message(step, &from, redirect));
    }
    fleet.run_to_end();
    let by_asking = format!("{asking} ");
    let is_claim = |line: &&String| line.starts_with(&by_asking) && line.contains("claiming");
    assert_eq!(fleet.log.iter().filter(is_claim).count(), 1);
    fleet.check_decisions();
}
