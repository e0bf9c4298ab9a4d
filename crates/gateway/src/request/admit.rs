//! Checks a request that has arrived against the configuration.

use std::sync::Arc;

use briarshift_catalog::{Account, Catalog, Route};
use briarshift_routing::cache::prefixes;
use briarshift_routing::rank;
use briarshift_units::{ChatKey, Moment, PoolId};
use xxhash_rust::xxh3::xxh3_64;

use super::pending::Pending;
use super::view::{Leaving, Step};
use super::{Arrival, Cause};

/// Returns the pending request for an arrival.
///
/// # Errors
///
/// Returns the cause of the refusal.
pub(super) fn admit(step: &Step<'_, '_>, arrival: &Arrival) -> Result<Pending, Cause> {
    let catalog = step.view.catalog.ok_or(Cause::NotReady)?;
    let is_fresh = step.view.freshness.is_fresh(step.ctx.at);
    // A stale configuration does not show that a route or account is missing.
    let unless_stale = |cause| if is_fresh { cause } else { Cause::Stale };
    let route = catalog.find_route(&arrival.host, &arrival.path).cloned();
    let route = route.ok_or_else(|| unless_stale(Cause::NoRoute))?;
    if !route.is_usable {
        return Err(Cause::Unusable);
    }
    let account = account(catalog, &route, arrival).map_err(unless_stale)?;
    if account.is_some() && !is_fresh {
        return Err(Cause::Stale);
    }
    let wait = arrival.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = arrival.at + wait;
    if is_refused(step.view.leaving, &route, deadline) {
        return Err(Cause::Leaving);
    }
    if step.view.poison.is_poison(arrival, step.ctx.at) {
        return Err(Cause::Poison);
    }
    let pool = pool(&route, arrival).ok_or(Cause::NoTarget)?;
    if catalog.is_unusable_pool(&pool) {
        return Err(Cause::Unusable);
    }
    Ok(Pending {
        deadline,
        parts: if route.cache_aware { prefixes(&arrival.parts) } else { Vec::new() },
        arrival: arrival.clone(),
        route,
        account,
        pool,
        memory: 0,
        attempts: 0,
        sends: 0,
        tried: Vec::new(),
        holds_failure: false,
        may_have_run: false,
        has_begun: false,
        active_send: None,
        hedge: None,
        hedge_denial: None,
    })
}

/// Returns true if this VM shuts down and does not accept a request of the route
/// with this deadline any more.
fn is_refused(leaving: Leaving, route: &Route, deadline: Moment) -> bool {
    match leaving {
        Leaving::No => false,
        Leaving::AcceptsUntil(end) => route.kind.is_stream() || end < deadline,
        Leaving::RefusesAll => true,
    }
}

/// Returns the account whose key a request carries, `None` if it needs no key. A key that
/// the configuration doesn't hold is refused even where none is needed: it may have been
/// taken away.
fn account(
    catalog: &Catalog,
    route: &Route,
    arrival: &Arrival,
) -> Result<Option<Arc<Account>>, Cause> {
    if route.public {
        return Ok(None);
    }
    let Some(key) = &arrival.key else {
        return if catalog.requires_keys() { Err(Cause::NoAccount) } else { Ok(None) };
    };
    if catalog.is_unusable_key(key) {
        return Err(Cause::Unusable);
    }
    catalog.account_by_key(key).cloned().map(Some).ok_or(Cause::NoAccount)
}

/// Chooses a pool for a request according to the weights of the route's shares.
fn pool(route: &Route, arrival: &Arrival) -> Option<PoolId> {
    let key = ChatKey(xxh3_64(arrival.attempt.as_str().as_bytes()));
    let index = rank::best_weighted(key, route.shares.iter().map(|share| share.weight))?;
    Some(route.shares[index].pool.clone())
}
