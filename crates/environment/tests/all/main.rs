//! Tests of operators' commands on environments.

mod fake;
mod operator;
mod race;
