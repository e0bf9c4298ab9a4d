//! Tests of the message codec.

mod codec;
mod gossip;
