//! Requests that crash the targets that run them.

use briarshift_units::{Fingerprint, TargetId, VmId};
use briarshift_wire::poison::Message;

use crate::{Context, Output};

/// Strikes against fingerprints.
#[derive(Debug, Default)]
pub struct State {}

impl State {
    /// Whether requests with this fingerprint are refused.
    pub fn refused(&self, _ctx: &Context<'_>, _fingerprint: Fingerprint) -> bool {
        false
    }

    /// A target died while it ran a request.
    pub fn strike(
        &mut self,
        _ctx: &Context<'_>,
        _fingerprint: Fingerprint,
        _target: &TargetId,
        _out: &mut Output,
    ) {
    }

    /// A request ended well.
    pub fn clear(&mut self, _ctx: &Context<'_>, _fingerprint: Fingerprint, _out: &mut Output) {}

    /// A peer's message.
    pub fn peer(&mut self, _ctx: &Context<'_>, _from: &VmId, _message: Message, _out: &mut Output) {
    }
}
