//! `briarshift status`: shows what VMs report of themselves.

use std::net::SocketAddr;

use gumdrop::Options as Arguments;

/// Arguments of `status`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// operator addresses of the VMs
    #[options(free, required)]
    pub vms: Vec<SocketAddr>,
}

/// Prints one line of JSON a VM.
///
/// # Errors
///
/// If a VM does not answer; the others are still printed.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let mut failed = Ok(());
    for vm in &options.vms {
        match super::call(*vm, "GET", "/status").await {
            Ok(line) => println!("{line}"),
            Err(err) => {
                eprintln!("{err:#}");
                failed = Err(err);
            }
        }
    }
    failed
}
