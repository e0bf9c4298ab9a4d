//! What an engine is like.

use std::time::Duration;

use briarshift_units::{ModelId, StartNumber};

/// What an engine is like. Built by [`Builder`].
#[derive(Debug, Clone)]
pub struct Settings {
    pub(super) port: u16,
    pub(super) start: StartNumber,
    pub(super) models: Vec<ModelId>,
    pub(super) cache: usize,
    pub(super) token: Duration,
    pub(super) tokens: usize,
    pub(super) prefill: Duration,
    pub(super) load_lag: Duration,
    pub(super) event_lag: Duration,
    pub(super) event_gap: u64,
    pub(super) checks_fencing: bool,
    pub(super) model_load: Duration,
    pub(super) retention: Duration,
}

/// Builds [`Settings`].
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use briarshift_standin::engine::{Builder, Server};
/// let settings = Builder::new().cache(100).token(Duration::from_millis(2)).build();
/// let engine = Server::start(settings).unwrap();
/// engine.close();
/// ```
#[derive(Debug, Clone)]
pub struct Builder {
    settings: Settings,
}

impl Default for Builder {
    fn default() -> Self {
        Self::new()
    }
}

impl Builder {
    /// An engine without delays that serves any model, holds 1,024 chats and
    /// refuses old fencing numbers.
    pub fn new() -> Self {
        Self {
            settings: Settings {
                port: 0,
                start: StartNumber(1),
                models: Vec::new(),
                cache: 1024,
                token: Duration::ZERO,
                tokens: 0,
                prefill: Duration::ZERO,
                load_lag: Duration::ZERO,
                event_lag: Duration::ZERO,
                event_gap: 0,
                checks_fencing: true,
                model_load: Duration::ZERO,
                retention: Duration::from_secs(30),
            },
        }
    }

    /// The loopback port; 0 lets the operating system choose.
    #[must_use]
    pub fn port(mut self, port: u16) -> Self {
        self.settings.port = port;
        self
    }

    /// Start number of the process.
    #[must_use]
    pub fn start(mut self, start: StartNumber) -> Self {
        self.settings.start = start;
        self
    }

    /// Models held at the start; none for an engine that serves any model
    /// until its first order.
    #[must_use]
    pub fn models(mut self, models: Vec<ModelId>) -> Self {
        self.settings.models = models;
        self
    }

    /// Chats whose context the cache holds.
    #[must_use]
    pub fn cache(mut self, chats: usize) -> Self {
        self.settings.cache = chats;
        self
    }

    /// Time a token takes.
    #[must_use]
    pub fn token(mut self, time: Duration) -> Self {
        self.settings.token = time;
        self
    }

    /// Least number of tokens of an answer.
    #[must_use]
    pub fn tokens(mut self, tokens: usize) -> Self {
        self.settings.tokens = tokens;
        self
    }

    /// Time before the first token of a chat whose context is not held.
    #[must_use]
    pub fn prefill(mut self, time: Duration) -> Self {
        self.settings.prefill = time;
        self
    }

    /// Greatest age of a load report.
    #[must_use]
    pub fn load_lag(mut self, lag: Duration) -> Self {
        self.settings.load_lag = lag;
        self
    }

    /// How late cache events are shown, and that every `gap`-th is lost (0
    /// for none).
    #[must_use]
    pub fn events(mut self, lag: Duration, gap: u64) -> Self {
        self.settings.event_lag = lag;
        self.settings.event_gap = gap;
        self
    }

    /// Whether orders with an old fencing number are refused or obeyed.
    #[must_use]
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.settings.checks_fencing = checks;
        self
    }

    /// Time to load one model. An engine loads one after the other.
    #[must_use]
    pub fn model_load(mut self, time: Duration) -> Self {
        self.settings.model_load = time;
        self
    }

    /// How long an ended stream can be resumed.
    #[must_use]
    pub fn retention(mut self, time: Duration) -> Self {
        self.settings.retention = time;
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
