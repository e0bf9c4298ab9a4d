//! Mutual TLS: this VM's certificate, and the verification of its peers.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use briarshift_units::{FleetId, VmId};
use briarshift_wire::VERSION;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{IdleTimeout, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::client::Resumption;
use rustls::crypto::ring;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::version::TLS13;
use webpki::EndEntityCert;

use crate::{Error, name};

/// Time without traffic after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Streams that a peer may have open at once. Frames too long for a datagram use one each.
const MAX_STREAMS: u32 = 8;
/// Packet size in bytes, the minimum of QUIC. Path MTU discovery would cost several full packets
/// per connection, so it is disabled to save the byte budget.
const PACKET_SIZE: u16 = 1_200;
/// Size of the buffers for datagrams that wait to be read or sent, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1_024;

/// Certificates and private key of one VM, in PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// Certificate of the fleet's certificate authority.
    pub ca: Vec<u8>,
    /// This VM's certificate.
    pub certificate: Vec<u8>,
    /// This VM's private key.
    pub key: Vec<u8>,
}

impl Tls {
    /// Reads the certificates and the key from files.
    ///
    /// # Errors
    ///
    /// [`Error::File`] names the file that can't be read.
    pub fn read(ca: &Path, certificate: &Path, key: &Path) -> Result<Self, Error> {
        let read = |path: &Path| {
            fs::read(path).map_err(|source| Error::File { path: path.to_owned(), source })
        };
        Ok(Self { ca: read(ca)?, certificate: read(certificate)?, key: read(key)? })
    }
}

/// Client and server configuration of a QUIC endpoint.
pub(crate) struct EndpointConfig {
    pub client: quinn::ClientConfig,
    pub server: quinn::ServerConfig,
}

impl EndpointConfig {
    pub(crate) fn new(tls: &Tls, vm: &VmId, fleet: &FleetId) -> Result<Self, Error> {
        let chain = chain(&tls.certificate)?;
        check_name(&chain, vm, fleet)?;
        let roots = Arc::new(roots(&tls.ca)?);
        let transport = Arc::new(transport());
        let mut client = client(&roots, chain.clone(), key(&tls.key)?)?;
        client.transport_config(Arc::clone(&transport));
        let mut server = server(roots, chain, key(&tls.key)?)?;
        server.transport_config(transport);
        Ok(Self { client, server })
    }
}

/// Returns the VM that a peer's certificate names, or `None` if the certificate does not name
/// exactly one VM of this fleet.
pub(crate) fn peer_vm(connection: &quinn::Connection, fleet: &FleetId) -> Option<VmId> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let mut names = names(&chain).into_iter();
    let vm = name::parse_vm(&names.next()?, fleet)?;
    names.next().is_none().then_some(vm)
}

fn names(chain: &[CertificateDer<'_>]) -> Vec<String> {
    let Some(leaf) = chain.first() else { return Vec::new() };
    let Ok(leaf) = EndEntityCert::try_from(leaf) else { return Vec::new() };
    leaf.valid_dns_names().map(str::to_owned).collect()
}

fn check_name(chain: &[CertificateDer<'_>], vm: &VmId, fleet: &FleetId) -> Result<(), Error> {
    let expected = name::for_vm(vm, fleet)?;
    let found = names(chain);
    if found.len() == 1 && found[0] == expected {
        return Ok(());
    }
    Err(Error::Identity { expected, found: found.join(" ") })
}

fn alpn() -> Vec<Vec<u8>> {
    vec![format!("briarshift/{VERSION}").into_bytes()]
}

fn client(
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<quinn::ClientConfig, Error> {
    let provider = Arc::new(ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(unusable)?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain, key)
        .map_err(unusable)?;
    config.alpn_protocols = alpn();
    config.resumption = Resumption::disabled();
    let config = QuicClientConfig::try_from(config).map_err(unusable)?;
    Ok(quinn::ClientConfig::new(Arc::new(config)))
}

fn server(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<quinn::ServerConfig, Error> {
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
        .build()
        .map_err(unusable)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(unusable)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(unusable)?;
    config.alpn_protocols = alpn();
    config.send_tls13_tickets = 0;
    let config = QuicServerConfig::try_from(config).map_err(unusable)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(config)))
}

fn transport() -> TransportConfig {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    config.max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS));
    config.max_concurrent_bidi_streams(VarInt::from_u32(0));
    config.initial_mtu(PACKET_SIZE);
    config.mtu_discovery_config(None);
    config.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
    config.datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    config
}

fn roots(pem: &[u8]) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in chain(pem)? {
        roots.add(certificate).map_err(unusable)?;
    }
    Ok(roots)
}

fn chain(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, Error> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let chain = chain.map_err(unusable)?;
    if chain.is_empty() {
        return Err(Error::Certificate("the file contains no certificate".to_owned()));
    }
    Ok(chain)
}

fn key(pem: &[u8]) -> Result<PrivateKeyDer<'static>, Error> {
    PrivateKeyDer::from_pem_slice(pem).map_err(unusable)
}

#[expect(clippy::needless_pass_by_value, reason = "given to map_err")]
fn unusable(err: impl ToString) -> Error {
    Error::Certificate(err.to_string())
}
