//! What each concern is given beside its event.

use std::net::SocketAddr;

use briarshift_logging::Record;
use briarshift_routing::retry_window::Budget;
use briarshift_routing::selection;
use briarshift_store::registry::{Member, Secret};
use briarshift_units::{DataCentre, MegabitsPerSecond, Moment, Span, StartNumber, VmId};

use crate::Effect;

/// What operators promise callers, from the process settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Age of the configuration beyond which no key is served.
    pub key_age: Span,
    /// What all VMs together may send again.
    pub retry_budget: Budget,
    /// What an engine may be given.
    pub engine_load: selection::Bound,
    /// How long a graceful stop may take.
    pub grace: Span,
}

/// Who this VM is. Fixed for the life of the process.
#[derive(Debug, Clone, PartialEq)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// Start number of this process.
    pub start: StartNumber,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its peer listener (UDP).
    pub address: SocketAddr,
    /// What its link carries; 0 if that is not known.
    pub link: MegabitsPerSecond,
    /// The fleet's secret, if this VM is the first.
    pub secret: Secret,
    /// What is promised.
    pub bounds: Bounds,
}

impl Identity {
    /// How this VM registers itself.
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

/// The moment of the event being applied.
#[derive(Debug, Clone)]
pub struct Context<'a> {
    /// Time since an arbitrary origin, suspension included.
    pub at: Moment,
    /// Random bits of this event.
    pub entropy: u64,
    /// Who this VM is.
    pub me: &'a Identity,
}

/// What applying one event has produced so far.
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

    /// Adds a log line.
    pub fn log(&mut self, record: Record) {
        self.effects.push(Effect::Log(record));
    }
}
