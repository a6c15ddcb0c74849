//! Charts of a recorded stream of metrics, as `tail --record` writes it: the used share of each destination's
//! limit, the priority weight that is late or lost in each class, and the state of each destination.
//!
//! Only series that are named as Graphite paths are drawn. A line has the points of all couriers.

use super::drawing::{drawing_error, ChartLayout, CAPTION_SIZE, SIZE};
use anyhow::Context;
use linnetcart_telemetry::graphite::{self, NamedPoint};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Maximum number of lines in a chart; more could not be told apart.
const MAX_LINES: usize = 8;
/// The value of the field `state` of a destination in service.
const STATE_IN_SERVICE: f64 = 2.0;
/// Metrics of priority weight are in thousandths (`worth_late_milli`, `worth_lost_milli`).
const MILLI_PER_UNIT: f64 = 1000.0;

/// A value, and its time in seconds since the first point of the stream.
#[derive(Clone, Copy, Debug)]
struct Point {
    second: f64,
    value: f64,
}

/// The points of each line, by the line's name in the legend.
type Lines = BTreeMap<String, Vec<Point>>;

/// The lines of the three charts.
#[derive(Debug, Default)]
struct StreamLines {
    /// Used share of the limit, by destination.
    limit_used: Lines,
    /// Cumulative priority weight of late and of lost messages, by class.
    late_or_lost_weight: Lines,
    /// State, by destination: 2 in service, 1 recovering, 0 ejected.
    state: Lines,
}

impl StreamLines {
    fn parse(text: &str) -> anyhow::Result<StreamLines> {
        let mut lines = StreamLines::default();
        let mut first_second = u64::MAX;
        for (index, line) in text.lines().enumerate() {
            let point = graphite::decode_line(line);
            let NamedPoint { name, value, time_s: second } =
                point.with_context(|| format!("line {} is not a data point", index + 1))?;
            first_second = first_second.min(second);
            let second = (second - first_second) as f64;
            lines.add(&name, Point { second, value });
        }
        Ok(lines)
    }

    /// Adds a point to the line of its destination or class. Series that no chart shows are ignored.
    fn add(&mut self, name: &str, point: Point) {
        let Some((subject, field)) = name.rsplit_once('.') else { return };
        if let Some(destination) = destination_of(subject) {
            self.add_of_destination(destination, field, point);
        } else if let Some(class) = class_of(subject) {
            self.add_of_class(class, field, point);
        }
    }

    fn add_of_destination(&mut self, destination: &str, field: &str, point: Point) {
        match field {
            "limit_used_share" | "limit_own_share" => {
                add_point(&mut self.limit_used, destination.into(), point);
            }
            "state" => add_point(&mut self.state, destination.into(), point),
            _ => {}
        }
    }

    fn add_of_class(&mut self, class: &str, field: &str, point: Point) {
        let name = match field {
            "worth_late_milli" => format!("{class} late"),
            "worth_lost_milli" => format!("{class} lost"),
            _ => return,
        };
        let weight = Point { value: point.value / MILLI_PER_UNIT, ..point };
        add_point(&mut self.late_or_lost_weight, name, weight);
    }
}

/// The destination of a series, or `None` if the series is about something else, such as one class or route
/// of a destination.
fn destination_of(subject: &str) -> Option<&str> {
    let (_, destination) = subject.rsplit_once(".dest.")?;
    Some(destination).filter(|destination| !destination.contains('.'))
}

/// The class of a series, or `None` if the series is not about one class over all destinations.
fn class_of(subject: &str) -> Option<&str> {
    let (_, class) = subject.rsplit_once(".class.")?;
    Some(class).filter(|_| !subject.contains(".dest."))
}

fn add_point(lines: &mut Lines, name: String, point: Point) {
    lines.entry(name).or_default().push(point);
}

/// The [`MAX_LINES`] lines with the highest maxima.
fn lines_with_highest_maxima(lines: Lines) -> Lines {
    let mut ranked: Vec<(String, Vec<Point>)> = lines.into_iter().collect();
    let maximum = |points: &[Point]| points.iter().map(|point| point.value).reduce(f64::max).unwrap_or(0.0);
    ranked.sort_by(|(_, one), (_, other)| maximum(one).total_cmp(&maximum(other)));
    ranked.reverse();
    ranked.into_iter().take(MAX_LINES).collect()
}

/// The [`MAX_LINES`] lines with the lowest minima.
fn lines_with_lowest_minima(lines: Lines) -> Lines {
    let mut ranked: Vec<(String, Vec<Point>)> = lines.into_iter().collect();
    let minimum = |points: &[Point]| {
        points.iter().map(|point| point.value).reduce(f64::min).unwrap_or(STATE_IN_SERVICE)
    };
    ranked.sort_by(|(_, one), (_, other)| minimum(one).total_cmp(&minimum(other)));
    ranked.into_iter().take(MAX_LINES).collect()
}

/// Draws three charts of the recorded stream `text`: the used share of limits (`STEM-limits.svg`), the late
/// and lost priority weight (`STEM-worth.svg`) and the states of destinations (`STEM-states.svg`). `STEM` is
/// the name of `file` without its extension.
pub(super) fn draw(text: &str, file: &Path, out: &Path) -> anyhow::Result<()> {
    let StreamLines { limit_used, late_or_lost_weight, state } = StreamLines::parse(text)?;
    let stem = file.file_stem().map_or("stream".into(), |stem| stem.to_string_lossy());
    let draw_chart = |name: &str, caption: &str, lines: &Lines| {
        draw_lines(caption, lines, &out.join(format!("{stem}-{name}.svg")))
    };
    draw_chart("limits", "share of the limit used", &lines_with_highest_maxima(limit_used))?;
    draw_chart(
        "worth",
        "priority weight late and lost so far",
        &lines_with_highest_maxima(late_or_lost_weight),
    )?;
    draw_chart("states", "state: 2 in service, 1 recovering, 0 ejected", &lines_with_lowest_minima(state))
}

fn draw_lines(caption: &str, lines: &Lines, path: &Path) -> anyhow::Result<()> {
    let points = || lines.values().flatten();
    let last_second = points().map(|point| point.second).fold(1.0, f64::max);
    let highest_value = points().map(|point| point.value).fold(1.0, f64::max);
    let layout = ChartLayout { caption, caption_size: CAPTION_SIZE, y_label_width: 55 };
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(drawing_error)?;
    let mut chart = layout
        .on(&area)
        .build_cartesian_2d(0.0..last_second, 0.0..highest_value * 1.1)
        .map_err(drawing_error)?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(drawing_error)?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let line = points.iter().map(|point| (point.second, point.value));
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))
            .map_err(drawing_error)?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    let mut labels = chart.configure_series_labels();
    labels.border_style(BLACK).background_style(WHITE).draw().map_err(drawing_error)?;
    area.present().map_err(drawing_error)
}
