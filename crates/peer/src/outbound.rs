//! The task that sends queued frames to one peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarshift_units::{Span, VmId};
use bytes::Bytes;
use quinn::Connection;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::inbound::{self, HANDSHAKE_BYTES};
use crate::shared::Shared;
use crate::table::Step;
use crate::{DropReason, QueuedFrame, name};

/// Time without frames after which a peer's sender task ends.
const SENDER_IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Longest time for an outgoing handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait after a failed attempt to connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time to send one frame on a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends queued frames until none has been queued for [`SENDER_IDLE_TIMEOUT`].
pub(crate) async fn run(shared: Arc<Shared>, to: VmId, wake: Arc<Notify>) {
    loop {
        let Some(address) = shared.table.queued_for(&to) else {
            let idle = timeout(SENDER_IDLE_TIMEOUT, wake.notified()).await.is_err();
            if idle && shared.table.stop_sender(&to) {
                return;
            }
            continue;
        };
        let Some(connection) = connection(&shared, &to, address).await else {
            sleep(CONNECT_RETRY_DELAY).await;
            continue;
        };
        match shared.table.next_step(&to) {
            Step::Send(queued) => send(&shared, &connection, queued),
            Step::Wait(span) => wait_for_budget(span, &wake).await,
            Step::Idle => {}
        }
    }
}

async fn wait_for_budget(span: Span, wake: &Notify) {
    // The timeout usually elapses, which means that the budget has been refilled.
    let _ = timeout(span.into(), wake.notified()).await;
}

async fn connection(shared: &Arc<Shared>, to: &VmId, address: SocketAddr) -> Option<Connection> {
    if let Some(connection) = shared.table.connection(to) {
        return Some(connection);
    }
    match connect(shared, to, address).await {
        Ok(connection) => {
            inbound::add_connection(shared, to.clone(), connection.clone());
            Some(connection)
        }
        Err(reason) => {
            shared.table.counters.record_connect_failure();
            log::debug!("event=peer_unreachable peer={to} address={address} reason={reason:?}");
            None
        }
    }
}

async fn connect(shared: &Shared, to: &VmId, address: SocketAddr) -> Result<Connection, String> {
    let name = name::for_vm(to, &shared.fleet).map_err(|err| err.to_string())?;
    shared.table.charge(HANDSHAKE_BYTES);
    let connecting = shared.endpoint.connect(address, &name).map_err(|err| err.to_string())?;
    let connected =
        timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| "no answer".to_owned())?;
    connected.map_err(|err| err.to_string())
}

fn send(shared: &Arc<Shared>, connection: &Connection, queued: QueuedFrame) {
    let bytes = queued.frame.as_bytes().len();
    shared.table.counters.record_sent(queued.kind, bytes);
    if connection.max_datagram_size().is_some_and(|limit| bytes <= limit) {
        let frame = Bytes::copy_from_slice(queued.frame.as_bytes());
        if connection.send_datagram(frame).is_err() {
            shared.table.counters.record_dropped(DropReason::ConnectionLost, 1);
        }
        return;
    }
    // A separate task sends the stream, so that a document on a slow path does not delay
    // reservation messages.
    tokio::spawn(send_on_stream(Arc::clone(shared), connection.clone(), queued));
}

async fn send_on_stream(shared: Arc<Shared>, connection: Connection, queued: QueuedFrame) {
    let write = async {
        let mut stream = connection.open_uni().await.ok()?;
        stream.write_all(queued.frame.as_bytes()).await.ok()?;
        stream.finish().ok()?;
        stream.stopped().await.ok()
    };
    if !matches!(timeout(STREAM_TIMEOUT, write).await, Ok(Some(_))) {
        shared.table.counters.record_dropped(DropReason::ConnectionLost, 1);
    }
}
