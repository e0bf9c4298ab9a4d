//! `briarshift keys`: makes a development authority and certificates for VMs.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use briarshift_peer::keys::{Authority, CertifiedKey};
use briarshift_units::{FleetId, VmId};
use gumdrop::Options as Arguments;

/// Read and written by its owner only.
const PRIVATE: u32 = 0o600;
/// Read by all.
const PUBLIC: u32 = 0o644;

/// Arguments of `keys`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// where the files go; an authority found there is used again
    #[options(required, meta = "DIR")]
    pub dir: Option<PathBuf>,
    /// the fleet
    #[options(required, meta = "FLEET")]
    pub fleet: Option<FleetId>,
    /// a VM to issue a certificate for; give it once for each VM
    #[options(no_short, meta = "VM")]
    pub vm: Vec<VmId>,
}

/// Writes `ca.pem`, `ca.key`, and `VM.pem` and `VM.key` for each VM.
///
/// # Errors
///
/// If a file can't be written, or an id can't stand in a certificate. No file
/// of an earlier run is overwritten.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let dir = options.dir.as_deref().context("name the directory: --dir DIR")?;
    let fleet = options.fleet.clone().context("name the fleet: --fleet FLEET")?;
    if options.vm.is_empty() {
        bail!("name at least one VM: --vm VM");
    }
    fs::create_dir_all(dir).with_context(|| format!("cannot make {}", dir.display()))?;
    let authority = authority(dir, fleet)?;
    for vm in &options.vm {
        write(dir, vm.as_str(), &authority.issue(vm)?)?;
    }
    Ok(())
}

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

fn write(dir: &Path, name: &str, pair: &CertifiedKey) -> anyhow::Result<()> {
    let (certificate, key) = paths(dir, name);
    create(&key, &pair.key, PRIVATE)?;
    create(&certificate, &pair.certificate, PUBLIC)?;
    println!("{}", certificate.display());
    Ok(())
}

fn create(path: &Path, text: &str, mode: u32) -> anyhow::Result<()> {
    let mut file =
        OpenOptions::new().write(true).create_new(true).mode(mode).open(path).with_context(
            || format!("cannot create {}: remove an older file first", path.display()),
        )?;
    file.write_all(text.as_bytes()).with_context(|| format!("cannot write {}", path.display()))
}
