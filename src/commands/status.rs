//! `briarshift status`: shows the status of VMs.

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

/// Prints the status of each VM as one line of JSON.
///
/// # Errors
///
/// Fails if a VM does not answer; the status of the others is still printed.
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
