//! The `briarshift` command.

fn main() {}
