//! The tasks that accept connections and read frames.

use std::sync::Arc;
use std::time::Duration;

use briarshift_units::VmId;
use briarshift_wire::{Frame, MAX_FRAME};
use quinn::{Connection, ConnectionError, Incoming, ReadToEndError, RecvStream};
use tokio::time::timeout;

use crate::shared::Shared;
use crate::{DropReason, Kind, Received, Refusal, tls};

/// Approximate number of bytes that each side of a handshake sends.
pub(crate) const HANDSHAKE_BYTES: usize = 3_600;

/// Longest time for an incoming handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time to receive one frame on a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections until the endpoint is closed.
pub(crate) async fn accept_connections(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        tokio::spawn(handle_incoming(Arc::clone(&shared), incoming));
    }
}

async fn handle_incoming(shared: Arc<Shared>, incoming: Incoming) {
    let address = incoming.remote_address();
    shared.table.charge(HANDSHAKE_BYTES);
    let connection = match timeout(HANDSHAKE_TIMEOUT, handshake(incoming)).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(err)) => {
            shared.table.counters.record_refused(Refusal::Handshake);
            log::warn!("event=peer_refused address={address} reason={:?}", err.to_string());
            return;
        }
        Err(_) => return,
    };
    let Some(from) = tls::peer_vm(&connection, &shared.fleet) else {
        refuse(&shared, &connection, Refusal::Fleet, &address.to_string());
        return;
    };
    add_connection(&shared, from, connection);
}

async fn handshake(incoming: Incoming) -> Result<Connection, ConnectionError> {
    incoming.accept()?.await
}

/// Registers an authenticated connection and starts the task that reads from it.
pub(crate) fn add_connection(shared: &Arc<Shared>, peer: VmId, connection: Connection) {
    shared.table.add_connection(&peer, &connection);
    tokio::spawn(read_connection(Arc::clone(shared), peer, connection));
}

/// Reads frames from a connection until it is closed.
async fn read_connection(shared: Arc<Shared>, from: VmId, connection: Connection) {
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => {
                let Ok(datagram) = datagram else { break };
                deliver(&shared, &connection, &from, &datagram);
            }
            stream = connection.accept_uni() => {
                let Ok(stream) = stream else { break };
                let (shared, connection, from) =
                    (Arc::clone(&shared), connection.clone(), from.clone());
                tokio::spawn(read_stream(shared, connection, from, stream));
            }
        }
    }
    shared.table.remove_connection(&from, &connection);
    if let Some(reason) = connection.close_reason() {
        log::debug!("event=peer_closed peer={from} reason={:?}", reason.to_string());
    }
}

async fn read_stream(
    shared: Arc<Shared>,
    connection: Connection,
    from: VmId,
    mut stream: RecvStream,
) {
    match timeout(STREAM_TIMEOUT, stream.read_to_end(MAX_FRAME)).await {
        Ok(Ok(bytes)) => deliver(&shared, &connection, &from, &bytes),
        Ok(Err(ReadToEndError::TooLong)) => {
            refuse(&shared, &connection, Refusal::Oversized, from.as_str());
        }
        Ok(Err(ReadToEndError::Read(quinn::ReadError::Reset(_)))) => {
            refuse(&shared, &connection, Refusal::Truncated, from.as_str());
        }
        Ok(Err(ReadToEndError::Read(_))) | Err(_) => {}
    }
}

fn deliver(shared: &Shared, connection: &Connection, from: &VmId, bytes: &[u8]) {
    let messages = match Frame::decode_all(bytes) {
        Ok(messages) => messages,
        Err(err) => {
            refuse(shared, connection, Refusal::from_frame_error(&err), from.as_str());
            return;
        }
    };
    let mut frame_bytes = bytes.len();
    for message in messages {
        // Counts the frame once, under the kind of its first message.
        if 0 < frame_bytes {
            shared.table.counters.record_received(Kind::of(&message), frame_bytes);
        }
        let received = Received { from: from.clone(), message, frame_bytes };
        frame_bytes = 0;
        if shared.inbox.try_send(received).is_err() {
            shared.table.counters.record_dropped(DropReason::InboxFull, 1);
        }
    }
}

fn refuse(shared: &Shared, connection: &Connection, reason: Refusal, peer: &str) {
    shared.table.counters.record_refused(reason);
    log::warn!("event=peer_refused peer={peer} reason={:?}", reason.to_string());
    reason.close(connection);
}
