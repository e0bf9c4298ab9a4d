//! This VM's registration, under a lease.

use briarshift_store::registry::{Call, Reply};
use briarshift_store::{Error, LeaseId};
use briarshift_units::{Moment, Span};

use crate::limit::{
    LEASE_RENEWAL_DIVISOR, LEASE_RETRY_DELAY, LEASE_TTL, SECRET_WRITE_SPREAD, SYNC_INTERVAL,
};
use crate::{Context, Effect, Output};

/// Where the registration stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Lease {
    #[default]
    None,
    Granted {
        id: LeaseId,
        renew: Moment,
    },
    Announced {
        id: LeaseId,
        renew: Moment,
    },
}

#[derive(Debug, Default)]
pub(super) struct Registration {
    lease: Lease,
    calling: bool,
    left: bool,
    next: Moment,
    /// When this VM writes the fleet's secret, if no other has by then.
    found: Option<Moment>,
}

impl Registration {
    /// Makes the call that is due.
    pub(super) fn tick(&mut self, ctx: &Context<'_>, has_secret: bool, out: &mut Output) {
        if self.calling || self.left || ctx.at < self.next {
            return;
        }
        let Some(call) = self.due(ctx, has_secret) else { return };
        self.calling = true;
        out.push(Effect::Call(call));
    }

    /// A VM says where it is before anything else: until its neighbours hear it,
    /// it asks the store all that it could ask them.
    fn due(&mut self, ctx: &Context<'_>, has_secret: bool) -> Option<Call> {
        match self.lease {
            Lease::None => Some(Call::Grant { ttl: LEASE_TTL }),
            Lease::Granted { id, .. } => {
                Some(Call::Register { member: ctx.me.member(), lease: id })
            }
            Lease::Announced { id, renew } if renew <= ctx.at => Some(Call::Renew { lease: id }),
            Lease::Announced { .. } if has_secret => None,
            Lease::Announced { .. } => {
                let turn = ctx.at + Span(ctx.entropy % SECRET_WRITE_SPREAD.0);
                let turn = *self.found.get_or_insert(turn);
                (turn <= ctx.at).then(|| Call::CreateSecret { secret: ctx.me.secret.clone() })
            }
        }
    }

    /// Ends the registration.
    pub(super) fn leave(&mut self, out: &mut Output) {
        if let Lease::Granted { id, .. } | Lease::Announced { id, .. } = self.lease {
            out.push(Effect::Call(Call::Revoke { lease: id }));
        }
        self.left = true;
    }

    /// Takes in the answer to a call.
    pub(super) fn answered(
        &mut self,
        ctx: &Context<'_>,
        call: &Call,
        sent: Moment,
        result: &Result<Reply, Error>,
    ) {
        self.calling = false;
        self.next = ctx.at + LEASE_RETRY_DELAY;
        match (call, result) {
            (Call::Grant { .. }, Ok(Reply::Leased(lease))) => {
                let renew = sent + Span(lease.ttl.0 / LEASE_RENEWAL_DIVISOR);
                self.lease = Lease::Granted { id: lease.id, renew };
                self.next = ctx.at;
            }
            (Call::Register { .. }, Ok(_)) => {
                if let Lease::Granted { id, renew } = self.lease {
                    self.lease = Lease::Announced { id, renew };
                    self.next = ctx.at;
                }
            }
            (Call::Renew { lease }, Ok(Reply::Leased(granted))) => {
                let renew = sent + Span(granted.ttl.0 / LEASE_RENEWAL_DIVISOR);
                self.lease = Lease::Announced { id: *lease, renew };
                self.next = ctx.at;
            }
            (_, Err(Error::LeaseEnded)) => {
                self.lease = Lease::None;
                self.next = ctx.at;
            }
            // The secret comes with the next read, whoever made it.
            (Call::CreateSecret { .. }, _) => {
                self.found = None;
                self.next = ctx.at + SYNC_INTERVAL;
            }
            _ => {}
        }
    }
}
