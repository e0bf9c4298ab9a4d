//! Tests of the clients of targets.

mod http;
mod stream;
