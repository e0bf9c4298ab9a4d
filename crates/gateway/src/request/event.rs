//! Messages between traffic workers and the reducer.

use std::net::SocketAddr;

use briarshift_catalog::Kind;
use briarshift_routing::room::Length;
use briarshift_routing::selection::Part;
use briarshift_units::{AttemptId, Fingerprint, Moment, PoolId, RequestId, Span, TargetId};
use smol_str::SmolStr;

use super::Refusal;
use crate::target::Report;

/// A request as read by a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies the request within this process.
    pub request: RequestId,
    /// Identifies the request towards its caller and the targets.
    pub attempt: AttemptId,
    /// When its head was read.
    pub at: Moment,
    /// Its host.
    pub host: SmolStr,
    /// Its path, without the query.
    pub path: SmolStr,
    /// Its API key.
    pub key: Option<SmolStr>,
    /// How long its caller waits.
    pub deadline: Option<Span>,
    /// Parts of its prompt. The last part is specific to this request; the
    /// others are shared with other requests.
    pub parts: Vec<Part>,
    /// What its caller states about its length.
    pub length: Length,
    /// Hash of the API key, the path with its query, and the body.
    pub fingerprint: Fingerprint,
}

/// One send of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SendId {
    /// The request.
    pub request: RequestId,
    /// Number of the send, from 1.
    pub number: u32,
}

/// Where and how to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// Identifies the send.
    pub id: SendId,
    /// The target. Any other target at the address must turn the request away.
    pub target: TargetId,
    /// The target's address.
    pub address: SocketAddr,
    /// The target has answered this request before, which must not be taken for the
    /// answer to this send.
    pub is_repeated: bool,
    /// The pool, for logs.
    pub pool: PoolId,
    /// The route's kind, which tells whether a request may be repeated.
    pub kind: Kind,
    /// When the caller or the route stops waiting.
    pub deadline: Moment,
    /// When to give up waiting for the beginning of the answer, if earlier than
    /// `deadline`.
    pub answer_deadline: Option<Moment>,
    /// When the configuration expires: the request must not leave this VM at or
    /// after this time. `None` if it needs no account.
    pub config_expires_at: Option<Moment>,
    /// Name of the client account, which is passed to the target.
    pub account: Option<SmolStr>,
    /// Priority among the target's requests; 0 is the most urgent.
    pub priority: u8,
    /// Another target from which to fetch parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Maximum number of connections from this VM to the target.
    pub max_connections: u32,
    /// It runs beside another send of the request. The first whole answer, or the first
    /// event of a stream, counts, and the worker drops the other send.
    pub is_hedge: bool,
}

/// Tells a worker what to do with its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send it to a target.
    Send(Send),
    /// Deliver the failure answer that the worker holds.
    Deliver,
    /// Refuse it.
    Refuse(Refusal),
}

/// How a send ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The whole answer was delivered.
    Complete {
        /// Whether the answer was a success.
        ok: bool,
    },
    /// The target answered with a failure of its own. The worker holds this
    /// answer until it is told to deliver it.
    Failed {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The target answered with a status by which callers conclude that the request has not
    /// run, but did not report so. It may have run: the answer is not delivered.
    Ambiguous {
        /// HTTP status of the answer.
        status: u16,
    },
    /// Nothing was written to the target: it was not reached in time.
    NotSent {
        /// Description of the failure.
        reason: SmolStr,
    },
    /// Nothing was written: the configuration had expired.
    ConfigExpired,
    /// The target reported that it did not run the request.
    NotRun {
        /// HTTP status of the answer.
        status: u16,
        /// Whether another target listens at the address.
        moved: bool,
    },
    /// The request was written, and the answer broke off or did not arrive.
    Interrupted {
        /// Description of the failure.
        reason: SmolStr,
        /// Whether parts of the answer had been delivered to the caller.
        relayed: bool,
    },
    /// The request was written, and no answer began in time.
    AnswerTimeout,
}

/// Reports from workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request was read.
    Arrived(Arrival),
    /// The answer to a send has begun.
    AnswerBegan {
        /// The send.
        id: SendId,
        /// What the answer reported about the target.
        report: Option<Report>,
    },
    /// A stream that its caller did not resume was relayed to its end. Precedes the end
    /// of its send.
    Streamed {
        /// The send.
        id: SendId,
        /// Number of its events.
        events: u32,
    },
    /// A send has ended.
    SendEnded {
        /// The send.
        id: SendId,
        /// How it ended.
        end: End,
        /// What the answer reported about the target, if there was one.
        report: Option<Report>,
    },
    /// The caller left.
    CallerLeft(RequestId),
}
