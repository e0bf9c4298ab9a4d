//! Errors of the transport, and the codes that a closed connection carries.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::{fmt, io};

use briarshift_wire::MAX_FRAME;
use quinn::VarInt;

/// Why a transport could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A VM or fleet id is not valid in a certificate's DNS name.
    #[error(
        "{0:?} can't name a VM or a fleet in a certificate: use 1 to 63 lower-case letters, \
         digits and '-', without '-' at the start or the end"
    )]
    Name(String),
    /// A file could not be read or written.
    #[error("{path}: {source}: check the tls section of the settings", path = path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// A certificate or key is not valid, or they do not match.
    #[error("the certificates can't be used ({0}): create new ones with `briarshift keys`")]
    Certificate(String),
    /// The VM's own certificate names another VM or fleet.
    #[error(
        "the certificate names {found}, but the settings name {expected}: give each VM the \
         certificate issued for it"
    )]
    Identity {
        /// The name from the settings.
        expected: String,
        /// The names in the certificate.
        found: String,
    },
    /// The peer listener could not be opened.
    #[error("{address}: {source}: set peer_address to a free UDP port of this VM")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
}

/// Why this VM closed a connection. The peer receives the code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The peer sent a frame in another version of the encoding.
    Version,
    /// The peer sent a frame longer than the limit.
    Oversized,
    /// The peer sent a frame that ends early.
    Truncated,
    /// The peer sent a frame that can't be decoded.
    Malformed,
    /// The peer's certificate names no VM of this fleet.
    Fleet,
    /// The handshake failed: the peer has no certificate, one of another authority, or another
    /// protocol version. The peer receives TLS's own error code instead of this one.
    Handshake,
}

impl Refusal {
    /// All reasons, in the order of the counters.
    pub const ALL: [Self; 6] = [
        Self::Version,
        Self::Oversized,
        Self::Truncated,
        Self::Malformed,
        Self::Fleet,
        Self::Handshake,
    ];

    /// Returns the QUIC application error code.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_peer::Refusal;
    /// assert_eq!(Refusal::from_code(Refusal::Fleet.code()), Some(Refusal::Fleet));
    /// ```
    pub fn code(self) -> u32 {
        self as u32 + 1
    }

    /// Returns the reason for a code, or `None` for an unknown code or a normal close.
    pub fn from_code(code: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.code() == code)
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }

    pub(crate) fn close(self, connection: &quinn::Connection) {
        connection.close(VarInt::from_u32(self.code()), self.to_string().as_bytes());
    }

    pub(crate) fn from_frame_error(err: &briarshift_wire::Error) -> Self {
        match err {
            briarshift_wire::Error::Version(_) => Self::Version,
            briarshift_wire::Error::Oversized(_) => Self::Oversized,
            briarshift_wire::Error::Empty | briarshift_wire::Error::Truncated => Self::Truncated,
            briarshift_wire::Error::Malformed(_) => Self::Malformed,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version => f.write_str("unknown version: run one release on all VMs"),
            Self::Oversized => write!(f, "oversized frame: send at most {MAX_FRAME} bytes"),
            Self::Truncated => f.write_str("truncated frame: run one release on all VMs"),
            Self::Malformed => f.write_str("malformed frame: run one release on all VMs"),
            Self::Fleet => f.write_str("not of this fleet: use this fleet's certificates"),
            Self::Handshake => f.write_str("handshake failed: use this fleet's certificates"),
        }
    }
}
