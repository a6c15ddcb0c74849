//! The table of destinations. Ejected ones come first, then those that use most of their limit.

use super::series::DestinationSeries;
use linnetcart_telemetry::stream::{ReceivedNotification, Stream};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt::Write;

const MAX_ROWS: usize = 30;
const MAX_NOTIFICATIONS: usize = 5;
const MAX_REGRESSIONS: usize = 5;
/// Values of the field `state` of a destination; 0 is ejected.
const STATE_IN_SERVICE: f64 = 2.0;
const STATE_RECOVERING: f64 = 1.0;
/// The cell of a field that has not been received.
const NO_VALUE: &str = "-";

/// A destination and the courier that reports on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    courier: String,
    destination: String,
}

/// The last value of each field that a courier has reported about a destination.
#[derive(Clone, Debug, Default, PartialEq)]
struct Row {
    values: BTreeMap<String, f64>,
}

impl Row {
    fn get(&self, field: &str) -> Option<f64> {
        self.values.get(field).copied()
    }

    fn state(&self) -> f64 {
        self.get("state").unwrap_or(STATE_IN_SERVICE)
    }

    /// The used share of the limit: as the destination reports it, or else the courier's own attempts per
    /// second divided by the limit.
    fn limit_used(&self) -> f64 {
        self.get("limit_used_share").or_else(|| self.get("limit_own_share")).unwrap_or(0.0)
    }

    /// Priority weight of late and of lost messages, in thousandths.
    fn weight_late_or_lost(&self) -> f64 {
        let late = self.get("worth_late_milli").unwrap_or(0.0);
        let lost = self.get("worth_lost_milli").unwrap_or(0.0);
        late + lost
    }

    /// Orders rows by state, ejected ones first, then by descending used share of the limit, then by
    /// descending priority weight late or lost.
    fn cmp_urgency(&self, other: &Row) -> Ordering {
        let by_state = self.state().total_cmp(&other.state());
        let by_limit = other.limit_used().total_cmp(&self.limit_used());
        let by_weight = other.weight_late_or_lost().total_cmp(&self.weight_late_or_lost());
        by_state.then(by_limit).then(by_weight)
    }

    fn state_text(&self) -> &'static str {
        match self.get("state") {
            Some(state) if state >= STATE_IN_SERVICE => "in",
            Some(state) if state >= STATE_RECOVERING => "warming",
            Some(_) => "OUT",
            None => NO_VALUE,
        }
    }

    /// A field rounded to an integer.
    fn integer_text(&self, field: &str) -> String {
        self.get(field).map_or(NO_VALUE.into(), |value| format!("{value:.0}"))
    }

    /// The limit in calls per second: the one that the destination reports, or else the one that the courier
    /// has inferred, marked with `~` since it is only this courier's part.
    fn limit_text(&self) -> String {
        if let Some(limit) = self.get("limit_told") {
            return format!("{limit:.0}");
        }
        self.get("limit_inferred").map_or(NO_VALUE.into(), |limit| format!("~{limit:.0}"))
    }
}

fn rows(stream: &Stream) -> BTreeMap<RowKey, Row> {
    let mut rows: BTreeMap<RowKey, Row> = BTreeMap::new();
    for (name, last) in &stream.series {
        let Some(series) = DestinationSeries::parse(name) else { continue };
        let key = RowKey { courier: series.courier, destination: series.destination };
        rows.entry(key).or_default().values.insert(series.field, last.value);
    }
    rows
}

/// Renders the rows of the first destinations by urgency, totals of the received metrics, the last
/// notifications, and counters that decreased.
pub fn table(stream: &Stream) -> String {
    let rows = rows(stream);
    let mut by_urgency: Vec<(&RowKey, &Row)> = rows.iter().collect();
    by_urgency.sort_by(|(_, one), (_, other)| one.cmp_urgency(other));
    let mut text = String::new();
    write_heading(&mut text);
    for (key, row) in by_urgency.into_iter().take(MAX_ROWS) {
        write_row(&mut text, key, row);
    }
    if rows.len() > MAX_ROWS {
        let _ = writeln!(text, "... and {} others", rows.len() - MAX_ROWS);
    }
    write_summary(&mut text, stream);
    text
}

fn write_heading(text: &mut String) {
    let _ = writeln!(
        text,
        "{:<8}{:<28}{:<9}{:>8}{:>9}{:>7}{:>9}{:>9}{:>8}{:>9}{:>8}{:>9}",
        "courier",
        "destination",
        "state",
        "calls/s",
        "limit",
        "used",
        "taken",
        "in aim",
        "late",
        "refused",
        "failed",
        "p99 ms"
    );
}

fn write_row(text: &mut String, key: &RowKey, row: &Row) {
    let RowKey { courier, destination } = key;
    let calls = row.get("attempts_per_s").map_or(NO_VALUE.into(), |rate| format!("{rate:.1}"));
    let _ = writeln!(
        text,
        "{courier:<8}{destination:<28.27}{:<9}{calls:>8}{:>9}{:>6.0}%{:>9}{:>9}{:>8}{:>9}{:>8}{:>9}",
        row.state_text(),
        row.limit_text(),
        100.0 * row.limit_used(),
        row.integer_text("taken"),
        row.integer_text("in_aim"),
        row.integer_text("late"),
        row.integer_text("refused"),
        row.integer_text("failed"),
        row.integer_text("latency_p99_ms"),
    );
}

fn write_summary(text: &mut String, stream: &Stream) {
    let last_error =
        stream.last_error.as_ref().map_or(String::new(), |error| format!(", last error: {error}"));
    let _ = writeln!(
        text,
        "{} series, {} points, {} bytes; {} could not be decoded{last_error}",
        stream.series.len(),
        stream.points,
        stream.bytes,
        stream.invalid_items,
    );
    for notification in stream.notifications.iter().rev().take(MAX_NOTIFICATIONS) {
        let ReceivedNotification { subject, severity, text: message } = notification;
        let _ = writeln!(text, "notification ({severity}) {subject}: {message}");
    }
    for regression in stream.regressions.iter().take(MAX_REGRESSIONS) {
        let _ = writeln!(text, "A COUNT FELL: {regression}");
    }
}
