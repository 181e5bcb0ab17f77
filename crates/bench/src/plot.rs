//! Bar charts of the rows of an experiment.
//!
//! Each panel shows one measure of one scenario, with a bar for each policy, so that the product can be compared with
//! its baselines.

use std::{collections::BTreeMap, path::Path};

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use crate::report::BenchRow;

// Sizes are in pixels.
const PANEL_WIDTH: u32 = 420;
const PANEL_HEIGHT: u32 = 46;
const BAR_HEIGHT: i32 = 14;
const COLUMNS: u32 = 2;

/// Draws all rows of the experiment `name` to an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw(path: &Path, name: &str, rows: &[BenchRow]) -> Result<()> {
    let mut panels: BTreeMap<(&str, &str, &str), Vec<&BenchRow>> = BTreeMap::new();
    for row in rows {
        panels.entry((&row.scenario, &row.measure, row.unit)).or_default().push(row);
    }
    let bars = panels.values().map(Vec::len).max().unwrap_or(1) as u32;
    let height = PANEL_HEIGHT + bars * (BAR_HEIGHT as u32 + 4);
    let panel_rows = (panels.len() as u32).div_ceil(COLUMNS).max(1);
    let area = SVGBackend::new(path, (PANEL_WIDTH * COLUMNS, 30 + height * panel_rows));
    let area = area.into_drawing_area();
    draw_panels(&area, name, &panels, height)
        .map_err(|error| anyhow!("cannot draw the plot: {error}"))
}

type Panels<'a> = BTreeMap<(&'a str, &'a str, &'a str), Vec<&'a BenchRow>>;
type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw_panels(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    name: &str,
    panels: &Panels<'_>,
    height: u32,
) -> DrawResult {
    area.fill(&WHITE)?;
    let title = ("sans-serif", 16).into_font();
    area.draw(&Text::new(format!("bench {name}"), (10, 8), title))?;
    for (panel, ((scenario, measure, unit), rows)) in panels.iter().enumerate() {
        let left = (panel as u32 % COLUMNS * PANEL_WIDTH) as i32 + 10;
        let top = (30 + panel as u32 / COLUMNS * height) as i32;
        let label = format!("{scenario}: {measure} ({unit})");
        area.draw(&Text::new(label, (left, top), ("sans-serif", 12).into_font()))?;
        let max_value = rows.iter().map(|row| row.value).fold(f64::MIN_POSITIVE, f64::max);
        for (bar, row) in rows.iter().enumerate() {
            let y = top + 18 + bar as i32 * (BAR_HEIGHT + 4);
            let length = (row.value.max(0.0) / max_value * 180.0) as i32;
            let color =
                if row.policy == "product" { BLUE.filled() } else { BLACK.mix(0.35).filled() };
            let corners = [(left + 90, y), (left + 90 + length, y + BAR_HEIGHT)];
            area.draw(&Rectangle::new(corners, color))?;
            let font = || ("sans-serif", 11).into_font();
            area.draw(&Text::new(row.policy.clone(), (left, y + 2), font()))?;
            let value = format!("{:.4}", row.value);
            area.draw(&Text::new(value, (left + 280, y + 2), font()))?;
        }
    }
    area.present()?;
    Ok(())
}
