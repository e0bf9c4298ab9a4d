//! Tests of the target client and of the validation of responses.

mod http;
mod stream;
