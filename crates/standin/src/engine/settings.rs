//! What an engine is like.

use std::time::Duration;

use briarshift_units::{ModelId, StartNumber};

/// What an engine is like. Built by [`Builder`].
#[derive(Debug, Clone)]
pub struct Settings {
    pub(super) port: u16,
    pub(super) start_number: StartNumber,
    pub(super) models: Vec<ModelId>,
    pub(super) cache_capacity: usize,
    pub(super) token_time: Duration,
    pub(super) min_tokens: usize,
    pub(super) prefill_time: Duration,
    pub(super) max_report_age: Duration,
    pub(super) event_delay: Duration,
    pub(super) event_gap: u64,
    pub(super) check_fencing: bool,
    pub(super) model_load_time: Duration,
    pub(super) retention: Duration,
}

/// Builds [`Settings`].
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use briarshift_standin::engine::{Builder, Server};
/// let settings = Builder::new().cache_capacity(100).token_time(Duration::from_millis(2)).build();
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
                start_number: StartNumber(1),
                models: Vec::new(),
                cache_capacity: 1024,
                token_time: Duration::ZERO,
                min_tokens: 0,
                prefill_time: Duration::ZERO,
                max_report_age: Duration::ZERO,
                event_delay: Duration::ZERO,
                event_gap: 0,
                check_fencing: true,
                model_load_time: Duration::ZERO,
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
    pub fn start_number(mut self, start: StartNumber) -> Self {
        self.settings.start_number = start;
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
    pub fn cache_capacity(mut self, chats: usize) -> Self {
        self.settings.cache_capacity = chats;
        self
    }

    /// Time a token takes.
    #[must_use]
    pub fn token_time(mut self, time: Duration) -> Self {
        self.settings.token_time = time;
        self
    }

    /// Least number of tokens of an answer.
    #[must_use]
    pub fn min_tokens(mut self, tokens: usize) -> Self {
        self.settings.min_tokens = tokens;
        self
    }

    /// Time before the first token of a chat whose context is not held.
    #[must_use]
    pub fn prefill_time(mut self, time: Duration) -> Self {
        self.settings.prefill_time = time;
        self
    }

    /// Greatest age of a load report.
    #[must_use]
    pub fn max_report_age(mut self, age: Duration) -> Self {
        self.settings.max_report_age = age;
        self
    }

    /// How late cache events are shown, and that every `gap`-th is lost (0
    /// for none).
    #[must_use]
    pub fn cache_events(mut self, delay: Duration, gap: u64) -> Self {
        self.settings.event_delay = delay;
        self.settings.event_gap = gap;
        self
    }

    /// Whether orders with an old fencing number are refused or obeyed.
    #[must_use]
    pub fn check_fencing(mut self, check: bool) -> Self {
        self.settings.check_fencing = check;
        self
    }

    /// Time to load one model. An engine loads one after the other.
    #[must_use]
    pub fn model_load_time(mut self, time: Duration) -> Self {
        self.settings.model_load_time = time;
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
