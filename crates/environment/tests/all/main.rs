//! Tests of environments in the store.

mod fake;
mod operator;
mod race;
