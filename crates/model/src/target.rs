//! A simulated target: an engine or a desk runner at an address.

use std::net::{Ipv4Addr, SocketAddr};

use briarshift_gateway::target::{Load, Report};
use briarshift_store::registry::{Status, Target as Row, Value};
use briarshift_units::{DataCentre, Moment, PoolId, TargetId};

use crate::desk::{self, Runner};
use crate::engine::{self, Engine};
use crate::scenario::{Passing, Speeds};

/// The data centres of a simulation.
pub(crate) const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// The server at a target's address.
#[derive(Debug)]
pub(crate) enum Server {
    Engine(Engine),
    Runner(Runner),
}

/// The properties of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Spec {
    Engine(engine::Spec),
    Runner(desk::Spec),
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) id: TargetId,
    pub(crate) address: SocketAddr,
    pub(crate) pool: PoolId,
    pub(crate) server: Server,
    /// Whether it answers.
    pub(crate) is_up: bool,
    /// Whether it was told to leave.
    pub(crate) is_leaving: bool,
    /// Whether its engine is executing a step.
    pub(crate) is_stepping: bool,
    /// Factor by which its service times are multiplied.
    pub(crate) slowdown: f64,
    number: usize,
    spec: Spec,
    /// How many times longer than specified work takes for good.
    lasting: f64,
}

impl Target {
    pub(crate) fn new(number: usize, pool: &PoolId, spec: Spec, lasting: f64) -> Self {
        let [.., high, low] = number.to_be_bytes();
        Self {
            id: format!("t-{number}").parse().expect("an identifier"),
            address: (Ipv4Addr::new(10, 1, high, low), 80).into(),
            pool: pool.clone(),
            server: spec.server(),
            is_up: true,
            is_leaving: false,
            is_stepping: false,
            slowdown: 1.0,
            number,
            spec,
            lasting,
        }
    }

    /// Returns how many times longer than usual work takes on its machine now. All
    /// machines change at different times.
    pub(crate) fn passing(&self, speeds: &Speeds, now: Moment) -> f64 {
        let Some(Passing { share, factor, period }) = speeds.passing else { return 1.0 };
        let phase = draw(self.number as u64, u64::MAX) * period.0 as f64;
        let turn = (now.0 + phase as u64) / period.0.max(1);
        if draw(self.number as u64, turn) < share { factor } else { 1.0 }
    }

    /// Returns how many times longer than specified work takes now.
    pub(crate) fn slowness(&self, speeds: &Speeds, now: Moment) -> f64 {
        self.lasting * self.passing(speeds, now)
    }

    /// Resets it to a server without requests and with an empty cache.
    pub(crate) fn reset(&mut self) {
        self.server = self.spec.server();
        self.is_stepping = false;
    }

    /// Returns its row in the store's registry.
    pub(crate) fn row(&self, status: Status) -> Value {
        let (Spec::Engine(engine::Spec { slots, .. }) | Spec::Runner(desk::Spec { slots, .. })) =
            self.spec;
        Value::Target(Row {
            pool: self.pool.clone(),
            address: self.address,
            data_centre: data_centre(self.number),
            slots,
            status,
            start: None,
            warmup_left: None,
        })
    }

    /// Returns the load report that it sends with its answers.
    pub(crate) fn report(&self, speeds: &Speeds, now: Moment) -> Report {
        let (running, waiting) = self.load();
        let (Spec::Engine(engine::Spec { slots, .. }) | Spec::Runner(desk::Spec { slots, .. })) =
            self.spec;
        let is_runner = matches!(self.spec, Spec::Runner(_));
        let percent = || (self.passing(speeds, now) * 100.0) as u32;
        let work_percent = (speeds.are_stated && is_runner).then(percent);
        Report { load: Some(Load { running, waiting, slots, work_percent }), ..Report::default() }
    }

    /// Returns the number of running and of waiting requests.
    pub(crate) fn load(&self) -> (u32, u32) {
        match &self.server {
            Server::Engine(engine) => engine.load(),
            Server::Runner(runner) => runner.load(),
        }
    }

    /// Returns the running and waiting jobs.
    pub(crate) fn jobs(&self) -> Vec<u64> {
        match &self.server {
            Server::Engine(engine) => engine.jobs(),
            Server::Runner(runner) => runner.jobs(),
        }
    }
}

impl Spec {
    fn server(self) -> Server {
        match self {
            Self::Engine(spec) => Server::Engine(Engine::new(spec)),
            Self::Runner(spec) => Server::Runner(Runner::new(spec)),
        }
    }
}

/// Returns a number from 0 to 1 that looks random.
fn draw(number: u64, turn: u64) -> f64 {
    let mixed = (number << 32 ^ turn).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    ((mixed ^ (mixed >> 27)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the data centre of the machine with this number.
pub(crate) fn data_centre(number: usize) -> DataCentre {
    DATA_CENTRES[number % DATA_CENTRES.len()].parse().expect("an identifier")
}
