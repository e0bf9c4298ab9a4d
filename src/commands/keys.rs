//! `briarshift keys`: creates a certificate authority for development and
//! certificates for VMs.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use briarshift_peer::keys::{Authority, CertifiedKey};
use briarshift_units::{FleetId, VmId};
use gumdrop::Options as Arguments;

/// File mode of private keys: readable and writable by their owner only.
const PRIVATE_MODE: u32 = 0o600;
/// File mode of certificates: readable by all.
const PUBLIC_MODE: u32 = 0o644;

/// Arguments of `keys`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// directory for the files; an authority that is already there is used again
    #[options(required, meta = "DIR")]
    pub dir: Option<PathBuf>,
    /// id of the fleet
    #[options(required, meta = "FLEET")]
    pub fleet: Option<FleetId>,
    /// a VM to issue a certificate for; repeat the option for each VM
    #[options(no_short, meta = "VM")]
    pub vm: Vec<VmId>,
}

/// Writes `ca.pem` and `ca.key`, and `VM.pem` and `VM.key` for each VM.
///
/// # Errors
///
/// Fails if a file can't be written or already exists, or if an id can't be used in a
/// certificate. Files of an earlier run are never overwritten.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let dir = options.dir.as_deref().context("no directory is given: add --dir DIR")?;
    let fleet = options.fleet.clone().context("no fleet is given: add --fleet FLEET")?;
    if options.vm.is_empty() {
        bail!("no VM is given: add --vm VM for each VM");
    }
    fs::create_dir_all(dir)
        .with_context(|| format!("cannot create directory {}", dir.display()))?;
    let authority = authority(dir, fleet)?;
    for vm in &options.vm {
        write(dir, vm.as_str(), &authority.issue(vm)?)?;
    }
    Ok(())
}

/// Loads the authority from `dir`, or creates it there if it doesn't exist.
fn authority(dir: &Path, fleet: FleetId) -> anyhow::Result<Authority> {
    let (certificate, key) = paths(dir, "ca");
    if certificate.exists() && key.exists() {
        let pair = CertifiedKey { certificate: read(&certificate)?, key: read(&key)? };
        return Ok(Authority::load(fleet, &pair)?);
    }
    let authority = Authority::generate(fleet)?;
    write(dir, "ca", &authority.certified_key())?;
    Ok(authority)
}

fn paths(dir: &Path, name: &str) -> (PathBuf, PathBuf) {
    (dir.join(format!("{name}.pem")), dir.join(format!("{name}.key")))
}

fn read(path: &Path) -> anyhow::Result<String> {
    fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

/// Writes a key and its certificate, and prints the certificate's path.
fn write(dir: &Path, name: &str, pair: &CertifiedKey) -> anyhow::Result<()> {
    let (certificate, key) = paths(dir, name);
    create(&key, &pair.key, PRIVATE_MODE)?;
    create(&certificate, &pair.certificate, PUBLIC_MODE)?;
    println!("{}", certificate.display());
    Ok(())
}

fn create(path: &Path, text: &str, mode: u32) -> anyhow::Result<()> {
    let mut file =
        OpenOptions::new().write(true).create_new(true).mode(mode).open(path).with_context(
            || format!("cannot create {}: remove an existing file first", path.display()),
        )?;
    file.write_all(text.as_bytes()).with_context(|| format!("cannot write {}", path.display()))
}
