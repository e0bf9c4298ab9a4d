//! `briarshift explain`: shows where a request would go now, and why, without sending it.

use std::net::SocketAddr;

use anyhow::Context;
use briarshift_gateway::request::explain::{Answer, Candidate, Outcome};
use briarshift_units::AttemptId;
use gumdrop::Options as Arguments;
use serde::Serialize;
use smol_str::SmolStr;

/// Arguments of `explain`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// operator address of a gateway VM
    #[options(free, required)]
    pub vm: Option<SocketAddr>,
    /// host of the request
    #[options(required, no_short)]
    pub host: String,
    /// path of the request
    #[options(required, no_short)]
    pub path: String,
    /// client account that sends it (its name, never its key)
    #[options(no_short)]
    pub account: Option<SmolStr>,
    /// id of the attempt, which decides between the pools of a split route
    #[options(no_short)]
    pub attempt: Option<AttemptId>,
    /// how long the caller waits, in milliseconds
    #[options(no_short)]
    pub deadline_ms: Option<u64>,
    /// parts of its prompt, as ID:TOKENS separated by commas, with hexadecimal ids
    #[options(no_short)]
    pub parts: Option<String>,
    /// print JSON instead of a table
    #[options(no_short)]
    pub json: bool,
}

/// The query that the VM's operator listener takes.
#[derive(Serialize)]
struct Query<'a> {
    host: &'a str,
    path: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    account: Option<&'a SmolStr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempt: Option<&'a AttemptId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    parts: Option<&'a str>,
}

/// Prints where a request would go now, as the VM sees it.
///
/// # Errors
///
/// Fails if the VM does not answer, or can't read the question.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let vm = options.vm.context("the operator address of a VM is missing: name one")?;
    let query = Query {
        host: &options.host,
        path: &options.path,
        account: options.account.as_ref(),
        attempt: options.attempt.as_ref(),
        deadline_ms: options.deadline_ms,
        parts: options.parts.as_deref(),
    };
    let query = serde_urlencoded::to_string(query).context("the question can't be encoded")?;
    let body = super::call(vm, "GET", &format!("/explain?{query}")).await?;
    if options.json {
        println!("{body}");
        return Ok(());
    }
    let answer: Answer = serde_json::from_str(&body)
        .context("the VM's answer can't be read: use a VM of the same release")?;
    print!("{}", table(&answer));
    Ok(())
}

/// Formats an answer as text.
///
/// # Examples
///
/// ```
/// use briarshift::commands::explain::table;
/// use briarshift_gateway::request::explain::{Answer, Outcome};
/// let outcome = Outcome::Refuse {
///     cause: "no_route".into(),
///     remedy: "check the host".into(),
///     retry_after_ms: None,
/// };
/// let answer = Answer::of(outcome);
/// assert_eq!(table(&answer), "refused: no_route (check the host)\n");
/// ```
pub fn table(answer: &Answer) -> String {
    let mut lines = vec![headline(&answer.outcome)];
    if let (Some(route), Some(pool)) = (&answer.route, &answer.pool) {
        let priority = answer.priority.unwrap_or_default();
        let tokens = answer.prompt_tokens;
        lines.push(format!("route {route}, pool {pool}, priority {priority}, {tokens} tokens"));
    }
    if 0 < answer.waiting {
        lines.push(format!("{} requests of this VM wait for room in the pool", answer.waiting));
    }
    if !answer.candidates.is_empty() {
        lines.push(format!(
            "{:<24} {:>6} {:>6} {:>9} {:>9} {:>6}  state",
            "candidate", "load", "slots", "backlog", "held", "errors"
        ));
    }
    lines.extend(answer.candidates.iter().map(row));
    for passed_over in &answer.passed_over {
        lines.push(format!("{:<24} passed over: {}", passed_over.target, passed_over.reason));
    }
    lines.join("\n") + "\n"
}

fn headline(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Send { target, unread_tokens, fetch_from: Some(holder) } => {
            format!(
                "sent to {target}, which reads {unread_tokens} tokens and fetches from {holder}"
            )
        }
        Outcome::Send { target, unread_tokens, fetch_from: None } => {
            format!("sent to {target}, which reads {unread_tokens} tokens")
        }
        Outcome::Refuse { cause, remedy, retry_after_ms: Some(wait) } => {
            format!("refused: {cause} ({remedy}), Retry-After from {wait} ms")
        }
        Outcome::Refuse { cause, remedy, retry_after_ms: None } => {
            format!("refused: {cause} ({remedy})")
        }
    }
}

fn row(candidate: &Candidate) -> String {
    let Candidate { target, load, slots, backlog, held_tokens, error_rate, .. } = candidate;
    let place = if candidate.local { "local" } else { "remote" };
    let health = if candidate.healthy { "" } else { ", paused" };
    let target = target.as_str();
    format!(
        "{target:<24} {load:>6} {slots:>6} {backlog:>9} {held_tokens:>9} {error_rate:>6.2}  {place}{health}"
    )
}
