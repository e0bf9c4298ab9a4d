//! A target's log of the requests that it ran. Tests check the router against it.

use std::collections::BTreeMap;
use std::time::Instant;

use briarshift_units::ChatKey;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One run of a request. It does not include the account, which targets do not know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's `X-Request-Id`.
    pub id: SmolStr,
    /// The chat, or `None` for a desk call.
    pub chat: Option<ChatKey>,
    /// The booking that the body of a desk call names.
    pub booking: Option<SmolStr>,
    /// Start of the run, in milliseconds since the target's start.
    pub started_ms: u64,
    /// End of the run in milliseconds since the target's start, or `None` while it runs.
    pub ended_ms: Option<u64>,
    /// True if the run produced its complete answer.
    pub whole: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

impl Run {
    /// Returns true if the chat's context was found in the cache.
    pub fn cached(&self) -> bool {
        0 < self.cached_tokens
    }
}

/// All runs of a target since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// Runs in the order in which they started.
    pub runs: Vec<Run>,
    /// Largest number of concurrent runs.
    pub max_running: u32,
    /// Time at which the target began leaving, in milliseconds since its start.
    pub left_ms: Option<u64>,
    /// Number of runs of each booking.
    pub bookings: BTreeMap<SmolStr, u32>,
}

/// Records the runs of a target.
#[derive(Debug)]
pub(crate) struct Recorder {
    started: Instant,
    log: Log,
    running: u32,
}

impl Recorder {
    pub fn new() -> Self {
        Self { started: Instant::now(), log: Log::default(), running: 0 }
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    pub fn running(&self) -> u32 {
        self.running
    }

    pub fn start_leaving(&mut self) {
        let now = self.now_ms();
        self.log.left_ms.get_or_insert(now);
    }

    pub fn is_leaving(&self) -> bool {
        self.log.left_ms.is_some()
    }

    /// Records the start of a run and returns its index in the log.
    pub fn start(&mut self, id: &str, chat: Option<ChatKey>, booking: Option<&str>) -> usize {
        self.running += 1;
        self.log.max_running = self.log.max_running.max(self.running);
        if let Some(booking) = booking {
            *self.log.bookings.entry(booking.into()).or_default() += 1;
        }
        self.log.runs.push(Run {
            id: id.into(),
            chat,
            booking: booking.map(Into::into),
            started_ms: self.now_ms(),
            ended_ms: None,
            whole: false,
            prompt_tokens: 0,
            cached_tokens: 0,
            completion_tokens: 0,
        });
        self.log.runs.len() - 1
    }

    pub fn run_mut(&mut self, index: usize) -> &mut Run {
        &mut self.log.runs[index]
    }

    /// Records the end of a run. Does nothing if the run has already ended.
    pub fn end(&mut self, index: usize, whole: bool) {
        let now = self.now_ms();
        let run = &mut self.log.runs[index];
        if run.ended_ms.is_none() {
            run.ended_ms = Some(now);
            run.whole = whole;
            self.running -= 1;
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
