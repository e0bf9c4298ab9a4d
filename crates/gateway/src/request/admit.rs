//! Checks an arrival against the configuration.

use std::sync::Arc;

use briarshift_catalog::{Account, Catalog, Route};
use briarshift_routing::cache::prefixes;
use briarshift_routing::rank;
use briarshift_units::{ChatKey, PoolId};
use xxhash_rust::xxh3::xxh3_64;

use super::flight::Flight;
use super::view::{Leaving, Turn};
use super::{Arrival, Cause};

/// The request that an arrival becomes.
///
/// # Errors
///
/// Why it is refused.
pub(super) fn admit(turn: &Turn<'_, '_>, arrival: &Arrival) -> Result<Flight, Cause> {
    let catalog = turn.view.catalog.ok_or(Cause::NotReady)?;
    let is_fresh = turn.view.fence.is_fresh(turn.ctx.at);
    // An old configuration can't say what does not exist.
    let missing = |cause| if is_fresh { cause } else { Cause::Stale };
    let route = catalog.find_route(&arrival.host, &arrival.path).cloned();
    let route = route.ok_or_else(|| missing(Cause::NoRoute))?;
    let account = account(catalog, &route, arrival).map_err(missing)?;
    if account.is_some() && !is_fresh {
        return Err(Cause::Stale);
    }
    if is_refused(turn.view.leaving, &route) {
        return Err(Cause::Leaving);
    }
    if turn.view.poison.is_poison(arrival.fingerprint) {
        return Err(Cause::Poison);
    }
    let pool = pool(&route, arrival).ok_or(Cause::NoTarget)?;
    let wait = arrival.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    Ok(Flight {
        until: arrival.at + wait,
        parts: if route.cache_aware { prefixes(&arrival.parts) } else { Vec::new() },
        arrival: arrival.clone(),
        route,
        account,
        pool,
        attempts: 0,
        sends: 0,
        tried: Vec::new(),
        failed: false,
        maybe_ran: false,
        sent: None,
    })
}

/// A stream could outlast a VM that stops; a short answer comes in time.
fn is_refused(leaving: Leaving, route: &Route) -> bool {
    match leaving {
        Leaving::No => false,
        Leaving::Streams => route.kind.is_stream(),
        Leaving::All => true,
    }
}

fn account(
    catalog: &Catalog,
    route: &Route,
    arrival: &Arrival,
) -> Result<Option<Arc<Account>>, Cause> {
    if route.public || !catalog.has_accounts() {
        return Ok(None);
    }
    let key = arrival.key.as_ref().ok_or(Cause::NoAccount)?;
    catalog.account_by_key(key).cloned().map(Some).ok_or(Cause::NoAccount)
}

/// The pool for a request, by the route's shares.
fn pool(route: &Route, arrival: &Arrival) -> Option<PoolId> {
    let key = ChatKey(xxh3_64(arrival.attempt.as_str().as_bytes()));
    let share = rank::best_weighted(key, route.shares.iter().map(|share| share.weight))?;
    Some(route.shares[share].pool.clone())
}
