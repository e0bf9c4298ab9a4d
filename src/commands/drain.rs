//! `briarshift drain`: tells a VM to take no new requests.

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

/// Begins the drain; `status` shows its progress.
///
/// # Errors
///
/// If the VM does not answer.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let vm = options.vm.context("name the VM: briarshift drain ADDRESS")?;
    println!("{}", super::call(vm, "POST", "/drain").await?);
    Ok(())
}
