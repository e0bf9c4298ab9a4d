//! Authenticated datagrams between VMs.
//!
//! Each datagram ends with its HMAC-SHA256 under the fleet's secret. It is not
//! encrypted: heartbeats hold loads and hashes, no data of callers. A replayed
//! heartbeat is older than the last one received and is ignored, and so is a
//! replayed sync response, because no request waits for it. QUIC connections to
//! every peer, as the document-driven fleet uses them, would cost a small VM more
//! than the datagrams themselves.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use briarshift_store::registry::Secret;
use briarshift_wire::datagram::Datagram;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Length of the message authentication code.
const MAC_BYTES: usize = 32;
/// Size of the receive buffer: no UDP datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Time after which a changed secret is used for sending. Until then, peers read it.
const SWITCH_DELAY: Duration = Duration::from_secs(2);

/// The secrets that authenticate datagrams. The store may come back from a copy with another
/// one than the fleet has used since, so that both are accepted.
#[derive(Default)]
struct Secrets {
    newest: Option<Secret>,
    /// The one before, and until when it is used for sending.
    before: Option<(Secret, Instant)>,
}

impl Secrets {
    /// Returns the secret for sending.
    fn of_sender(&self, now: Instant) -> Option<&Secret> {
        match &self.before {
            Some((before, until)) if now < *until => Some(before),
            _ => self.newest.as_ref(),
        }
    }

    /// Returns the secrets that are accepted.
    fn accepted(&self) -> impl Iterator<Item = &Secret> {
        self.newest.iter().chain(self.before.iter().map(|(before, _)| before))
    }

    fn set(&mut self, secret: Secret, now: Instant) {
        let before = self.newest.replace(secret);
        self.before = before.map(|before| (before, now + SWITCH_DELAY));
    }
}

/// The UDP socket for peers.
#[derive(Clone)]
pub(crate) struct Link {
    socket: Rc<UdpSocket>,
    secrets: Rc<RefCell<Secrets>>,
}

impl Link {
    pub(crate) async fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(address).await.with_context(|| {
            format!("cannot listen for peers on {address}: choose a free address of this VM")
        })?;
        Ok(Self { socket: Rc::new(socket), secrets: Rc::default() })
    }

    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sets the secret that authenticates datagrams. It is accepted from now on, beside the
    /// one before, and used for sending when the peers have had time to read it.
    pub(crate) fn set_secret(&self, secret: Secret) {
        self.secrets.borrow_mut().set(secret, Instant::now());
    }

    /// Sends a datagram to peers. It is dropped if the socket can't send it at once
    /// or no secret is known yet; the reducer repeats whatever must arrive. It is
    /// encoded and authenticated once for all peers.
    pub(crate) fn send(&self, to: &[SocketAddr], message: &Datagram) {
        let Some(secret) = self.secrets.borrow().of_sender(Instant::now()).cloned() else { return };
        let Ok(mut datagram) = message.encode() else {
            log::error!("event=datagram_dropped reason=encoding");
            return;
        };
        datagram.extend_from_slice(&mac(&secret, &datagram).finalize().into_bytes());
        for peer in to {
            if let Err(err) = self.socket.try_send_to(&datagram, *peer) {
                log::debug!("event=datagram_dropped to={peer} reason={:?}", err.to_string());
            }
        }
    }

    /// Waits for the next datagram that the fleet's secret authenticates.
    pub(crate) async fn receive(&self) -> Datagram {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram did not reach its peer.
            let Ok((len, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            match self.authenticate(&buffer[..len]) {
                Some(message) => return message,
                None => log::debug!("event=datagram_refused from={from}"),
            }
        }
    }

    /// Returns the datagram's message, or `None` if it is not authentic or can't be
    /// decoded.
    fn authenticate(&self, datagram: &[u8]) -> Option<Datagram> {
        let (message, code) = datagram.split_at_checked(datagram.len().checked_sub(MAC_BYTES)?)?;
        let secrets = self.secrets.borrow();
        let is_authentic = |secret: &Secret| mac(secret, message).verify_slice(code).is_ok();
        secrets.accepted().any(is_authentic).then(|| Datagram::decode(message).ok())?
    }
}

fn mac(secret: &Secret, bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&secret.0).expect("HMAC accepts keys of any length");
    mac.update(bytes);
    mac
}
