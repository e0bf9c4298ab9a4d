//! One version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use briarshift_units::{PoolId, Revision, Size, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Account, Pool, Route};

/// Bounds on what a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head of a request.
    pub max_header: Size,
    /// Longest body of a request.
    pub max_body: Size,
    /// Longest time to read a request.
    pub read_timeout: Span,
    /// Longest time that a kept connection may stay idle.
    pub idle_timeout: Span,
}

impl Default for Limits {
    /// What holds until a configuration says otherwise.
    fn default() -> Self {
        Self {
            max_header: Size(16 << 10),
            max_body: Size(4 << 20),
            read_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

/// One version of the configuration, read only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    revision: Revision,
    hosts: HashMap<SmolStr, HashMap<SmolStr, Arc<Route>>>,
    pools: HashMap<PoolId, Pool>,
    keys: HashMap<SmolStr, Arc<Account>>,
    accounts: usize,
    limits: Limits,
}

impl Catalog {
    /// Builds a catalog of one version.
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

    /// Its version; grows in uneven steps.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Bounds on callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// The route of a host with the longest prefix that begins the path. A
    /// port in `host` and its case don't count.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(end, _)| &path[..=end]).find_map(|prefix| routes.get(prefix))
    }

    /// A pool by its name.
    pub fn pool(&self, id: &PoolId) -> Option<&Pool> {
        self.pools.get(id)
    }

    /// All pools, in no order.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// The account that holds a key.
    pub fn account_by_key(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(key)
    }

    /// Whether requests need an account's key.
    pub fn has_accounts(&self) -> bool {
        0 < self.accounts
    }
}

/// Builds a [`Catalog`].
#[derive(Debug, Clone)]
pub struct CatalogBuilder(Catalog);

impl CatalogBuilder {
    /// Adds a route; one of the same host and prefix is replaced.
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

    /// Adds an account with its keys.
    #[must_use]
    pub fn account(mut self, account: Account, keys: impl IntoIterator<Item = SmolStr>) -> Self {
        let account = Arc::new(account);
        self.0.accounts += 1;
        self.0.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&account))));
        self
    }

    /// Sets the bounds on callers.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.0.limits = limits;
        self
    }

    /// The catalog.
    pub fn build(self) -> Catalog {
        self.0
    }
}
