//! The headers of requests and responses, independent of their names.

use std::net::SocketAddr;

use briarshift_units::{AttemptId, RequestRate, Span, TargetId};
use http::HeaderMap;
use smol_str::SmolStr;

/// The decoded headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Identifies the attempt to the caller and to targets.
    pub attempt: AttemptId,
    /// Key of a client account.
    pub account_key: Option<SmolStr>,
    /// Time for which the caller waits for the response.
    pub deadline: Option<Span>,
    /// Id and length in tokens of each part of the prompt, in order.
    pub parts: Vec<(u64, u32)>,
    /// Tokens of the prompt and maximum of the answer, if the caller states them.
    pub token_count: Option<TokenCount>,
    /// The caller's estimate of the answer's length in tokens.
    pub length_hint: Option<u32>,
    /// Id of the last event that the caller received of a broken stream.
    pub resume_after: Option<SmolStr>,
}

/// The numbers of tokens that a caller states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Largest number of tokens of the answer.
    pub max_output: u32,
}

/// The load that a target states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// How long work takes on its machine at this moment, in percent of the usual, if it
    /// states that.
    pub work_percent: Option<u32>,
}

/// The reason why a request is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The header with the attempt id is missing, repeated or invalid.
    #[error("the request needs exactly one header {0} with a valid identifier: send it")]
    Attempt(&'static str),
}

/// The headers that are added to a request for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetHeaders {
    /// Time for which the caller still waits for the response.
    pub deadline: Span,
    /// The target that the request is for. Any other target refuses it.
    pub target: TargetId,
    /// Name of the account that the caller's key belongs to.
    pub account: Option<SmolStr>,
    /// Priority among the target's requests; 0 is the highest.
    pub priority: u8,
    /// Address of another engine that has more of the prompt in its cache. The
    /// target fetches the cached parts from there instead of processing them
    /// again.
    pub fetch_from: Option<SocketAddr>,
    /// Id of the event after which a broken stream is resumed.
    pub resume_after: Option<SmolStr>,
}

/// The decoded headers of a target's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Id of the attempt that it answers, if it states one.
    pub attempt: Option<SmolStr>,
    /// True if it has the header that shows that the target itself created the
    /// response.
    pub from_target: bool,
    /// True if the target did not run the request.
    pub not_executed: bool,
    /// Load of the target.
    pub load: Option<Load>,
    /// Requests that the target accepts from all VMs together, if it names a limit.
    pub limit: Option<RequestRate>,
    /// True if the target says that it leaves.
    pub is_leaving: bool,
    /// Time after which the target may be asked again, if it states one.
    pub retry_after: Option<Span>,
    /// How long the target remains cold, if it tells.
    pub cold: Option<Span>,
    /// Name of a header that is malformed and was ignored, if there is one.
    pub malformed: Option<&'static str>,
}

/// Reads and writes headers by a platform's header names.
pub trait HeaderCodec {
    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a [`HeaderError`] if the headers are invalid.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, HeaderError>;

    /// Returns the headers of a request to a target: those of the caller,
    /// without hop-by-hop headers and headers that only the fleet may set, and
    /// the added ones.
    fn encode_request(&self, headers: &HeaderMap, added: &TargetHeaders) -> HeaderMap;

    /// Decodes the headers of a target's response.
    fn decode_response(&self, headers: &HeaderMap) -> ResponseHeaders;
}
