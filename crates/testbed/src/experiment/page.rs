//! What results show: tables for the terminal, charts, and one page of HTML that needs nothing else.

use super::measures::{Measure, MEASURES};
use super::plan::{text, Plan};
use super::results::{Head, Row};
use super::stats::{mean, paired, Mean};
use crate::charts::drawn;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

const SIZE: (u32, u32) = (720, 360);

/// Results by cell.
pub struct Cells<'a> {
    plan: &'a Plan,
    by_cell: BTreeMap<u64, Vec<&'a Row>>,
}

/// A comparison: the cell, the measure, and the difference to the base on the same seeds.
struct Compared {
    cell: u64,
    measure: usize,
    base: f64,
    difference: Mean,
}

fn shown(plan: &Plan) -> Vec<(usize, &'static Measure)> {
    let at = |name: &String| MEASURES.iter().enumerate().find(|(_, m)| m.name == name);
    plan.show.iter().filter_map(at).collect()
}

/// A figure as short as it stays meaningful.
fn short(x: f64) -> String {
    match x.abs() {
        a if !x.is_finite() || a == 0.0 => format!("{x}"),
        a if a >= 100.0 => format!("{x:.0}"),
        a if a >= 10.0 => format!("{x:.1}"),
        _ => format!("{x:.3}"),
    }
}

fn with_half(m: &Mean) -> String {
    if m.half.is_finite() {
        format!("{} ±{}", short(m.mean), short(m.half))
    } else {
        short(m.mean)
    }
}

