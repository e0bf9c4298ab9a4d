//! `briarshift demo`: runs a complete fleet in one process and prints the results.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use gumdrop::Options as Arguments;

use crate::demo::local_fleet::LocalFleet;
use crate::demo::results::{Results, Samples};
use crate::demo::traffic::{self, Stats, Volume};

/// The traffic that the demo sends.
const VOLUME: Volume = Volume { chats: 240, turns: 12, bookings: 60 };
/// Time after the start at which engine 0 starts to leave.
const LEAVE_AFTER: Duration = Duration::from_secs(3);
/// Time after the start at which engine 1 is killed.
const KILL_AFTER: Duration = Duration::from_secs(5);
/// Interval at which the engines' load is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Arguments of `demo`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// also print the results as one line of JSON at the end
    pub json: bool,
}

/// Runs the demo and prints its results.
///
/// # Errors
///
/// Fails if the fleet does not start, a turn got no complete answer, a booking ran
/// more than once, or there is any other fault.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let directory = Directory::new()?;
    eprintln!("starting 6 entry VMs, 10 engines, 3 runners on loopback");
    let fleet = LocalFleet::start(&directory.0).await?;
    let started = Instant::now();
    let stats = Rc::new(RefCell::new(Stats::default()));
    let entries = fleet.entries();
    let mut samples = Samples::default();
    tokio::select! {
        () = traffic::run(&entries, VOLUME, &stats) => {}
        () = monitor(&fleet, started, &stats, &mut samples) => {}
    }
    let elapsed = started.elapsed();
    let bytes = control_bytes(&fleet).await / elapsed.as_secs_f64() / entries.len() as f64;
    let stats = stats.borrow().clone();
    let results =
        Results::new(VOLUME.chats, &stats, &fleet.engines, &fleet.runners, &samples, bytes);
    fleet.close().await?;
    print(&results, elapsed);
    if options.json {
        println!("{}", serde_json::to_string(&results)?);
    }
    if !results.passed() {
        bail!("the demo failed: see the results and faults above");
    }
    Ok(())
}

/// Samples the engines' load, makes one engine leave, kills another and prints
/// progress. Never returns.
async fn monitor(
    fleet: &LocalFleet,
    started: Instant,
    stats: &RefCell<Stats>,
    samples: &mut Samples,
) {
    let (mut left, mut killed) = (false, false);
    let total = VOLUME.chats * VOLUME.turns;
    for round in 0_u64.. {
        if !left && LEAVE_AFTER < started.elapsed() {
            left = true;
            fleet.engines[0].leave();
            eprintln!("engine-0 starts to leave");
        }
        if !killed && KILL_AFTER < started.elapsed() {
            killed = true;
            fleet.engines[1].kill();
            eprintln!("engine-1 is killed");
        }
        samples.record(&fleet.engines);
        if round % 10 == 9 {
            let stats = stats.borrow();
            eprintln!(
                "answered {}/{total}, booked {}/{}",
                stats.complete, stats.booked, VOLUME.bookings
            );
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns the bytes of control traffic that all VMs have sent, from their metrics.
async fn control_bytes(fleet: &LocalFleet) -> f64 {
    let mut total = 0.0;
    for operator in fleet.operators() {
        let text = super::call(operator, "GET", "/metrics").await.unwrap_or_default();
        let lines = text.lines().filter(|line| line.starts_with("briarshift_peer_sent_bytes"));
        total += lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>();
    }
    total
}

fn print(results: &Results, elapsed: Duration) {
    let reuse = results.returns_on_cached_engine as f64 / results.returns.max(1) as f64;
    let row = |name: &str, value: String| println!("{name:<44}{value:>12}");
    println!("{:<44}{:>12}", "observed by the stand-ins", "");
    row("seconds", format!("{:.1}", elapsed.as_secs_f64()));
    row("chats", results.chats.to_string());
    row("answers", results.answers.to_string());
    row("complete answers with the expected text", results.answers_whole.to_string());
    row("streams ended by an error event, sent again", results.answers_broken_off.to_string());
    row("refused requests, sent again", results.refused.to_string());
    row("returns", results.returns.to_string());
    row("returns on an engine with cached context", results.returns_on_cached_engine.to_string());
    row("reuse", format!("{reuse:.3}"));
    row("worst skew (max over mean, 1 s)", format!("{:.2}", results.skew_max_over_mean));
    row("bookings", results.bookings.to_string());
    row("resends answered from the stored outcome", results.bookings_replayed.to_string());
    row("bookings that ran more than once", results.bookings_run_twice.to_string());
    row("control bytes per second and VM", format!("{:.0}", results.control_bytes_per_s_per_vm));
    for fault in &results.faults {
        println!("fault: {fault}");
    }
}

/// A temporary directory for certificates, removed when dropped.
struct Directory(std::path::PathBuf);

impl Directory {
    fn new() -> anyhow::Result<Self> {
        let name = format!("briarshift-demo-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).context("cannot create a directory for certificates")?;
        Ok(Self(path))
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        if let Err(err) = std::fs::remove_dir_all(&self.0) {
            log::warn!("event=cleanup_failed error={:?}", err.to_string());
        }
    }
}
