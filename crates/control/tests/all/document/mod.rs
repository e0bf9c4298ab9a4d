//! Spreading documents: one VM at a time, and a small fleet under faults.

mod edit;
mod fleet;
mod one;
mod spread;
