//! Plots of cache reuse and skew, as SVG files in `target/policy/`.

use std::error::Error;
use std::fs;

use plotters::prelude::{
    BLUE, ChartBuilder, Circle, IntoDrawingArea, IntoFont, RED, SVGBackend, Text, WHITE,
};
use plotters::style::Color;

use crate::results::Results;

/// Draws one plot for each scenario, with a point for each run.
pub fn draw(runs: &[Results]) -> Result<(), Box<dyn Error>> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/target/policy");
    fs::create_dir_all(folder)?;
    let mut scenarios: Vec<_> = runs.iter().map(|run| run.scenario.as_str()).collect();
    scenarios.dedup();
    for scenario in scenarios {
        let runs: Vec<_> = runs.iter().filter(|run| run.scenario == scenario).collect();
        draw_scenario(&format!("{folder}/{scenario}.svg"), scenario, &runs)?;
    }
    Ok(())
}

/// Draws the plot of one scenario. The first point of each policy gets the policy's name.
fn draw_scenario(path: &str, scenario: &str, runs: &[&Results]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (720, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let max_skew = runs.iter().map(|run| run.skew_max_over_mean).fold(1.5, f64::max) + 0.2;
    let mut chart = ChartBuilder::on(&area)
        .caption(scenario, 20)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..1.05, 1.0..max_skew)?;
    chart.configure_mesh().x_desc("reuse").y_desc("worst load over mean").draw()?;
    let mut last_policy = "";
    for run in runs {
        let position = (run.reuse, run.skew_max_over_mean);
        let colour = if run.policy == "briarshift" { RED } else { BLUE };
        chart.draw_series([Circle::new(position, 3, colour.filled())])?;
        if run.policy != last_policy {
            let font = ("sans-serif", 12).into_font();
            chart.draw_series([Text::new(run.policy.clone(), position, font)])?;
            last_policy = &run.policy;
        }
    }
    area.present()?;
    Ok(())
}
