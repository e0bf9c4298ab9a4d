//! The tasks that take connections and read frames.

use std::sync::Arc;
use std::time::Duration;

use briarshift_units::VmId;
use briarshift_wire::{Frame, MAX_FRAME};
use quinn::{Connection, ConnectionError, Incoming, ReadToEndError, RecvStream};
use tokio::time::timeout;

use crate::shared::Shared;
use crate::{Drop, Kind, Received, Refusal, tls};

/// Bytes that one end of a handshake sends.
pub(crate) const HANDSHAKE: usize = 3_600;

/// Longest wait for a handshake.
const ACCEPT: Duration = Duration::from_secs(5);
/// Longest time for one frame on a stream.
const STREAM: Duration = Duration::from_secs(30);

/// Takes connections until the endpoint closes.
pub(crate) async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        tokio::spawn(admit(Arc::clone(&shared), incoming));
    }
}

async fn admit(shared: Arc<Shared>, incoming: Incoming) {
    let address = incoming.remote_address();
    shared.table.charge(HANDSHAKE);
    let connection = match timeout(ACCEPT, handshake(incoming)).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(err)) => {
            shared.table.counters.refused(Refusal::Handshake);
            log::warn!("event=peer_refused address={address} reason={:?}", err.to_string());
            return;
        }
        Err(_) => return,
    };
    let Some(from) = tls::sender(&connection, &shared.fleet) else {
        refuse(&shared, &connection, Refusal::Fleet, &address.to_string());
        return;
    };
    serve(&shared, from, connection);
}

async fn handshake(incoming: Incoming) -> Result<Connection, ConnectionError> {
    incoming.accept()?.await
}

/// Takes up an authenticated connection and reads it.
pub(crate) fn serve(shared: &Arc<Shared>, peer: VmId, connection: Connection) {
    shared.table.adopt(&peer, &connection);
    tokio::spawn(read(Arc::clone(shared), peer, connection));
}

/// Reads a connection until it closes.
async fn read(shared: Arc<Shared>, from: VmId, connection: Connection) {
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => {
                let Ok(datagram) = datagram else { break };
                take(&shared, &connection, &from, &datagram);
            }
            stream = connection.accept_uni() => {
                let Ok(stream) = stream else { break };
                let (shared, connection, from) =
                    (Arc::clone(&shared), connection.clone(), from.clone());
                tokio::spawn(long(shared, connection, from, stream));
            }
        }
    }
    shared.table.forget(&from, &connection);
    if let Some(reason) = connection.close_reason() {
        log::debug!("event=peer_closed peer={from} reason={:?}", reason.to_string());
    }
}

async fn long(shared: Arc<Shared>, connection: Connection, from: VmId, mut stream: RecvStream) {
    match timeout(STREAM, stream.read_to_end(MAX_FRAME)).await {
        Ok(Ok(bytes)) => take(&shared, &connection, &from, &bytes),
        Ok(Err(ReadToEndError::TooLong)) => {
            refuse(&shared, &connection, Refusal::Oversized, from.as_str());
        }
        Ok(Err(ReadToEndError::Read(quinn::ReadError::Reset(_)))) => {
            refuse(&shared, &connection, Refusal::Truncated, from.as_str());
        }
        Ok(Err(ReadToEndError::Read(_))) | Err(_) => {}
    }
}

fn take(shared: &Shared, connection: &Connection, from: &VmId, bytes: &[u8]) {
    let messages = match Frame::decode_all(bytes) {
        Ok(messages) => messages,
        Err(err) => {
            refuse(shared, connection, Refusal::of_frame(&err), from.as_str());
            return;
        }
    };
    let mut bytes = bytes.len();
    for message in messages {
        // The frame is counted once, under the kind of its first message.
        if 0 < bytes {
            shared.table.counters.received(Kind::of(&message), bytes);
        }
        let received = Received { from: from.clone(), message, bytes };
        bytes = 0;
        if shared.inbox.try_send(received).is_err() {
            shared.table.counters.dropped(Drop::Unread, 1);
        }
    }
}

fn refuse(shared: &Shared, connection: &Connection, reason: Refusal, peer: &str) {
    shared.table.counters.refused(reason);
    log::warn!("event=peer_refused peer={peer} reason={:?}", reason.to_string());
    reason.close(connection);
}
