//! `briarshift drain`: stops a VM from accepting new requests.

use std::net::SocketAddr;

use anyhow::Context;
use gumdrop::Options as Arguments;

/// Arguments of `drain`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// the VM's operator address
    #[options(free, required)]
    pub vm: Option<SocketAddr>,
}

/// Starts the drain; `briarshift status` shows its progress.
///
/// # Errors
///
/// Fails if the VM does not answer.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let vm = options.vm.context("no VM is given: use briarshift drain ADDRESS")?;
    println!("{}", super::call(vm, "POST", "/drain").await?);
    Ok(())
}
