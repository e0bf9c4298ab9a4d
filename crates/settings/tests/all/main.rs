//! Tests of settings: faults, schemas, builders and the examples.

mod document;
mod process;
mod schema;
