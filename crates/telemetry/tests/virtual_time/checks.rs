//! Comparison of what the receivers received with what was counted independently.

use crate::fixture::Simulation;
use linnetcart_telemetry::stream::SeriesValue;

impl Simulation {
    /// Returns the last value of a series at the Graphite receiver, with its time.
    pub fn last_point(&self, end: &str) -> SeriesValue {
        self.receiver.stream.series[&format!("linnetcart.test.edge.3.{end}")]
    }

    /// Returns the last value of a series at the Graphite receiver.
    pub fn last_value(&self, end: &str) -> f64 {
        self.last_point(end).value
    }

    /// Checks that no series fell at the Graphite receiver.
    pub fn assert_no_regression(&self) {
        assert_eq!(self.receiver.stream.regressions, Vec::<String>::new());
    }

    /// Checks that both receivers have the independent counts, and that no series fell at either.
    pub fn assert_counts_received(&self) {
        self.assert_no_regression();
        assert_eq!(self.collectd.regressions, Vec::<String>::new());
        for (end, &expected) in &self.counted {
            let name = format!("linnetcart.test.edge.3.{end}");
            assert_eq!(self.receiver.stream.value(&name), Some(expected as f64), "{name}");
            let (subject, metric) = end.rsplit_once('.').expect("a metric");
            let name = format!("{}.{metric}", subject.replace('.', "-"));
            assert_eq!(self.collectd.value(&name), Some(expected as f64), "{end} over collectd");
        }
    }
}
