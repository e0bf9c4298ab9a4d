//! Load at its worst, in virtual time: `cargo bench --bench load [-- SCENARIO]`.
//!
//! Plays each scenario of `briarshift-model` with a few seeds, prints what became
//! of the requests (times in milliseconds), and draws the time to the first event over the day into
//! `target/load`.

use std::path::Path;

use briarshift_model::results::{Outcome, Results};
use briarshift_model::scenario::Scenario;
use briarshift_model::{fleet, scenario};
use briarshift_units::Span;
use plotters::prelude::{BLUE, ChartBuilder, IntoDrawingArea, LineSeries, RED, SVGBackend, WHITE};

/// Seeds that each scenario is played with.
const SEEDS: std::ops::Range<u64> = 1..4;
/// Where the drawings go.
const FOLDER: &str = "target/load";

fn main() -> anyhow::Result<()> {
    std::fs::create_dir_all(FOLDER)?;
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
    let wanted = std::env::args().skip(1).find(|arg| !arg.starts_with('-'));
    let is_wanted =
        |scenario: &Scenario| wanted.as_deref().is_none_or(|wanted| wanted == scenario.name);
    for scenario in scenario::all().into_iter().filter(is_wanted) {
        let tallies: Vec<_> = SEEDS.map(|seed| fleet::run(&scenario, seed)).collect();
        let tally = join(&tallies);
        kinds(&scenario, &tally);
        whole(&tally);
        draw(&scenario, &tally)?;
    }
    Ok(())
}

fn join(tallies: &[Results]) -> Results {
    let mut all = Results::default();
    for tally in tallies {
        all.completions.extend(&tally.completions);
        all.own_tokens += tally.own_tokens;
        all.shared_tokens += tally.shared_tokens;
        all.reread_tokens += tally.reread_tokens;
        all.transferred_tokens += tally.transferred_tokens;
        all.sends += tally.sends;
        all.overloaded_sends += tally.overloaded_sends;
        all.store_calls += tally.store_calls;
    }
    all
}

fn kinds(scenario: &Scenario, tally: &Results) {
    for (index, load) in scenario.workloads.iter().enumerate() {
        let share = |fate| tally.share(Some(index), fate);
        println!(
            "{:10} {:8} {:6} {:7.3} {:6.3} {:7.3} {:6.3} {:9} {:9} {:9} {:9}",
            scenario.name,
            load.name,
            tally.completions.iter().filter(|ended| ended.workload == index).count(),
            share(Outcome::InTime),
            share(Outcome::Late),
            share(Outcome::Refused),
            share(Outcome::Failed),
            tally.first_event_quantile(index, 0.5).as_millis(),
            tally.first_event_quantile(index, 0.95).as_millis(),
            tally.duration_quantile(index, 0.5).as_millis(),
            tally.duration_quantile(index, 0.95).as_millis(),
        );
    }
}

fn whole(tally: &Results) {
    let over = tally.overloaded_sends as f64 / tally.sends.max(1) as f64;
    println!(
        "           tokens read: {} of own parts, {} of shared ones, {} of these again; {} fetched; \
         sends over the load bound: {over:.4}; store calls: {}",
        tally.own_tokens,
        tally.shared_tokens,
        tally.reread_tokens,
        tally.transferred_tokens,
        tally.store_calls
    );
}

/// Draws the times to the first event: blue in time, red late.
fn draw(scenario: &Scenario, tally: &Results) -> anyhow::Result<()> {
    let file = Path::new(FOLDER).join(format!("{}.svg", scenario.name));
    let area = SVGBackend::new(&file, (900, 300)).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = |span: Span| span.as_secs_f64();
    let points = |fate| {
        let ended = tally.completions.iter().filter(move |ended| ended.outcome == fate);
        let mut points: Vec<_> = ended
            .filter_map(|ended| {
                Some((ended.arrived_at.0 as f64 / 1e6, seconds(ended.first_event?)))
            })
            .collect();
        points.sort_by(|one, two| one.0.total_cmp(&two.0));
        points
    };
    let most =
        tally.completions.iter().filter_map(|ended| ended.first_event).max().unwrap_or_default();
    let end = 8.0 + seconds(scenario.duration);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: seconds to the first event", scenario.name), ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(8.0..end, 0.0..seconds(most))?;
    chart.configure_mesh().draw()?;
    chart.draw_series(LineSeries::new(points(Outcome::InTime), &BLUE))?;
    chart.draw_series(LineSeries::new(points(Outcome::Late), &RED))?;
    area.present()?;
    Ok(())
}
