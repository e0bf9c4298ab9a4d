//! Certificates, endpoints and messages shared by the tests.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use briarshift_peer::keys::Authority;
use briarshift_peer::{Builder, Config, QuicTransport, Received, Snapshot, Tls};
use briarshift_units::{Digest, Revision, VmId};
use briarshift_wire::{Message, document, gossip};
use tokio::sync::mpsc;

/// Longest wait for an expected event. Only a failing test waits this long.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

pub fn authority(fleet: &str) -> Authority {
    Authority::generate(fleet.parse().unwrap()).unwrap()
}

pub fn tls(authority: &Authority, name: &str) -> Tls {
    let pair = authority.issue(&vm(name)).unwrap();
    Tls {
        ca: authority.certified_key().certificate.into(),
        certificate: pair.certificate.into(),
        key: pair.key.into(),
    }
}

pub fn config(authority: &Authority, fleet: &str, name: &str, address: SocketAddr) -> Builder {
    Config::builder(fleet.parse().unwrap(), vm(name), address, tls(authority, name))
}

pub fn any_loopback_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn bind_transport(
    authority: &Authority,
    name: &str,
) -> (QuicTransport, mpsc::Receiver<Received>) {
    QuicTransport::bind(config(authority, "linen", name, any_loopback_port()).build()).unwrap()
}

pub fn small_message() -> Message {
    Message::Gossip(gossip::Message::default())
}

pub fn large_message(bytes: usize) -> Message {
    let head = document::Head { revision: Revision(1), digest: Digest([7; 32]) };
    Message::Document(document::Message::Full { head, bytes: vec![7; bytes] })
}

pub async fn receive(received: &mut mpsc::Receiver<Received>) -> Received {
    tokio::time::timeout(TEST_TIMEOUT, received.recv()).await.unwrap().unwrap()
}

pub async fn wait_until(transport: &QuicTransport, done: impl Fn(&Snapshot) -> bool) -> Snapshot {
    let monitor = transport.monitor();
    let wait = async {
        while !done(&monitor.snapshot()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        monitor.snapshot()
    };
    tokio::time::timeout(TEST_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("{:?}", monitor.snapshot()))
}

pub fn block_on(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().unwrap().block_on(test);
}
