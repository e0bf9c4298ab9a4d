//! Tests of settings: faults, schemas, builders and the examples.

mod document;
mod examples;
mod process;
mod schema;
