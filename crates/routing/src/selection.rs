//! The choice of a target for one request.
//!
//! Load pattern: prompts that share long first parts, a few of them very
//! popular, on engines that cache what they have read. [`engine`] sends a
//! prompt to the engine that ranks first for its last shared part, so that VMs
//! agree on where it goes without a message; a popular one to one of the first
//! few, as many as its load needs ([`crate::popularity`]). An engine that has its
//! share of requests, or too many tokens still to read, is passed over.
//!
//! [`runner`] chooses for requests that leave nothing behind: a near one while it
//! is nearly idle, else the less loaded of two that are drawn from all.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use briarshift_units::ChatKey;

use crate::popularity::replicas;
use crate::rank;

/// Cost of a runner all of whose newest answers failed, in requests.
const FAILING: f64 = 10.0;
/// Share of failed answers that says nothing: one failure, two seconds ago.
const NOISE: f64 = 0.05;
/// A runner with less than this share of its slots taken answers about as fast
/// as an idle one, so a near one is as good as any.
const IDLE: f64 = 0.34;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Names its content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A target that could take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Requests that it holds, running or waiting, from all VMs.
    pub load: u32,
    /// Prompt tokens that it has still to read.
    pub backlog: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it stands in this data centre.
    pub local: bool,
    /// Whether it is believed to answer.
    pub healthy: bool,
    /// Share of its newest answers that failed.
    pub error_rate: f64,
}

/// Bounds on what an engine is given.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Most requests, as a multiple of the pool's mean.
    pub factor: f64,
    /// Requests beside that.
    pub extra: u32,
    /// Most prompt tokens still to read, the new prompt's among them.
    pub backlog: u64,
}

/// What a request brings to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Names its last shared part.
    pub key: ChatKey,
    /// All its tokens.
    pub tokens: u64,
    /// Share of the pool's requests that have this last shared part, 0 to 1.
    pub share: f64,
}

/// The engine for a prompt, where `held` tells how many tokens of its shared
/// parts an engine holds. `None` if there is no seat.
///
/// Engines are looked at in the order of their ranks only as far as needed: a
/// request is placed among thousands of them.
///
/// # Examples
///
/// ```
/// use briarshift_routing::selection::{Bound, Prompt, Candidate, select_engine};
/// use briarshift_units::ChatKey;
/// let seat = |name, load| {
///     Candidate { name, load, backlog: 0, slots: 6, local: true, healthy: true, error_rate: 0.0 }
/// };
/// let bound = Bound { factor: 1.5, extra: 1, backlog: 9_000 };
/// let prompt = Prompt { key: ChatKey(7), tokens: 600, share: 0.01 };
/// let idle = [seat("a", 0), seat("b", 0)];
/// let none = |_: &Candidate<'_>| 0;
/// let first = select_engine(&idle, &prompt, &bound, none, 1).unwrap();
/// let mut busy = idle;
/// busy[first].load = 9;
/// assert_ne!(select_engine(&busy, &prompt, &bound, none, 1), Some(first));
/// ```
pub fn select_engine<'a>(
    seats: &[Candidate<'a>],
    prompt: &Prompt,
    bound: &Bound,
    held: impl Fn(&Candidate<'a>) -> u64,
    entropy: u64,
) -> Option<usize> {
    let usable = usable(seats);
    let load: u32 = usable.iter().map(|&seat| seats[seat].load).sum();
    let mean = f64::from(load + 1) / usable.len().max(1) as f64;
    let most = (bound.factor * mean).floor() as u32 + bound.extra;
    let replicas = replicas(prompt.share, load, usable.len());
    let to_read = |seat: &Candidate<'a>| seat.backlog + prompt.tokens.saturating_sub(held(seat));
    let reads = |seat: &Candidate<'a>| seat.backlog == 0 || to_read(seat) <= bound.backlog;
    let score = |seat: usize| rank::score(prompt.key, seats[seat].name);
    let open = usable.iter().copied().filter(|&seat| seats[seat].load < most);
    // Equal scores go by the order of the seats.
    let mut open: BinaryHeap<_> = open.map(|seat| (score(seat), Reverse(seat))).collect();
    let mut first = Vec::with_capacity(replicas);
    while first.len() < replicas
        && let Some((_, Reverse(seat))) = open.pop()
    {
        if reads(&seats[seat]) {
            first.push(seat);
        }
    }
    cheaper(&first, entropy, |seat| f64::from(seats[seat].load)).or_else(|| {
        let cost = |&seat: &usize| {
            let Candidate { load, .. } = seats[seat];
            (most <= load, to_read(&seats[seat]), load, Reverse(score(seat)))
        };
        usable.into_iter().min_by_key(cost)
    })
}

/// The runner for a request without a prompt. `None` if there is no seat.
///
/// # Examples
///
/// ```
/// use briarshift_routing::selection::{Candidate, select_runner};
/// let seat = |name, load, near| {
///     Candidate { name, load, backlog: 0, slots: 6, local: near, healthy: true, error_rate: 0.0 }
/// };
/// assert_eq!(select_runner(&[seat("a", 1, true), seat("b", 0, false)], 3), Some(0));
/// assert_eq!(select_runner(&[seat("a", 5, true), seat("b", 0, false)], 1 << 32), Some(1));
/// ```
pub fn select_runner(seats: &[Candidate<'_>], entropy: u64) -> Option<usize> {
    let usable = usable(seats);
    let cost = |seat: usize| {
        let Candidate { load, error_rate: errors, .. } = seats[seat];
        let errors = if errors < NOISE { 0.0 } else { errors };
        f64::from(load) + FAILING * errors
    };
    let idle =
        |&seat: &usize| seats[seat].local && cost(seat) < f64::from(seats[seat].slots) * IDLE;
    let near: Vec<_> = usable.iter().copied().filter(idle).collect();
    cheaper(&near, entropy, cost).or_else(|| cheaper(&usable, entropy, cost))
}

/// The cheaper of two that are drawn: the cheapest of all would be the same one
/// for every VM until they hear of each other.
fn cheaper(choices: &[usize], entropy: u64, cost: impl Fn(usize) -> f64) -> Option<usize> {
    let first = (entropy & u64::from(u32::MAX)) as usize % choices.len().max(1);
    let one = *choices.get(first)?;
    let others = choices.len() - 1;
    if others == 0 {
        return Some(one);
    }
    let step = 1 + (entropy >> 32) as usize % others;
    let two = choices[(first + step) % choices.len()];
    Some(if cost(two) < cost(one) { two } else { one })
}

/// Sound seats, or all if none is.
fn usable(seats: &[Candidate<'_>]) -> Vec<usize> {
    let healthy: Vec<_> = (0..seats.len()).filter(|&seat| seats[seat].healthy).collect();
    if healthy.is_empty() { (0..seats.len()).collect() } else { healthy }
}
