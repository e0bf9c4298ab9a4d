//! Messages between entry VMs, and their codec.
//!
//! The messages are plain data: the reducers create and handle them without
//! access to a socket, and the transport carries them without knowing their
//! meaning. VMs that run the control reducer exchange [`Frame`]s: one version
//! byte followed by one or more postcard-encoded [`Message`]s. VMs that run the
//! gateway reducer exchange [`datagram::Datagram`]s. Input that can't be decoded
//! is rejected with an [`Error`].

mod codec;
mod message;
mod versioned;

pub mod crash;
pub mod heartbeat;
pub mod datagram;
pub mod document;
pub mod evacuation;
pub mod gossip;
pub mod holding;
pub mod leaving;
pub mod limit;
pub mod load;
pub mod reservation;
pub mod poison;
pub mod speed;
pub mod sync;

pub use codec::{Error, Frame, MAX_FRAME, VERSION};
pub use message::Message;
