//! Figures of the throughput baseline, as `floor --json` writes them: CPU a message over messages in flight and over
//! destinations.

use super::drawing::{drawing_error, ChartLayout, CAPTION_SIZE, COLOURS, SIZE};
use anyhow::Context;
use plotters::prelude::*;
use serde_json::Value;
use std::path::Path;

/// A part that every complete baseline has.
const EDGE_AND_RELAY: &str = "beside";
/// Parts that are measured over a count, which has the part's name.
const COUNTED_PARTS: [&str; 2] = ["held", "destinations"];

pub(super) fn is_baseline(document: &Value) -> bool {
    document.get(EDGE_AND_RELAY).is_some()
}

pub(super) fn draw(document: &Value, out: &Path) -> anyhow::Result<()> {
    for part in COUNTED_PARTS {
        let rows = document[part].as_array().context("rows")?;
        let points: Vec<(f64, f64)> = rows.iter().filter_map(|row| point(row, part)).collect();
        draw_part(part, &points, &out.join(format!("floor-{part}.svg")))?;
    }
    Ok(())
}

fn point(row: &Value, part: &str) -> Option<(f64, f64)> {
    let count = row[part].as_f64()?;
    let cpu_us = row["cpu_us"].as_f64()?;
    Some((count, cpu_us))
}

fn draw_part(part: &str, points: &[(f64, f64)], path: &Path) -> anyhow::Result<()> {
    let highest_count = points.iter().map(|(count, _)| *count).fold(1.0, f64::max);
    let highest_cost = points.iter().map(|(_, cpu_us)| *cpu_us).fold(1.0, f64::max);
    let caption = format!("CPU a message by {part}");
    let layout = ChartLayout { caption: &caption, caption_size: CAPTION_SIZE, y_label_width: 55 };
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(drawing_error)?;
    let mut chart = layout
        .on(&area)
        .build_cartesian_2d((1.0..highest_count * 1.2).log_scale(), 0.0..highest_cost * 1.1)
        .map_err(drawing_error)?;
    chart.configure_mesh().x_desc(part).y_desc("us of CPU").draw().map_err(drawing_error)?;
    let line = LineSeries::new(points.iter().copied(), &COLOURS[0]);
    chart.draw_series(line).map_err(drawing_error)?;
    let marks = points.iter().map(|&point| Circle::new(point, 4, COLOURS[0].filled()));
    chart.draw_series(marks).map_err(drawing_error)?;
    area.present().map_err(drawing_error)
}
