//! What results show: tables for the terminal, charts, and one page of HTML that needs nothing else.

use super::chart;
use super::intervals::{mean, paired_difference, Mean};
use super::measures::{Measure, MEASURES};
use super::plan::{level_text, Compare, Plan};
use super::results::{Header, Row};
use std::collections::BTreeMap;
use std::fmt::Write;

const PAGE_START: &str = "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">\n<style>body{font:15px sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}th{background:#eee}pre{background:#f4f4f4;padding:1em}svg{margin:.5em}</style>\n";

/// Rows of cells, the heading first.
type Table = Vec<Vec<String>>;

/// Results by cell.
pub struct Cells<'a> {
    plan: &'a Plan,
    by_cell: BTreeMap<u64, Vec<&'a Row>>,
}

/// A chart of a measure.
#[derive(Clone, Debug)]
pub struct MeasureChart {
    /// The measure's name.
    pub measure: &'static str,
    /// The chart.
    pub svg: String,
}

/// A measure that is shown, and its place among all.
#[derive(Clone, Copy)]
pub(super) struct ShownMeasure {
    pub(super) index: usize,
    pub(super) measure: &'static Measure,
}

/// A comparison: the cell, the measure, and the difference to the base on the same seeds.
struct Comparison {
    cell: u64,
    measure: usize,
    base: f64,
    difference: Mean,
}

fn shown_measures(plan: &Plan) -> Vec<ShownMeasure> {
    let find = |name: &String| {
        let index = MEASURES.iter().position(|measure| measure.name == name)?;
        Some(ShownMeasure { index, measure: &MEASURES[index] })
    };
    plan.show.iter().filter_map(find).collect()
}

/// A figure as short as it stays meaningful.
fn short(value: f64) -> String {
    let magnitude = value.abs();
    if !value.is_finite() || magnitude == 0.0 {
        format!("{value}")
    } else if magnitude >= 100.0 {
        format!("{value:.0}")
    } else if magnitude >= 10.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.3}")
    }
}

fn with_interval(mean: &Mean) -> String {
    if mean.half_width.is_finite() {
        format!("{} ±{}", short(mean.mean), short(mean.half_width))
    } else {
        short(mean.mean)
    }
}

