//! `briarshift usage`: prints each owner's share of the bill with the usage records
//! that each line is computed from, or checks the records.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use briarshift_control::usage::Counters;
use briarshift_control::usage::audit::{Audit, Coverage, audit};
use briarshift_control::usage::bill::{Bill, Line, Share, Source, Tariff, split};
use briarshift_control::usage::day::Day;
use briarshift_control::usage::record::KEY_PREFIX;
use briarshift_settings::Process;
use briarshift_store::http::Client;
use briarshift_store::{Entry, Key, Operation, Reply, Store};
use briarshift_units::{OwnerId, Span};
use gumdrop::Options as Arguments;
use serde_json::{Value, json};

/// Timeout of a call to the platform.
const TIMEOUT: Span = Span::from_secs(30);
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Arguments of `usage`.
#[derive(Debug, Default, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// base URL of the platform's service
    #[options(no_short, required, meta = "URL")]
    pub platform: String,
    /// first day of the bill (UTC), YYYY-MM-DD
    #[options(no_short, meta = "DAY")]
    pub from: Option<Day>,
    /// last day of the bill (UTC), YYYY-MM-DD
    #[options(no_short, meta = "DAY")]
    pub to: Option<Day>,
    /// show this owner's lines only
    #[options(no_short, meta = "OWNER")]
    pub owner: Option<OwnerId>,
    /// print the bill as comma-separated values
    #[options(no_short)]
    pub csv: bool,
    /// print the bill as one JSON object
    #[options(no_short)]
    pub json: bool,
    /// check the records and list those that are invalid
    #[options(no_short)]
    pub check: bool,
    /// process settings file whose token_key authenticates the records
    #[options(no_short, meta = "FILE")]
    pub settings: Option<PathBuf>,
}

/// Prints the bill or, with `check`, the invalid records.
///
/// # Errors
///
/// Fails if the platform does not answer, `from` is after `to` or, with `check`, a
/// record is invalid.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    print!("{}", report(options).await?);
    Ok(())
}

/// Returns the text that [`run`] prints.
///
/// # Errors
///
/// As [`run`].
pub async fn report(options: &Options) -> anyhow::Result<String> {
    let key = options.settings.as_deref().map(fleet_key).transpose()?;
    let client = Client::new(&options.platform, TIMEOUT);
    let (entries, coverage) = read(&client, options).await?;
    let mut audit = audit(&entries, key.as_ref().map(<[u8; 32]>::as_slice), coverage);
    let from = options.from.unwrap_or_default();
    let to = options.to.unwrap_or(Day(u64::MAX));
    audit.records.retain(|record| (from..=to).contains(&record.body.segment_id.day));
    let bill = split(&audit.records, Tariff::default());
    if options.check {
        return check_report(&audit, &bill, key.is_some());
    }
    for finding in &audit.findings {
        eprintln!("warning: {} {}", finding.key, finding.fault);
    }
    let bill = match &options.owner {
        Some(owner) => bill.for_owner(owner),
        None => bill,
    };
    match (options.json, options.csv) {
        (true, true) => bail!("--json and --csv can't be combined: give only one"),
        (true, false) => Ok(format!("{}\n", as_json(&bill))),
        (false, true) => as_csv(&bill),
        (false, false) => Ok(as_text(&bill)),
    }
}

/// Reads the fleet's key from a VM's process settings.
fn fleet_key(path: &Path) -> anyhow::Result<[u8; 32]> {
    let name = path.display();
    let text = std::fs::read(path)
        .with_context(|| format!("cannot read {name}: check its path and permissions"))?;
    let process =
        Process::parse(&text).with_context(|| format!("{name} holds invalid settings"))?;
    let mut key = [0; 32];
    hex::decode_to_slice(process.token_key.as_str(), &mut key)
        .with_context(|| format!("token_key of {name} must be 64 hexadecimal digits"))?;
    Ok(key)
}

/// Reads the records of the days that the options name. Without both days, or to
/// check the records, reads all records.
async fn read(client: &Client, options: &Options) -> anyhow::Result<(Vec<Entry>, Coverage)> {
    let (Some(from), Some(to), false) = (options.from, options.to, options.check) else {
        return Ok((list(client, KEY_PREFIX.into()).await?, Coverage::Full));
    };
    if to < from {
        bail!("--from {from} is after --to {to}: swap them");
    }
    let mut entries = Vec::new();
    for day in from.0..=to.0 {
        entries.extend(list(client, Key::from(format!("{KEY_PREFIX}{}/", Day(day)))).await?);
    }
    Ok((entries, Coverage::Partial))
}

/// Reads all store entries with a key prefix.
async fn list(client: &Client, prefix: Key) -> anyhow::Result<Vec<Entry>> {
    match client
        .execute(Operation::List { prefix })
        .await
        .context("cannot read the usage records from the platform")?
    {
        Reply::Values(entries) => Ok(entries),
        _ => bail!("the platform did not answer with a list: check its version"),
    }
}

