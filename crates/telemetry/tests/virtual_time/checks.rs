//! Comparison of the received series with the counts that the simulation keeps itself.

use crate::fixture::Simulation;
use linnetcart_telemetry::stream::SeriesValue;

impl Simulation {
    /// Returns the last point of a series at the Graphite receiver; `suffix` is the part of the series name
    /// after the courier's number.
    pub fn last_point(&self, suffix: &str) -> SeriesValue {
        self.receiver.stream.series[&format!("linnetcart.test.edge.3.{suffix}")]
    }

    /// Returns the last value of a series at the Graphite receiver; `suffix` is the part of the series name
    /// after the courier's number.
    pub fn last_value(&self, suffix: &str) -> f64 {
        self.last_point(suffix).value
    }

    /// Checks that at the Graphite receiver no counter fell and no timestamp went back.
    pub fn assert_no_regression(&self) {
        assert_eq!(self.receiver.stream.regressions, Vec::<String>::new());
    }

    /// Checks that Graphite and collectd have the counts of the simulation, and that no counter fell and no
    /// timestamp went back at either receiver.
    pub fn assert_counts_received(&self) {
        self.assert_no_regression();
        assert_eq!(self.collectd.regressions, Vec::<String>::new());
        for (suffix, &expected) in &self.counted {
            let name = format!("linnetcart.test.edge.3.{suffix}");
            assert_eq!(self.receiver.stream.value(&name), Some(expected as f64), "{name}");
            let (subject, metric) = suffix.rsplit_once('.').expect("a metric");
            let name = format!("{}.{metric}", subject.replace('.', "-"));
            assert_eq!(self.collectd.value(&name), Some(expected as f64), "{suffix} over collectd");
        }
    }
}