impl<'a> Cells<'a> {
    /// Sorts results by cell.
    pub fn new(plan: &'a Plan, rows: &'a [Row]) -> Cells<'a> {
        let mut by_cell: BTreeMap<u64, Vec<&Row>> = BTreeMap::new();
        for row in rows {
            by_cell.entry(plan.run(row.run).cell).or_default().push(row);
        }
        Cells { plan, by_cell }
    }

    /// The mean of a measure over the seeds of a cell.
    pub(super) fn mean(&self, cell: u64, measure: usize) -> Mean {
        let rows = self.by_cell.get(&cell).into_iter().flatten();
        let values: Vec<f64> = rows.map(|row| row.values[measure]).collect();
        mean(&values)
    }

    /// Cells that have results.
    pub(super) fn cells(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_cell.keys().copied()
    }

    /// Differences on the same seeds to the base level, all else alike, by measure.
    fn comparisons(&self) -> Vec<Comparison> {
        let Some(Compare { factor, base }) = &self.plan.compare else { return Vec::new() };
        let factors = &self.plan.factor;
        let Some(compared) = factors.iter().position(|other| other.name == *factor) else {
            return Vec::new();
        };
        let base_level = factors[compared].levels.iter().position(|level| level == base);
        let by_levels: BTreeMap<Vec<usize>, u64> =
            self.cells().map(|cell| (self.plan.level_indices(cell), cell)).collect();
        let mut comparisons = Vec::new();
        for (levels, &cell) in &by_levels {
            if Some(levels[compared]) == base_level {
                continue;
            }
            let mut base_levels = levels.clone();
            base_levels[compared] = base_level.unwrap_or(0);
            if let Some(&base_cell) = by_levels.get(&base_levels) {
                let shown = shown_measures(self.plan).into_iter();
                comparisons.extend(shown.map(|shown| self.compare(cell, base_cell, shown.index)));
            }
        }
        comparisons.sort_by_key(|comparison| (comparison.measure, comparison.cell));
        comparisons
    }

    fn compare(&self, cell: u64, base_cell: u64, measure: usize) -> Comparison {
        let base_by_seed: BTreeMap<u64, f64> =
            self.by_cell[&base_cell].iter().map(|row| (row.seed, row.values[measure])).collect();
        let mut base_values = Vec::new();
        let mut values = Vec::new();
        for row in &self.by_cell[&cell] {
            if let Some(&base) = base_by_seed.get(&row.seed) {
                base_values.push(base);
                values.push(row.values[measure]);
            }
        }
        let difference = paired_difference(&base_values, &values);
        Comparison { cell, measure, base: self.mean(base_cell, measure).mean, difference }
    }

    fn factor_names(&self) -> Vec<String> {
        self.plan.factor.iter().map(|factor| factor.name.clone()).collect()
    }

    fn means_table(&self) -> Table {
        let shown = shown_measures(self.plan);
        let mut heading = self.factor_names();
        heading.push("runs".into());
        heading.extend(shown.iter().map(|shown| shown.measure.name.to_owned()));
        let mut table = vec![heading];
        for (&cell, rows) in &self.by_cell {
            let mut line = self.plan.levels(cell);
            line.push(rows.len().to_string());
            line.extend(shown.iter().map(|shown| with_interval(&self.mean(cell, shown.index))));
            table.push(line);
        }
        table
    }

    fn comparison_table(&self) -> Table {
        let mut heading = vec!["measure".to_owned()];
        heading.extend(self.factor_names());
        heading.extend(["pairs", "base", "difference", ""].map(String::from));
        let mut table = vec![heading];
        for comparison in self.comparisons() {
            let difference = &comparison.difference;
            let verdict = if difference.excludes_zero() { "clear" } else { "" };
            let mut line = vec![MEASURES[comparison.measure].name.to_owned()];
            line.extend(self.plan.levels(comparison.cell));
            line.push(difference.count.to_string());
            line.push(short(comparison.base));
            line.push(with_interval(difference));
            line.push(verdict.to_owned());
            table.push(line);
        }
        table
    }

    /// The comparison and its table, if anything could be compared.
    fn comparison(&self) -> Option<(&Compare, Table)> {
        let compare = self.plan.compare.as_ref()?;
        let table = self.comparison_table();
        let has_rows = table.len() > 1;
        has_rows.then_some((compare, table))
    }

    /// Both tables for the terminal.
    pub fn tables(&self) -> String {
        let mut text = text_table(&self.means_table());
        if let Some((compare, table)) = self.comparison() {
            let base = level_text(&compare.base);
            let _ = writeln!(text, "\nagainst {} = {base}, on the same seeds:\n", compare.factor);
            text.push_str(&text_table(&table));
        }
        text
    }

    /// Charts of the measures shown.
    pub fn charts(&self) -> anyhow::Result<Vec<MeasureChart>> {
        let mut charts = Vec::new();
        for shown in shown_measures(self.plan) {
            let svg = chart::draw(self.plan, self, shown)?;
            charts.push(MeasureChart { measure: shown.measure.name, svg });
        }
        Ok(charts)
    }

    /// Everything as one page.
    pub fn html(&self, header: &Header) -> anyhow::Result<String> {
        let mut page = String::from(PAGE_START);
        self.write_introduction(&mut page, header);
        page.push_str(&html_table(&self.means_table()));
        if let Some((compare, table)) = self.comparison() {
            let factor = escape(&compare.factor);
            let base = escape(&level_text(&compare.base));
            let _ = writeln!(page, "<h2>Against {factor} = {base}, on the same seeds</h2>");
            page.push_str(&html_table(&table));
        }
        page.push_str("<h2>Charts</h2>\n");
        for chart in self.charts()? {
            page.push_str(&chart.svg);
        }
        let plan = escape(&toml::to_string(self.plan)?);
        let _ = writeln!(page, "<h2>Plan</h2>\n<pre>{plan}</pre>");
        Ok(page + "</html>\n")
    }

    fn write_introduction(&self, page: &mut String, header: &Header) {
        let plan = self.plan;
        let title = escape(&plan.name);
        let runs: usize = self.by_cell.values().map(Vec::len).sum();
        let last_seed = plan.first_seed + plan.seeds - 1;
        let _ = writeln!(page, "<title>{title}</title>\n<h1>{title}</h1>");
        let _ = writeln!(page, "<p>{}</p>", escape(&plan.about));
        let _ = writeln!(
            page,
            "<p>{runs} of {} runs, seeds {} to {last_seed}; commit {}; <code>{}</code>. Figures are means with 95 % intervals (Student's t).</p>",
            plan.runs(),
            plan.first_seed,
            escape(&header.commit),
            escape(&header.command)
        );
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn html_table(table: &Table) -> String {
    let mut html = String::from("<table>\n");
    for (index, row) in table.iter().enumerate() {
        let tag = if index == 0 { "th" } else { "td" };
        let cells: String = row.iter().map(|cell| format!("<{tag}>{}</{tag}>", escape(cell))).collect();
        let _ = writeln!(html, "<tr>{cells}</tr>");
    }
    html + "</table>\n"
}

/// A table whose columns are as wide as their widest cell.
fn text_table(table: &Table) -> String {
    let mut widths: Vec<usize> = Vec::new();
    for row in table {
        widths.resize(widths.len().max(row.len()), 0);
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    let mut text = String::new();
    for row in table {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}")).collect();
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}
