//! Entry VMs of the fleet as this VM believes them to be.

use std::collections::BTreeMap;

use briarshift_platform::{Listed, Role};
use briarshift_units::{Start, VmId};
use briarshift_wire::gossip::{Health, Member, Message};

use crate::{Context, Output};

/// All known entry VMs.
#[derive(Debug, Default)]
pub struct State {
    members: BTreeMap<VmId, Member>,
}

impl State {
    /// Members that take part: alive or suspect, this VM left out.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.health <= Health::Suspect)
    }

    /// One member.
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Takes proposals from the platform's list.
    pub fn list(&mut self, ctx: &Context<'_>, rows: &[Listed]) {
        for row in rows.iter().filter(|row| row.role == Role::Entry && row.vm != ctx.me.vm) {
            self.members.entry(row.vm.clone()).or_insert_with(|| Member {
                vm: row.vm.clone(),
                data_centre: row.data_centre.clone(),
                address: row.address,
                start: Start(0),
                version: 0,
                health: Health::Suspect,
            });
        }
    }

    /// Periodic work.
    pub fn tick(&mut self, _ctx: &Context<'_>, _out: &mut Output) {}

    /// A round of gossip arrived.
    pub fn gossip(
        &mut self,
        _ctx: &Context<'_>,
        _from: &VmId,
        _message: &Message,
        _out: &mut Output,
    ) {
    }
}
