//! Locks, plans and orders.

mod drift;
mod fleet;
mod holder;

use briarshift_units::ModelId;

fn model(name: &str) -> ModelId {
    name.parse().unwrap()
}
