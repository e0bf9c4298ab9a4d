//! One revision of the configuration.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use briarshift_units::{PoolId, Revision, Size, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Account, Pool, Route};

/// Limits on callers: how much they may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request.
    pub max_header: Size,
    /// Largest body of a request.
    pub max_body: Size,
    /// Longest time to read a request.
    pub read_timeout: Span,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Span,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is loaded.
    fn default() -> Self {
        Self {
            max_header: Size(16 << 10),
            max_body: Size(4 << 20),
            read_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

/// Maximum number of [`Catalog::faults`].
const MAX_FAULTS: usize = 16;

/// One revision of the configuration, which is immutable.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    revision: Revision,
    hosts: HashMap<SmolStr, HashMap<SmolStr, Arc<Route>>>,
    pools: HashMap<PoolId, Pool>,
    keys: HashMap<SmolStr, Arc<Account>>,
    requires_keys: bool,
    limits: Limits,
    unusable_pools: HashSet<PoolId>,
    unusable_keys: HashSet<SmolStr>,
    faults: Vec<SmolStr>,
}

impl Catalog {
    /// Returns a builder of a catalog with the given revision.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_catalog::{Catalog, Route};
    /// use briarshift_units::Revision;
    /// let pool = "desk".parse().unwrap();
    /// let wide = Route::builder("wide", "a.example", "/x/").pool("desk".parse().unwrap(), 1).build();
    /// let narrow = Route::builder("narrow", "a.example", "/x/y/").pool(pool, 1).build();
    /// let catalog = Catalog::builder(Revision(7)).route(wide).route(narrow).build();
    /// assert_eq!(catalog.find_route("A.example:80", "/x/y/z").unwrap().id, "narrow");
    /// assert_eq!(catalog.find_route("a.example", "/x/yz").unwrap().id, "wide");
    /// assert!(catalog.find_route("a.example", "/x").is_none());
    /// ```
    pub fn builder(revision: Revision) -> CatalogBuilder {
        CatalogBuilder(Self { revision, ..Self::default() })
    }

    /// Returns the revision. Later ones are larger, but not consecutive.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns the route of the host with the longest prefix of the path. The
    /// lookup ignores a port in `host`, and its case.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(end, _)| &path[..=end]).find_map(|prefix| routes.get(prefix))
    }

    /// Returns a pool by its name.
    pub fn pool(&self, id: &PoolId) -> Option<&Pool> {
        self.pools.get(id)
    }

    /// Returns all pools, in no particular order.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Returns the account that has a key.
    pub fn account_by_key(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(key)
    }

    /// Returns the keys of the account with a name.
    pub fn keys_of(&self, name: &str) -> impl Iterator<Item = &SmolStr> {
        self.keys.iter().filter(move |(_, account)| account.name == name).map(|(key, _)| key)
    }

    /// Returns true if the description of a pool can't be used. Requests for it are
    /// refused.
    pub fn is_unusable_pool(&self, id: &PoolId) -> bool {
        self.unusable_pools.contains(id)
    }

    /// Returns true if a key belongs to an account whose description can't be used. Its
    /// requests are refused, but the key exists.
    pub fn is_unusable_key(&self, key: &str) -> bool {
        self.unusable_keys.contains(key)
    }

    /// Returns what could not be used of this revision, each with the reason. At most 16
    /// are kept.
    pub fn faults(&self) -> &[SmolStr] {
        &self.faults
    }

    /// Returns true if requests need the key of an account. That holds for each
    /// configuration with a list of accounts, also if the list is empty: then no key is valid.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_catalog::Catalog;
    /// use briarshift_units::Revision;
    /// assert!(!Catalog::builder(Revision(7)).build().requires_keys());
    /// assert!(Catalog::builder(Revision(8)).require_keys().build().requires_keys());
    /// ```
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }
}

/// Builds a [`Catalog`].
#[derive(Debug, Clone)]
pub struct CatalogBuilder(Catalog);

impl CatalogBuilder {
    /// Adds a route, which replaces one with the same host and prefix.
    #[must_use]
    pub fn route(mut self, route: Route) -> Self {
        let routes = self.0.hosts.entry(route.host.clone()).or_default();
        routes.insert(route.prefix.clone(), Arc::new(route));
        self
    }

    /// Adds a pool.
    #[must_use]
    pub fn pool(mut self, pool: Pool) -> Self {
        self.0.pools.insert(pool.id.clone(), pool);
        self
    }

    /// Requires the key of an account for all requests, also while there is no account.
    #[must_use]
    pub fn require_keys(mut self) -> Self {
        self.0.requires_keys = true;
        self
    }

    /// Adds an account with its keys. Requests need a key from then on.
    #[must_use]
    pub fn account(mut self, account: Account, keys: impl IntoIterator<Item = SmolStr>) -> Self {
        let account = Arc::new(account);
        self.0.requires_keys = true;
        self.0.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&account))));
        self
    }

    /// Adds an account that can't be used, with its keys. Requests need a key from then on.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_catalog::Catalog;
    /// use briarshift_units::Revision;
    /// let catalog = Catalog::builder(Revision(7)).unusable_account(["k-1".into()]).build();
    /// assert!(catalog.requires_keys() && catalog.is_unusable_key("k-1"));
    /// assert!(catalog.account_by_key("k-1").is_none());
    /// ```
    #[must_use]
    pub fn unusable_account(mut self, keys: impl IntoIterator<Item = SmolStr>) -> Self {
        self.0.requires_keys = true;
        self.0.unusable_keys.extend(keys);
        self
    }

    /// Adds a pool that can't be used.
    #[must_use]
    pub fn unusable_pool(mut self, id: PoolId) -> Self {
        self.0.unusable_pools.insert(id);
        self
    }

    /// Adds what can't be used of this revision, with the reason.
    #[must_use]
    pub fn fault(mut self, fault: SmolStr) -> Self {
        if self.0.faults.len() < MAX_FAULTS {
            self.0.faults.push(fault);
        }
        self
    }

    /// Sets the limits on callers.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.0.limits = limits;
        self
    }

    /// Returns the catalog.
    pub fn build(self) -> Catalog {
        self.0
    }
}
