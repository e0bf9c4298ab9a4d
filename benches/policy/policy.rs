//! What a policy is to the bench.

use std::rc::Rc;

use briarshift_control::Record;
use briarshift_settings::Document;
use briarshift_target::LoadReport;
use briarshift_units::{Moment, RequestId, TargetId, VmId};
use briarshift_wire::Message;
use briarshift_wire::reservation::{Denial, Requirements};

/// What a VM believes of an engine, from its last report.
#[derive(Debug, Clone)]
pub struct Known {
    /// The engine.
    pub id: TargetId,
    /// Its report; `None` if it did not answer.
    pub report: Option<LoadReport>,
    /// When the report was taken.
    pub taken_at: Moment,
}

/// The truth, which only the oracle looks at.
#[derive(Debug, Clone)]
pub struct Fact {
    /// The engine.
    pub id: TargetId,
    /// What it would report now.
    pub report: LoadReport,
}

/// Something that a policy wants.
#[derive(Debug)]
pub enum Action {
    /// Runs a request.
    Place(RequestId, TargetId),
    /// Refuses it.
    Deny(RequestId, Denial),
    /// Sends a message.
    Send(usize, VmId, Message),
    /// Writes a log line.
    Log(usize, Record),
}

/// Routes requests for all VMs of the fleet.
pub trait Policy {
    /// Its name in the table.
    fn name(&self) -> &'static str;
    /// A request arrived at a VM.
    fn arrive(&mut self, at: Moment, vm: usize, ask: Requirements, out: &mut Vec<Action>);
    /// A request of a VM ended on an engine.
    fn end(&mut self, at: Moment, vm: usize, request: RequestId, out: &mut Vec<Action>);
    /// A request of a VM found its engine dead.
    fn suspect(&mut self, vm: usize, target: &TargetId);
    /// Reports reached a VM.
    fn reports(&mut self, at: Moment, vm: usize, known: &[Known], out: &mut Vec<Action>);
    /// The list of engines reached a VM.
    fn engines(&mut self, at: Moment, vm: usize, listed: &[(TargetId, bool)]);
    /// The list of VMs reached a VM.
    fn vms(&mut self, _at: Moment, _vm: usize, _listed: &[VmId]) {}
    /// A message reached a VM.
    fn deliver(&mut self, _: Moment, _vm: usize, _: VmId, _: Message, _: &mut Vec<Action>) {}
    /// A few milliseconds passed.
    fn tick(&mut self, _at: Moment, _vm: usize, _out: &mut Vec<Action>) {}
    /// The engines as they are now.
    fn truth(&mut self, _at: Moment, _facts: &[Fact], _out: &mut Vec<Action>) {}
    /// A VM starts anew.
    fn restart(&mut self, _at: Moment, _vm: usize) {}
    /// Whether it exchanges messages and needs ticks.
    fn is_distributed(&self) -> bool {
        false
    }
    /// Whether it looks at the truth.
    fn is_oracle(&self) -> bool {
        false
    }
}

/// Makes a fresh policy for a fleet.
pub type Maker = fn(vms: usize, document: &Rc<Document>, seed: u64) -> Box<dyn Policy>;
