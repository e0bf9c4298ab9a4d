//! The thin command line over the crates.
