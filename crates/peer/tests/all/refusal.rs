//! Connections that must be refused, and invalid bytes that must not stop an endpoint.

use std::net::SocketAddr;
use std::sync::Arc;

use briarshift_peer::keys::Authority;
use briarshift_peer::{Config, Error, QuicTransport, Refusal, Tls, Transport};
use briarshift_wire::{Frame, MAX_FRAME, VERSION};
use proptest::prelude::*;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{Connection, ConnectionError, Endpoint};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::fixture::{
    any_loopback_port, authority, bind_transport, block_on, config, receive, small_message, tls,
    vm, wait_until,
};

/// Opens a QUIC connection from a client that is not limited to valid frames, certificates or
/// protocol versions.
async fn connect_raw(
    tls: &Tls,
    with_certificate: bool,
    alpn: &str,
    to: SocketAddr,
    name: &str,
) -> Result<Connection, ConnectionError> {
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(&tls.ca).unwrap()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots);
    let mut client = if with_certificate {
        let chain = vec![CertificateDer::from_pem_slice(&tls.certificate).unwrap()];
        let key = PrivateKeyDer::from_pem_slice(&tls.key).unwrap();
        builder.with_client_auth_cert(chain, key).unwrap()
    } else {
        builder.with_no_client_auth()
    };
    client.alpn_protocols = vec![alpn.as_bytes().to_vec()];
    let client = QuicClientConfig::try_from(client).unwrap();
    let mut endpoint = Endpoint::client(any_loopback_port()).unwrap();
    endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(client)));
    endpoint.connect(to, name).unwrap().await
}

async fn connect_as_member(authority: &Authority, to: &QuicTransport) -> Connection {
    let alpn = format!("briarshift/{VERSION}");
    let tls = tls(authority, "aarau-1");
    connect_raw(&tls, true, &alpn, to.address(), "olten-1.linen.briarshift").await.unwrap()
}

fn refusal_of(err: &ConnectionError) -> Option<Refusal> {
    let ConnectionError::ApplicationClosed(close) = err else { return None };
    Refusal::from_code(u32::try_from(close.error_code.into_inner()).ok()?)
}

async fn send_on_stream(connection: &Connection, bytes: &[u8]) {
    let mut stream = connection.open_uni().await.unwrap();
    // The peer may close the connection before it has read everything.
    if stream.write_all(bytes).await.is_ok() {
        let _ = stream.finish();
    }
}

fn check_refused(bytes: &[u8], reason: Refusal) {
    block_on(async {
        let authority = authority("linen");
        let (b, mut received) = bind_transport(&authority, "olten-1");
        let connection = connect_as_member(&authority, &b).await;
        send_on_stream(&connection, bytes).await;
        assert_eq!(refusal_of(&connection.closed().await), Some(reason));
        assert_eq!(b.monitor().snapshot().refused(reason), 1);
        assert!(received.try_recv().is_err());
    });
}

#[test]
fn unknown_version_is_refused() {
    check_refused(&[VERSION + 1, 0], Refusal::Version);
}

#[test]
fn oversized_frame_is_refused() {
    check_refused(&vec![VERSION; MAX_FRAME + 1], Refusal::Oversized);
}

#[test]
fn truncated_frame_is_refused() {
    let frame = Frame::encode(&small_message()).unwrap();
    let bytes = frame.as_bytes();
    check_refused(&bytes[..bytes.len() - 1], Refusal::Truncated);
}

#[test]
fn empty_frame_is_refused() {
    check_refused(&[], Refusal::Truncated);
}

#[test]
fn malformed_frame_is_refused() {
    check_refused(&[VERSION, 99], Refusal::Malformed);
}

fn check_handshake(fleet: &'static str, with_certificate: bool, alpn: &'static str) {
    block_on(async move {
        let ours = authority("linen");
        let (b, _received) = bind_transport(&ours, "olten-1");
        let theirs = authority(fleet);
        let mut tls = tls(&theirs, "aarau-1");
        tls.ca = ours.certified_key().certificate.into();
        let to = connect_raw(&tls, with_certificate, alpn, b.address(), "olten-1.linen.briarshift")
            .await;
        // In TLS 1.3 the client completes its handshake before the server has checked the
        // client's certificate.
        if let Ok(connection) = to {
            connection.closed().await;
        }
        let counters = wait_until(&b, |b| b.refused(Refusal::Handshake) == 1).await;
        assert_eq!(counters.handshakes, 0);
    });
}

#[test]
fn peer_without_a_certificate_is_refused() {
    check_handshake("linen", false, "briarshift/1");
}

#[test]
fn peer_of_another_authority_is_refused() {
    check_handshake("linen", true, "briarshift/1");
}

#[test]
fn peer_of_another_protocol_version_is_refused() {
    check_handshake("linen", true, "briarshift/0");
}

/// An operator may trust the authorities of two fleets by mistake. A peer of the other fleet is
/// then still refused, because its certificate names the other fleet.
#[test]
fn peer_of_another_fleet_is_refused_by_name() {
    block_on(async {
        let (ours, theirs) = (authority("linen"), authority("rolls"));
        let mut trusting = tls(&ours, "olten-1");
        trusting.ca.extend(theirs.certified_key().certificate.bytes());
        let (fleet, name) = ("linen".parse().unwrap(), vm("olten-1"));
        let config = Config::builder(fleet, name, any_loopback_port(), trusting).build();
        let (b, _received) = QuicTransport::bind(config).unwrap();
        let mut tls = tls(&theirs, "aarau-1");
        tls.ca = ours.certified_key().certificate.into();
        let to = connect_raw(&tls, true, "briarshift/1", b.address(), "olten-1.linen.briarshift");
        let connection = to.await.unwrap();
        assert_eq!(refusal_of(&connection.closed().await), Some(Refusal::Fleet));
        let counters = b.monitor().snapshot();
        assert_eq!((counters.refused(Refusal::Fleet), counters.handshakes), (1, 0));
    });
}

#[test]
fn own_certificate_must_name_the_vm() {
    let authority = authority("linen");
    let tls = tls(&authority, "aarau-1");
    let config = Config::builder("linen".parse().unwrap(), vm("olten-1"), any_loopback_port(), tls);
    block_on(async {
        assert!(matches!(QuicTransport::bind(config.build()), Err(Error::Identity { .. })));
    });
}

#[test]
fn ids_outside_dns_labels_are_refused() {
    for id in ["UPPER", "a.b", "a_b", "-a", "a-"] {
        assert!(matches!(authority("linen").issue(&vm(id)), Err(Error::Name(_))), "{id}");
    }
}

proptest! {
    // Each case needs a handshake, so only a few are run; `briarshift_wire` tests the codec
    // itself with many more.
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_leave_the_endpoint_serving(
        bytes in prop::collection::vec(any::<u8>(), 0..2_000),
        datagram in any::<bool>(),
    ) {
        block_on(async {
            let authority = authority("linen");
            let (b, mut received) = bind_transport(&authority, "olten-1");
            let connection = connect_as_member(&authority, &b).await;
            let limit = connection.max_datagram_size().unwrap();
            if datagram {
                let part = &bytes[..bytes.len().min(limit)];
                connection.send_datagram(part.to_vec().into()).unwrap();
            } else {
                send_on_stream(&connection, &bytes).await;
            }
            let (a, _) =
                QuicTransport::bind(
                    config(&authority, "linen", "aarau-2", any_loopback_port()).build(),
                )
                .unwrap();
            a.send(&vm("olten-1"), b.address(), small_message());
            while receive(&mut received).await.from != vm("aarau-2") {}
        });
    }
}
