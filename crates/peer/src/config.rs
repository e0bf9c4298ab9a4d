//! Settings of the transport.

use std::net::SocketAddr;

use briarshift_units::{BytesPerSecond, FleetId, VmId};

use crate::Tls;

/// Default of [`Builder::budget`].
const DEFAULT_BUDGET: BytesPerSecond = BytesPerSecond(14_000);
/// Default of [`Builder::max_queued_frames`].
const DEFAULT_MAX_QUEUED_FRAMES: usize = 256;
/// Default of [`Builder::max_unread_messages`].
const DEFAULT_MAX_UNREAD_MESSAGES: usize = 4_096;

/// Settings of the transport.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    pub(crate) fleet: FleetId,
    pub(crate) vm: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) tls: Tls,
    pub(crate) budget: BytesPerSecond,
    pub(crate) max_queued_frames: usize,
    pub(crate) max_unread_messages: usize,
}

/// Builds a [`Config`].
#[derive(Debug, Clone)]
pub struct Builder(Config);

impl Config {
    /// Returns a builder with the settings that have no default. Port 0 in `address` lets the
    /// operating system choose a port.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_peer::{Config, Tls, keys::Authority};
    /// use briarshift_units::BytesPerSecond;
    /// let authority = Authority::generate("linen".parse().unwrap()).unwrap();
    /// let pair = authority.issue(&"aarau-1".parse().unwrap()).unwrap();
    /// let tls = Tls {
    ///     ca: authority.certified_key().certificate.into(),
    ///     certificate: pair.certificate.into(),
    ///     key: pair.key.into(),
    /// };
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let builder = Config::builder(
    ///     "linen".parse().unwrap(),
    ///     "aarau-1".parse().unwrap(),
    ///     address,
    ///     tls,
    /// );
    /// let config = builder.budget(BytesPerSecond(14_000)).build();
    /// ```
    pub fn builder(fleet: FleetId, vm: VmId, address: SocketAddr, tls: Tls) -> Builder {
        Builder(Self {
            fleet,
            vm,
            address,
            tls,
            budget: DEFAULT_BUDGET,
            max_queued_frames: DEFAULT_MAX_QUEUED_FRAMES,
            max_unread_messages: DEFAULT_MAX_UNREAD_MESSAGES,
        })
    }
}

impl Builder {
    /// Sets the limit of control bytes sent per second.
    #[must_use]
    pub fn budget(mut self, rate: BytesPerSecond) -> Self {
        self.0.budget = rate;
        self
    }

    /// Sets how many frames of one class may be queued for one peer.
    #[must_use]
    pub fn max_queued_frames(mut self, frames: usize) -> Self {
        self.0.max_queued_frames = frames;
        self
    }

    /// Sets how many received messages may wait to be read from the receiver.
    #[must_use]
    pub fn max_unread_messages(mut self, messages: usize) -> Self {
        self.0.max_unread_messages = messages;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Config {
        self.0
    }
}
