//! A claim as the store holds it.

use briarshift_store::{Entry, Key};
use briarshift_units::{RequestId, StartNumber, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Answer, Booking, Response};
use crate::Context;

/// Longest row in bytes; the store takes a mebibyte.
const MAX_ROW: usize = 1_000_000;

/// A claim, with its outcome once there is one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Row {
    request: RequestId,
    vm: VmId,
    start: StartNumber,
    body: String,
    outcome: Option<Kept>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    status: u16,
    content_type: Option<SmolStr>,
    body: Body,
}

/// Text as it stands, since desks answer in JSON; anything else in
/// hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Body {
    Text(String),
    Hex(String),
    Dropped,
}

/// Whose claim an entry is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Owner {
    /// This request's, without its outcome.
    Ours,
    /// This request's, with its outcome.
    OursSettled,
    /// Another request's, and what to answer for it.
    Other(Answer),
}

/// The store key of a booking.
pub(super) fn key(booking: &Booking) -> Key {
    Key::from(format!("bookings/{}/{}/{}", booking.pool, booking.account, booking.key))
}

/// The value of a claim without its outcome.
pub(super) fn open(ctx: &Context<'_>, booking: &Booking) -> String {
    encode(&row(ctx, booking, None))
}

/// The value of a claim with its outcome. A body past the store's limit is
/// left out: a resend is then told that the booking ran.
pub(super) fn settled(ctx: &Context<'_>, booking: &Booking, response: &Response) -> String {
    let body = match std::str::from_utf8(&response.body) {
        Ok(text) => Body::Text(text.to_owned()),
        Err(_) => Body::Hex(hex::encode(&response.body)),
    };
    let keep = |body| {
        let content_type = response.content_type.clone();
        encode(&row(ctx, booking, Some(Kept { status: response.status, content_type, body })))
    };
    let value = keep(body);
    if MAX_ROW < value.len() {
        return keep(Body::Dropped);
    }
    value
}

/// Whose claim an entry is.
pub(super) fn judge(booking: &Booking, entry: &Entry) -> Owner {
    let Ok(row) = serde_json::from_str::<Row>(&entry.value) else {
        return Owner::Other(Answer::Unsettled);
    };
    if row.request == booking.request {
        return if row.outcome.is_some() { Owner::OursSettled } else { Owner::Ours };
    }
    if row.body != booking.body.to_string() {
        return Owner::Other(Answer::Reused);
    }
    Owner::Other(row.outcome.map_or(Answer::Unsettled, replay))
}

fn replay(kept: Kept) -> Answer {
    let body = match kept.body {
        Body::Text(text) => Some(text.into_bytes()),
        Body::Hex(digits) => hex::decode(digits).ok(),
        Body::Dropped => None,
    };
    let Some(body) = body else { return Answer::Ran };
    Answer::Settled(Response { status: kept.status, content_type: kept.content_type, body })
}

fn row(ctx: &Context<'_>, booking: &Booking, outcome: Option<Kept>) -> Row {
    Row {
        request: booking.request,
        vm: ctx.me.vm.clone(),
        start: ctx.me.start,
        body: booking.body.to_string(),
        outcome,
    }
}

fn encode(row: &Row) -> String {
    serde_json::to_string(row).expect("a claim is plain data")
}
