//! Settings of the transport.

use std::net::SocketAddr;

use briarshift_units::{BytesPerSecond, FleetId, VmId};

use crate::Tls;

/// Most control bytes a second, unless set.
const DEFAULT_BUDGET: BytesPerSecond = BytesPerSecond(14_000);
/// Frames of one class that may wait for one peer, unless set.
const DEFAULT_MAX_QUEUED_FRAMES: usize = 256;
/// Received messages that may wait for the control thread, unless set.
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
    /// Starts from what every VM must say of itself; port 0 lets the system
    /// choose one.
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
    /// Most control bytes sent a second.
    #[must_use]
    pub fn budget(mut self, rate: BytesPerSecond) -> Self {
        self.0.budget = rate;
        self
    }

    /// Frames of one class that may wait for one peer.
    #[must_use]
    pub fn max_queued_frames(mut self, frames: usize) -> Self {
        self.0.max_queued_frames = frames;
        self
    }

    /// Received messages that may wait for the control thread.
    #[must_use]
    pub fn max_unread_messages(mut self, messages: usize) -> Self {
        self.0.max_unread_messages = messages;
        self
    }

    /// The settings.
    pub fn build(self) -> Config {
        self.0
    }
}
