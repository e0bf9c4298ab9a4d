//! The implementation of [`Transport`] over QUIC.

use std::net::SocketAddr;
use std::sync::Arc;

use briarshift_units::VmId;
use briarshift_wire::{Frame, Message};
use quinn::Endpoint;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::shared::Shared;
use crate::table::Table;
use crate::tls::EndpointConfig;
use crate::{
    Config, DropReason, Error, Kind, QueuedFrame, Received, Snapshot, Transport, inbound, outbound,
};

/// The transport over QUIC. All its tasks run on the tokio runtime in which it was bound, which
/// may have a single thread.
pub struct QuicTransport {
    shared: Arc<Shared>,
    handle: Handle,
}

/// Reads a [`QuicTransport`]'s counters from any thread.
#[derive(Clone)]
pub struct Monitor(Arc<Shared>);

impl Monitor {
    /// Returns the current values of all counters.
    pub fn snapshot(&self) -> Snapshot {
        self.0.table.snapshot()
    }
}

impl QuicTransport {
    /// Opens the peer listener. The returned receiver yields the messages that arrive.
    ///
    /// # Errors
    ///
    /// [`Error::Certificate`], [`Error::Identity`] or [`Error::Name`] if the certificates are not
    /// valid for this VM, [`Error::Bind`] if the address can't be bound.
    ///
    /// # Panics
    ///
    /// Panics if it is called outside a tokio runtime.
    ///
    /// # Examples
    ///
    /// ```
    /// # use briarshift_peer::{Config, QuicTransport, Tls, Transport, keys::Authority};
    /// # let (fleet, vm) = ("linen".parse().unwrap(), "aarau-1".parse().unwrap());
    /// # let authority = Authority::generate("linen".parse().unwrap()).unwrap();
    /// # let pair = authority.issue(&vm).unwrap();
    /// # let (certificate, key) = (pair.certificate.into(), pair.key.into());
    /// # let tls = Tls { ca: authority.certified_key().certificate.into(), certificate, key };
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// # runtime.block_on(async {
    /// let config = Config::builder(fleet, vm, "127.0.0.1:0".parse().unwrap(), tls).build();
    /// let (transport, _received) = QuicTransport::bind(config).unwrap();
    /// assert_ne!(transport.address().port(), 0);
    /// Box::new(transport).close();
    /// # });
    /// ```
    pub fn bind(config: Config) -> Result<(Self, mpsc::Receiver<Received>), Error> {
        let EndpointConfig { client, server } =
            EndpointConfig::new(&config.tls, &config.vm, &config.fleet)?;
        let mut endpoint = Endpoint::server(server, config.address)
            .map_err(|source| Error::Bind { address: config.address, source })?;
        endpoint.set_default_client_config(client);
        let (inbox, received) = mpsc::channel(config.max_unread_messages.max(1));
        let table = Table::new(config.budget, config.max_queued_frames);
        let shared = Arc::new(Shared { endpoint, fleet: config.fleet, table, inbox });
        let handle = Handle::current();
        handle.spawn(inbound::accept_connections(Arc::clone(&shared)));
        Ok((Self { shared, handle }, received))
    }

    /// Returns the address of the peer listener.
    pub fn address(&self) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.shared.endpoint.local_addr().unwrap_or(unspecified)
    }

    /// Returns a handle that reads the counters, for metrics.
    pub fn monitor(&self) -> Monitor {
        Monitor(Arc::clone(&self.shared))
    }
}

impl Transport for QuicTransport {
    fn send(&self, to: &VmId, address: SocketAddr, message: Message) {
        let kind = Kind::of(&message);
        let Ok(frame) = Frame::encode(&message) else {
            self.shared.table.counters.record_dropped(DropReason::Oversized, 1);
            log::error!("event=peer_frame_dropped peer={to} kind={kind} reason=oversized");
            return;
        };
        let queued_at = self.shared.table.now();
        let Some(wake) =
            self.shared.table.enqueue(to, address, QueuedFrame { kind, frame, queued_at })
        else {
            return;
        };
        self.handle.spawn(outbound::run(Arc::clone(&self.shared), to.clone(), wake));
    }

    fn close(self: Box<Self>) {
        self.shared.endpoint.close(0u32.into(), b"closed");
    }
}
