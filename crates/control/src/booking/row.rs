//! The representation of a claim in the store.

use briarshift_store::{Entry, Key};
use briarshift_units::{RequestId, StartNumber, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Booking, Response, Status};
use crate::Context;

/// Maximum length of a row. The store accepts one mebibyte.
const MAX_ROW_BYTES: usize = 1_000_000;

/// A claim, with its response once there is one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Row {
    request: RequestId,
    vm: VmId,
    start: StartNumber,
    body: String,
    outcome: Option<StoredResponse>,
}

/// A response in a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredResponse {
    status: u16,
    content_type: Option<SmolStr>,
    body: Body,
}

/// The body of a stored response. UTF-8 text is stored unchanged, because desks
/// answer in JSON. Other bytes are stored in hexadecimal. A body that is too
/// long is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Body {
    Text(String),
    Hex(String),
    Dropped,
}

/// Which request a stored claim belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Ownership {
    /// The claim belongs to this request and has no response.
    Ours,
    /// The claim belongs to this request and has a response.
    OursCompleted,
    /// The claim belongs to another request. Holds the status to report.
    Other(Status),
}

/// Returns the store key of a booking.
pub(super) fn key(booking: &Booking) -> Key {
    Key::from(format!("bookings/{}/{}/{}", booking.pool, booking.account, booking.key))
}

/// Returns the value of a claim without a response.
pub(super) fn claim_value(ctx: &Context<'_>, booking: &Booking) -> String {
    encode(&row(ctx, booking, None))
}

/// Returns the value of a claim with its response. A body that exceeds the
/// store's limit is left out, and a resend is then answered that the booking
/// ran.
pub(super) fn response_value(ctx: &Context<'_>, booking: &Booking, response: &Response) -> String {
    let body = match std::str::from_utf8(&response.body) {
        Ok(text) => Body::Text(text.to_owned()),
        Err(_) => Body::Hex(hex::encode(&response.body)),
    };
    let encode_with = |body| {
        let content_type = response.content_type.clone();
        encode(&row(
            ctx,
            booking,
            Some(StoredResponse { status: response.status, content_type, body }),
        ))
    };
    let value = encode_with(body);
    if MAX_ROW_BYTES < value.len() {
        return encode_with(Body::Dropped);
    }
    value
}

/// Returns which request an entry of the store belongs to.
pub(super) fn classify(booking: &Booking, entry: &Entry) -> Ownership {
    let Ok(row) = serde_json::from_str::<Row>(&entry.value) else {
        return Ownership::Other(Status::Unknown);
    };
    if row.request == booking.request {
        return if row.outcome.is_some() { Ownership::OursCompleted } else { Ownership::Ours };
    }
    if row.body != booking.digest.to_string() {
        return Ownership::Other(Status::KeyReused);
    }
    Ownership::Other(row.outcome.map_or(Status::Unknown, replay))
}

fn replay(stored: StoredResponse) -> Status {
    let body = match stored.body {
        Body::Text(text) => Some(text.into_bytes()),
        Body::Hex(digits) => hex::decode(digits).ok(),
        Body::Dropped => None,
    };
    let Some(body) = body else { return Status::ResponseLost };
    Status::Completed(Response { status: stored.status, content_type: stored.content_type, body })
}

fn row(ctx: &Context<'_>, booking: &Booking, outcome: Option<StoredResponse>) -> Row {
    Row {
        request: booking.request,
        vm: ctx.me.vm.clone(),
        start: ctx.me.start,
        body: booking.digest.to_string(),
        outcome,
    }
}

fn encode(row: &Row) -> String {
    serde_json::to_string(row).expect("a claim is plain data")
}
