//! What each component gets together with its event.

use std::net::SocketAddr;

use briarshift_logging::Record;
use briarshift_routing::hedge;
use briarshift_routing::retry_window::Budget;
use briarshift_routing::selection;
use briarshift_store::registry::{Call, Member, Secret};
use briarshift_units::{DataCentre, MegabitsPerSecond, Moment, Span, StartNumber, VmId};

use crate::Effect;

/// What operators guarantee to callers, from the process settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Maximum age of the configuration at which requests with keys are served.
    pub key_age: Span,
    /// Time within which a VM must know of a change in the store.
    pub change: Span,
    /// Budget of retries that all VMs share.
    pub retry_budget: Budget,
    /// Maximum load of an engine.
    pub engine_load: selection::Bound,
    /// Maximum duration of a graceful shutdown.
    pub grace: Span,
    /// Limit on second sends of late requests, which all VMs share.
    pub hedge: hedge::Policy,
}

/// What a deployment calls for beyond routing. Everything is off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Features {
    /// Share the room of a pool among client accounts while it is short, and let requests
    /// wait for it.
    pub fair_shares: bool,
    /// Place requests by the memory that they need and by the speed of targets.
    pub room: bool,
}

/// Identity and settings of this VM. Only `bounds` changes during the life of
/// the process.
#[derive(Debug, Clone, PartialEq)]
pub struct Identity {
    /// Id of the VM.
    pub vm: VmId,
    /// Start number of this process.
    pub start: StartNumber,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// Address of its peer listener (UDP).
    pub address: SocketAddr,
    /// Bandwidth of its network link; 0 if unknown.
    pub link: MegabitsPerSecond,
    /// The secret that this VM writes if the fleet has none yet.
    pub secret: Secret,
    /// The guarantees in force.
    pub bounds: Bounds,
    /// What the deployment calls for.
    pub features: Features,
}

impl Identity {
    /// Returns this VM's registration.
    pub fn member(&self) -> Member {
        Member {
            vm: self.vm.clone(),
            start: self.start,
            data_centre: self.data_centre.clone(),
            address: self.address,
            link: self.link,
        }
    }
}

/// Time, random bits and identity for the event that is being applied.
#[derive(Debug, Clone)]
pub struct Context<'a> {
    /// Time since an arbitrary origin, including suspension.
    pub at: Moment,
    /// Random bits of this event.
    pub entropy: u64,
    /// Identity of this VM.
    pub me: &'a Identity,
}

/// Effects of the event that is being applied.
#[derive(Debug, Default)]
pub struct Output {
    /// Effects for the driver, in order.
    pub effects: Vec<Effect>,
}

impl Output {
    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Adds a call to the store, with a log record. `role` is what the VM makes it
    /// as.
    pub fn call(&mut self, call: Call, role: &'static str) {
        self.log(Record::new("store_call").with("call", call_name(&call)).with("role", role));
        self.push(Effect::Call(call));
    }

    /// Adds a log record.
    pub fn log(&mut self, record: Record) {
        self.effects.push(Effect::Log(record));
    }
}

/// Returns the name of a call in logs and metrics.
pub(crate) fn call_name(call: &Call) -> &'static str {
    match call {
        Call::ReadAll { .. } => "read",
        Call::ReadCatalog { .. } => "catalog",
        Call::ReadChanges { .. } => "changes",
        Call::Grant { .. } => "grant",
        Call::Renew { .. } => "renew",
        Call::Revoke { .. } => "revoke",
        Call::Register { .. } => "announce",
        Call::CreateSecret { .. } => "found",
        Call::WriteHoldings { .. } => "hold",
    }
}