/// Returns the findings and the shares as text, or fails with them if there are
/// findings.
fn check_report(audit: &Audit, bill: &Bill, with_key: bool) -> anyhow::Result<String> {
    let mut text = String::new();
    for finding in &audit.findings {
        writeln!(text, "{} {}", finding.key, finding.fault)?;
    }
    for share in &bill.shares {
        writeln!(text, "{}", share_line(bill, share))?;
    }
    let (records, findings) = (audit.records.len(), audit.findings.len());
    let codes = if with_key { "checked" } else { "not checked: give --settings" };
    writeln!(text, "records {records}, findings {findings}, codes {codes}")?;
    if findings == 0 {
        return Ok(text);
    }
    bail!("{text}{findings} invalid records: correct them before billing");
}

fn share_line(bill: &Bill, share: &Share) -> String {
    let percent = 100.0 * bill.fraction(share);
    let Counters { prompt_tokens, cached_tokens, requests, refusals, queued_us, .. } =
        share.counters;
    let Counters { returns, returns_held, .. } = share.counters;
    let part = |part: u64, whole: u64| {
        if whole == 0 { 0.0 } else { 100.0 * part as f64 / whole as f64 }
    };
    let reuse = part(cached_tokens, prompt_tokens);
    let held = part(returns_held, returns);
    let refused = part(refusals, requests + refusals);
    let queued = queued_us as f64 / MICROS_PER_MILLI / requests.max(1) as f64;
    format!(
        "owner {} share {percent:.4}% units {} of {} reuse {reuse:.1}% returns {returns} \
         held {held:.1}% refused {refused:.2}% queued {queued:.1} ms a request",
        share.owner, share.units, bill.units
    )
}

/// Returns the store key and sequence number of the record behind a line.
fn source(source: &Source) -> String {
    format!("{KEY_PREFIX}{}#{}", source.segment_id, source.sequence)
}

fn as_text(bill: &Bill) -> String {
    let mut text = String::new();
    for share in &bill.shares {
        text.push_str(&share_line(bill, share));
        text.push('\n');
        let own = bill.lines.iter().filter(|line| line.subject.owner == share.owner);
        for line in own {
            text.push_str(&text_line(line));
        }
    }
    text
}

fn text_line(line: &Line) -> String {
    let Counters { requests, refusals, prompt_tokens, cached_tokens, .. } = line.counters;
    let Counters { completion_tokens, bookings, .. } = line.counters;
    let model = line.subject.model.as_deref().unwrap_or("-");
    let mut text = format!(
        "  account {} pool {} model {model} units {} requests {requests} refusals {refusals} \
         prompt {prompt_tokens} cached {cached_tokens} completion {completion_tokens} \
         bookings {bookings}\n",
        line.subject.account, line.subject.pool, line.units
    );
    for record in &line.records {
        text.push_str(&format!("    {}\n", source(record)));
    }
    text
}

fn as_csv(bill: &Bill) -> anyhow::Result<String> {
    let mut out = csv::Writer::from_writer(Vec::new());
    out.write_record([
        "owner",
        "account",
        "pool",
        "model",
        "units",
        "requests",
        "refusals",
        "prompt_tokens",
        "cached_tokens",
        "completion_tokens",
        "bookings",
        "queued_us",
        "returns",
        "returns_held",
        "records",
    ])?;
    for line in &bill.lines {
        let counters = line.counters;
        let records: Vec<_> = line.records.iter().map(source).collect();
        out.write_record([
            line.subject.owner.to_string(),
            line.subject.account.to_string(),
            line.subject.pool.to_string(),
            line.subject.model.as_deref().unwrap_or_default().to_owned(),
            line.units.to_string(),
            counters.requests.to_string(),
            counters.refusals.to_string(),
            counters.prompt_tokens.to_string(),
            counters.cached_tokens.to_string(),
            counters.completion_tokens.to_string(),
            counters.bookings.to_string(),
            counters.queued_us.to_string(),
            counters.returns.to_string(),
            counters.returns_held.to_string(),
            records.join(" "),
        ])?;
    }
    let bytes = out.into_inner().context("cannot write the lines as CSV")?;
    String::from_utf8(bytes).context("the CSV lines are not UTF-8")
}

fn as_json(bill: &Bill) -> Value {
    let share = |share: &Share| {
        json!({
            "owner": share.owner,
            "share": bill.fraction(share),
            "units": share.units,
            "counters": share.counters,
        })
    };
    let shares: Vec<_> = bill.shares.iter().map(share).collect();
    json!({ "units": bill.units, "tariff": Tariff::default(), "shares": shares, "lines": bill.lines })
}
