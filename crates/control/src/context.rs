//! Inputs and outputs that all components share.

use std::net::SocketAddr;

use briarshift_units::{DataCentre, Moment, StartNumber, VmId, WallTime};
use smol_str::SmolStr;

use crate::{Effect, Record, Signal};

/// The identity of this VM, which is fixed for the lifetime of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The id of the VM.
    pub vm: VmId,
    /// Start number of this process.
    pub start: StartNumber,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The address of its peer listener.
    pub address: SocketAddr,
    /// The environment whose document it uses.
    pub environment: SmolStr,
    /// The key that authenticates chat tokens.
    pub token_key: [u8; 32],
}

/// The time, random bits and VM identity for the event being applied.
#[derive(Debug, Clone)]
pub struct Context<'a> {
    /// Monotonic time.
    pub at: Moment,
    /// Wall-clock time, for usage records and logs only.
    pub wall: WallTime,
    /// Random bits of this event.
    pub entropy: u64,
    /// The identity of this VM.
    pub me: &'a Identity,
}

/// The results of applying one event so far.
#[derive(Debug, Default)]
pub struct Output {
    /// Effects for the driver, in order.
    pub effects: Vec<Effect>,
    /// Signals between components, in order.
    pub signals: Vec<Signal>,
}

impl Output {
    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Adds a signal to another component.
    pub fn signal(&mut self, signal: Signal) {
        self.signals.push(signal);
    }

    /// Adds a log line.
    pub fn log(&mut self, record: Record) {
        self.effects.push(Effect::Log(record));
    }
}

/// One event being applied by a component: the context of the event, the state of
/// other components, and the output.
pub struct Step<'a, V> {
    /// The context of the event.
    pub ctx: &'a Context<'a>,
    /// The state of other components that the component may read.
    pub view: V,
    /// The output, which collects effects and signals.
    pub out: &'a mut Output,
}
