//! The task that sends to one peer.

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

/// A sender without frames ends after this.
const SENDER_IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Longest wait for a handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed handshake.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time for one frame on a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends queued frames until none came for a while.
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
    // A timeout is the usual end: the budget has been refilled.
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
    // On a task of its own, so that a document on a slow path holds up no
    // place message.
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
