//! `briarshift demo`: a whole fleet in one process, and what came of it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use gumdrop::Options as Arguments;

use crate::demo::site::Site;
use crate::demo::tally::{Samples, Tally};
use crate::demo::traffic::{self, Seen, Volume};

/// How much traffic the demo makes.
const VOLUME: Volume = Volume { chats: 240, turns: 12, bookings: 60 };
/// When one engine begins to leave.
const LEAVE_AFTER: Duration = Duration::from_secs(3);
/// When another engine is killed.
const KILL_AFTER: Duration = Duration::from_secs(5);
/// Time between two samples of the engines' load.
const SAMPLE: Duration = Duration::from_millis(100);

/// Arguments of `demo`.
#[derive(Debug, Arguments)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// end with a line of JSON
    pub json: bool,
}

/// Runs the demo and prints its figures.
///
/// # Errors
///
/// If the fleet does not start, an answer was not whole, or a booking ran
/// twice.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let directory = Directory::new()?;
    eprintln!("starting 6 entry VMs, 10 engines, 3 runners on loopback");
    let site = Site::start(&directory.0).await?;
    let started = Instant::now();
    let seen = Rc::new(RefCell::new(Seen::default()));
    let entries = site.entries();
    let mut samples = Samples::default();
    tokio::select! {
        () = traffic::run(&entries, VOLUME, &seen) => {}
        () = watch(&site, started, &seen, &mut samples) => {}
    }
    let elapsed = started.elapsed();
    let bytes = control_bytes(&site).await / elapsed.as_secs_f64() / entries.len() as f64;
    let seen = seen.borrow().clone();
    let tally = Tally::new(VOLUME.chats, &seen, &site.engines, &site.runners, &samples, bytes);
    site.close().await?;
    print(&tally, elapsed);
    if options.json {
        println!("{}", serde_json::to_string(&tally)?);
    }
    if !tally.is_good() {
        bail!("a promise was not kept: see the faults above");
    }
    Ok(())
}

/// Samples loads, makes the faults and shows progress, for ever.
async fn watch(site: &Site, started: Instant, seen: &RefCell<Seen>, samples: &mut Samples) {
    let (mut left, mut killed) = (false, false);
    let total = VOLUME.chats * VOLUME.turns;
    for round in 0_u64.. {
        if !left && LEAVE_AFTER < started.elapsed() {
            left = true;
            site.engines[0].leave();
            eprintln!("engine-0 begins to leave");
        }
        if !killed && KILL_AFTER < started.elapsed() {
            killed = true;
            site.engines[1].kill();
            eprintln!("engine-1 is killed");
        }
        samples.take(&site.engines);
        if round % 10 == 9 {
            let seen = seen.borrow();
            eprintln!(
                "answered {}/{total}, booked {}/{}",
                seen.whole, seen.booked, VOLUME.bookings
            );
        }
        tokio::time::sleep(SAMPLE).await;
    }
}

/// Control bytes sent by all VMs, from their metrics.
async fn control_bytes(site: &Site) -> f64 {
    let mut total = 0.0;
    for operator in site.operators() {
        let text = super::call(operator, "GET", "/metrics").await.unwrap_or_default();
        let lines = text.lines().filter(|line| line.starts_with("briarshift_peer_sent_bytes"));
        total += lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>();
    }
    total
}

fn print(tally: &Tally, elapsed: Duration) {
    let reuse = tally.returns_on_cached_engine as f64 / tally.returns.max(1) as f64;
    let row = |name: &str, value: String| println!("{name:<44}{value:>12}");
    println!("{:<44}{:>12}", "observed by the stand-ins", "");
    row("seconds", format!("{:.1}", elapsed.as_secs_f64()));
    row("chats", tally.chats.to_string());
    row("answers", tally.answers.to_string());
    row("answers whole and their caller's own", tally.answers_whole.to_string());
    row("streams broken off with an error, sent again", tally.answers_broken_off.to_string());
    row("refusals, sent again", tally.refused.to_string());
    row("returns", tally.returns.to_string());
    row("returns on an engine that held the context", tally.returns_on_cached_engine.to_string());
    row("reuse", format!("{reuse:.3}"));
    row("worst skew (max over mean, 1 s)", format!("{:.2}", tally.skew_max_over_mean));
    row("bookings", tally.bookings.to_string());
    row("resends answered with the stored outcome", tally.bookings_replayed.to_string());
    row("bookings that ran twice", tally.bookings_run_twice.to_string());
    row("control bytes a second a VM", format!("{:.0}", tally.control_bytes_per_s_per_vm));
    for fault in &tally.faults {
        println!("fault: {fault}");
    }
}

/// A directory for certificates, removed at the end.
struct Directory(std::path::PathBuf);

impl Directory {
    fn new() -> anyhow::Result<Self> {
        let name = format!("briarshift-demo-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).context("cannot make a directory for certificates")?;
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
