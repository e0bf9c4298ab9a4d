//! Tests of the settings: faults, schemas, builders and the example files.

mod document;
mod gateway;
mod examples;
mod process;
mod schema;
