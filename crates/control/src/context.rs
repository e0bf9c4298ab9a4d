//! What each concern is given beside its event.

use std::net::SocketAddr;

use briarshift_units::{DataCentre, Moment, StartNumber, VmId, WallTime};
use smol_str::SmolStr;

use crate::{Effect, Record, Signal};

/// Who this VM is. Fixed for the life of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// Start number of this process.
    pub start: StartNumber,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its peer listener.
    pub address: SocketAddr,
    /// The environment whose document it runs.
    pub environment: SmolStr,
    /// Key that authenticates chat tokens.
    pub token_key: [u8; 32],
}

/// The moment of the event being applied.
#[derive(Debug, Clone)]
pub struct Context<'a> {
    /// Monotonic time.
    pub at: Moment,
    /// Wall-clock time, for usage records and logs only.
    pub wall: WallTime,
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
    /// What one concern tells another, in order.
    pub signals: Vec<Signal>,
}

impl Output {
    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Tells another concern something.
    pub fn signal(&mut self, signal: Signal) {
        self.signals.push(signal);
    }

    /// Adds a log line.
    pub fn log(&mut self, record: Record) {
        self.effects.push(Effect::Log(record));
    }
}

/// One event being applied by a concern: its moment, what the others know, and
/// where its effects go.
pub struct Scope<'a, V> {
    /// The moment.
    pub ctx: &'a Context<'a>,
    /// What the concern may look at.
    pub view: V,
    /// What it has produced.
    pub out: &'a mut Output,
}
