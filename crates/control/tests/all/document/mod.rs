//! Distribution of documents: tests of one VM, and of a small fleet under
//! faults.

mod edit;
mod fleet;
mod one;
mod spread;
