//! Figures of a run, as the stand-ins observed them.

use std::collections::{BTreeMap, BTreeSet};

use briarshift_standin::{engine, runner};
use briarshift_units::ChatKey;
use serde::Serialize;

use super::traffic::Stats;

/// Samples of load that make one window.
const WINDOW: usize = 10;
/// Mean load of a window below which its skew says nothing.
const MIN_MEAN: f64 = 1.0;

/// Load of the engines, sampled at a fixed pace.
#[derive(Debug, Default)]
pub struct Samples {
    rows: Vec<Vec<Option<u32>>>,
}

/// The demo's result.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Results {
    /// Chats held.
    pub chats: usize,
    /// Turns sent.
    pub answers: usize,
    /// Turns whose answer came whole.
    pub answers_whole: usize,
    /// Streams that broke off with an explicit error, and were sent again.
    pub answers_broken_off: usize,
    /// Refusals as not run, sent again.
    pub refused: usize,
    /// Runs of chats that had run before.
    pub returns: usize,
    /// Of these, runs on an engine that held the chat's context.
    pub returns_on_cached_engine: usize,
    /// Worst mean load of an engine over the mean of all, over 1 s windows.
    pub skew_max_over_mean: f64,
    /// Bookings that ran.
    pub bookings: usize,
    /// Resends answered with the stored outcome.
    pub bookings_replayed: usize,
    /// Bookings that ran more than once.
    pub bookings_run_twice: usize,
    /// Control bytes that a VM sent a second, by its own metrics.
    pub control_bytes_per_s_per_vm: f64,
    /// Whatever should not have happened.
    pub faults: Vec<String>,
}

impl Samples {
    /// Takes one sample; engines that no longer take work count as absent.
    pub fn record(&mut self, engines: &[engine::Server]) {
        let load = |engine: &engine::Server| {
            let absent = engine.crashed() || engine.log().left_ms.is_some();
            (!absent).then(|| engine.running())
        };
        self.rows.push(engines.iter().map(load).collect());
    }

    /// The worst ratio of an engine's load to the mean, over whole windows.
    pub fn skew(&self) -> f64 {
        self.rows.chunks_exact(WINDOW).map(skew).fold(1.0, f64::max)
    }
}

fn skew(window: &[Vec<Option<u32>>]) -> f64 {
    let columns = window.first().map_or(0, Vec::len);
    let means: Vec<f64> = (0..columns)
        .filter_map(|idx| {
            let loads: Option<Vec<u32>> = window.iter().map(|row| row[idx]).collect();
            loads.map(|loads| f64::from(loads.iter().sum::<u32>()) / loads.len() as f64)
        })
        .collect();
    let mean = means.iter().sum::<f64>() / means.len().max(1) as f64;
    if mean < MIN_MEAN {
        return 1.0;
    }
    means.into_iter().fold(0.0, f64::max) / mean
}

impl Results {
    /// Counts what the stand-ins logged.
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

    /// Whether every promise that the demo checks was kept.
    pub fn passed(&self) -> bool {
        self.faults.is_empty() && self.answers == self.answers_whole && self.bookings_run_twice == 0
    }
}

/// Runs of chats seen before, and how many of them found their context.
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
