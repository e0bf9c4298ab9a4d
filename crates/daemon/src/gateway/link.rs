//! Authenticated datagrams between VMs.
//!
//! Each bears its HMAC-SHA256 under the fleet's secret. Beats hold loads and
//! hashes, no caller's data; a replayed one is older than the last and ignored,
//! as is the answer to an ask that no longer waits. QUIC connections to every
//! peer, as the document-driven fleet uses, would cost a small VM more than the
//! datagrams themselves.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use briarshift_store::registry::Secret;
use briarshift_wire::datagram::Datagram;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use tokio::net::UdpSocket;

/// Bytes of the authentication code.
const CODE: usize = 32;
/// Longest datagram received.
const MAX_DATAGRAM: usize = 65_536;

/// The peer listener.
#[derive(Clone)]
pub(crate) struct Link {
    socket: Rc<UdpSocket>,
    secret: Rc<RefCell<Option<Secret>>>,
}

impl Link {
    pub(crate) async fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(address).await.with_context(|| {
            format!("cannot listen for peers on {address}: choose a free address of this VM")
        })?;
        Ok(Self { socket: Rc::new(socket), secret: Rc::default() })
    }

    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    pub(crate) fn trust(&self, secret: Secret) {
        *self.secret.borrow_mut() = Some(secret);
    }

    /// Sends a datagram to peers, or drops it: what must arrive is sent again.
    /// It is encoded and authenticated once for all of them.
    pub(crate) fn send(&self, to: &[SocketAddr], message: &Datagram) {
        let Some(secret) = self.secret.borrow().clone() else { return };
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

    /// The next datagram that the fleet's secret authenticates.
    pub(crate) async fn receive(&self) -> Datagram {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            // An error tells of an earlier send to a peer that is gone.
            let Ok((len, from)) = self.socket.recv_from(&mut buffer).await else { continue };
            match self.open(&buffer[..len]) {
                Some(message) => return message,
                None => log::debug!("event=datagram_refused from={from}"),
            }
        }
    }

    fn open(&self, datagram: &[u8]) -> Option<Datagram> {
        let secret = self.secret.borrow().clone()?;
        let (message, code) = datagram.split_at_checked(datagram.len().checked_sub(CODE)?)?;
        mac(&secret, message).verify_slice(code).ok()?;
        Datagram::decode(message).ok()
    }
}

fn mac(secret: &Secret, bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret.0).expect("any length serves as a key");
    mac.update(bytes);
    mac
}
