//! Renders the results of an experiment: tables for the terminal, charts, and one self-contained HTML page.

use super::cells::{shown_measures, Cells, Comparison};
use super::chart;
use super::intervals::Mean;
use super::measures::MEASURES;
use super::plan::{level_text, Compare};
use super::results::Header;
use super::table::{escape_html, Table};
use std::fmt::Write;

const PAGE_START: &str = "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">\n<style>\
body{font:15px sans-serif;margin:2em;max-width:75em}\
table{border-collapse:collapse;margin:1em 0}\
td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}\
th{background:#eee}\
pre{background:#f4f4f4;padding:1em}\
svg{margin:.5em}\
</style>\n";

/// A chart of a measure.
#[derive(Clone, Debug)]
pub struct MeasureChart {
    /// The measure's name.
    pub measure: &'static str,
    /// The chart as an SVG document; empty if the plan has no factor.
    pub svg: String,
}

/// The comparison that a plan asks for, and the table of its results.
struct ComparisonSection<'a> {
    compare: &'a Compare,
    table: Table,
}

/// Formats a number with no decimal places from 100, one from 10, and three below.
fn format_number(value: f64) -> String {
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

/// Formats a mean as `mean ±half_width`, or as the mean alone if it has no interval.
fn format_mean(mean: &Mean) -> String {
    if mean.half_width.is_finite() {
        format!("{} ±{}", format_number(mean.mean), format_number(mean.half_width))
    } else {
        format_number(mean.mean)
    }
}

impl Cells<'_> {
    fn factor_names(&self) -> Vec<String> {
        self.plan.factor.iter().map(|factor| factor.name.clone()).collect()
    }

    /// A row for each cell: its levels, its number of runs, and the mean of each shown measure.
    fn means_table(&self) -> Table {
        let shown = shown_measures(self.plan);
        let mut heading = self.factor_names();
        heading.push("runs".into());
        heading.extend(shown.iter().map(|shown| shown.measure.name.to_owned()));
        let mut table = Table::new(heading);
        for cell in self.cells() {
            let mut row = self.plan.levels(cell);
            row.push(self.run_count(cell).to_string());
            row.extend(shown.iter().map(|shown| format_mean(&self.mean(cell, shown.index))));
            table.add_row(row);
        }
        table
    }

    /// A row for each measure and cell: the mean of the base cell and the mean paired difference to it.
    fn comparison_table(&self) -> Table {
        let mut heading = vec!["measure".to_owned()];
        heading.extend(self.factor_names());
        heading.extend(["pairs", "base", "difference", ""].map(String::from));
        let mut table = Table::new(heading);
        for comparison in self.comparisons() {
            table.add_row(self.comparison_row(&comparison));
        }
        table
    }

    fn comparison_row(&self, comparison: &Comparison) -> Vec<String> {
        let difference = &comparison.difference;
        let verdict = if difference.excludes_zero() { "clear" } else { "" };
        let mut row = vec![MEASURES[comparison.measure].name.to_owned()];
        row.extend(self.plan.levels(comparison.cell));
        row.push(difference.count.to_string());
        row.push(format_number(comparison.base));
        row.push(format_mean(difference));
        row.push(verdict.to_owned());
        row
    }

    /// Returns the comparison, or `None` if the plan asks for none or no cell has a base cell with results.
    fn comparison_section(&self) -> Option<ComparisonSection<'_>> {
        let compare = self.plan.compare.as_ref()?;
        let table = self.comparison_table();
        if table.is_empty() {
            return None;
        }
        Some(ComparisonSection { compare, table })
    }

    /// The tables of the means and of the comparison as text for the terminal.
    pub fn tables(&self) -> String {
        let mut text = self.means_table().to_text();
        if let Some(ComparisonSection { compare, table }) = self.comparison_section() {
            let base = level_text(&compare.base);
            let _ = writeln!(text, "\nagainst {} = {base}, on the same seeds:\n", compare.factor);
            text.push_str(&table.to_text());
        }
        text
    }

    /// One chart for each measure that the plan shows.
    pub fn charts(&self) -> anyhow::Result<Vec<MeasureChart>> {
        let mut charts = Vec::new();
        for shown in shown_measures(self.plan) {
            let svg = chart::draw(self.plan, self, shown)?;
            charts.push(MeasureChart { measure: shown.measure.name, svg });
        }
        Ok(charts)
    }

    /// The tables, the charts and the plan as one HTML page that refers to no other file.
    pub fn html(&self, header: &Header) -> anyhow::Result<String> {
        let mut page = String::from(PAGE_START);
        self.write_introduction(&mut page, header);
        page.push_str(&self.means_table().to_html());
        if let Some(ComparisonSection { compare, table }) = self.comparison_section() {
            let factor = escape_html(&compare.factor);
            let base = escape_html(&level_text(&compare.base));
            let _ = writeln!(page, "<h2>Against {factor} = {base}, on the same seeds</h2>");
            page.push_str(&table.to_html());
        }
        page.push_str("<h2>Charts</h2>\n");
        for chart in self.charts()? {
            page.push_str(&chart.svg);
        }
        let plan = escape_html(&toml::to_string(self.plan)?);
        let _ = writeln!(page, "<h2>Plan</h2>\n<pre>{plan}</pre>");
        Ok(page + "</html>\n")
    }

    fn write_introduction(&self, page: &mut String, header: &Header) {
        let plan = self.plan;
        let title = escape_html(&plan.name);
        let runs = self.total_run_count();
        let last_seed = plan.first_seed + plan.seeds - 1;
        let _ = writeln!(page, "<title>{title}</title>\n<h1>{title}</h1>");
        let _ = writeln!(page, "<p>{}</p>", escape_html(&plan.about));
        let _ = writeln!(
            page,
            "<p>{runs} of {} runs, seeds {} to {last_seed}; commit {}; <code>{}</code>. \
             Values are means with 95 % confidence intervals (Student's t).</p>",
            plan.runs(),
            plan.first_seed,
            escape_html(&header.commit),
            escape_html(&header.command)
        );
    }
}
