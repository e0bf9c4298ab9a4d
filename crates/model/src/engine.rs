//! A model engine: batches, prompts read in chunks, cached parts.
//!
//! Time goes in steps. In each step the requests that have read their prompt
//! make a token each, and a chunk of the prompts that are still unread is read
//! between them, which lengthens the step for all. Some tokens make an event.

use std::collections::{HashMap, VecDeque};

use briarshift_routing::cache::Prefix;
use briarshift_units::{Moment, Span};

/// Time to take over a token from another engine, as a share of reading it.
const FETCHED: f64 = 0.2;

/// What every engine of a pool is like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spec {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for running requests and cached parts, in tokens.
    pub memory: u64,
    /// Time of a step in which nothing is read.
    pub step: Span,
    /// How much longer a step takes with all slots taken.
    pub crowded: f64,
    /// Tokens read in a millisecond.
    pub read: f64,
    /// Most tokens read in one step.
    pub chunk: u64,
    /// Tokens of an event.
    pub event: u32,
}

/// One request at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Names it.
    pub job: u64,
    /// Chains of its prompt's parts; the last one is its own.
    pub parts: Vec<(Prefix, u32)>,
    /// Events that it makes.
    pub events: u32,
    /// Its rank, 0 first.
    pub rank: u8,
    /// Shared parts that another engine gives.
    pub given: Vec<Prefix>,
}

#[derive(Debug)]
struct Run {
    work: Work,
    unread: u64,
    /// Tokens made.
    made: u32,
}

/// What a step has brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// How long it took.
    pub took: Span,
    /// Requests that made their first event.
    pub first: Vec<u64>,
    /// Requests that made their last one.
    pub last: Vec<u64>,
    /// Shared parts that were read for requests that began.
    pub read: Vec<(Prefix, u32)>,
    /// Tokens of these requests' own parts.
    pub own: u64,
    /// Tokens of shared parts that came from other engines.
    pub fetched: u64,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    spec: Spec,
    running: Vec<Run>,
    waiting: VecDeque<Work>,
    held: HashMap<Prefix, (u32, Moment)>,
}

impl Engine {
    /// An engine that holds nothing.
    pub fn new(spec: Spec) -> Self {
        Self { spec, running: Vec::new(), waiting: VecDeque::new(), held: HashMap::new() }
    }

    /// The leading parts that it holds.
    pub fn holds(&self, parts: &[(Prefix, u32)]) -> Vec<Prefix> {
        let held = parts.iter().map(|(chain, _)| *chain);
        held.take_while(|chain| self.held.contains_key(chain)).collect()
    }

    /// Requests that it has, running or waiting.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Takes a request; the most urgent wait in front.
    pub fn accept(&mut self, work: Work) {
        let place = self.waiting.iter().position(|waiting| work.rank < waiting.rank);
        self.waiting.insert(place.unwrap_or(self.waiting.len()), work);
    }

    /// Drops a request whose caller has left.
    pub fn drop(&mut self, job: u64) {
        self.running.retain(|run| run.work.job != job);
        self.waiting.retain(|work| work.job != job);
    }

    /// All requests that it has, which are lost with it.
    pub fn jobs(&self) -> Vec<u64> {
        let running = self.running.iter().map(|run| run.work.job);
        running.chain(self.waiting.iter().map(|work| work.job)).collect()
    }

    /// Goes one step on; `None` if it has nothing to do.
    pub fn step(&mut self, now: Moment) -> Option<Step> {
        let mut step = Step::default();
        self.admit(now, &mut step);
        if self.running.is_empty() {
            return None;
        }
        let crowd = self.running.len() as f64 / f64::from(self.spec.slots);
        let chunk = self.read();
        let took = self.spec.step.as_secs_f64() * (1.0 + self.spec.crowded * crowd)
            + chunk as f64 / self.spec.read / 1e3;
        step.took = Span((took * 1e6) as u64);
        for run in self.running.iter_mut().filter(|run| run.unread == 0) {
            run.made += 1;
            if run.made == self.spec.event {
                step.first.push(run.work.job);
            }
            if run.work.events * self.spec.event <= run.made {
                step.last.push(run.work.job);
            }
        }
        self.running.retain(|run| run.made < run.work.events * self.spec.event);
        Some(step)
    }

    /// Lets waiting requests run while there is room.
    fn admit(&mut self, now: Moment, step: &mut Step) {
        while self.running.len() < self.spec.slots as usize {
            let Some(work) = self.waiting.front() else { break };
            let own = u64::from(work.parts.last().map_or(0, |(_, tokens)| *tokens));
            let shared = &work.parts[..work.parts.len().saturating_sub(1)];
            let lacking = shared.iter().position(|(chain, _)| !self.held.contains_key(chain));
            let lacking = &shared[lacking.unwrap_or(shared.len())..];
            let needed = own + tokens(lacking);
            let used: u64 = self.running.iter().map(Run::tokens).sum();
            let is_only = self.running.is_empty();
            let lacking = lacking.to_vec();
            if !self.make_room(used + needed) && !is_only {
                break;
            }
            let Some(work) = self.waiting.pop_front() else { break };
            for part in &work.parts[..work.parts.len().saturating_sub(1)] {
                self.held.insert(part.0, (part.1, now));
            }
            let (given, lacking): (Vec<_>, Vec<_>) =
                lacking.into_iter().partition(|(chain, _)| work.given.contains(chain));
            let given = tokens(&given);
            let unread = own + tokens(&lacking) + (given as f64 * FETCHED) as u64;
            step.own += own;
            step.fetched += given;
            step.read.extend(lacking);
            self.running.push(Run { work, unread: unread.max(1), made: 0 });
        }
    }

    /// Gives up parts, the least recently used first, until `needed` tokens fit
    /// beside them; whether they do.
    fn make_room(&mut self, needed: u64) -> bool {
        let mut held: u64 = self.held.values().map(|(tokens, _)| u64::from(*tokens)).sum();
        while self.spec.memory < held + needed {
            let oldest = self.held.iter().min_by_key(|(chain, (_, at))| (*at, **chain));
            let Some((&chain, &(tokens, _))) = oldest else { return false };
            self.held.remove(&chain);
            held -= u64::from(tokens);
        }
        true
    }

    /// Reads a chunk of what is unread, in the order of arrival.
    fn read(&mut self) -> u64 {
        let mut left = self.spec.chunk;
        for run in &mut self.running {
            let part = run.unread.min(left);
            run.unread -= part;
            left -= part;
        }
        self.spec.chunk - left
    }
}

impl Run {
    /// Memory that it has for itself.
    fn tokens(&self) -> u64 {
        let own = u64::from(self.work.parts.last().map_or(0, |(_, tokens)| *tokens));
        own + u64::from(self.made)
    }
}

fn tokens(parts: &[(Prefix, u32)]) -> u64 {
    parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
}
