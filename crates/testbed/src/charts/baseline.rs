//! Charts of the throughput baseline, as `floor --json` writes it: CPU time per message over the number of
//! messages in flight, and over the number of destinations.

use super::drawing::{drawing_error, ChartLayout, CAPTION_SIZE, COLOURS, SIZE};
use anyhow::Context;
use plotters::prelude::*;
use serde_json::Value;
use std::path::Path;

/// The key of the comparison of courier and relay, which every complete baseline has.
const EDGE_AND_RELAY: &str = "beside";
/// Keys of the parts that are measured at several counts: of messages in flight, and of destinations. Each
/// row of a part has its count under the same key.
const COUNTED_PARTS: [&str; 2] = ["held", "destinations"];

/// Whether a document has the key [`EDGE_AND_RELAY`], as complete baselines do.
pub(super) fn is_baseline(document: &Value) -> bool {
    document.get(EDGE_AND_RELAY).is_some()
}

/// Draws a chart of each part of [`COUNTED_PARTS`] to the folder `out`.
pub(super) fn draw(document: &Value, out: &Path) -> anyhow::Result<()> {
    for part in COUNTED_PARTS {
        let rows = document[part].as_array().with_context(|| format!("`{part}` is not a list"))?;
        let points: Vec<Point> = rows.iter().filter_map(|row| parse_point(row, part)).collect();
        draw_part(part, &points, &out.join(format!("floor-{part}.svg")))?;
    }
    Ok(())
}

/// A point of a chart: one row of the baseline.
#[derive(Clone, Copy)]
struct Point {
    /// Number of messages in flight in the part `held`, of destinations in the part `destinations`.
    count: f64,
    /// CPU time per message, in microseconds.
    cpu_us: f64,
}

impl Point {
    fn coordinates(self) -> (f64, f64) {
        (self.count, self.cpu_us)
    }
}

fn parse_point(row: &Value, part: &str) -> Option<Point> {
    let count = row[part].as_f64()?;
    let cpu_us = row["cpu_us"].as_f64()?;
    Some(Point { count, cpu_us })
}

/// Draws CPU time over a logarithmic axis of counts.
fn draw_part(part: &str, points: &[Point], path: &Path) -> anyhow::Result<()> {
    let highest_count = points.iter().map(|point| point.count).fold(1.0, f64::max);
    let highest_cost = points.iter().map(|point| point.cpu_us).fold(1.0, f64::max);
    let caption = format!("CPU time per message by {part}");
    let layout = ChartLayout { caption: &caption, caption_size: CAPTION_SIZE, y_label_width: 55 };
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(drawing_error)?;
    let mut chart = layout
        .on(&area)
        .build_cartesian_2d((1.0..highest_count * 1.2).log_scale(), 0.0..highest_cost * 1.1)
        .map_err(drawing_error)?;
    chart.configure_mesh().x_desc(part).y_desc("CPU time in us").draw().map_err(drawing_error)?;
    let line = LineSeries::new(points.iter().map(|point| point.coordinates()), &COLOURS[0]);
    chart.draw_series(line).map_err(drawing_error)?;
    let marks = points.iter().map(|point| Circle::new(point.coordinates(), 4, COLOURS[0].filled()));
    chart.draw_series(marks).map_err(drawing_error)?;
    area.present().map_err(drawing_error)
}
