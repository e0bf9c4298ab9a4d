//! `briarshift config`: checks, writes and promotes environment documents.
//!
//! [`briarshift_environment`] does the work and [`briarshift_settings`] the checks.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, bail};
use briarshift_environment::{
    AcceptedChange, Change, Clock, Environment, Operator, Report, Source,
};
use briarshift_settings::{Document, Gateway, Process};
use briarshift_store::http::Client;
use briarshift_units::{Revision, Span, WallTime};
use futures::future::{FutureExt, LocalBoxFuture};
use gumdrop::Options as Arguments;

/// Timeout of a call to the platform.
const TIMEOUT: Span = Span::from_secs(5);
/// The environment in which documents are tried before they are promoted.
const TRIAL: &str = "trial";

/// Arguments of `config`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// the subcommand
    #[options(command)]
    pub command: Option<Command>,
}

/// The subcommands of `config`.
#[derive(Debug, Arguments)]
pub enum Command {
    /// report all faults of a document or a settings file
    Check(Check),
    /// print the JSON schema of documents or process settings
    Schema(Schema),
    /// write a document into an environment
    Put(Put),
    /// write a document into the trial environment
    Trial(Trial),
    /// write the document in force in one environment into another
    Promote(Promote),
    /// print a document of an environment
    Show(Show),
    /// compare an environment's document with a revision or another environment
    Diff(Diff),
    /// list an environment's changes, newest first
    History(Target),
    /// show which revision the VMs of each data centre run
    InForce(Target),
}

/// Arguments of `config check`.
#[derive(Debug, Arguments)]
pub struct Check {
    /// print this help
    pub help: bool,
    /// the file holds process settings, not a document
    pub process: bool,
    /// the file holds gateway settings, not a document
    pub gateway: bool,
    /// the file to check
    #[options(free, required)]
    pub file: PathBuf,
}

/// Arguments of `config schema`.
#[derive(Debug, Arguments)]
pub struct Schema {
    /// print this help
    pub help: bool,
    /// which schema: document (the default), process or gateway
    #[options(free)]
    pub kind: Option<String>,
}

/// Arguments of `config put`.
#[derive(Debug, Arguments)]
pub struct Put {
    /// print this help
    pub help: bool,
    /// the environment
    #[options(required, no_short, meta = "E")]
    pub environment: Environment,
    /// base URL of the platform's service
    #[options(required, no_short, meta = "URL")]
    pub platform: String,
    /// the current revision, which is replaced; 0 if there is none
    #[options(required, no_short, meta = "REV")]
    pub replaces: Revision,
    /// the document's file
    #[options(free, required)]
    pub file: PathBuf,
}

/// Arguments of `config trial`.
#[derive(Debug, Arguments)]
pub struct Trial {
    /// print this help
    pub help: bool,
    /// base URL of the platform's service
    #[options(required, no_short, meta = "URL")]
    pub platform: String,
    /// the current revision, which is replaced; 0 if there is none
    #[options(required, no_short, meta = "REV")]
    pub replaces: Revision,
    /// the document's file
    #[options(free, required)]
    pub file: PathBuf,
}

/// Arguments of `config promote`.
#[derive(Debug, Arguments)]
pub struct Promote {
    /// print this help
    pub help: bool,
    /// the environment whose document is promoted; all its live VMs must run it
    #[options(required, no_short, meta = "E")]
    pub from: Environment,
    /// the environment that the document is written to
    #[options(required, no_short, meta = "E")]
    pub to: Environment,
    /// base URL of the platform's service
    #[options(required, no_short, meta = "URL")]
    pub platform: String,
    /// the current revision, which is replaced; 0 if there is none
    #[options(required, no_short, meta = "REV")]
    pub replaces: Revision,
}

/// Arguments of `config show`.
#[derive(Debug, Arguments)]
pub struct Show {
    /// print this help
    pub help: bool,
    /// the environment
    #[options(required, no_short, meta = "E")]
    pub environment: Environment,
    /// base URL of the platform's service
    #[options(required, no_short, meta = "URL")]
    pub platform: String,
    /// an earlier revision that the platform still stores
    #[options(no_short, meta = "REV")]
    pub revision: Option<Revision>,
}

/// Arguments of `config diff`.
#[derive(Debug, Arguments)]
pub struct Diff {
    /// print this help
    pub help: bool,
    /// the environment
    #[options(required, no_short, meta = "E")]
    pub environment: Environment,
    /// base URL of the platform's service
    #[options(required, no_short, meta = "URL")]
    pub platform: String,
    /// compare with this earlier revision
    #[options(no_short, meta = "REV")]
    pub revision: Option<Revision>,
    /// compare with this other environment
    #[options(no_short, meta = "E")]
    pub with: Option<Environment>,
}

/// Arguments of `config history` and `config in-force`.
#[derive(Debug, Arguments)]
pub struct Target {
    /// print this help
    pub help: bool,
    /// the environment
    #[options(required, no_short, meta = "E")]
    pub environment: Environment,
    /// base URL of the platform's service
    #[options(required, no_short, meta = "URL")]
    pub platform: String,
}

