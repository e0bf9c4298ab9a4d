//! The subcommands, one module each.

pub mod config;
pub mod demo;
pub mod drain;
pub mod explain;
pub mod gateway;
pub mod keys;
pub mod serve;
pub mod status;
pub mod usage;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, bail};
use briarshift_settings::Faults;

/// Timeout of a call to a VM's operator listener.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads and parses a settings file.
fn settings<T>(path: &Path, parse: fn(&[u8]) -> Result<T, Faults>) -> anyhow::Result<T> {
    let name = path.display();
    let text = std::fs::read(path)
        .with_context(|| format!("cannot read {name}: check its path and permissions"))?;
    parse(&text).with_context(|| format!("{name} holds invalid settings"))
}

/// Sends a request to a VM's operator listener and returns the response's body.
async fn call(address: SocketAddr, method: &str, path: &str) -> anyhow::Result<String> {
    let url = format!("http://{address}{path}");
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let method = method.parse().context("the method is not an HTTP method")?;
    let mut response = match client.request(method, &url).send().await {
        Ok(response) => response,
        Err(err) => bail!("no answer from {url} ({err}): check the VM's operator_address"),
    };
    let body = response.body().await.context("the answer is incomplete: try again")?;
    let body = String::from_utf8_lossy(&body).into_owned();
    if !response.status().is_success() {
        bail!("{url} answered {}: {body}", response.status());
    }
    Ok(body)
}
