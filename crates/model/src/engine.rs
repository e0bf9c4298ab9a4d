//! Simulates a model engine: batched generation, chunked prefill and a cache of
//! prompt parts.
//!
//! Time advances in steps. In each step, every request whose prompt has been read
//! generates one token, and a chunk of the unread prompts is read in between,
//! which prolongs the step for all requests. A fixed number of tokens makes one
//! event of the answer.

use std::collections::{BTreeMap, HashMap, VecDeque};

use briarshift_routing::cache::Prefix;
use briarshift_units::{Moment, Span};

/// Time to copy a token from another engine's cache, relative to the time to read
/// it.
const TRANSFER_COST: f64 = 0.2;

/// The properties of all engines of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spec {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Memory for running requests and cached parts, in tokens.
    pub memory_tokens: u64,
    /// Duration of a step in which no prompt is read, before the slowdown by
    /// occupied slots.
    pub step: Span,
    /// Fraction by which a step takes longer with all slots occupied.
    pub full_slowdown: f64,
    /// Number of prompt tokens read per millisecond.
    pub read_rate: f64,
    /// Maximum number of prompt tokens read in one step.
    pub max_chunk: u64,
    /// Number of generated tokens per event.
    pub tokens_per_event: u32,
}

impl Spec {
    /// Returns the same engine with work that takes `factor` times as long.
    #[must_use]
    pub fn slowed(self, factor: f64) -> Self {
        let step = Span((self.step.0 as f64 * factor) as u64);
        Self { step, read_rate: self.read_rate / factor, ..self }
    }
}

/// One request on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// Number of the job.
    pub job: u64,
    /// The prefixes of its prompt's parts, with the length of each part in
    /// tokens. The last part is not shared.
    pub parts: Vec<(Prefix, u32)>,
    /// Number of events in its answer.
    pub events: u32,
    /// Its priority; 0 is served first.
    pub priority: u8,
    /// Shared parts that can be copied from another engine's cache.
    pub transferable: Vec<Prefix>,
}

#[derive(Debug)]
struct RunningTask {
    task: Task,
    /// Number of prompt tokens still to read.
    unread: u64,
    /// Number of generated tokens.
    generated: u32,
}

/// The result of one step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// How long it takes.
    pub duration: Span,
    /// Jobs that generated their first event.
    pub first_event: Vec<u64>,
    /// Jobs that generated their last event.
    pub finished: Vec<u64>,
    /// Shared parts that must be read for requests that started.
    pub shared_parts: Vec<(Prefix, u32)>,
    /// Number of tokens in the parts of these requests that are not shared.
    pub own_tokens: u64,
    /// Number of tokens in shared parts copied from other engines.
    pub transferred_tokens: u64,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    spec: Spec,
    running: Vec<RunningTask>,
    waiting: VecDeque<Task>,
    /// Cached parts, with their length in tokens and the time of their last use.
    cache: HashMap<Prefix, (u32, Moment)>,
}

impl Engine {
    /// Returns an idle engine with an empty cache.
    pub fn new(spec: Spec) -> Self {
        Self { spec, running: Vec::new(), waiting: VecDeque::new(), cache: HashMap::new() }
    }

    /// Returns the leading parts of a prompt that are cached.
    pub fn cached(&self, parts: &[(Prefix, u32)]) -> Vec<Prefix> {
        let prefixes = parts.iter().map(|(prefix, _)| *prefix);
        prefixes.take_while(|prefix| self.cache.contains_key(prefix)).collect()
    }

    /// Returns the number of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Returns true if the requests on it, running and waiting, need more memory than it has:
    /// their shared parts once, their own parts and their whole answers.
    pub fn is_overfull(&self) -> bool {
        let running = self.running.iter().map(|running| &running.task);
        let mut shared = BTreeMap::new();
        let mut own = 0;
        for task in running.chain(&self.waiting) {
            let (last, parts) = task
                .parts
                .split_last()
                .map_or((0, &[][..]), |(last, parts)| (u64::from(last.1), parts));
            own += last + u64::from(task.events * self.spec.tokens_per_event);
            shared.extend(parts.iter().copied());
        }
        let shared: u64 = shared.values().map(|tokens| u64::from(*tokens)).sum();
        self.spec.memory_tokens < shared + own
    }

    /// Queues a request, ahead of those with a lower priority.
    pub fn accept(&mut self, task: Task) {
        let index = self.waiting.iter().position(|waiting| task.priority < waiting.priority);
        self.waiting.insert(index.unwrap_or(self.waiting.len()), task);
    }