/// Runs a subcommand.
///
/// # Errors
///
/// Fails if a file has faults, a change conflicts with another one, or a call to the
/// platform fails. The message names the remedy.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let Some(command) = &options.command else {
        bail!(
            "no subcommand is given: use one of\n{}",
            Options::command_list().unwrap_or_default()
        );
    };
    match command {
        Command::Check(options) => check(options),
        Command::Schema(options) => schema(options),
        Command::Put(options) => {
            put(&options.platform, &options.environment, options.replaces, &options.file).await
        }
        Command::Trial(options) => {
            let environment = TRIAL.parse()?;
            put(&options.platform, &environment, options.replaces, &options.file).await
        }
        Command::Promote(options) => promote(options).await,
        Command::Show(options) => show(options).await,
        Command::Diff(options) => diff(options).await,
        Command::History(options) => history(options).await,
        Command::InForce(options) => in_force(options).await,
    }
}

fn check(options: &Check) -> anyhow::Result<()> {
    let bytes = read(&options.file)?;
    let faults = match (options.process, options.gateway) {
        (true, _) => Process::parse(&bytes).err(),
        (_, true) => Gateway::parse(&bytes).err(),
        _ => Document::parse(&bytes).err(),
    };
    let name = options.file.display();
    if let Some(faults) = faults {
        bail!("{name} has {} faults:\n{faults}", faults.count());
    }
    println!("{name}: no fault, digest {}", Document::digest(&bytes));
    Ok(())
}

fn schema(options: &Schema) -> anyhow::Result<()> {
    let schema = match options.kind.as_deref() {
        None | Some("document") => Document::schema(),
        Some("process") => Process::schema(),
        Some("gateway") => Gateway::schema(),
        Some(other) => {
            bail!("{other:?} has no schema: use \"document\", \"process\" or \"gateway\"")
        }
    };
    println!("{}", serde_json::to_string_pretty(&schema)?);
    Ok(())
}

async fn put(
    platform: &str,
    environment: &Environment,
    replaces: Revision,
    file: &Path,
) -> anyhow::Result<()> {
    let text = String::from_utf8(read(file)?)
        .context("the file is not UTF-8: save it in this encoding")?;
    let client = client(platform);
    let accepted = operator(&client).put(environment, replaces, &text).await?;
    print_accepted(environment, &accepted);
    Ok(())
}

async fn promote(options: &Promote) -> anyhow::Result<()> {
    let client = client(&options.platform);
    let operator = operator(&client);
    let accepted = operator.promote(&options.from, &options.to, options.replaces).await?;
    print_accepted(&options.to, &accepted);
    Ok(())
}

fn print_accepted(environment: &Environment, accepted: &AcceptedChange) {
    println!("{environment}: {}", format_change(&accepted.change));
    if !accepted.recorded {
        eprintln!("warning: the change was made, but could not be added to the history");
    }
}

async fn show(options: &Show) -> anyhow::Result<()> {
    let client = client(&options.platform);
    let operator = operator(&client);
    let stored = match options.revision {
        None => operator.show(&options.environment).await?,
        Some(revision) => operator.show_revision(&options.environment, revision).await?,
    };
    eprintln!("revision={} digest={}", stored.revision, stored.digest());
    print!("{}", stored.text);
    Ok(())
}

async fn diff(options: &Diff) -> anyhow::Result<()> {
    let client = client(&options.platform);
    let operator = operator(&client);
    let new = operator.show(&options.environment).await?;
    let old = match (options.revision, &options.with) {
        (Some(revision), _) => operator.show_revision(&options.environment, revision).await?,
        (None, Some(other)) => operator.show(other).await?,
        (None, None) => bail!("nothing to compare with: give --revision REV or --with E"),
    };
    print!("{}", Operator::diff(&old, &new));
    Ok(())
}

async fn history(options: &Target) -> anyhow::Result<()> {
    let client = client(&options.platform);
    for change in operator(&client).history(&options.environment).await? {
        println!("{}", format_change(&change));
    }
    Ok(())
}

async fn in_force(options: &Target) -> anyhow::Result<()> {
    let client = client(&options.platform);
    for report in operator(&client).reports(&options.environment).await? {
        let Report { data_centre, revision, digest, live, in_force, at, .. } = report;
        println!(
            "data_centre={data_centre} revision={revision} in_force={in_force} live={live} \
             digest={digest} at={at}"
        );
    }
    Ok(())
}

/// Formats a change as one line.
fn format_change(change: &Change) -> String {
    let Change { revision, digest, replaced, author, at, source } = change;
    let replaced = replaced.as_ref().map_or(Revision(0), |replaced| replaced.revision);
    let source = match source {
        Source::File => "file".to_owned(),
        Source::Promotion { from, revision } => format!("{from}@{revision}"),
    };
    format!(
        "revision={revision} replaced={replaced} author={author} at={at} source={source} \
         digest={digest}"
    )
}

fn read(file: &Path) -> anyhow::Result<Vec<u8>> {
    std::fs::read(file)
        .with_context(|| format!("cannot read {}: check its path and permissions", file.display()))
}

fn client(platform: &str) -> Client {
    Client::new(platform, TIMEOUT)
}

fn operator(client: &Client) -> Operator<'_> {
    let author = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    Operator::new(client, &System, &author)
}

/// The system clock.
struct System;

impl Clock for System {
    fn now(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    fn sleep(&self, span: Span) -> LocalBoxFuture<'_, ()> {
        actix_rt::time::sleep(Duration::from(span)).boxed_local()
    }
}
