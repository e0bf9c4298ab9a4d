//! Plots of reuse and skew, as SVG files under `target/policy/`.

use std::error::Error;
use std::fs;

use plotters::prelude::{
    BLUE, ChartBuilder, Circle, IntoDrawingArea, IntoFont, RED, SVGBackend, Text, WHITE,
};
use plotters::style::Color;

use crate::measure::Row;

/// Draws one plot for each scenario: a point for each run.
pub fn draw(rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/target/policy");
    fs::create_dir_all(folder)?;
    let mut scenarios: Vec<_> = rows.iter().map(|row| row.scenario.as_str()).collect();
    scenarios.dedup();
    for scenario in scenarios {
        let rows: Vec<_> = rows.iter().filter(|row| row.scenario == scenario).collect();
        one(&format!("{folder}/{scenario}.svg"), scenario, &rows)?;
    }
    Ok(())
}

fn one(path: &str, scenario: &str, rows: &[&Row]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (720, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let most = rows.iter().map(|row| row.skew_max_over_mean).fold(1.5, f64::max) + 0.2;
    let mut chart = ChartBuilder::on(&area)
        .caption(scenario, 20)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..1.05, 1.0..most)?;
    chart.configure_mesh().x_desc("reuse").y_desc("worst load over mean").draw()?;
    let mut last = "";
    for row in rows {
        let at = (row.reuse, row.skew_max_over_mean);
        let colour = if row.policy == "briarshift" { RED } else { BLUE };
        chart.draw_series([Circle::new(at, 3, colour.filled())])?;
        if row.policy != last {
            let font = ("sans-serif", 12).into_font();
            chart.draw_series([Text::new(row.policy.clone(), at, font)])?;
            last = &row.policy;
        }
    }
    area.present()?;
    Ok(())
}
