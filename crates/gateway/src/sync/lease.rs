//! This VM's registration under a lease.

use briarshift_store::registry::{Call, Reply, Secret};
use briarshift_store::{Error, LeaseId};
use briarshift_units::{Moment, Span};

use crate::limit::{
    LEASE_RENEWAL_DIVISOR, LEASE_RETRY_DELAY, LEASE_TTL, MIN_SYNC_INTERVAL, REGISTRATION_SPREAD,
    SECRET_WRITE_SPREAD,
};
use crate::{Context, Output};

/// State of the registration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Lease {
    #[default]
    None,
    Granted {
        id: LeaseId,
        renew_at: Moment,
    },
    Registered {
        id: LeaseId,
        renew_at: Moment,
    },
}

#[derive(Debug, Default)]
pub(super) struct Registration {
    lease: Lease,
    call_pending: bool,
    ended: bool,
    next_call_at: Moment,
    /// When this VM writes the fleet's secret, unless another VM does so
    /// before.
    secret_write_at: Option<Moment>,
}

impl Registration {
    /// Makes the call that is due. `missing_secret` is the secret of the fleet, if the store
    /// doesn't have it.
    pub(super) fn tick(
        &mut self,
        ctx: &Context<'_>,
        missing_secret: Option<&Secret>,
        out: &mut Output,
    ) {
        if self.call_pending || self.ended || ctx.at < self.next_call_at {
            return;
        }
        let Some(call) = self.next_call(ctx, missing_secret) else { return };
        self.call_pending = true;
        out.call(call, "member");
    }

    /// Returns the next call. The registration comes first: until its peers
    /// know this VM, it reads everything from the store that it could get from
    /// them.
    fn next_call(&mut self, ctx: &Context<'_>, missing_secret: Option<&Secret>) -> Option<Call> {
        match self.lease {
            Lease::None => Some(Call::Grant { ttl: LEASE_TTL }),
            Lease::Granted { id, .. } => {
                Some(Call::Register { member: ctx.me.member(), lease: id })
            }
            Lease::Registered { id, renew_at } if renew_at <= ctx.at => {
                Some(Call::Renew { lease: id })
            }
            Lease::Registered { .. } => {
                let secret = missing_secret?.clone();
                let write_at = ctx.at + Span(ctx.entropy % SECRET_WRITE_SPREAD.0);
                let write_at = *self.secret_write_at.get_or_insert(write_at);
                (write_at <= ctx.at).then_some(Call::CreateSecret { secret })
            }
        }
    }

    /// Forgets the lease, which the store lost when it returned from a copy. Another VM may
    /// get its number.
    pub(super) fn restart(&mut self, ctx: &Context<'_>) {
        if self.lease != Lease::None {
            self.lease = Lease::None;
            self.next_call_at = ctx.at + Span(ctx.entropy % REGISTRATION_SPREAD.0);
        }
        self.secret_write_at = None;
    }

    /// Returns true if this VM has a lease, by its number.
    fn holds(&self, lease: LeaseId) -> bool {
        match self.lease {
            Lease::None => false,
            Lease::Granted { id, .. } | Lease::Registered { id, .. } => id == lease,
        }
    }

    /// Ends the registration.
    pub(super) fn leave(&mut self, out: &mut Output) {
        if let Lease::Granted { id, .. } | Lease::Registered { id, .. } = self.lease {
            out.call(Call::Revoke { lease: id }, "member");
        }
        self.ended = true;
    }

    /// Applies the reply to a call.
    pub(super) fn handle_reply(
        &mut self,
        ctx: &Context<'_>,
        call: &Call,
        sent: Moment,
        result: &Result<Reply, Error>,
    ) {
        self.call_pending = false;
        self.next_call_at = ctx.at + LEASE_RETRY_DELAY;
        match (call, result) {
            (Call::Grant { .. }, Ok(Reply::Leased(lease))) => {
                let renew_at = sent + Span(lease.ttl.0 / LEASE_RENEWAL_DIVISOR);
                self.lease = Lease::Granted { id: lease.id, renew_at };
                self.next_call_at = ctx.at;
            }
            (Call::Register { lease, .. }, Ok(_)) => {
                if let Lease::Granted { id, renew_at } = self.lease
                    && id == *lease
                {
                    self.lease = Lease::Registered { id, renew_at };
                    self.next_call_at = ctx.at;
                }
            }
            (Call::Renew { lease }, Ok(Reply::Leased(granted))) if self.holds(*lease) => {
                let renew_at = sent + Span(granted.ttl.0 / LEASE_RENEWAL_DIVISOR);
                self.lease = Lease::Registered { id: *lease, renew_at };
                self.next_call_at = ctx.at;
            }
            (_, Err(Error::LeaseEnded)) => {
                self.lease = Lease::None;
                self.next_call_at = ctx.at;
            }
            // The next read returns the secret, whichever VM wrote it.
            (Call::CreateSecret { .. }, _) => {
                self.secret_write_at = None;
                self.next_call_at = ctx.at + MIN_SYNC_INTERVAL;
            }
            _ => {}
        }
    }
}
