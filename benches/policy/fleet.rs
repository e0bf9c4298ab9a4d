//! Briarshift's own policy: the real reservation reducers of all VMs.

use std::net::SocketAddr;
use std::rc::Rc;

use briarshift_control::{
    Context, Effect, Identity, Output, Signal, Step, cache, member, reservation, target,
};
use briarshift_settings::Document;
use briarshift_store::{ListedVm, Role, Status};
use briarshift_target::Failure;
use briarshift_units::{Moment, RequestId, StartNumber, TargetId, VmId, WallTime};
use briarshift_wire::Message;
use briarshift_wire::gossip::{self, Health, Member};
use briarshift_wire::reservation::Requirements;

use crate::policy::{Action, Observation, Policy};

/// Returns the id of the VM with this index.
pub fn vm_id(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("digits make an id")
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// The reducer state of one VM.
struct Vm {
    identity: Identity,
    now: Moment,
    reservations: reservation::State,
    targets: target::State,
    members: member::State,
    cache: cache::State,
}

impl Vm {
    fn new(index: usize, start: u64) -> Self {
        let identity = Identity {
            vm: vm_id(index),
            start: StartNumber(start),
            data_centre: "dc-a".parse().expect("an id"),
            address: address(),
            environment: "bench".into(),
            token_key: [1; 32],
        };
        Self {
            identity,
            now: Moment(0),
            reservations: reservation::State::default(),
            targets: target::State::default(),
            members: member::State::default(),
            cache: cache::State::default(),
        }
    }
}

/// The policy: the reducers of all VMs.
pub struct Fleet {
    vms: Vec<Vm>,
    document: Rc<Document>,
}

impl Fleet {
    /// Creates the policy; no VM knows an engine or a peer yet.
    pub fn create(vms: usize, document: &Rc<Document>, _: u64) -> Box<dyn Policy> {
        let vms = (0..vms).map(|index| Vm::new(index, 1)).collect();
        Box::new(Self { vms, document: Rc::clone(document) })
    }

    /// Calls the reservation reducer of a VM and converts its effects and decisions to actions.
    fn call(
        &mut self,
        now: Moment,
        vm: usize,
        actions: &mut Vec<Action>,
        apply: impl FnOnce(&mut reservation::State, &mut reservation::Step<'_>),
    ) {
        let index = vm;
        let vm = &mut self.vms[vm];
        let ctx = Context { at: now, wall: WallTime(0), entropy: 0, me: &vm.identity };
        let view = reservation::View {
            targets: &vm.targets,
            members: &vm.members,
            document: &self.document,
            cache: &vm.cache,
        };
        let mut out = Output::default();
        apply(&mut vm.reservations, &mut Step { ctx: &ctx, view, out: &mut out });
        for effect in out.effects {
            match effect {
                Effect::Send { to, message, .. } => actions.push(Action::Send(index, to, message)),
                Effect::Log(record) => actions.push(Action::Log(index, record)),
                _ => {}
            }
        }
        for signal in out.signals {
            let Signal::ReservationDecided(decision) = signal else { continue };
            actions.push(match decision.result {
                Ok(target) => Action::Assign(decision.request, target),
                Err(denial) => Action::Deny(decision.request, denial),
            });
        }
    }
}

impl Policy for Fleet {
    fn name(&self) -> &'static str {
        "briarshift"
    }

    fn handle_request(
        &mut self,
        now: Moment,
        vm: usize,
        requirements: Requirements,
        out: &mut Vec<Action>,
    ) {
        self.call(now, vm, out, |reservations, step| reservations.reserve(step, requirements));
    }

    fn handle_end(&mut self, now: Moment, vm: usize, request: RequestId, out: &mut Vec<Action>) {
        self.call(now, vm, out, |reservations, step| reservations.release(step, request));
    }

    fn handle_failure(&mut self, vm: usize, target: &TargetId) {
        let vm = &mut self.vms[vm];
        let ctx = Context { at: vm.now, wall: WallTime(0), entropy: 0, me: &vm.identity };
        vm.targets.suspect(&ctx, target, &mut Output::default());
    }

    fn handle_reports(
        &mut self,
        now: Moment,
        vm: usize,
        observations: &[Observation],
        _: &mut Vec<Action>,
    ) {
        let vm = &mut self.vms[vm];
        let ctx = Context { at: now, wall: WallTime(0), entropy: 0, me: &vm.identity };
        for observation in observations {
            let no_answer = || Failure::NotSent("down".into());
            let result = observation.report.clone().ok_or_else(no_answer);
            vm.targets.handle_report(&ctx, &observation.id, result, &mut Output::default());
        }
    }

    fn handle_engine_list(&mut self, now: Moment, vm: usize, listed: &[(TargetId, bool)]) {
        let rows = listed.iter().map(|(id, leaving)| ListedVm {
            vm: id.as_str().parse().expect("an id"),
            role: Role::Target { pool: self.document.pools[0].id.clone() },
            data_centre: "dc-a".parse().expect("an id"),
            address: address(),
            status: if *leaving { Status::Leaving } else { Status::Live },
        });
        let rows: Vec<_> = rows.collect();
        let vm = &mut self.vms[vm];
        let ctx = Context { at: now, wall: WallTime(0), entropy: 0, me: &vm.identity };
        vm.targets.handle_list(&ctx, &rows, &mut Output::default());
    }

    fn handle_vm_list(&mut self, now: Moment, vm: usize, listed: &[VmId]) {
        let vm = &mut self.vms[vm];
        let ctx = Context { at: now, wall: WallTime(0), entropy: 0, me: &vm.identity };
        vm.members = member::State::default();
        let members = listed.iter().filter(|id| **id != ctx.me.vm).map(|id| Member {
            vm: id.clone(),
            data_centre: ctx.me.data_centre.clone(),
            address: address(),
            start: StartNumber(1),
            version: 0,
            health: Health::Alive,
        });
        let message = gossip::Message { members: members.collect(), ..Default::default() };
        if let Some(first) = message.members.first().map(|member| member.vm.clone()) {
            vm.members.handle_gossip(&ctx, &first, &message, &mut Output::default());
        }
    }

    fn handle_message(
        &mut self,
        now: Moment,
        vm: usize,
        from: VmId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let Message::Reservation(message) = message else { return };
        self.call(now, vm, out, |reservations, step| {
            reservations.handle_message(step, &from, message);
        });
    }

    fn tick(&mut self, now: Moment, vm: usize, out: &mut Vec<Action>) {
        let state = &mut self.vms[vm];
        state.now = now;
        let ctx = Context { at: now, wall: WallTime(0), entropy: 0, me: &state.identity };
        // Polls from this tick are dropped, since the simulation delivers load reports itself. The
        // tick only ends the holds on targets.
        state.targets.tick(&ctx, &state.members, &mut Output::default());
        self.call(now, vm, out, reservation::State::tick);
    }

    fn restart_vm(&mut self, now: Moment, vm: usize) {
        self.vms[vm] = Vm::new(vm, now.0);
    }

    fn is_distributed(&self) -> bool {
        true
    }
}
