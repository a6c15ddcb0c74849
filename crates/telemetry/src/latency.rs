//! Latencies of one interval, for percentiles.

use crate::series::{Point, PointValue, SeriesSubject};
use hdrhistogram::Histogram;
use linnetcart::Time;

/// Latencies are recorded in units of this many nanoseconds.
const LATENCY_UNIT: Time = 100_000;
/// As many as can be read off a chart.
const SIGNIFICANT_DIGITS: u8 = 2;
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// The metrics that a report has of latencies, with their quantiles.
const PERCENTILES: [(&str, f64); 4] =
    [("latency_p50_ms", 0.5), ("latency_p95_ms", 0.95), ("latency_p99_ms", 0.99), ("latency_max_ms", 1.0)];

/// The latencies since the last report.
#[derive(Debug, Default)]
pub(crate) struct LatencyRecorder {
    /// None until there is a latency: most intervals of most destinations have none.
    histogram: Option<Histogram<u32>>,
}

impl LatencyRecorder {
    pub(crate) fn record(&mut self, elapsed: Time) {
        if self.histogram.is_none() {
            // hdrhistogram takes this number of digits: this cannot fail.
            self.histogram = Histogram::new(SIGNIFICANT_DIGITS).ok();
        }
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record((elapsed / LATENCY_UNIT).max(1));
        }
    }

    /// The percentiles of the latencies since the last call, if there were any.
    pub(crate) fn take_points(&mut self, subject: &SeriesSubject, points: &mut Vec<Point>) {
        let Some(histogram) = self.histogram.take() else { return };
        for (metric, quantile) in PERCENTILES {
            let units = histogram.value_at_quantile(quantile) as f64;
            let milliseconds = units * LATENCY_UNIT as f64 / NANOS_PER_MILLISECOND;
            points.push(Point::new(subject.clone(), metric, PointValue::Milliseconds(milliseconds)));
        }
    }
}
