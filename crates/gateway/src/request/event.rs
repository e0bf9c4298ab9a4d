//! What workers tell and are told.

use std::net::SocketAddr;

use briarshift_catalog::Kind;
use briarshift_routing::selection::Part;
use briarshift_units::{
    AccountId, AttemptId, Fingerprint, Moment, PoolId, RequestId, Span, TargetId,
};
use smol_str::SmolStr;

use super::Refusal;
use crate::target::Report;

/// A request as a worker read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Names it within this process.
    pub request: RequestId,
    /// Names it for its caller and for targets.
    pub attempt: AttemptId,
    /// When its head had been read.
    pub at: Moment,
    /// Host that it names.
    pub host: SmolStr,
    /// Its path, without the query.
    pub path: SmolStr,
    /// Key that it shows.
    pub key: Option<SmolStr>,
    /// How long its caller waits.
    pub deadline: Option<Span>,
    /// Parts of its prompt; the last one is its own.
    pub parts: Vec<Part>,
    /// Hash of key, path and body.
    pub fingerprint: Fingerprint,
}

/// One send of a request, numbered from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SendId {
    /// The request.
    pub request: RequestId,
    /// Which send of it.
    pub number: u32,
}

/// Where and how to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// Which send it is.
    pub id: SendId,
    /// The target; any other that listens there must turn it away.
    pub target: TargetId,
    /// Where the target listens.
    pub address: SocketAddr,
    /// The pool, for logs.
    pub pool: PoolId,
    /// What may be repeated.
    pub kind: Kind,
    /// When the caller, or the route, no longer waits.
    pub deadline: Moment,
    /// When to give up waiting for the answer's beginning, if sooner.
    pub answer_deadline: Option<Moment>,
    /// The request must not leave this VM later than this.
    pub fence: Option<Moment>,
    /// The account, told to the target.
    pub account: Option<AccountId>,
    /// Rank among the target's requests, 0 first.
    pub priority: u8,
    /// Another target that holds more of the prompt, to be fetched from.
    pub fetch_from: Option<SocketAddr>,
    /// Most connections of this VM to the target.
    pub max_connections: u32,
}

/// What a worker is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send it.
    Send(Send),
    /// Deliver the target's answer that the worker has.
    Deliver,
    /// Refuse it.
    Refuse(Refusal),
}

/// How a send ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The answer was delivered whole; `ok` unless it was a failure.
    Complete {
        /// Whether the target did what was asked.
        ok: bool,
    },
    /// The target answered with a failure of its own, which the worker holds
    /// back until it is told to deliver it.
    Failed {
        /// The answer's status.
        status: u16,
    },
    /// Nothing was written to the target: it was not reached in time.
    NotSent {
        /// What happened.
        reason: SmolStr,
    },
    /// Nothing was written: the fence had closed.
    Fenced,
    /// The target says that it did not run it.
    NotRun {
        /// The answer's status.
        status: u16,
        /// Another target listens at the address.
        moved: bool,
    },
    /// The request was written and the answer did not come whole.
    Interrupted {
        /// What happened.
        reason: SmolStr,
        /// Events of the answer had been delivered.
        relayed: bool,
    },
    /// The request was written and no answer began in time.
    AnswerTimeout,
}

/// What a worker tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request was read.
    Arrived(Arrival),
    /// The answer to a send has begun.
    AnswerBegan {
        /// The send.
        id: SendId,
        /// The target's load, if it told it.
        report: Option<Report>,
    },
    /// A send has ended.
    SendEnded {
        /// The send.
        id: SendId,
        /// How.
        end: End,
        /// The target's load, if it told it.
        report: Option<Report>,
    },
    /// The caller left.
    CallerLeft(RequestId),
}
