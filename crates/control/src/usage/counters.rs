//! The counters, and the usage of a single request.

use std::ops::AddAssign;

use briarshift_units::{AccountId, OwnerId, PoolId, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::request::Tokens;

/// Whether a request is a returning chat, and which engine ran it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Return {
    /// The chat is new, or the request is no chat.
    #[default]
    NotReturning,
    /// A returning chat that ran on another engine than its token names.
    OtherEngine,
    /// A returning chat that ran on the engine that its token names.
    SameEngine,
}

/// The usage of one request that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// The owner that is charged.
    pub owner: OwnerId,
    /// The client account that sent the request.
    pub account: AccountId,
    /// The pool that served the request.
    pub pool: PoolId,
    /// The model, for chats.
    pub model: Option<SmolStr>,
    /// The numbers of tokens, for chats.
    pub tokens: Tokens,
    /// Time that it was queued.
    pub queued: Span,
    /// Whether it is a booking that was executed.
    pub booked: bool,
    /// Whether it was refused.
    pub refused: bool,
    /// Whether it is a returning chat.
    pub returning: Return,
}

/// What a row of counters is about: a combination of owner, account, pool and
/// model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The owner that is charged.
    pub owner: OwnerId,
    /// The client account that sent the requests.
    pub account: AccountId,
    /// The pool that served the requests.
    pub pool: PoolId,
    /// The model, for chats.
    pub model: Option<SmolStr>,
}

/// The counters of one subject, cumulative within a segment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counters {
    /// Requests that were answered.
    pub requests: u64,
    /// Requests that were refused.
    pub refusals: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// The prompt tokens that were found in an engine's cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Bookings that were executed.
    pub bookings: u64,
    /// Total time for which answered requests were queued, in microseconds.
    pub queued_us: u64,
    /// Returning chats that were answered.
    pub returns: u64,
    /// The returning chats that ran on the engine that their token names.
    pub returns_held: u64,
}

impl Counters {
    /// Returns the counters of one request.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_control::request::Tokens;
    /// use briarshift_control::usage::{Counters, Sample};
    /// use briarshift_units::Span;
    /// let sample = Sample {
    ///     owner: "kitambaa".parse().unwrap(),
    ///     account: "nairobi".parse().unwrap(),
    ///     pool: "rota".parse().unwrap(),
    ///     model: None,
    ///     tokens: Tokens::default(),
    ///     queued: Span::ZERO,
    ///     booked: true,
    ///     refused: false,
    ///     returning: Default::default(),
    /// };
    /// assert_eq!(Counters::from_sample(&sample).bookings, 1);
    /// ```
    pub fn from_sample(sample: &Sample) -> Self {
        Self {
            requests: u64::from(!sample.refused),
            refusals: u64::from(sample.refused),
            prompt_tokens: sample.tokens.prompt,
            cached_tokens: sample.tokens.cached,
            completion_tokens: sample.tokens.completion,
            bookings: u64::from(sample.booked),
            queued_us: sample.queued.0,
            returns: u64::from(sample.returning != Return::NotReturning),
            returns_held: u64::from(sample.returning == Return::SameEngine),
        }
    }
}

impl AddAssign for Counters {
    fn add_assign(&mut self, other: Self) {
        let add = |a: &mut u64, b: u64| *a = a.saturating_add(b);
        add(&mut self.requests, other.requests);
        add(&mut self.refusals, other.refusals);
        add(&mut self.prompt_tokens, other.prompt_tokens);
        add(&mut self.cached_tokens, other.cached_tokens);
        add(&mut self.completion_tokens, other.completion_tokens);
        add(&mut self.bookings, other.bookings);
        add(&mut self.queued_us, other.queued_us);
        add(&mut self.returns, other.returns);
        add(&mut self.returns_held, other.returns_held);
    }
}

impl std::iter::Sum for Counters {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), |mut sum, counters| {
            sum += counters;
            sum
        })
    }
}
