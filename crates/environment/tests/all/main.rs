//! Tests of environments in the store.
