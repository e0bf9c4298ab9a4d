//! The project's own policy: the real placement reducers of N VMs.

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

use crate::policy::{Action, Known, Policy};

/// The id of a VM by its index.
pub fn vm_id(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("digits make an id")
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

struct Vm {
    me: Identity,
    at: Moment,
    reservations: reservation::State,
    targets: target::State,
    members: member::State,
    cache: cache::State,
}

impl Vm {
    fn new(index: usize, start: u64) -> Self {
        let me = Identity {
            vm: vm_id(index),
            start: StartNumber(start),
            data_centre: "dc-a".parse().expect("an id"),
            address: address(),
            environment: "bench".into(),
            token_key: [1; 32],
        };
        Self {
            me,
            at: Moment(0),
            reservations: reservation::State::default(),
            targets: target::State::default(),
            members: member::State::default(),
            cache: cache::State::default(),
        }
    }
}

/// The fleet.
pub struct Fleet {
    vms: Vec<Vm>,
    document: Rc<Document>,
}

impl Fleet {
    /// A fleet of VMs that know nothing.
    pub fn make(vms: usize, document: &Rc<Document>, _: u64) -> Box<dyn Policy> {
        let vms = (0..vms).map(|index| Vm::new(index, 1)).collect();
        Box::new(Self { vms, document: Rc::clone(document) })
    }

    fn with(
        &mut self,
        at: Moment,
        vm: usize,
        actions: &mut Vec<Action>,
        apply: impl FnOnce(&mut reservation::State, &mut reservation::Step<'_>),
    ) {
        let index = vm;
        let vm = &mut self.vms[vm];
        let ctx = Context { at, wall: WallTime(0), entropy: 0, me: &vm.me };
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
                Ok(target) => Action::Place(decision.request, target),
                Err(denial) => Action::Deny(decision.request, denial),
            });
        }
    }
}

impl Policy for Fleet {
    fn name(&self) -> &'static str {
        "briarshift"
    }

    fn arrive(&mut self, at: Moment, vm: usize, ask: Requirements, out: &mut Vec<Action>) {
        self.with(at, vm, out, |reservations, step| reservations.reserve(step, ask));
    }

    fn end(&mut self, at: Moment, vm: usize, request: RequestId, out: &mut Vec<Action>) {
        self.with(at, vm, out, |reservations, step| reservations.release(step, request));
    }

    fn suspect(&mut self, vm: usize, target: &TargetId) {
        let vm = &mut self.vms[vm];
        let ctx = Context { at: vm.at, wall: WallTime(0), entropy: 0, me: &vm.me };
        vm.targets.suspect(&ctx, target, &mut Output::default());
    }

    fn reports(&mut self, at: Moment, vm: usize, known: &[Known], _: &mut Vec<Action>) {
        let vm = &mut self.vms[vm];
        let ctx = Context { at, wall: WallTime(0), entropy: 0, me: &vm.me };
        for known in known {
            let failed = || Failure::NotSent("down".into());
            let result = known.report.clone().ok_or_else(failed);
            vm.targets.handle_report(&ctx, &known.id, result, &mut Output::default());
        }
    }

    fn engines(&mut self, at: Moment, vm: usize, listed: &[(TargetId, bool)]) {
        let rows = listed.iter().map(|(id, leaving)| ListedVm {
            vm: id.as_str().parse().expect("an id"),
            role: Role::Target { pool: self.document.pools[0].id.clone() },
            data_centre: "dc-a".parse().expect("an id"),
            address: address(),
            status: if *leaving { Status::Leaving } else { Status::Live },
        });
        let rows: Vec<_> = rows.collect();
        let vm = &mut self.vms[vm];
        let ctx = Context { at, wall: WallTime(0), entropy: 0, me: &vm.me };
        vm.targets.handle_list(&ctx, &rows, &mut Output::default());
    }

    fn vms(&mut self, at: Moment, vm: usize, listed: &[VmId]) {
        let vm = &mut self.vms[vm];
        let ctx = Context { at, wall: WallTime(0), entropy: 0, me: &vm.me };
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

    fn deliver(
        &mut self,
        at: Moment,
        vm: usize,
        from: VmId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let Message::Reservation(message) = message else { return };
        self.with(at, vm, out, |reservations, step| {
            reservations.handle_message(step, &from, message);
        });
    }

    fn tick(&mut self, at: Moment, vm: usize, out: &mut Vec<Action>) {
        let state = &mut self.vms[vm];
        state.at = at;
        let ctx = Context { at, wall: WallTime(0), entropy: 0, me: &state.me };
        // The world polls by itself; this only ends holds.
        state.targets.tick(&ctx, &state.members, &mut Output::default());
        self.with(at, vm, out, reservation::State::tick);
    }

    fn restart(&mut self, at: Moment, vm: usize) {
        self.vms[vm] = Vm::new(vm, at.0);
    }

    fn is_distributed(&self) -> bool {
        true
    }
}
