//! The results of a demo run, from the logs of the stand-ins and the callers' counts.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_standin::{engine, runner};
use briarshift_units::ChatKey;
use serde::Serialize;

use super::traffic::Stats;

/// Number of load samples in a window.
const WINDOW_SAMPLES: usize = 10;
/// A window with a smaller mean load is left out: its skew is not meaningful.
const MIN_MEAN_LOAD: f64 = 1.0;

/// Load of each engine, sampled at a fixed interval.
#[derive(Debug, Default)]
pub struct Samples {
    rows: Vec<Vec<Option<u32>>>,
}

/// The results of a demo run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Results {
    /// Number of chats.
    pub chats: usize,
    /// Turns that were answered or given up.
    pub answers: usize,
    /// Turns with a complete answer that has the expected text.
    pub answers_whole: usize,
    /// Streams that ended with an error event; their turn was sent again.
    pub answers_broken_off: usize,
    /// Refused requests, which were sent again.
    pub refused: usize,
    /// Runs of returning chats.
    pub returns: usize,
    /// Of these, runs on an engine that had the chat's context in its cache.
    pub returns_on_cached_engine: usize,
    /// Largest ratio of an engine's mean load to the mean of all engines, in any window
    /// of 1 s.
    pub skew_max_over_mean: f64,
    /// Bookings that ran.
    pub bookings: usize,
    /// Resent bookings that were answered with the stored outcome.
    pub bookings_replayed: usize,
    /// Bookings that ran more than once.
    pub bookings_run_twice: usize,
    /// Mean bytes of control traffic that a VM sent per second, from the VMs' metrics.
    pub control_bytes_per_s_per_vm: f64,
    /// Descriptions of unexpected results, such as an answer with a wrong text.
    pub faults: Vec<String>,
}

impl Samples {
    /// Records one sample. Engines that crashed or are leaving count as absent.
    pub fn record(&mut self, engines: &[engine::Server]) {
        let load = |engine: &engine::Server| {
            let absent = engine.crashed() || engine.log().left_ms.is_some();
            (!absent).then(|| engine.running())
        };
        self.rows.push(engines.iter().map(load).collect());
    }

    /// Returns the largest ratio of an engine's load to the mean of all engines, over
    /// all complete windows.
    pub fn skew(&self) -> f64 {
        self.rows.chunks_exact(WINDOW_SAMPLES).map(skew).fold(1.0, f64::max)
    }
}

/// Returns the skew of a window, of the engines that are present in all its samples.
fn skew(window: &[Vec<Option<u32>>]) -> f64 {
    let columns = window.first().map_or(0, Vec::len);
    let means: Vec<f64> = (0..columns)
        .filter_map(|idx| {
            let loads: Option<Vec<u32>> = window.iter().map(|row| row[idx]).collect();
            loads.map(|loads| f64::from(loads.iter().sum::<u32>()) / loads.len() as f64)
        })
        .collect();
    let mean = means.iter().sum::<f64>() / means.len().max(1) as f64;
    if mean < MIN_MEAN_LOAD {
        return 1.0;
    }
    means.into_iter().fold(0.0, f64::max) / mean
}

impl Results {
    /// Computes the results from the callers' counts and the logs of the stand-ins.
    pub fn new(
        chats: usize,
        stats: &Stats,
        engines: &[engine::Server],
        runners: &[runner::Server],
        samples: &Samples,
        control_bytes_per_s_per_vm: f64,
    ) -> Self {
        let (returns, returns_on_cached_engine) = returns(engines);
        let mut runs = BTreeMap::<_, u32>::new();
        for (booking, count) in runners.iter().flat_map(|runner| runner.log().bookings) {
            *runs.entry(booking).or_default() += count;
        }
        Self {
            chats,
            answers: stats.turns,
            answers_whole: stats.complete,
            answers_broken_off: stats.broken_off,
            refused: stats.refused,
            returns,
            returns_on_cached_engine,
            skew_max_over_mean: samples.skew(),
            bookings: runs.len(),
            bookings_replayed: stats.replayed,
            bookings_run_twice: runs.values().filter(|&&count| 1 < count).count(),
            control_bytes_per_s_per_vm,
            faults: stats.faults.clone(),
        }
    }

    /// Returns true if all turns were answered completely, no booking ran more than once
    /// and there was no other fault.
    pub fn passed(&self) -> bool {
        self.faults.is_empty() && self.answers == self.answers_whole && self.bookings_run_twice == 0
    }
}

/// Returns the number of runs of returning chats, and how many of them found the
/// chat's context in the engine's cache.
fn returns(engines: &[engine::Server]) -> (usize, usize) {
    let mut runs: Vec<_> = engines.iter().flat_map(|engine| engine.log().runs).collect();
    runs.sort_by_key(|run| run.started_ms);
    let mut known = BTreeSet::<ChatKey>::new();
    let (mut returns, mut cached) = (0, 0);
    for run in runs {
        let Some(chat) = run.chat else { continue };
        if known.insert(chat) {
            continue;
        }
        returns += 1;
        cached += usize::from(run.cached());
    }
    (returns, cached)
}
