//! Messages between entry VMs and their codec.
//!
//! The messages are plain data, so that the control reducer can name them
//! without touching a socket, and the transport can carry them without
//! knowing what they mean. A frame is one version byte followed by one
//! postcard-encoded [`Message`]; both ends refuse what they can't read with a
//! typed [`Error`] instead of guessing.

mod codec;
mod message;
mod versioned;

pub mod heartbeat;
pub mod datagram;
pub mod document;
pub mod gossip;
pub mod holding;
pub mod reservation;
pub mod poison;
pub mod sync;

pub use codec::{Error, Frame, MAX_FRAME, VERSION};
pub use message::Message;
