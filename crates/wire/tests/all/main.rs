//! Tests of the messages' codec.

mod codec;
mod gossip;
