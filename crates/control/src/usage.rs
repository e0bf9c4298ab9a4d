//! Cumulative usage counters of this VM's start.

use briarshift_platform::{Error, Reply};
use briarshift_units::{AccountId, OwnerId, PoolId, Span};
use smol_str::SmolStr;

use crate::request::Tokens;
use crate::{Context, Output};

/// What one ended request used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// Who pays.
    pub owner: OwnerId,
    /// Whose request it was.
    pub account: AccountId,
    /// The pool that served it.
    pub pool: PoolId,
    /// The model, for chats.
    pub model: Option<SmolStr>,
    /// Tokens, for chats.
    pub tokens: Tokens,
    /// Time it waited for a place.
    pub queued: Span,
    /// Whether it was a booking that ran.
    pub booked: bool,
    /// Whether it was refused.
    pub refused: bool,
}

/// Counters by owner, account, pool and model.
#[derive(Debug, Default)]
pub struct State {}

impl State {
    /// Counts one request.
    pub fn count(&mut self, _sample: &Sample) {}

    /// Periodic work: writes the counters.
    pub fn tick(&mut self, _ctx: &Context<'_>, _out: &mut Output) {}

    /// A write was answered.
    pub fn store(&mut self, _ctx: &Context<'_>, _result: Result<Reply, Error>, _out: &mut Output) {}
}
