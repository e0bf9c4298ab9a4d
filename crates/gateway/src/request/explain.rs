//! Explains where a request would go now, without sending it.
//!
//! The answer comes from the same functions that place requests, applied to what the VM
//! knows at this moment, so it can't tell another story than the next request would. It
//! changes no state, draws no budget, and sends nothing: neither to a target, nor to a
//! peer, nor to the store. Keys of accounts are neither asked for nor shown.
//!
//! Choices between equally good targets are drawn at random, so the target of the answer
//! is one that the request may go to; the candidates show the others.

use briarshift_routing::room::Length;
use briarshift_routing::selection::Part;
use briarshift_units::{AttemptId, Fingerprint, PoolId, RequestId, Span, TargetId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::admit::admit;
use super::choice::choose;
use super::pending::Pending;
use super::state::{denial, retry_after};
use super::view::Step;
use super::{Arrival, Cause};

/// The request to explain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// Its host.
    pub host: SmolStr,
    /// Its path, without the query.
    pub path: SmolStr,
    /// Name of the client account that sends it, if its route needs one.
    pub account: Option<SmolStr>,
    /// Id of the attempt. It decides between pools if the route is split.
    pub attempt: AttemptId,
    /// How long its caller waits; up to the route's timeout if left out.
    pub deadline: Option<Span>,
    /// Parts of its prompt.
    pub parts: Vec<Part>,
}

/// Where the request would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The route that matches, if one does.
    pub route: Option<SmolStr>,
    /// The pool that serves it.
    pub pool: Option<PoolId>,
    /// Its priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Requests of this VM that wait for room in the pool. While some do, the request may
    /// have to wait behind them, or be turned away.
    pub waiting: usize,
    /// What would happen.
    pub outcome: Outcome,
    /// Targets that could get it.
    pub candidates: Vec<Candidate>,
    /// Targets of the pool that could not, each with the reason.
    pub passed_over: Vec<PassedOver>,
}

/// What would happen to the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It would be sent.
    Send {
        /// The target.
        target: TargetId,
        /// Prompt tokens that the target would have to read.
        unread_tokens: u64,
        /// The target from which it would fetch parts of the prompt.
        fetch_from: Option<TargetId>,
    },
    /// It would be refused.
    Refuse {
        /// Name of the cause, as in logs and metrics.
        cause: SmolStr,
        /// What the caller could do.
        remedy: SmolStr,
        /// Shortest time that the caller would be told to wait, in milliseconds; none if
        /// returning does not help.
        retry_after_ms: Option<u64>,
    },
}

/// A target that could get the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Requests at it, from all VMs.
    pub load: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Prompt tokens that it has still to read.
    pub backlog: u64,
    /// Tokens of the prompt that it is expected to hold.
    pub held_tokens: u64,
    /// Whether it is in this VM's data centre.
    pub local: bool,
    /// Whether it is expected to answer.
    pub healthy: bool,
    /// Fraction of its recent answers that failed, 0 to 1.
    pub error_rate: f64,
}

/// A target of the pool that can't get the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOver {
    /// The target.
    pub target: TargetId,
    /// Why, such as `evacuated`, `cold`, `leaving`, `limit` or `pause`.
    pub reason: SmolStr,
}

impl Answer {
    /// Returns the answer for a request of which only the outcome is known, since no route
    /// serves it.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_gateway::request::explain::{Answer, Outcome};
    /// let cause = "no_route".into();
    /// let remedy = "check the host".into();
    /// let answer = Answer::of(Outcome::Refuse { cause, remedy, retry_after_ms: None });
    /// assert!(answer.candidates.is_empty());
    /// ```
    pub fn of(outcome: Outcome) -> Self {
        Self {
            route: None,
            pool: None,
            priority: None,
            prompt_tokens: 0,
            waiting: 0,
            outcome,
            candidates: Vec::new(),
            passed_over: Vec::new(),
        }
    }
}

/// Answers a question from what this VM knows.
pub(super) fn answer(step: &Step<'_, '_>, question: &Question) -> Answer {
    let arrival = arrival(step, question);
    let mut pending = match admit(step, &arrival) {
        Ok(pending) => pending,
        Err(cause) => return Answer::of(refusal(cause, Span::ZERO)),
    };
    let query = step.view.query(step.ctx, &pending);
    let candidates = step.view.targets.candidates(&query, &pending.pool, &[]);
    let held = |name: &str| step.view.held_tokens(step.ctx, &pending, name);
    let candidates: Vec<_> = candidates
        .into_iter()
        .filter_map(|candidate| {
            Some(Candidate {
                target: candidate.name.parse().ok()?,
                load: candidate.load,
                slots: candidate.slots,
                backlog: candidate.backlog,
                held_tokens: held(candidate.name),
                local: candidate.local,
                healthy: candidate.healthy,
                error_rate: candidate.error_rate,
            })
        })
        .collect();
    let excluded = step.view.targets.excluded(&query, &pending.pool);
    let passed_over = excluded
        .filter(|(id, _)| candidates.iter().all(|candidate| candidate.target != **id))
        .map(|(id, reason)| PassedOver { target: id.clone(), reason: reason.into() })
        .collect();
    let outcome = outcome(step, &mut pending);
    Answer {
        route: Some(pending.route.id.clone()),
        priority: Some(pending.priority()),
        prompt_tokens: pending.prompt_tokens(),
        waiting: 0,
        pool: Some(pending.pool),
        outcome,
        candidates,
        passed_over,
    }
}

fn outcome(step: &Step<'_, '_>, pending: &mut Pending) -> Outcome {
    match choose(step, pending) {
        Ok(choice) => Outcome::Send {
            target: choice.target,
            unread_tokens: choice.unread_tokens,
            fetch_from: choice.fetch_from.map(|holder| holder.target),
        },
        Err(denied) => {
            let (cause, wait) = denial(denied, step.ctx.at);
            refusal(cause, wait)
        }
    }
}

fn refusal(cause: Cause, wait: Span) -> Outcome {
    let retry_after = retry_after(cause, wait, 0);
    Outcome::Refuse {
        cause: cause.label().into(),
        remedy: cause.remedy().into(),
        retry_after_ms: retry_after.map(Span::as_millis),
    }
}

/// Returns the request as a worker would report it, with a key of the account.
fn arrival(step: &Step<'_, '_>, question: &Question) -> Arrival {
    let key = question
        .account
        .as_ref()
        .zip(step.view.catalog)
        .and_then(|(account, catalog)| catalog.keys_of(account).next().cloned());
    Arrival {
        request: RequestId(0),
        attempt: question.attempt.clone(),
        at: step.ctx.at,
        host: question.host.clone(),
        path: question.path.clone(),
        key,
        deadline: question.deadline,
        parts: question.parts.clone(),
        length: Length::default(),
        fingerprint: Fingerprint(0),
    }
}
