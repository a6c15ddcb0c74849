//! A table of text cells, rendered for the terminal or as HTML.

use std::fmt::Write;

/// A heading and the rows below it; every row has as many cells as the heading.
pub(super) struct Table {
    heading: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(super) fn new(heading: Vec<String>) -> Table {
        Table { heading, rows: Vec::new() }
    }

    pub(super) fn add_row(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Whether there are no rows below the heading.
    pub(super) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The heading, then the rows.
    fn lines(&self) -> impl Iterator<Item = &Vec<String>> {
        std::iter::once(&self.heading).chain(&self.rows)
    }

    /// The table as text. Each column is right-aligned and as wide as its widest cell.
    pub(super) fn to_text(&self) -> String {
        let widths = self.column_widths();
        let mut text = String::new();
        for line in self.lines() {
            let padded = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}"));
            let padded: Vec<String> = padded.collect();
            let _ = writeln!(text, "{}", padded.join("  ").trim_end());
        }
        text
    }

    fn column_widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = Vec::new();
        for line in self.lines() {
            widths.resize(widths.len().max(line.len()), 0);
            for (width, cell) in widths.iter_mut().zip(line) {
                *width = cell.chars().count().max(*width);
            }
        }
        widths
    }

    /// The table as an HTML element.
    pub(super) fn to_html(&self) -> String {
        let mut html = String::from("<table>\n");
        write_html_row(&mut html, "th", &self.heading);
        for row in &self.rows {
            write_html_row(&mut html, "td", row);
        }
        html + "</table>\n"
    }
}

fn write_html_row(html: &mut String, tag: &str, row: &[String]) {
    let cells: String = row.iter().map(|cell| format!("<{tag}>{}</{tag}>", escape_html(cell))).collect();
    let _ = writeln!(html, "<tr>{cells}</tr>");
}

/// Escapes the characters that HTML interprets in text and in quoted attributes.
pub(super) fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