impl<'a> Cells<'a> {
    /// Sorts results by cell.
    pub fn new(plan: &'a Plan, rows: &'a [Row]) -> Cells<'a> {
        let mut by_cell: BTreeMap<u64, Vec<&Row>> = BTreeMap::new();
        for row in rows {
            by_cell.entry(plan.run(row.run).0).or_default().push(row);
        }
        Cells { plan, by_cell }
    }

    fn mean(&self, cell: u64, measure: usize) -> Mean {
        let rows = self.by_cell.get(&cell).map_or(&[][..], Vec::as_slice);
        let values: Vec<f64> = rows.iter().map(|r| r.values[measure]).collect();
        mean(&values)
    }

    /// Differences on the same seeds to the base level, all else alike.
    fn compared(&self) -> Vec<Compared> {
        let Some(c) = &self.plan.compare else { return Vec::new() };
        let Some(at) = self.plan.factor.iter().position(|f| f.name == c.factor) else { return Vec::new() };
        let base = self.plan.factor[at].levels.iter().position(|l| *l == c.base);
        let cells: BTreeMap<Vec<usize>, u64> =
            self.by_cell.keys().map(|&cell| (self.plan.indices(cell), cell)).collect();
        let mut all = Vec::new();
        for (indices, &cell) in cells.iter().filter(|(i, _)| Some(i[at]) != base) {
            let mut other = indices.clone();
            other[at] = base.unwrap_or(0);
            let Some(base) = cells.get(&other) else { continue };
            let by_seed: BTreeMap<u64, &Row> = self.by_cell[base].iter().map(|r| (r.seed, *r)).collect();
            for (measure, _) in shown(self.plan) {
                let pair = |r: &&Row| Some((by_seed.get(&r.seed)?.values[measure], r.values[measure]));
                let pairs: Vec<(f64, f64)> = self.by_cell[&cell].iter().filter_map(pair).collect();
                let base = self.mean(*base, measure).mean;
                all.push(Compared { cell, measure, base, difference: paired(&pairs) });
            }
        }
        all.sort_by_key(|c| (c.measure, c.cell));
        all
    }

    fn heading(&self) -> Vec<String> {
        self.plan.factor.iter().map(|f| f.name.clone()).collect()
    }

    /// Rows of the table of means, the heading first.
    fn means(&self) -> Vec<Vec<String>> {
        let mut head = self.heading();
        head.push("runs".into());
        head.extend(shown(self.plan).iter().map(|(_, m)| m.name.to_owned()));
        let mut all = vec![head];
        for (&cell, rows) in &self.by_cell {
            let mut line = self.plan.levels(cell);
            line.push(rows.len().to_string());
            line.extend(shown(self.plan).iter().map(|(n, _)| with_half(&self.mean(cell, *n))));
            all.push(line);
        }
        all
    }

    /// Rows of the table of comparisons, the heading first.
    fn differences(&self) -> Vec<Vec<String>> {
        let mut head = vec!["measure".to_owned()];
        head.extend(self.heading());
        head.extend(["pairs", "base", "difference", ""].map(String::from));
        let mut all = vec![head];
        for c in self.compared() {
            let mut line = vec![MEASURES[c.measure].name.to_owned()];
            line.extend(self.plan.levels(c.cell));
            let verdict = if c.difference.clear() { "clear" } else { "" };
            let d = with_half(&c.difference);
            line.extend([c.difference.n.to_string(), short(c.base), d, verdict.to_owned()]);
            all.push(line);
        }
        all
    }

    /// Both tables for the terminal.
    pub fn tables(&self) -> String {
        let mut out = columns(&self.means());
        if let (Some(c), [_, _, ..]) = (&self.plan.compare, self.differences().as_slice()) {
            let _ = writeln!(out, "\nagainst {} = {}, on the same seeds:\n", c.factor, text(&c.base));
            out.push_str(&columns(&self.differences()));
        }
        out
    }

    /// A chart of a measure over the first factor, a line for each combination of the others.
    fn chart(&self, measure: usize) -> anyhow::Result<String> {
        let Some(first) = self.plan.factor.first() else { return Ok(String::new()) };
        let numbers: Option<Vec<f64>> = first
            .levels
            .iter()
            .map(|l| l.as_float().or_else(|| l.as_integer().map(|n| n as f64)).filter(|&x| x > 0.0))
            .collect();
        let wide = |v: &[f64]| {
            let (least, most) = bounds(v.iter().copied());
            most / least > 20.0
        };
        // Levels that differ much stand at their logarithms, names at even distances.
        let places: Vec<f64> = match &numbers {
            Some(v) if wide(v) => v.iter().map(|x| x.log10()).collect(),
            Some(v) => v.clone(),
            None => (0..first.levels.len()).map(|n| n as f64).collect(),
        };
        let mut lines: BTreeMap<String, Vec<(f64, Mean)>> = BTreeMap::new();
        for &cell in self.by_cell.keys() {
            let indices = self.plan.indices(cell);
            let name = self.plan.levels(cell)[1..].join(", ");
            lines.entry(name).or_default().push((places[indices[0]], self.mean(cell, measure)));
        }
        let reach = |m: &Mean| if m.half.is_finite() { m.half } else { 0.0 };
        let all = || lines.values().flatten().flat_map(|(_, m)| [m.mean - reach(m), m.mean + reach(m)]);
        let (low, high) = bounds(all());
        let room = ((high - low) * 0.08).max(1e-3);
        let (left, right) = bounds(places.iter().copied());
        let side = ((right - left) * 0.06).max(0.1);
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            area.fill(&WHITE).map_err(drawn)?;
            let m = &MEASURES[measure];
            let mut chart = ChartBuilder::on(&area)
                .caption(format!("{}: {}", m.name, m.about), ("sans-serif", 15))
                .margin(10)
                .x_label_area_size(35)
                .y_label_area_size(60)
                .build_cartesian_2d(left - side..right + side, low - 2.0 * room..high + room)
                .map_err(drawn)?;
            let none = |_: &f64| String::new();
            chart
                .configure_mesh()
                .x_label_formatter(&none)
                .disable_x_mesh()
                .x_desc(first.name.as_str())
                .draw()
                .map_err(drawn)?;
            let bottom = low - room;
            let levels = first.levels.iter().zip(&places);
            let names = levels.map(|(l, x)| Text::new(text(l), (*x, bottom), ("sans-serif", 12)));
            chart.draw_series(names).map_err(drawn)?;
            for (n, (name, points)) in lines.iter().enumerate() {
                let colour = Palette99::pick(n).to_rgba();
                let line = points.iter().map(|(x, m)| (*x, m.mean));
                let series =
                    chart.draw_series(LineSeries::new(line, colour.stroke_width(2))).map_err(drawn)?;
                if !name.is_empty() {
                    series
                        .label(name.as_str())
                        .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
                }
                let bars = points.iter().map(|(x, m)| {
                    let (from, to) = (m.mean - reach(m), m.mean + reach(m));
                    ErrorBar::new_vertical(*x, from, m.mean, to, colour.filled(), 8)
                });
                chart.draw_series(bars).map_err(drawn)?;
            }
            if lines.len() > 1 {
                let mut labels = chart.configure_series_labels();
                labels.border_style(BLACK).background_style(WHITE.mix(0.8)).draw().map_err(drawn)?;
            }
            area.present().map_err(drawn)?;
        }
        Ok(svg)
    }

    /// Charts of the measures shown: name and SVG.
    pub fn charts(&self) -> anyhow::Result<Vec<(&'static str, String)>> {
        shown(self.plan).into_iter().map(|(n, m)| Ok((m.name, self.chart(n)?))).collect()
    }

    /// All as one page.
    pub fn html(&self, head: &Head) -> anyhow::Result<String> {
        let plan = self.plan;
        let mut out = String::from(
            "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">\n<style>body{font:15px sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}th{background:#eee}pre{background:#f4f4f4;padding:1em}svg{margin:.5em}</style>\n",
        );
        let _ = writeln!(out, "<title>{0}</title>\n<h1>{0}</h1>", escaped(&plan.name));
        let _ = writeln!(out, "<p>{}</p>", escaped(&plan.about));
        let runs: usize = self.by_cell.values().map(Vec::len).sum();
        let last = plan.first_seed + plan.seeds - 1;
        let _ = writeln!(
            out,
            "<p>{runs} of {} runs, seeds {} to {last}; commit {}; <code>{}</code>. Figures are means with 95 % intervals (Student's t).</p>",
            plan.runs(),
            plan.first_seed,
            escaped(&head.commit),
            escaped(&head.command)
        );
        out.push_str(&html_table(&self.means()));
        if let (Some(c), [_, _, ..]) = (&plan.compare, self.differences().as_slice()) {
            let base = escaped(&text(&c.base));
            let _ = writeln!(out, "<h2>Against {} = {base}, on the same seeds</h2>", escaped(&c.factor));
            out.push_str(&html_table(&self.differences()));
        }
        out.push_str("<h2>Charts</h2>\n");
        for (_, svg) in self.charts()? {
            out.push_str(&svg);
        }
        let _ = writeln!(out, "<h2>Plan</h2>\n<pre>{}</pre>", escaped(&toml::to_string(plan)?));
        Ok(out + "</html>\n")
    }
}

fn bounds(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::MAX, f64::MIN), |(low, high), v| (low.min(v), high.max(v)))
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn html_table(rows: &[Vec<String>]) -> String {
    let mut out = String::from("<table>\n");
    for (n, row) in rows.iter().enumerate() {
        let tag = if n == 0 { "th" } else { "td" };
        let cells: String = row.iter().map(|c| format!("<{tag}>{}</{tag}>", escaped(c))).collect();
        let _ = writeln!(out, "<tr>{cells}</tr>");
    }
    out + "</table>\n"
}

/// Rows with their columns under each other.
fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let wide = |n: usize| rows.iter().filter_map(|r| r.get(n)).map(|c| c.chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..count).map(wide).collect();
    let mut out = String::new();
    for row in rows {
        let line: Vec<String> = row.iter().zip(&widths).map(|(c, w)| format!("{c:>w$}", w = *w)).collect();
        let _ = writeln!(out, "{}", line.join("  ").trim_end());
    }
    out
}
