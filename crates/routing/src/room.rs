//! The room of an engine: whether its memory can hold one more request.
//!
//! The load pattern that it answers: bursts, and the loss of engines, in which the others
//! get more requests than their memory holds. An engine without memory preempts the newest
//! of its least urgent requests, in the middle of their answers, and reads them again
//! later, which costs more than to refuse a request or to send it elsewhere. The number of
//! requests does not show it: prompts and answers differ in length by two orders of
//! magnitude.
//!
//! A request needs memory for the shared parts of its prompt, which the requests on an
//! engine share, and for its own part and its answer. How long an answer gets is known from
//! the caller's hint, corrected by [`Answers`], which learns how much hints of this kind of
//! request have been worth. The invariant: no VM sends a prompt to an engine that, by all
//! that this VM knows, would have to read its shared parts and cannot hold it beside those
//! that it has. An engine that has the parts may get somewhat more than it holds, which
//! waits there: prompts that go elsewhere for a moment's lack of room make their parts take
//! room on two engines, and then on more. An engine without requests accepts any request
//! that fits into its memory, so that none waits for ever for its size.

use std::collections::BTreeMap;

use briarshift_units::Moment;

/// Part of an engine's memory that is not planned, in percent. Requests that other VMs have
/// sent since their last report, and answers that get longer than expected, use it.
const RESERVE_PERCENT: u64 = 8;
/// Memory that requests may need at an engine that has the shared parts of a prompt, in
/// percent of its size. The prompt waits there until others have ended, which takes less
/// than to read the parts on another engine, where they would take the room of others.
const MAX_PERCENT_WITH_PROMPT: u64 = 150;
/// Expected length of an answer of which nothing is known, in tokens.
const UNKNOWN_OUTPUT: u32 = 500;
/// Largest hint that is believed before answers have shown what hints are worth, in tokens.
const MAX_UNLEARNED_HINT: u32 = 4_000;
/// Weight that an answer loses with each later one: the last 200 count.
const DECAY: f64 = 1.0 - 1.0 / 200.0;
/// Number of answers from which on they correct the hints.
const MIN_ANSWERS: f64 = 8.0;
/// Smallest variance of hints, as logarithms, that shows what they are worth. If they are
/// all the same, they are taken as they are.
const MIN_VARIANCE: f64 = 0.01;
/// Largest correction for the skew of the remaining error, as a logarithm.
const MAX_SKEW: f64 = 0.7;
/// Maximum number of kinds of requests whose answers are kept.
const MAX_KINDS: usize = 512;

/// What a caller states about the length of its request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Length {
    /// Tokens of the prompt.
    pub prompt: Option<u32>,
    /// Largest number of tokens of the answer.
    pub max_output: Option<u32>,
    /// Estimate of the number of tokens of the answer.
    pub hint: Option<u32>,
}

/// How long the answers to one kind of request got, against their hints.
///
/// Answers are counted in events, which hold several tokens. The hints are right at the
/// median, so that the mean distance of the logarithms of hint and answer is the length of
/// an event. The slope of the answers over the hints, also as logarithms, is the part of a
/// hint's distance from the usual one that came true: 1 if hints are exact, 0 if they say
/// nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Answers {
    weight: f64,
    hint: f64,
    events: f64,
    hint_squared: f64,
    events_squared: f64,
    product: f64,
}

impl Answers {
    /// Records a whole answer of this many events.
    pub fn record(&mut self, hint: u32, events: u32) {
        let (x, y) = (f64::from(hint.max(1)).ln(), f64::from(events.max(1)).ln());
        let add = |sum: &mut f64, value: f64| *sum = *sum * DECAY + value;
        add(&mut self.weight, 1.0);
        add(&mut self.hint, x);
        add(&mut self.events, y);
        add(&mut self.hint_squared, x * x);
        add(&mut self.events_squared, y * y);
        add(&mut self.product, x * y);
    }

    /// Returns the expected number of tokens of an answer.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::room::{Answers, Length};
    /// let length = |hint| Length { hint: Some(hint), ..Length::default() };
    /// let mut answers = Answers::default();
    /// assert_eq!(answers.expected(&length(90)), 90);
    /// // Hints are right, and an event holds five tokens.
    /// for tokens in [50, 100, 200, 400].into_iter().cycle().take(100) {
    ///     answers.record(tokens, tokens / 5);
    /// }
    /// assert!(answers.expected(&length(100)).abs_diff(100) < 3);
    /// // Hints say nothing: answers have the usual length.
    /// for (index, hint) in [10, 100, 1_000].into_iter().cycle().take(999).enumerate() {
    ///     answers.record(hint, 20 + index as u32 / 3 % 2);
    /// }
    /// assert!(answers.expected(&length(1_000)).abs_diff(100) < 10);
    /// ```
    pub fn expected(&self, length: &Length) -> u64 {
        let most = length.max_output.unwrap_or(u32::MAX).max(1);
        let stated = length.hint.map(|hint| hint.clamp(1, most));
        let expected = match (self.weight < MIN_ANSWERS, stated) {
            (false, stated) => self.corrected(stated) as u32,
            (true, Some(hint)) => hint.min(MAX_UNLEARNED_HINT),
            (true, None) => length.max_output.unwrap_or(UNKNOWN_OUTPUT),
        };
        u64::from(expected.clamp(1, most))
    }

