//! The gateways: their configuration, the events they receive and the effects they
//! return.

use std::net::{Ipv4Addr, SocketAddr};

use briarshift_catalog::{Account, Catalog, Engine as EngineSpec, Pool, Route};
use briarshift_gateway::request::{Cause, Decision};
use briarshift_gateway::{Bounds, Check, Effect, Event, Identity, Kind};
use briarshift_routing::retry_window::Budget;
use briarshift_routing::selection::Bound;
use briarshift_store::registry::Secret;
use briarshift_units::{MegabitsPerSecond, RequestId, Revision, Span, StartNumber};
use briarshift_wire::datagram::Datagram;
use fastrand::Rng;

use super::disturbance::pool;
use super::{Action, Fleet, NETWORK_DELAY};
use crate::results::Outcome;
use crate::scenario::Scenario;
use crate::target::data_centre;

/// Round-trip time of a call to the store.
const STORE_CALL_TIME: Span = Span::from_millis(4);

/// Returns the configuration for a scenario.
pub(super) fn catalog(scenario: &Scenario) -> Catalog {
    let (_, engine) = scenario.engines;
    let spec = EngineSpec { slots: engine.slots, memory_tokens: engine.memory_tokens };
    let mut catalog = Catalog::builder(Revision(1));
    for (is_engine, spec) in [(true, Some(spec)), (false, None)] {
        let max_connections = 100_000;
        catalog = catalog.pool(Pool {
            id: pool(is_engine),
            max_connections,
            engine: spec,
            slow_start: None,
        });
    }
    for workload in &scenario.workloads {
        let route = Route::builder(workload.name, "model.example", &format!("/{}/", workload.name))
            .pool(pool(workload.kind.is_stream()), 1)
            .kind(workload.kind)
            .timeouts(workload.deadline, workload.latency_goal)
            .attempts(workload.attempts)
            .priority(workload.priority)
            .public(scenario.accounts.is_empty())
            .cache_aware(workload.kind.is_stream());
        catalog = catalog.route(route.build());
    }
    for account in 0..scenario.accounts.len() {
        let name = format!("account-{account}");
        let id = name.parse().expect("an identifier");
        let key = format!("key-{account}");
        let account = Account { id, name: name.into(), priority: None };
        catalog = catalog.account(account, [key.as_str().into()]);
    }
    catalog.build()
}

/// Returns the identity of the gateway with this index.
pub(super) fn identity(number: usize, scenario: &Scenario, rng: &mut Rng) -> Identity {
    let [.., high, low] = number.to_be_bytes();
    Identity {
        vm: format!("vm-{number}").parse().expect("an identifier"),
        start: StartNumber(1),
        data_centre: data_centre(number),
        address: (Ipv4Addr::new(10, 0, high, low), 7).into(),
        link: MegabitsPerSecond(100),
        secret: Secret([rng.u8(..); 32]),
        bounds: Bounds {
            key_age: Span::from_secs(3),
            change: Span::from_secs(2),
            retry_budget: Budget { ratio: 0.2, allowance: 36.0, length: Span::from_secs(10) },
            engine_load: Bound { factor: 1.8, extra: 3, backlog: 14_000 },
            grace: Span::from_secs(8),
            hedge: scenario.hedge,
        },
        features: scenario.features,
    }
}

impl Fleet<'_> {
    /// Passes an event to a gateway and executes the effects it returns.
    pub(super) fn deliver(&mut self, vm: usize, kind: Kind) {
        let event = Event { at: self.scheduler.now(), entropy: self.rng.u64(..), kind };
        for effect in self.vms[vm].apply(event) {
            match effect {
                Effect::Call(call) => {
                    let now = self.scheduler.now();
                    self.scheduler.schedule(STORE_CALL_TIME, Action::StoreCall(vm, call, now));
                }
                Effect::Send { address, datagram } => self.send_datagram(vm, address, &datagram),
                Effect::Broadcast { addresses, datagram } => {
                    for address in addresses {
                        self.send_datagram(vm, address, &datagram);
                    }
                }
                Effect::CheckTarget { target, address } => {
                    let listens = self.targets.iter().any(|t| t.address == address && t.is_up);
                    let found = if listens { Check::Listens } else { Check::Refuses };
                    let checked = Kind::TargetChecked { target, address, found };
                    self.scheduler
                        .schedule(NETWORK_DELAY + NETWORK_DELAY, Action::Deliver(vm, checked));
                }
                Effect::Decide { request, decision } => self.execute(vm, request, decision),
                _ => {}
            }
        }
    }

    /// Sends a datagram to the gateway at an address, if there is one that hears this one.
    pub(super) fn send_datagram(&mut self, from: usize, to: SocketAddr, datagram: &Datagram) {
        if let Some(vm) = self.addresses.get(&to).filter(|vm| !self.is_cut(from, **vm)) {
            self.scheduler
                .schedule(NETWORK_DELAY, Action::Deliver(*vm, Kind::Datagram(datagram.clone())));
        }
    }

    /// Counts a refusal for want of room while the pool has some.
    fn count_refusal(&mut self, caller: usize, cause: Cause) {
        if !matches!(cause, Cause::NoRoom | Cause::OverShare) {
            return;
        }
        let workload = &self.scenario.workloads[self.callers[caller].workload];
        let pool = pool(workload.kind.is_stream());
        let up = self.targets.iter().filter(|it| it.pool == pool && it.is_up);
        let loads = up.map(|it| (it.load(), it.slots()));
        let (taken, waiting, slots) = loads
            .fold((0, 0, 0), |sum, (load, slots)| (sum.0 + load.0, sum.1 + load.1, sum.2 + slots));
        self.results.refused_with_room += u64::from(taken * 2 < slots && waiting == 0);
    }

    /// Executes a gateway's decision on a request.
    pub(super) fn execute(&mut self, vm: usize, request: RequestId, decision: Decision) {
        let caller = request.0 as usize;
        match decision {
            // The request was answered before its gateway knew.
            Decision::Send(send) if send.is_hedge && self.has_answer(caller) => {}
            Decision::Send(send) => {
                self.results.hedges += u64::from(send.is_hedge);
                self.send_job(vm, caller, &send);
            }
            Decision::Deliver => self.complete(caller, Outcome::Failed),
            Decision::Refuse(refusal) => {
                self.count_refusal(caller, refusal.cause);
                let retry_after = refusal.retry_after.filter(|_| refusal.cause.is_not_run());
                self.refuse(caller, retry_after);
            }
        }
    }
}
