//! Routes.

use briarshift_units::{PoolId, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a request of a route may do, and what repeats of it do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// Runs once at most.
    Unsafe,
    /// Answered by a stream of events.
    Stream {
        /// The stream may be resumed by another target after the last event
        /// that the caller has.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be sent again.
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

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Its name in log lines.
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
    /// Its weight against the other shares; 0 gets nothing.
    pub weight: u32,
}

/// Requests of one host below one prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub id: SmolStr,
    /// Host that the request names, in lower case, without a port.
    pub host: SmolStr,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting for the end of its answer.
    pub timeout: Span,
    /// Time to the answer, or to a stream's first event, that callers want.
    pub latency_goal: Span,
    /// Rank, 0 first.
    pub priority: u8,
    /// Pools that serve it.
    pub shares: Vec<Share>,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Served without an account's key.
    pub public: bool,
    /// Its requests name the parts of their prompts.
    pub cache_aware: bool,
}

impl Route {
    /// Builds a route in code: served by one pool, safe, one attempt, 10 s.
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
        })
    }
}

/// Builds a [`Route`].
#[derive(Debug, Clone)]
pub struct RouteBuilder(Route);

impl RouteBuilder {
    /// Adds a pool with its weight.
    #[must_use]
    pub fn pool(mut self, pool: PoolId, weight: u32) -> Self {
        self.0.shares.push(Share { pool, weight });
        self
    }

    /// Sets what may be repeated.
    #[must_use]
    pub fn kind(mut self, kind: Kind) -> Self {
        self.0.kind = kind;
        self
    }

    /// Sets the longest wait and the wanted one.
    #[must_use]
    pub fn timeouts(mut self, timeout: Span, latency_goal: Span) -> Self {
        self.0.timeout = timeout;
        self.0.latency_goal = latency_goal;
        self
    }

    /// Sets the rank, 0 first.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.0.priority = priority;
        self
    }

    /// Sets the most targets that a request may be sent to; at least 1.
    #[must_use]
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.0.attempts = attempts.max(1);
        self
    }

    /// Sets whether it is served without a key.
    #[must_use]
    pub fn public(mut self, public: bool) -> Self {
        self.0.public = public;
        self
    }

    /// Sets whether its requests name the parts of their prompts.
    #[must_use]
    pub fn cache_aware(mut self, cache_aware: bool) -> Self {
        self.0.cache_aware = cache_aware;
        self
    }

    /// The route.
    pub fn build(self) -> Route {
        self.0
    }
}