    /// Returns the expected number of tokens by what answers showed.
    fn corrected(&self, hint: Option<u32>) -> f64 {
        let (x, y) = (self.hint / self.weight, self.events / self.weight);
        let variance = self.hint_squared / self.weight - x * x;
        let covariance = self.product / self.weight - x * y;
        let events_variance = (self.events_squared / self.weight - y * y).max(0.0);
        let slope = match variance < MIN_VARIANCE {
            true => 1.0,
            false => (covariance / variance).clamp(0.0, 1.0),
        };
        let error = match hint {
            Some(_) => events_variance + slope * (slope * variance - 2.0 * covariance),
            None => events_variance,
        };
        // The mean of a skewed error is above its median.
        let skew = (error / 2.0).clamp(0.0, MAX_SKEW);
        let distance = hint.map_or(0.0, |hint| f64::from(hint).ln() - x);
        (x + slope * distance + skew).exp()
    }
}

/// The answers to each kind of request, of which the most recently used are kept.
#[derive(Debug, Clone)]
pub struct Lengths<K> {
    kinds: BTreeMap<K, (Answers, Moment)>,
}

impl<K> Default for Lengths<K> {
    fn default() -> Self {
        Self { kinds: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Lengths<K> {
    /// Records a whole answer of this many events.
    pub fn record(&mut self, kind: &K, hint: u32, events: u32, now: Moment) {
        if !self.kinds.contains_key(kind) && MAX_KINDS <= self.kinds.len() {
            let oldest = self.kinds.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(kind, _)| kind.clone()) {
                self.kinds.remove(&oldest);
            }
        }
        let (answers, at) = self.kinds.entry(kind.clone()).or_default();
        answers.record(hint, events);
        *at = now;
    }

    /// Returns the expected number of tokens of an answer to this kind of request.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::room::{Length, Lengths};
    /// let length = Length { max_output: Some(80), hint: Some(300), ..Length::default() };
    /// assert_eq!(Lengths::default().expected(&"chat", &length), 80);
    /// ```
    pub fn expected(&self, kind: &K, length: &Length) -> u64 {
        self.kinds.get(kind).map_or(Answers::default(), |(answers, _)| *answers).expected(length)
    }

    /// Returns the number of kinds that are kept.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Returns true if no kind is kept.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }
}

/// What is known of an engine's memory. All sizes are in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory {
    /// Its size.
    pub size: u64,
    /// Shared parts of prompts that its requests use, including those of the request to be
    /// placed.
    pub shared: u64,
    /// What its requests need beside the shared parts, as far as they are known.
    pub own: u64,
    /// Number of the requests that are known.
    pub known_requests: u32,
    /// Number of requests that it has itself stated.
    pub stated_requests: u32,
    /// It has the shared parts of the request to be placed.
    pub has_prompt: bool,
}

impl Memory {
    /// Returns the tokens that are free for a request that needs `need` tokens beside its
    /// shared parts. Requests that the engine states and no VM has told of are taken to be
    /// as large as this one.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::room::Memory;
    /// let memory = Memory {
    ///     size: 10_000, shared: 2_000, own: 3_000, known_requests: 4, stated_requests: 0,
    ///     has_prompt: false,
    /// };
    /// assert_eq!(memory.free(500), 4_200);
    /// assert_eq!(Memory { stated_requests: 6, ..memory }.free(500), 3_200);
    /// ```
    pub fn free(&self, need: u64) -> u64 {
        let unknown = self.stated_requests.saturating_sub(self.known_requests);
        let used = self.shared.saturating_add(self.own);
        let used = used.saturating_add(need.saturating_mul(u64::from(unknown)));
        usable(self.size).saturating_sub(used)
    }

    /// Returns true if the engine can hold a request that needs `need` tokens beside its
    /// shared parts, or soon can.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::room::Memory;
    /// let busy = Memory {
    ///     size: 10_000, shared: 2_000, own: 7_000, known_requests: 3, stated_requests: 3,
    ///     has_prompt: false,
    /// };
    /// assert!(!busy.holds(500));
    /// assert!(Memory { has_prompt: true, ..busy }.holds(500));
    /// assert!(Memory { own: 0, known_requests: 0, stated_requests: 0, ..busy }.holds(9_000));
    /// ```
    pub fn holds(&self, need: u64) -> bool {
        if self.known_requests == 0 && self.stated_requests == 0 {
            return true;
        }
        let percent = if self.has_prompt { MAX_PERCENT_WITH_PROMPT } else { 100 };
        let size = self.size.saturating_add(self.size / 100 * (percent - 100));
        need <= Self { size, ..*self }.free(need)
    }
}

/// Returns true if an engine with `size` tokens of memory can hold a prompt and the first
/// token of its answer while it has no other request.
///
/// # Examples
///
/// ```
/// use briarshift_routing::room::can_ever_hold;
/// assert!(can_ever_hold(10_000, 9_999));
/// assert!(!can_ever_hold(10_000, 10_000));
/// ```
pub fn can_ever_hold(size: u64, prompt: u64) -> bool {
    prompt < size
}

fn usable(size: u64) -> u64 {
    size - size / 100 * RESERVE_PERCENT
}
