//! The interface of a routing policy to the simulation.

use std::rc::Rc;

use briarshift_control::Record;
use briarshift_settings::Document;
use briarshift_target::LoadReport;
use briarshift_units::{Moment, RequestId, TargetId, VmId};
use briarshift_wire::Message;
use briarshift_wire::reservation::{Denial, Requirements};

/// The last load report of an engine that has reached a VM.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The engine.
    pub id: TargetId,
    /// The report; `None` if the engine did not answer.
    pub report: Option<LoadReport>,
    /// Time at which the engine made the report.
    pub taken_at: Moment,
}

/// The current load of an engine, which only the oracle reads.
#[derive(Debug, Clone)]
pub struct CurrentReport {
    /// The engine.
    pub id: TargetId,
    /// The report that the engine would make now.
    pub report: LoadReport,
}

/// An action that a policy requests from the simulation.
#[derive(Debug)]
pub enum Action {
    /// Runs a request on an engine.
    Assign(RequestId, TargetId),
    /// Refuses a request.
    Deny(RequestId, Denial),
    /// Sends a message from the VM with this index to another VM.
    Send(usize, VmId, Message),
    /// Writes a log record of the VM with this index.
    Log(usize, Record),
}

/// Routes the requests of all VMs of the fleet. VMs are identified by their index.
pub trait Policy {
    /// Returns its name in the results.
    fn name(&self) -> &'static str;
    /// Routes a request that arrived at a VM.
    fn handle_request(
        &mut self,
        now: Moment,
        vm: usize,
        requirements: Requirements,
        out: &mut Vec<Action>,
    );
    /// Handles the end of a VM's request on an engine.
    fn handle_end(&mut self, now: Moment, vm: usize, request: RequestId, out: &mut Vec<Action>);
    /// Handles the failure of a VM's request because its engine is down.
    fn handle_failure(&mut self, vm: usize, target: &TargetId);
    /// Handles load reports that reached a VM.
    fn handle_reports(
        &mut self,
        now: Moment,
        vm: usize,
        observations: &[Observation],
        out: &mut Vec<Action>,
    );
    /// Handles a list of engines that reached a VM. The flag tells whether the engine is leaving.
    fn handle_engine_list(&mut self, now: Moment, vm: usize, listed: &[(TargetId, bool)]);
    /// Handles a list of the other live VMs that reached a VM.
    fn handle_vm_list(&mut self, _now: Moment, _vm: usize, _listed: &[VmId]) {}
    /// Handles a message that reached a VM.
    fn handle_message(&mut self, _: Moment, _vm: usize, _: VmId, _: Message, _: &mut Vec<Action>) {}
    /// Runs the timers of a VM. Called at a fixed interval.
    fn tick(&mut self, _now: Moment, _vm: usize, _out: &mut Vec<Action>) {}
    /// Handles the current reports of all engines that are up.
    fn handle_current_reports(
        &mut self,
        _now: Moment,
        _reports: &[CurrentReport],
        _out: &mut Vec<Action>,
    ) {
    }
    /// Restarts a VM without its state.
    fn restart_vm(&mut self, _now: Moment, _vm: usize) {}
    /// Returns true if its VMs exchange messages and need ticks.
    fn is_distributed(&self) -> bool {
        false
    }
    /// Returns true if it reads the engines' current reports; its requests and their ends
    /// then take no time to arrive.
    fn is_oracle(&self) -> bool {
        false
    }
}

/// Creates a policy without state for a fleet.
pub type Factory = fn(vms: usize, document: &Rc<Document>, seed: u64) -> Box<dyn Policy>;
