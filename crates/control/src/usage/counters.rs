//! What is counted.

use std::ops::AddAssign;

use briarshift_units::{AccountId, OwnerId, PoolId, Span};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::request::Tokens;

/// Whether a chat came back, and where it ran.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Return {
    /// It is new, or no chat.
    #[default]
    NotReturning,
    /// It ran on another engine than the one that its token names.
    OtherEngine,
    /// It ran on the engine that its token names.
    SameEngine,
}

/// What one ended request used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// Who pays.
    pub owner: OwnerId,
    /// Whose request it was.
    pub account: AccountId,
    /// The pool that served it.
    pub pool: PoolId,
    /// The model, for chats.
    pub model: Option<SmolStr>,
    /// Tokens, for chats.
    pub tokens: Tokens,
    /// Time it waited for a place.
    pub queued: Span,
    /// Whether it was a booking that ran.
    pub booked: bool,
    /// Whether it was refused.
    pub refused: bool,
    /// Whether it is a chat that came back.
    pub returning: Return,
}

/// Whose use a row counts, and of what.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Who pays.
    pub owner: OwnerId,
    /// Whose requests.
    pub account: AccountId,
    /// The pool that served them.
    pub pool: PoolId,
    /// The model, for chats.
    pub model: Option<SmolStr>,
}

/// Counts, cumulative within a segment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counters {
    /// Requests answered.
    pub requests: u64,
    /// Requests refused.
    pub refusals: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Of these, tokens found in an engine's cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Bookings that ran.
    pub bookings: u64,
    /// Time that requests answered waited for places.
    pub queued_us: u64,
    /// Chats answered that had come back.
    pub returns: u64,
    /// Of these, chats that ran on the engine that their token names.
    pub returns_held: u64,
}

impl Counters {
    /// Counts of one request.
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
