//! The traffic of the demo's callers: chats of many turns, and bookings that are sent
//! again.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;

use super::caller::{Caller, Response, assistant_message, user_message};
use super::local_fleet::TOKENS;
use super::provision::CLIENTS;

/// Limit of attempts to send one turn or booking.
const MAX_ATTEMPTS: u32 = 8;
/// Wait before another attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Limit of the random pause before each turn or booking, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_600;

/// The amount of traffic.
#[derive(Debug, Clone, Copy)]
pub struct Volume {
    /// Number of chats.
    pub chats: usize,
    /// Turns in each chat.
    pub turns: usize,
    /// Number of bookings.
    pub bookings: usize,
}

/// Counts of what the callers observed.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Turns that were answered or given up.
    pub turns: usize,
    /// Complete answers with the expected text.
    pub complete: usize,
    /// Streams that ended with an error event; their turn was sent again.
    pub broken_off: usize,
    /// Refused requests; the turn or booking was sent again.
    pub refused: usize,
    /// Confirmed bookings.
    pub booked: usize,
    /// Resent bookings that were answered with the stored outcome.
    pub replayed: usize,
    /// Descriptions of unexpected results, such as an answer with a wrong text.
    pub faults: Vec<String>,
}

/// Counts that all callers of a thread share.
pub type SharedStats = Rc<RefCell<Stats>>;

/// Runs all chats and bookings concurrently until they are finished.
pub async fn run(entries: &[SocketAddr], volume: Volume, stats: &SharedStats) {
    let chats = (0..volume.chats).map(|number| chat(entries, number, volume.turns, stats));
    let bookings = (0..volume.bookings).map(|number| booking(entries, number, stats));
    futures::join!(join_all(chats), join_all(bookings));
}

/// Returns a random entry VM.
fn random_entry(entries: &[SocketAddr]) -> SocketAddr {
    entries[fastrand::usize(..entries.len())]
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(fastrand::u64(..MAX_PAUSE_MS))).await;
}

async fn chat(entries: &[SocketAddr], number: usize, turns: usize, stats: &SharedStats) {
    let caller = Caller::new(CLIENTS[number % CLIENTS.len()].key);
    let mut messages = Vec::new();
    let mut token = None;
    for turn in 0..turns {
        pause().await;
        let text = format!("chat {number} turn {turn} nonce {:016x}", fastrand::u64(..));
        messages.push(user_message(&text));
        let expected = briarshift_standin::engine::expected_answer(&text, TOKENS);
        let mut answered = false;
        for _ in 0..MAX_ATTEMPTS {
            let stream = fastrand::bool();
            let answer =
                caller.chat(random_entry(entries), &messages, token.as_deref(), stream).await;
            if check_answer(answer, &expected, &mut token, stats) {
                answered = true;
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let mut stats = stats.borrow_mut();
        stats.turns += 1;
        if !answered {
            stats.faults.push(format!(
                "chat {number} turn {turn} got no complete answer in {MAX_ATTEMPTS} attempts"
            ));
        }
        messages.push(assistant_message(&expected));
    }
}

/// Checks an answer and counts it. Returns true if it is complete and has the expected
/// text; if not, the caller sends the turn again.
fn check_answer(
    answer: anyhow::Result<Response>,
    expected: &str,
    token: &mut Option<String>,
    stats: &SharedStats,
) -> bool {
    let mut stats = stats.borrow_mut();
    let answer = match answer {
        Ok(answer) => answer,
        Err(err) => {
            stats.faults.push(format!("no complete response: {err:#}"));
            return false;
        }
    };
    match answer.text() {
        Some(text) if text == expected => {
            stats.complete += 1;
            *token = answer.token.or(token.take());
            true
        }
        Some(text) => {
            stats.faults.push(format!("an answer has the text {text:?}, expected {expected:?}"));
            false
        }
        None if answer.body.contains("event: error") => {
            stats.broken_off += 1;
            false
        }
        None if answer.status != 200 && answer.code().is_some() => {
            stats.refused += 1;
            false
        }
        None => {
            stats.faults.push(format!(
                "a stream ended without end marker or error event: {:?}",
                answer.body
            ));
            false
        }
    }
}

async fn booking(entries: &[SocketAddr], number: usize, stats: &SharedStats) {
    let caller = Caller::new(CLIENTS[number % 3].key);
    let name = format!("pickup-{number}-{:08x}", fastrand::u32(..));
    pause().await;
    for _ in 0..MAX_ATTEMPTS {
        match caller.book(random_entry(entries), &name).await {
            Ok(answer) if answer.status == 200 => {
                stats.borrow_mut().booked += 1;
                break;
            }
            Ok(_) => stats.borrow_mut().refused += 1,
            Err(err) => stats.borrow_mut().faults.push(format!("booking {name}: {err:#}")),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    pause().await;
    match caller.book(random_entry(entries), &name).await {
        Ok(answer) if answer.status == 200 && answer.replayed => stats.borrow_mut().replayed += 1,
        Ok(answer) => {
            let line = format!("resend of {name} was answered {}: {}", answer.status, answer.body);
            stats.borrow_mut().faults.push(line);
        }
        Err(err) => stats.borrow_mut().faults.push(format!("resend of {name}: {err:#}")),
    }
}
