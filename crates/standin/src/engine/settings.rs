//! Settings of an engine.

use std::time::Duration;

use briarshift_units::{ModelId, StartNumber};

/// Settings of an engine. Built by [`Builder`].
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
    /// Returns the defaults: an engine without delays that serves any model, caches 1,024 chats and
    /// refuses stale fencing tokens.
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

    /// Sets the loopback port; 0 lets the operating system choose.
    #[must_use]
    pub fn port(mut self, port: u16) -> Self {
        self.settings.port = port;
        self
    }

    /// Sets the start number of the process.
    #[must_use]
    pub fn start_number(mut self, start: StartNumber) -> Self {
        self.settings.start_number = start;
        self
    }

    /// Sets the models that are loaded at the start. An engine with none serves any model until its
    /// first order.
    #[must_use]
    pub fn models(mut self, models: Vec<ModelId>) -> Self {
        self.settings.models = models;
        self
    }

    /// Sets the number of chats whose context the cache can hold.
    #[must_use]
    pub fn cache_capacity(mut self, chats: usize) -> Self {
        self.settings.cache_capacity = chats;
        self
    }

    /// Sets the time to generate one token.
    #[must_use]
    pub fn token_time(mut self, time: Duration) -> Self {
        self.settings.token_time = time;
        self
    }

    /// Sets the smallest number of tokens in an answer.
    #[must_use]
    pub fn min_tokens(mut self, tokens: usize) -> Self {
        self.settings.min_tokens = tokens;
        self
    }

    /// Sets the time before the first token of a chat whose context is not cached.
    #[must_use]
    pub fn prefill_time(mut self, time: Duration) -> Self {
        self.settings.prefill_time = time;
        self
    }

    /// Sets the largest age of a load report.
    #[must_use]
    pub fn max_report_age(mut self, age: Duration) -> Self {
        self.settings.max_report_age = age;
        self
    }

    /// Sets the delay before cache events are reported, and omits every `gap`-th event (0 for none).
    #[must_use]
    pub fn cache_events(mut self, delay: Duration, gap: u64) -> Self {
        self.settings.event_delay = delay;
        self.settings.event_gap = gap;
        self
    }

    /// Sets whether the engine refuses orders with a stale fencing token.
    #[must_use]
    pub fn check_fencing(mut self, check: bool) -> Self {
        self.settings.check_fencing = check;
        self
    }

    /// Sets the time to load one model. An engine loads models one after the other.
    #[must_use]
    pub fn model_load_time(mut self, time: Duration) -> Self {
        self.settings.model_load_time = time;
        self
    }

    /// Sets the time for which an ended stream can be resumed.
    #[must_use]
    pub fn retention(mut self, time: Duration) -> Self {
        self.settings.retention = time;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
