//! The chart of a measure's means over the levels of the first factor, with one line for each combination of
//! the other factors' levels.

use super::cells::{Cells, ShownMeasure};
use super::intervals::Mean;
use super::plan::{level_text, Factor, Plan};
use crate::charts::drawing::{drawing_error, ChartLayout};
use crate::statistics::{maximum, minimum};
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Value;

/// Width and height of the chart in pixels.
const SIZE: (u32, u32) = (720, 360);
/// Font sizes in pixels.
const CAPTION_SIZE: u32 = 15;
const LEVEL_LABEL_SIZE: u32 = 12;
/// Numeric levels are placed on a logarithmic axis if highest / lowest exceeds this ratio.
const MAX_LINEAR_RATIO: f64 = 20.0;

/// A mean at its position on the horizontal axis.
struct Point {
    x: f64,
    mean: Mean,
}

impl Point {
    /// Half the width of the confidence interval; 0 for the mean of a single value, which has no interval.
    fn half_width(&self) -> f64 {
        if self.mean.half_width.is_finite() {
            self.mean.half_width
        } else {
            0.0
        }
    }

    /// The lower bound of the confidence interval.
    fn low(&self) -> f64 {
        self.mean.mean - self.half_width()
    }

    /// The upper bound of the confidence interval.
    fn high(&self) -> f64 {
        self.mean.mean + self.half_width()
    }
}

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The points of each line, by the levels of all factors but the first, joined by commas.
type Lines = BTreeMap<String, Vec<Point>>;

/// Draws the chart of a measure as SVG. The text is empty if the plan has no factor.
pub(super) fn draw(plan: &Plan, cells: &Cells, shown: ShownMeasure) -> anyhow::Result<String> {
    let Some(first_factor) = plan.factor.first() else { return Ok(String::new()) };
    let positions = level_positions(&first_factor.levels);
    let lines = lines(plan, cells, shown.index, &positions);
    let caption = format!("{}: {}", shown.measure.name, shown.measure.about);
    let mut svg = String::new();
    draw_svg(&mut svg, &caption, first_factor, &positions, &lines)?;
    Ok(svg)
}

fn draw_svg(
    svg: &mut String,
    caption: &str,
    first_factor: &Factor,
    positions: &[f64],
    lines: &Lines,
) -> anyhow::Result<()> {
    let y_axis = YAxis::of(lines);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(drawing_error)?;
    let layout = ChartLayout { caption, caption_size: CAPTION_SIZE, y_label_width: 60 };
    let mut chart =
        layout.on(&area).build_cartesian_2d(x_range(positions), y_axis.range).map_err(drawing_error)?;
    let no_label = |_: &f64| String::new();
    chart
        .configure_mesh()
        .x_label_formatter(&no_label)
        .disable_x_mesh()
        .x_desc(first_factor.name.as_str())
        .draw()
        .map_err(drawing_error)?;
    let levels = first_factor.levels.iter().zip(positions);
    let level_labels = levels.map(|(level, x)| {
        Text::new(level_text(level), (*x, y_axis.level_labels), ("sans-serif", LEVEL_LABEL_SIZE))
    });
    chart.draw_series(level_labels).map_err(drawing_error)?;
    draw_lines(&mut chart, lines)?;
    area.present().map_err(drawing_error)
}

/// Draws the means as lines with error bars for the confidence intervals, and a legend if there are several
/// lines.
fn draw_lines<'a, 'b: 'a>(chart: &mut Chart<'a, 'b>, lines: &Lines) -> anyhow::Result<()> {
    for (index, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let line = points.iter().map(|point| (point.x, point.mean.mean));
        let series =
            chart.draw_series(LineSeries::new(line, colour.stroke_width(2))).map_err(drawing_error)?;
        if !name.is_empty() {
            series.label(name.as_str()).legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
        }
        let intervals = points.iter().map(|point| {
            ErrorBar::new_vertical(point.x, point.low(), point.mean.mean, point.high(), colour.filled(), 8)
        });
        chart.draw_series(intervals).map_err(drawing_error)?;
    }
    if lines.len() > 1 {
        let mut labels = chart.configure_series_labels();
        labels.border_style(BLACK).background_style(WHITE.mix(0.8)).draw().map_err(drawing_error)?;
    }
    Ok(())
}

/// The horizontal position of each level. Positive numbers are placed at their value, or at their decimal
/// logarithm if `highest / lowest` exceeds [`MAX_LINEAR_RATIO`]. If any level is not a positive number, level
/// k is placed at k.
fn level_positions(levels: &[Value]) -> Vec<f64> {
    let numbers: Option<Vec<f64>> = levels.iter().map(positive_number).collect();
    let Some(numbers) = numbers else { return (0..levels.len()).map(|index| index as f64).collect() };
    let ratio = maximum(numbers.iter().copied()) / minimum(numbers.iter().copied());
    if ratio > MAX_LINEAR_RATIO {
        return numbers.iter().map(|number| number.log10()).collect();
    }
    numbers
}

fn positive_number(level: &Value) -> Option<f64> {
    let number = match level {
        Value::Float(number) => *number,
        Value::Integer(number) => *number as f64,
        _ => return None,
    };
    Some(number).filter(|&number| number > 0.0)
}

/// The means of a measure, grouped into lines. `positions` are those of the first factor's levels.
fn lines(plan: &Plan, cells: &Cells, measure: usize, positions: &[f64]) -> Lines {
    let mut lines = Lines::new();
    for cell in cells.cells() {
        let first_level = plan.level_indices(cell)[0];
        let other_levels = plan.levels(cell)[1..].join(", ");
        let point = Point { x: positions[first_level], mean: cells.mean(cell, measure) };
        lines.entry(other_levels).or_default().push(point);
    }
    lines
}

/// The range of the horizontal axis: all positions, and 6 % of their spread on each side.
fn x_range(positions: &[f64]) -> Range<f64> {
    let left = minimum(positions.iter().copied());
    let right = maximum(positions.iter().copied());
    let margin = ((right - left) * 0.06).max(0.1);
    left - margin..right + margin
}

struct YAxis {
    range: Range<f64>,
    /// The value on the vertical axis at which the names of the levels are written, below all intervals.
    level_labels: f64,
}

impl YAxis {
    fn of(lines: &Lines) -> YAxis {
        let points = || lines.values().flatten();
        let low = minimum(points().map(Point::low));
        let high = maximum(points().map(Point::high));
        let margin = ((high - low) * 0.08).max(1e-3);
        YAxis { range: low - 2.0 * margin..high + margin, level_labels: low - margin }
    }
}
