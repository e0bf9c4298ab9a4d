//! Callers of the fleet: chats that return, bookings that are sent again.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;

use super::caller::{Answer, Caller, assistant, user};
use super::plan::CLIENTS;
use super::site::TOKENS;

/// Tries of one turn or booking before it is given up.
const MAX_TRIES: u32 = 8;
/// Pause before a try after a refusal.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two turns of a chat, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_600;

/// How much traffic there is.
#[derive(Debug, Clone, Copy)]
pub struct Volume {
    /// Chats.
    pub chats: usize,
    /// Turns of each chat.
    pub turns: usize,
    /// Bookings.
    pub bookings: usize,
}

/// What callers saw.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Turns answered, or given up.
    pub turns: usize,
    /// Answers that came whole and were the caller's own.
    pub whole: usize,
    /// Streams that ended with an explicit error; their turn was sent again.
    pub broken_off: usize,
    /// Refusals; the turn or booking was sent again.
    pub refused: usize,
    /// Bookings confirmed.
    pub booked: usize,
    /// Resends that were answered with the stored outcome.
    pub replayed: usize,
    /// Whatever should not have happened.
    pub faults: Vec<String>,
}

/// Shared by all callers of one thread.
pub type Shared = Rc<RefCell<Seen>>;

/// Runs all callers to their end.
pub async fn run(entries: &[SocketAddr], volume: Volume, seen: &Shared) {
    let chats = (0..volume.chats).map(|number| chat(entries, number, volume.turns, seen));
    let bookings = (0..volume.bookings).map(|number| booking(entries, number, seen));
    futures::join!(join_all(chats), join_all(bookings));
}

fn any(entries: &[SocketAddr]) -> SocketAddr {
    entries[fastrand::usize(..entries.len())]
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(fastrand::u64(..MAX_PAUSE_MS))).await;
}

async fn chat(entries: &[SocketAddr], number: usize, turns: usize, seen: &Shared) {
    let caller = Caller::new(CLIENTS[number % CLIENTS.len()].key);
    let mut messages = Vec::new();
    let mut token = None;
    for turn in 0..turns {
        pause().await;
        let text = format!("chat {number} turn {turn} nonce {:016x}", fastrand::u64(..));
        messages.push(user(&text));
        let wanted = briarshift_standin::engine::expected_answer(&text, TOKENS);
        let mut answered = false;
        for _ in 0..MAX_TRIES {
            let stream = fastrand::bool();
            let answer = caller.chat(any(entries), &messages, token.as_deref(), stream).await;
            if judge(answer, &wanted, &mut token, seen) {
                answered = true;
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let mut seen = seen.borrow_mut();
        seen.turns += 1;
        if !answered {
            seen.faults.push(format!("chat {number} turn {turn} was never answered"));
        }
        messages.push(assistant(&wanted));
    }
}

/// Whether the answer is whole and the caller's own; else it is sent again.
fn judge(
    answer: anyhow::Result<Answer>,
    wanted: &str,
    token: &mut Option<String>,
    seen: &Shared,
) -> bool {
    let mut seen = seen.borrow_mut();
    let answer = match answer {
        Ok(answer) => answer,
        Err(err) => {
            seen.faults.push(format!("an answer did not arrive: {err:#}"));
            return false;
        }
    };
    match answer.text() {
        Some(text) if text == wanted => {
            seen.whole += 1;
            *token = answer.token.or(token.take());
            true
        }
        Some(text) => {
            seen.faults.push(format!("an answer was another's or cut: {text:?} for {wanted:?}"));
            false
        }
        None if answer.body.contains("event: error") => {
            seen.broken_off += 1;
            false
        }
        None if answer.status != 200 && answer.code().is_some() => {
            seen.refused += 1;
            false
        }
        None => {
            seen.faults.push(format!("a stream ended quietly: {:?}", answer.body));
            false
        }
    }
}

async fn booking(entries: &[SocketAddr], number: usize, seen: &Shared) {
    let caller = Caller::new(CLIENTS[number % 3].key);
    let name = format!("pickup-{number}-{:08x}", fastrand::u32(..));
    pause().await;
    for _ in 0..MAX_TRIES {
        match caller.book(any(entries), &name).await {
            Ok(answer) if answer.status == 200 => {
                seen.borrow_mut().booked += 1;
                break;
            }
            Ok(_) => seen.borrow_mut().refused += 1,
            Err(err) => seen.borrow_mut().faults.push(format!("booking {name}: {err:#}")),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    pause().await;
    match caller.book(any(entries), &name).await {
        Ok(answer) if answer.status == 200 && answer.replayed => seen.borrow_mut().replayed += 1,
        Ok(answer) => {
            let line = format!("resend of {name} was answered {}: {}", answer.status, answer.body);
            seen.borrow_mut().faults.push(line);
        }
        Err(err) => seen.borrow_mut().faults.push(format!("resend of {name}: {err:#}")),
    }
}
