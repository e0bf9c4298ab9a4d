//! The gateways: what they are told, and what they want done.

use std::net::{Ipv4Addr, SocketAddr};

use briarshift_catalog::{Catalog, Engine as EngineSpec, Pool, Route};
use briarshift_gateway::request::Decision;
use briarshift_gateway::{Bounds, Effect, Event, Identity, Kind};
use briarshift_routing::retry_window::Budget;
use briarshift_routing::selection::Bound;
use briarshift_store::registry::Secret;
use briarshift_units::{MegabitsPerSecond, RequestId, Revision, Span, StartNumber};
use briarshift_wire::datagram::Datagram;
use fastrand::Rng;

use super::trouble::pool;
use super::{Fleet, WAY, What};
use crate::results::Outcome;
use crate::scenario::Scenario;
use crate::target::centre;

/// Time of a call to the store, both ways.
const CALL: Span = Span::from_millis(4);

/// The configuration of a scenario.
pub(super) fn catalog(scenario: &Scenario) -> Catalog {
    let (_, engine) = scenario.engines;
    let spec = EngineSpec { slots: engine.slots, memory_tokens: engine.memory };
    let mut catalog = Catalog::builder(Revision(1));
    for (is_engine, spec) in [(true, Some(spec)), (false, None)] {
        let max_connections = 100_000;
        catalog = catalog.pool(Pool { id: pool(is_engine), max_connections, engine: spec });
    }
    for load in &scenario.workloads {
        let route = Route::builder(load.name, "model.example", &format!("/{}/", load.name))
            .pool(pool(load.kind.is_stream()), 1)
            .kind(load.kind)
            .timeouts(load.deadline, load.aim)
            .attempts(load.attempts)
            .priority(load.priority)
            .public(true)
            .cache_aware(load.kind.is_stream());
        catalog = catalog.route(route.build());
    }
    catalog.build()
}

/// A gateway by its number.
pub(super) fn identity(number: usize, rng: &mut Rng) -> Identity {
    let [.., high, low] = number.to_be_bytes();
    Identity {
        vm: format!("vm-{number}").parse().expect("an identifier"),
        start: StartNumber(1),
        data_centre: centre(number),
        address: (Ipv4Addr::new(10, 0, high, low), 7).into(),
        link: MegabitsPerSecond(100),
        secret: Secret([rng.u8(..); 32]),
        bounds: Bounds {
            key_age: Span::from_secs(3),
            retry_budget: Budget { ratio: 0.2, allowance: 36.0, length: Span::from_secs(10) },
            engine_load: Bound { factor: 1.8, extra: 3, backlog: 14_000 },
            grace: Span::from_secs(8),
        },
    }
}

impl Fleet<'_> {
    /// Tells a gateway something and carries out what it wants.
    pub(super) fn tell(&mut self, vm: usize, kind: Kind) {
        let event = Event { at: self.clock.now(), entropy: self.rng.u64(..), kind };
        for effect in self.vms[vm].apply(event) {
            match effect {
                Effect::Call(call) => {
                    let now = self.clock.now();
                    self.clock.after(CALL, What::Call(vm, call, now));
                }
                Effect::Send { address, datagram } => self.datagram(address, &datagram),
                Effect::Broadcast { addresses, datagram } => {
                    for address in addresses {
                        self.datagram(address, &datagram);
                    }
                }
                Effect::CheckTarget { target, address } => {
                    let listens = self.targets.iter().any(|t| t.address == address && t.up);
                    let checked = Kind::TargetChecked { target, address, listens };
                    self.clock.after(WAY + WAY, What::Vm(vm, checked));
                }
                Effect::Decide { request, decision } => self.decided(vm, request, decision),
                _ => {}
            }
        }
    }

    pub(super) fn datagram(&mut self, to: SocketAddr, datagram: &Datagram) {
        if let Some(vm) = self.addresses.get(&to) {
            self.clock.after(WAY, What::Vm(*vm, Kind::Datagram(datagram.clone())));
        }
    }

    pub(super) fn decided(&mut self, vm: usize, request: RequestId, decision: Decision) {
        let caller = request.0 as usize;
        match decision {
            Decision::Send(send) => self.send(vm, caller, &send),
            Decision::Deliver => self.over(caller, Outcome::Failed),
            Decision::Refuse(refusal) => {
                let back = refusal.retry_after.filter(|_| refusal.cause.is_not_run());
                self.refused(caller, back);
            }
        }
    }
}
