//! The configuration of the fleet on loopback: environment document, process settings,
//! certificates and the platform's VM list.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;
use briarshift_peer::keys::Authority;
use briarshift_settings::{
    Account, Call, Document, Engine, Kind, Model, Pool, Priority, Process, Rate, Runner, Tls,
};
use briarshift_store::{ListedVm, Role, Status};
use briarshift_units::{DataCentre, FleetId, OwnerId, VmId};
use serde_json::json;
use sha2::{Digest, Sha256};

/// The environment that the fleet serves.
pub const ENVIRONMENT: &str = "demo";
/// The pool of model engines.
pub const ENGINES: &str = "rota-model";
/// The pool of desk runners.
pub const RUNNERS: &str = "rota-desk";
/// The model that the engines serve.
pub const MODEL: &str = "rota-7b";
/// Limit of an engine's load, as a multiple of its pool's mean load.
pub const LOAD_FACTOR: f64 = 1.25;
/// Key that signs chat tokens: 32 bytes in hexadecimal.
const TOKEN_KEY: &str = "5d1d7a5f4b0c4e6f9a8b7c6d5e4f3a2b1c0d9e8f7a6b5c4d3e2f1a0b9c8d7e6f";
/// A free loopback port, chosen by the system.
const ANY_PORT: &str = "127.0.0.1:0";

/// A client account and the bearer key that its callers send.
#[derive(Debug, Clone)]
pub struct Client {
    /// The account's id.
    pub account: &'static str,
    /// Its bearer key.
    pub key: &'static str,
}

/// The client accounts.
pub const CLIENTS: [Client; 4] = [
    Client { account: "parish-nairobi", key: "demo-key-nairobi" },
    Client { account: "parish-thika", key: "demo-key-thika" },
    Client { account: "parish-nakuru", key: "demo-key-nakuru" },
    Client { account: "overnight-drafts", key: "demo-key-overnight" },
];

/// Creates the entry VMs' certificates and settings. The certificate files go into a
/// directory that must outlive the fleet.
pub struct Provisioner {
    fleet: FleetId,
    authority: Authority,
    directory: PathBuf,
}

fn owner() -> OwnerId {
    "kitambaa".parse().expect("a valid id")
}

/// Returns the environment document.
pub fn document() -> Document {
    let accounts = CLIENTS.iter().map(|client| Account {
        id: client.account.parse().expect("a valid id"),
        owner: owner(),
        key_sha256: hex::encode(Sha256::digest(client.key)).into(),
        rate: Rate { per_second: 1_000.0, burst: 1_000 },
        priority: match client.account {
            "overnight-drafts" => Priority::Overnight,
            _ => Priority::Interactive,
        },
    });
    Document {
        comment: String::new(),
        owners: vec![owner()],
        accounts: accounts.collect(),
        pools: vec![engines(), runners()],
        models: vec![Model {
            id: MODEL.parse().expect("a valid id"),
            pool: ENGINES.parse().expect("a valid id"),
        }],
    }
}

fn engines() -> Pool {
    Pool {
        id: ENGINES.parse().expect("a valid id"),
        owner: owner(),
        kind: Kind::Engine(Engine {
            load_factor: LOAD_FACTOR,
            place_wait_ms: 300,
            overnight_share: 0.5,
        }),
        queue_wait_ms: 10_000,
        queue_length: 1_000,
        retry_share: 0.1,
        orders: None,
    }
}

fn runners() -> Pool {
    let repeatable = [("GET", "stock"), ("DELETE", "bookings")];
    let repeatable =
        repeatable.map(|(method, path)| Call { method: method.into(), path: path.into() });
    Pool {
        id: RUNNERS.parse().expect("a valid id"),
        owner: owner(),
        kind: Kind::Runner(Runner {
            concurrency: 64,
            timeout_ms: 5_000,
            retention_s: 86_400,
            repeatable: repeatable.into(),
        }),
        queue_wait_ms: 5_000,
        queue_length: 1_000,
        retry_share: 0.1,
        orders: None,
    }
}

/// Returns the row of a live target in the platform's VM list.
pub fn target_row(vm: &str, pool: &str, data_centre: &str, address: SocketAddr) -> ListedVm {
    let role = Role::Target { pool: pool.parse().expect("a valid id") };
    vm_row(vm, role, data_centre, address)
}

/// Returns the row of a live entry VM in the platform's VM list.
pub fn entry_row(vm: &str, data_centre: &str, peer: SocketAddr) -> ListedVm {
    vm_row(vm, Role::Entry, data_centre, peer)
}

fn vm_row(vm: &str, role: Role, data_centre: &str, address: SocketAddr) -> ListedVm {
    ListedVm {
        vm: vm.parse().expect("a valid id"),
        role,
        data_centre: data_centre.parse().expect("a valid id"),
        address,
        status: Status::Live,
    }
}

impl Provisioner {
    /// Creates the fleet's certificate authority and writes its certificate into
    /// `directory`.
    ///
    /// # Errors
    ///
    /// Fails if a key can't be generated or a file can't be written.
    pub fn new(directory: &Path) -> anyhow::Result<Self> {
        let fleet: FleetId = "demo".parse()?;
        let authority =
            Authority::generate(fleet.clone()).context("cannot create a certificate authority")?;
        let directory = directory.to_owned();
        std::fs::write(directory.join("ca.pem"), authority.certified_key().certificate)
            .context("cannot write the authority's certificate")?;
        Ok(Self { fleet, authority, directory })
    }

    /// Returns the settings of an entry VM with a new certificate and ports chosen by
    /// the system.
    ///
    /// # Errors
    ///
    /// Fails if a key can't be generated or a file can't be written.
    pub fn process_settings(
        &self,
        vm: &str,
        data_centre: &str,
        platform: &str,
    ) -> anyhow::Result<Process> {
        let vm: VmId = vm.parse()?;
        let data_centre: DataCentre = data_centre.parse()?;
        let pair = self.authority.issue(&vm).context("cannot issue a certificate")?;
        let file = |suffix: &str| self.directory.join(format!("{vm}-{suffix}.pem"));
        std::fs::write(file("cert"), pair.certificate).context("cannot write a certificate")?;
        std::fs::write(file("key"), pair.key).context("cannot write a key")?;
        let tls =
            Tls { ca: self.directory.join("ca.pem"), certificate: file("cert"), key: file("key") };
        let settings = json!({
            "fleet": self.fleet,
            "vm": vm,
            "data_centre": data_centre,
            "environment": ENVIRONMENT,
            "caller_address": ANY_PORT,
            "operator_address": ANY_PORT,
            "peer_address": ANY_PORT,
            "platform": platform,
            "tls": tls,
            "token_key": TOKEN_KEY,
            "workers": 1,
        });
        serde_json::from_value(settings).context("the generated settings are invalid")
    }
}