    /// Removes a job whose caller has left.
    pub fn cancel(&mut self, job: u64) {
        self.running.retain(|running| running.task.job != job);
        self.waiting.retain(|task| task.job != job);
    }

    /// Returns the running and waiting jobs, which are lost if the engine
    /// crashes.
    pub fn jobs(&self) -> Vec<u64> {
        let running = self.running.iter().map(|running| running.task.job);
        running.chain(self.waiting.iter().map(|task| task.job)).collect()
    }

    /// Executes one step. Returns `None` if there is nothing to do.
    pub fn step(&mut self, now: Moment) -> Option<Step> {
        let mut step = Step::default();
        self.start_waiting(now, &mut step);
        if self.running.is_empty() {
            return None;
        }
        let occupancy = self.running.len() as f64 / f64::from(self.spec.slots);
        let chunk = self.read_chunk();
        let seconds = self.spec.step.as_secs_f64() * (1.0 + self.spec.full_slowdown * occupancy)
            + chunk as f64 / self.spec.read_rate / 1e3;
        step.duration = Span((seconds * 1e6) as u64);
        for running in self.running.iter_mut().filter(|running| running.unread == 0) {
            running.generated += 1;
            if running.generated == self.spec.tokens_per_event {
                step.first_event.push(running.task.job);
            }
            if running.task.events * self.spec.tokens_per_event <= running.generated {
                step.finished.push(running.task.job);
            }
        }
        self.running
            .retain(|running| running.generated < running.task.events * self.spec.tokens_per_event);
        Some(step)
    }

    /// Starts waiting requests while there are free slots and enough memory.
    fn start_waiting(&mut self, now: Moment, step: &mut Step) {
        while self.running.len() < self.spec.slots as usize {
            let Some(task) = self.waiting.front() else { break };
            let own = u64::from(task.parts.last().map_or(0, |(_, tokens)| *tokens));
            let shared = &task.parts[..task.parts.len().saturating_sub(1)];
            let missing = shared.iter().position(|(prefix, _)| !self.cache.contains_key(prefix));
            let missing = &shared[missing.unwrap_or(shared.len())..];
            let needed = own + tokens(missing);
            let used: u64 = self.running.iter().map(RunningTask::memory).sum();
            let is_only = self.running.is_empty();
            let missing = missing.to_vec();
            if !self.make_room(used + needed) && !is_only {
                break;
            }
            let Some(task) = self.waiting.pop_front() else { break };
            for part in &task.parts[..task.parts.len().saturating_sub(1)] {
                self.cache.insert(part.0, (part.1, now));
            }
            let (transferred, missing): (Vec<_>, Vec<_>) =
                missing.into_iter().partition(|(prefix, _)| task.transferable.contains(prefix));
            let transferred = tokens(&transferred);
            let unread = own + tokens(&missing) + (transferred as f64 * TRANSFER_COST) as u64;
            step.own_tokens += own;
            step.transferred_tokens += transferred;
            step.shared_parts.extend(missing);
            self.running.push(RunningTask { task, unread: unread.max(1), generated: 0 });
        }
    }

    /// Evicts cached parts, the least recently used first, until `needed` tokens
    /// fit into the memory beside the others. Returns false if they don't fit
    /// even with an empty cache.
    fn make_room(&mut self, needed: u64) -> bool {
        let mut cached: u64 = self.cache.values().map(|(tokens, _)| u64::from(*tokens)).sum();
        while self.spec.memory_tokens < cached + needed {
            let oldest = self.cache.iter().min_by_key(|(prefix, (_, at))| (*at, **prefix));
            let Some((&prefix, &(tokens, _))) = oldest else { return false };
            self.cache.remove(&prefix);
            cached -= u64::from(tokens);
        }
        true
    }

    /// Reads one chunk of the unread prompts, in the order in which the requests
    /// started. Returns its length in tokens.
    fn read_chunk(&mut self) -> u64 {
        let mut left = self.spec.max_chunk;
        for running in &mut self.running {
            let part = running.unread.min(left);
            running.unread -= part;
            left -= part;
        }
        self.spec.max_chunk - left
    }
}

impl RunningTask {
    /// Returns the memory used in addition to the cached parts, in tokens.
    fn memory(&self) -> u64 {
        let own = u64::from(self.task.parts.last().map_or(0, |(_, tokens)| *tokens));
        own + u64::from(self.generated)
    }
}

/// Returns the total length of some parts, in tokens.
fn tokens(parts: &[(Prefix, u32)]) -> u64 {
    parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
}
