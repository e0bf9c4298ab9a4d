//! Leases and orders to engines.

use briarshift_platform::{Error, Reply};
use briarshift_target::{Failure, Outcome};
use briarshift_units::{PoolId, TargetId};

use crate::{Context, Output};

/// Pools whose engines this VM orders.
#[derive(Debug, Default)]
pub struct State {}

impl State {
    /// Periodic work.
    pub fn tick(&mut self, _ctx: &Context<'_>, _out: &mut Output) {}

    /// A lease operation was answered.
    pub fn store(
        &mut self,
        _ctx: &Context<'_>,
        _pool: &PoolId,
        _result: Result<Reply, Error>,
        _out: &mut Output,
    ) {
    }

    /// An engine answered an order.
    pub fn ordered(
        &mut self,
        _ctx: &Context<'_>,
        _target: &TargetId,
        _result: Result<Outcome, Failure>,
        _out: &mut Output,
    ) {
    }
}
