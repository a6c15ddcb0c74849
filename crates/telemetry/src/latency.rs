//! Latencies of a report interval in an HDR histogram, and their percentiles.

use crate::series::{Point, PointValue, SeriesSubject};
use hdrhistogram::Histogram;
use linnetcart::Time;

/// Unit of recorded latencies, in nanoseconds: 0.1 ms.
const LATENCY_UNIT: Time = 100_000;
/// Significant decimal digits of recorded latencies, a relative error of at most 1 %; more digits are not
/// visible in a chart.
const SIGNIFICANT_DIGITS: u8 = 2;
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// The metrics of latencies in a report, with their quantiles.
const PERCENTILES: [Percentile; 4] = [
    Percentile { metric: "latency_p50_ms", quantile: 0.5 },
    Percentile { metric: "latency_p95_ms", quantile: 0.95 },
    Percentile { metric: "latency_p99_ms", quantile: 0.99 },
    Percentile { metric: "latency_max_ms", quantile: 1.0 },
];

struct Percentile {
    metric: &'static str,
    quantile: f64,
}

/// The latencies since the last report.
#[derive(Debug, Default)]
pub(crate) struct LatencyRecorder {
    /// Number of latencies by their value in [`LATENCY_UNIT`]s. `None` until a latency is recorded: most
    /// intervals of most destinations have none.
    histogram: Option<Histogram<u32>>,
}

impl LatencyRecorder {
    /// Records a latency in nanoseconds, as at least one [`LATENCY_UNIT`].
    pub(crate) fn record(&mut self, elapsed: Time) {
        if self.histogram.is_none() {
            // hdrhistogram supports this number of digits, so this cannot fail.
            self.histogram = Histogram::new(SIGNIFICANT_DIGITS).ok();
        }
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record((elapsed / LATENCY_UNIT).max(1));
        }
    }

    /// Appends the percentiles of the latencies since the last call, if there were any, and clears them.
    pub(crate) fn take_points(&mut self, subject: &SeriesSubject, points: &mut Vec<Point>) {
        let Some(histogram) = self.histogram.take() else { return };
        for Percentile { metric, quantile } in PERCENTILES {
            let units = histogram.value_at_quantile(quantile) as f64;
            let milliseconds = units * LATENCY_UNIT as f64 / NANOS_PER_MILLISECOND;
            points.push(Point::new(subject.clone(), metric, PointValue::Milliseconds(milliseconds)));
        }
    }
}
