//! Simulates the scenarios of `briarshift-model`, which put the fleet under its highest loads, in
//! virtual time.
//!
//! `cargo bench --bench load [-- SCENARIO]` runs each scenario, or only the named one, with a few
//! seeds. It prints the outcomes of the requests, with times in milliseconds, and plots the time to
//! the first event over the time of arrival into `target/load`.

use std::path::Path;

use briarshift_model::results::{Outcome, Results};
use briarshift_model::scenario::Scenario;
use briarshift_model::{fleet, scenario};
use briarshift_units::Span;
use plotters::prelude::{BLUE, ChartBuilder, IntoDrawingArea, LineSeries, RED, SVGBackend, WHITE};

/// Seeds that each scenario runs with.
const SEEDS: std::ops::Range<u64> = 1..4;
/// Folder of the plots.
const PLOT_FOLDER: &str = "target/load";

fn main() -> anyhow::Result<()> {
    std::fs::create_dir_all(PLOT_FOLDER)?;
    println!(
        "{:10} {:8} {:>6} {:>7} {:>6} {:>7} {:>6} {:>9} {:>9} {:>9} {:>9}",
        "scenario",
        "kind",
        "seen",
        "in time",
        "late",
        "refused",
        "failed",
        "first p50",
        "first p95",
        "whole p50",
        "whole p95"
    );
    let selected = std::env::args().skip(1).find(|arg| !arg.starts_with('-'));
    let is_selected =
        |scenario: &Scenario| selected.as_deref().is_none_or(|selected| selected == scenario.name);
    for scenario in scenario::all().into_iter().filter(is_selected) {
        let runs: Vec<_> = SEEDS.map(|seed| fleet::run(&scenario, seed)).collect();
        let results = merge(&runs);
        print_workloads(&scenario, &results);
        print_totals(&results);
        draw(&scenario, &results)?;
    }
    Ok(())
}

/// Merges the results of several runs.
fn merge(runs: &[Results]) -> Results {
    let mut merged = Results::default();
    for results in runs {
        merged.completions.extend(&results.completions);
        merged.own_tokens += results.own_tokens;
        merged.shared_tokens += results.shared_tokens;
        merged.reread_tokens += results.reread_tokens;
        merged.transferred_tokens += results.transferred_tokens;
        merged.sends += results.sends;
        merged.overloaded_sends += results.overloaded_sends;
        merged.store_calls += results.store_calls;
    }
    merged
}

/// Prints the outcomes and times of each workload.
fn print_workloads(scenario: &Scenario, results: &Results) {
    for (index, workload) in scenario.workloads.iter().enumerate() {
        let share = |outcome| results.share(Some(index), outcome);
        println!(
            "{:10} {:8} {:6} {:7.3} {:6.3} {:7.3} {:6.3} {:9} {:9} {:9} {:9}",
            scenario.name,
            workload.name,
            results.completions.iter().filter(|completion| completion.workload == index).count(),
            share(Outcome::InTime),
            share(Outcome::Late),
            share(Outcome::Refused),
            share(Outcome::Failed),
            results.first_event_quantile(index, 0.5).as_millis(),
            results.first_event_quantile(index, 0.95).as_millis(),
            results.duration_quantile(index, 0.5).as_millis(),
            results.duration_quantile(index, 0.95).as_millis(),
        );
    }
}

/// Prints the counts that aren't split by workload.
fn print_totals(results: &Results) {
    let overloaded_share = results.overloaded_sends as f64 / results.sends.max(1) as f64;
    println!(
        "           tokens read: {} of own parts, {} of shared ones, {} of these again; {} fetched; \
         sends over the load bound: {overloaded_share:.4}; store calls: {}",
        results.own_tokens,
        results.shared_tokens,
        results.reread_tokens,
        results.transferred_tokens,
        results.store_calls
    );
}

/// Plots the times to the first event: blue for answers in time, red for late ones.
fn draw(scenario: &Scenario, results: &Results) -> anyhow::Result<()> {
    let file = Path::new(PLOT_FOLDER).join(format!("{}.svg", scenario.name));
    let area = SVGBackend::new(&file, (900, 300)).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = |span: Span| span.as_secs_f64();
    let points = |outcome| {
        let completions =
            results.completions.iter().filter(move |completion| completion.outcome == outcome);
        let mut points: Vec<_> = completions
            .filter_map(|completion| {
                Some((completion.arrived_at.0 as f64 / 1e6, seconds(completion.first_event?)))
            })
            .collect();
        points.sort_by(|first, second| first.0.total_cmp(&second.0));
        points
    };
    let max_time = results
        .completions
        .iter()
        .filter_map(|completion| completion.first_event)
        .max()
        .unwrap_or_default();
    let end = 8.0 + seconds(scenario.duration);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: seconds to the first event", scenario.name), ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(8.0..end, 0.0..seconds(max_time))?;
    chart.configure_mesh().draw()?;
    chart.draw_series(LineSeries::new(points(Outcome::InTime), &BLUE))?;
    chart.draw_series(LineSeries::new(points(Outcome::Late), &RED))?;
    area.present()?;
    Ok(())
}
