//! Routes.

use briarshift_units::{PoolId, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The kind of a route: whether its requests can be sent again, and whether its
/// responses are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Safe,
    /// A request must not run more than once.
    Unsafe,
    /// The response is a stream of events.
    Stream {
        /// True if another target can resume the stream after the last event
        /// that the caller received.
        resumable: bool,
    },
}

impl Kind {
    /// Returns true if a request that may have run can be sent again.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_catalog::Kind;
    /// assert!(Kind::Safe.is_idempotent());
    /// assert!(!Kind::Stream { resumable: false }.is_idempotent());
    /// ```
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Returns true if the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the name of the kind for log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream { resumable: false } => "stream",
            Self::Stream { resumable: true } => "resumable",
        }
    }
}

/// A pool's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The pool.
    pub pool: PoolId,
    /// Weight relative to the other shares. A pool with weight 0 gets no
    /// requests.
    pub weight: u32,
}

/// A route: how requests for one host and path prefix are served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub id: SmolStr,
    /// Host of the requests, in lower case, without a port.
    pub host: SmolStr,
    /// Path prefix of the requests; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Kind of the route.
    pub kind: Kind,
    /// Longest time for which a caller waits for the complete response.
    pub timeout: Span,
    /// Desired time to the response, or to the first event of a stream.
    pub latency_goal: Span,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Pools that serve the route, with their weights.
    pub shares: Vec<Share>,
    /// Largest number of targets that one request may be sent to.
    pub attempts: u32,
    /// True if requests need no account key.
    pub public: bool,
    /// True if requests list the parts of their prompts, so that they can be
    /// routed to engines that have these parts in their caches.
    pub cache_aware: bool,
    /// False if operators' description of the route can't be used. Its requests are
    /// refused, and no route with a shorter prefix serves them.
    pub is_usable: bool,
}

impl Route {
    /// Returns a builder of a route. Unless the builder changes it, the route is
    /// of kind [`Kind::Safe`], has one attempt, a timeout of 10 s and no pool.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_catalog::{Kind, Route};
    /// let route = Route::builder("r-1", "a.example", "/x/")
    ///     .pool("desk".parse().unwrap(), 1)
    ///     .kind(Kind::Unsafe)
    ///     .build();
    /// assert_eq!(route.attempts, 1);
    /// ```
    pub fn builder(id: &str, host: &str, prefix: &str) -> RouteBuilder {
        RouteBuilder(Self {
            id: id.into(),
            host: host.to_ascii_lowercase().into(),
            prefix: prefix.into(),
            kind: Kind::Safe,
            timeout: Span::from_secs(10),
            latency_goal: Span::from_secs(1),
            priority: 0,
            shares: Vec::new(),
            attempts: 1,
            public: false,
            cache_aware: false,
            is_usable: true,
        })
    }
}

/// Builds a [`Route`].
#[derive(Debug, Clone)]
pub struct RouteBuilder(Route);

impl RouteBuilder {
    /// Adds a pool with a weight.
    #[must_use]
    pub fn pool(mut self, pool: PoolId, weight: u32) -> Self {
        self.0.shares.push(Share { pool, weight });
        self
    }

    /// Sets the kind.
    #[must_use]
    pub fn kind(mut self, kind: Kind) -> Self {
        self.0.kind = kind;
        self
    }

    /// Sets the timeout and the latency goal.
    #[must_use]
    pub fn timeouts(mut self, timeout: Span, latency_goal: Span) -> Self {
        self.0.timeout = timeout;
        self.0.latency_goal = latency_goal;
        self
    }

    /// Sets the priority; 0 is the highest.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.0.priority = priority;
        self
    }

    /// Sets the largest number of targets that a request may be sent to. A
    /// value of 0 counts as 1.
    #[must_use]
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.0.attempts = attempts.max(1);
        self
    }

    /// Sets whether requests need no account key.
    #[must_use]
    pub fn public(mut self, public: bool) -> Self {
        self.0.public = public;
        self
    }

    /// Sets whether requests list the parts of their prompts.
    #[must_use]
    pub fn cache_aware(mut self, cache_aware: bool) -> Self {
        self.0.cache_aware = cache_aware;
        self
    }

    /// Marks the route as one whose requests are refused.
    #[must_use]
    pub fn unusable(mut self) -> Self {
        self.0.is_usable = false;
        self
    }

    /// Returns the route.
    pub fn build(self) -> Route {
        self.0
    }
}
