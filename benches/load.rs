//! Load at its worst, in virtual time: `cargo bench --bench load [-- SCENARIO]`.
//!
//! Plays each scenario of `briarshift-model` with a few seeds, prints what became
//! of the requests (times in milliseconds), and draws the time to the first event over the day into
//! `target/load`.

use std::path::Path;

use briarshift_model::scenario::Scenario;
use briarshift_model::tally::{Fate, Tally};
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

fn join(tallies: &[Tally]) -> Tally {
    let mut all = Tally::default();
    for tally in tallies {
        all.ended.extend(&tally.ended);
        all.own += tally.own;
        all.read += tally.read;
        all.again += tally.again;
        all.fetched += tally.fetched;
        all.sends += tally.sends;
        all.over += tally.over;
        all.calls += tally.calls;
    }
    all
}

fn kinds(scenario: &Scenario, tally: &Tally) {
    for (index, load) in scenario.loads.iter().enumerate() {
        let share = |fate| tally.share(Some(index), fate);
        println!(
            "{:10} {:8} {:6} {:7.3} {:6.3} {:7.3} {:6.3} {:9} {:9} {:9} {:9}",
            scenario.name,
            load.name,
            tally.ended.iter().filter(|ended| ended.load == index).count(),
            share(Fate::InTime),
            share(Fate::Late),
            share(Fate::Refused),
            share(Fate::Failed),
            tally.first(index, 0.5).as_millis(),
            tally.first(index, 0.95).as_millis(),
            tally.whole(index, 0.5).as_millis(),
            tally.whole(index, 0.95).as_millis(),
        );
    }
}

fn whole(tally: &Tally) {
    let over = tally.over as f64 / tally.sends.max(1) as f64;
    println!(
        "           tokens read: {} of own parts, {} of shared ones, {} of these again; {} fetched; \
         sends over the load bound: {over:.4}; store calls: {}",
        tally.own, tally.read, tally.again, tally.fetched, tally.calls
    );
}

/// Draws the times to the first event: blue in time, red late.
fn draw(scenario: &Scenario, tally: &Tally) -> anyhow::Result<()> {
    let file = Path::new(FOLDER).join(format!("{}.svg", scenario.name));
    let area = SVGBackend::new(&file, (900, 300)).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = |span: Span| span.as_secs_f64();
    let points = |fate| {
        let ended = tally.ended.iter().filter(move |ended| ended.fate == fate);
        let mut points: Vec<_> = ended
            .filter_map(|ended| Some((ended.came.0 as f64 / 1e6, seconds(ended.first?))))
            .collect();
        points.sort_by(|one, two| one.0.total_cmp(&two.0));
        points
    };
    let most = tally.ended.iter().filter_map(|ended| ended.first).max().unwrap_or_default();
    let end = 8.0 + seconds(scenario.length);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: seconds to the first event", scenario.name), ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(40)
        .build_cartesian_2d(8.0..end, 0.0..seconds(most))?;
    chart.configure_mesh().draw()?;
    chart.draw_series(LineSeries::new(points(Fate::InTime), &BLUE))?;
    chart.draw_series(LineSeries::new(points(Fate::Late), &RED))?;
    area.present()?;
    Ok(())
}
