//! The table of destinations, the most urgent first.

use super::series::DestinationSeries;
use linnetcart_telemetry::stream::{ReceivedNotification, Stream};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt::Write;

const MAX_ROWS: usize = 30;
const MAX_NOTIFICATIONS: usize = 5;
const MAX_FALLEN_COUNTS: usize = 5;
/// Values of the field `state`.
const STATE_IN_SERVICE: f64 = 2.0;
const STATE_WARMING_UP: f64 = 1.0;
const NO_VALUE: &str = "-";

/// A destination as seen by one courier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    courier: String,
    destination: String,
}

/// The last value of each field of a destination.
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

    fn limit_used(&self) -> f64 {
        self.get("limit_used_share").or_else(|| self.get("limit_own_share")).unwrap_or(0.0)
    }

    fn weight_late_or_lost(&self) -> f64 {
        let late = self.get("worth_late_milli").unwrap_or(0.0);
        let lost = self.get("worth_lost_milli").unwrap_or(0.0);
        late + lost
    }

    /// Orders ejected destinations first, then by the used share of the limit, then by priority weight late
    /// or lost.
    fn urgency(&self, other: &Row) -> Ordering {
        let by_state = self.state().total_cmp(&other.state());
        let by_limit = other.limit_used().total_cmp(&self.limit_used());
        let by_weight = other.weight_late_or_lost().total_cmp(&self.weight_late_or_lost());
        by_state.then(by_limit).then(by_weight)
    }

    fn state_text(&self) -> &'static str {
        match self.get("state") {
            Some(state) if state >= STATE_IN_SERVICE => "in",
            Some(state) if state >= STATE_WARMING_UP => "warming",
            Some(_) => "OUT",
            None => NO_VALUE,
        }
    }

    fn integer_text(&self, field: &str) -> String {
        self.get(field).map_or(NO_VALUE.into(), |value| format!("{value:.0}"))
    }

    /// The limit as text. An inferred limit is marked with `~`, since it is only the part of this courier.
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

/// Renders the most urgent destinations, totals of what was received, the last notifications, and counters
/// that fell.
pub fn table(stream: &Stream) -> String {
    let rows = rows(stream);
    let mut by_urgency: Vec<(&RowKey, &Row)> = rows.iter().collect();
    by_urgency.sort_by(|(_, one), (_, other)| one.urgency(other));
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
    let last_error = stream.last_error.as_ref().map_or(String::new(), |error| format!(", the last: {error}"));
    let _ = writeln!(
        text,
        "{} series, {} points, {} bytes; {} could not be read{last_error}",
        stream.series.len(),
        stream.points,
        stream.bytes,
        stream.invalid_items,
    );
    for notification in stream.notifications.iter().rev().take(MAX_NOTIFICATIONS) {
        let ReceivedNotification { subject, severity, text: message } = notification;
        let _ = writeln!(text, "notification ({severity}) {subject}: {message}");
    }
    for fallen in stream.regressions.iter().take(MAX_FALLEN_COUNTS) {
        let _ = writeln!(text, "A COUNT FELL: {fallen}");
    }
}
