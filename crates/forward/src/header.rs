//! Headers of requests and answers, in the product's types.

use std::net::SocketAddr;

use briarshift_units::{AccountId, AttemptId, Span, TargetId};
use http::HeaderMap;
use smol_str::SmolStr;

/// What a request's headers say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Names the try for its caller and for targets.
    pub attempt: AttemptId,
    /// Key of a client account.
    pub account_key: Option<SmolStr>,
    /// How long the caller waits.
    pub deadline: Option<Span>,
    /// Id and tokens of each part of its prompt, in order.
    pub parts: Vec<(u64, u32)>,
    /// Last event that the caller has of a broken stream.
    pub resume_after: Option<SmolStr>,
}

/// Why a request can't be served as it is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// It names no try, or more than one.
    #[error("the request needs one header {0} with an identifier: send it")]
    Attempt(&'static str),
}

/// What a target is told beside what the caller sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetHeaders {
    /// How long the caller still waits.
    pub deadline: Span,
    /// The target; any other turns the request away.
    pub target: TargetId,
    /// The account whose key the caller showed.
    pub account: Option<AccountId>,
    /// Rank among the target's requests, 0 first.
    pub priority: u8,
    /// Another target, which holds more of the request's prompt: what it holds
    /// is to be fetched from there and not read again.
    pub fetch_from: Option<SocketAddr>,
    /// Go on with a broken stream after this event.
    pub resume_after: Option<SmolStr>,
}

/// What an answer's headers say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// The try that it answers, if it names one.
    pub attempt: Option<SmolStr>,
    /// It bears the target's proof of having made it.
    pub from_target: bool,
    /// The target did not run the request.
    pub not_executed: bool,
    /// Running and waiting requests of the target, and its slots.
    pub load: Option<(u32, u32, u32)>,
}

/// A platform's header names.
pub trait HeaderCodec {
    /// Reads a request's headers.
    ///
    /// # Errors
    ///
    /// A [`HeaderError`] of the caller's.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, HeaderError>;

    /// Headers for a target: the caller's, without those that concern only one
    /// connection or are the fleet's to set, and what the target is told.
    fn encode_request(&self, headers: &HeaderMap, told: &TargetHeaders) -> HeaderMap;

    /// Reads an answer's headers.
    fn decode_response(&self, headers: &HeaderMap) -> ResponseHeaders;
}
