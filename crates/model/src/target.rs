//! A target of the model: an engine or a plain service behind an address.

use std::net::{Ipv4Addr, SocketAddr};

use briarshift_gateway::target::Report;
use briarshift_store::registry::{Status, Target as Row, Value};
use briarshift_units::{DataCentre, PoolId, TargetId};

use crate::desk::{self, Desk};
use crate::engine::{self, Engine};

/// Data centres of a model.
pub(crate) const CENTRES: [&str; 3] = ["a", "b", "c"];

/// What stands behind a target's address.
#[derive(Debug)]
pub(crate) enum Server {
    Engine(Engine),
    Desk(Desk),
}

/// How to make one.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Spec {
    Engine(engine::Spec),
    Desk(desk::Spec),
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) id: TargetId,
    pub(crate) address: SocketAddr,
    pub(crate) pool: PoolId,
    pub(crate) server: Server,
    /// It answers.
    pub(crate) up: bool,
    /// It was told to leave.
    pub(crate) leaves: bool,
    /// A step of its engine is under way.
    pub(crate) steps: bool,
    number: usize,
    spec: Spec,
}

impl Target {
    pub(crate) fn new(number: usize, pool: &PoolId, spec: Spec) -> Self {
        let [.., high, low] = number.to_be_bytes();
        Self {
            id: format!("t-{number}").parse().expect("an identifier"),
            address: (Ipv4Addr::new(10, 1, high, low), 80).into(),
            pool: pool.clone(),
            server: spec.server(),
            up: true,
            leaves: false,
            steps: false,
            number,
            spec,
        }
    }

    /// Forgets all that it had.
    pub(crate) fn reset(&mut self) {
        self.server = self.spec.server();
        self.steps = false;
    }

    pub(crate) fn row(&self, standing: Status) -> Value {
        let (Spec::Engine(engine::Spec { slots, .. }) | Spec::Desk(desk::Spec { slots, .. })) =
            self.spec;
        Value::Target(Row {
            pool: self.pool.clone(),
            address: self.address,
            data_centre: centre(self.number),
            slots,
            status: standing,
            start: None,
        })
    }

    pub(crate) fn report(&self) -> Report {
        let (running, waiting) = self.load();
        let (Spec::Engine(engine::Spec { slots, .. }) | Spec::Desk(desk::Spec { slots, .. })) =
            self.spec;
        Report { running, waiting, slots }
    }

    pub(crate) fn load(&self) -> (u32, u32) {
        match &self.server {
            Server::Engine(engine) => engine.load(),
            Server::Desk(desk) => desk.load(),
        }
    }

    pub(crate) fn jobs(&self) -> Vec<u64> {
        match &self.server {
            Server::Engine(engine) => engine.jobs(),
            Server::Desk(desk) => desk.jobs(),
        }
    }
}

impl Spec {
    fn server(self) -> Server {
        match self {
            Self::Engine(spec) => Server::Engine(Engine::new(spec)),
            Self::Desk(spec) => Server::Desk(Desk::new(spec)),
        }
    }
}

/// Where the machine with a number stands.
pub(crate) fn centre(number: usize) -> DataCentre {
    CENTRES[number % CENTRES.len()].parse().expect("an identifier")
}
