//! Collection of the points of a report from the recorded counts and gauges.

use crate::counts::{CounterKey, Counts, Field};
use crate::recording::Recording;
use crate::report::{Report, ReportItem, PART_POINTS, SLICE_POINTS};
use crate::selection::ItemSelection;
use crate::series::{Point, PointValue, SeriesSubject};
use crate::{CurrentState, Output};

/// Collects points from the recorded state.
pub(crate) struct PointCollector<'a> {
    pub(crate) recording: &'a mut Recording,
    pub(crate) selection: &'a mut ItemSelection,
    /// The courier's gauges, read when the report began.
    pub(crate) current: CurrentState,
    /// Maximum number of points in a report. Once it is reached, cells are postponed to the next report.
    pub(crate) max_points: usize,
    pub(crate) outputs: &'a mut Vec<Output>,
}

impl PointCollector<'_> {
    /// Collects items until the slice has [`SLICE_POINTS`] points, the part has [`PART_POINTS`] points, or no
    /// item is left. The points of the last item may exceed these numbers.
    pub(crate) fn collect_slice(&mut self, report: &mut Report) {
        let mut points = Vec::new();
        while points.len() < SLICE_POINTS && report.part.len() + points.len() < PART_POINTS {
            let Some(item) = report.items.pop_front() else { break };
            let is_full = report.points_collected + points.len() >= self.max_points;
            if is_full && is_postponable(item) {
                self.postpone(item);
            } else {
                self.collect(item, report.seconds, &mut points);
            }
        }
        report.points_collected += points.len();
        report.part.extend(points);
    }

    /// Collects the points of an item. `seconds` is the length of the report interval, by which rates divide.
    fn collect(&mut self, item: ReportItem, seconds: f64, points: &mut Vec<Point>) {
        match item {
            ReportItem::Courier => self.courier(points),
            ReportItem::Class(class) => self.class(class, points),
            ReportItem::Destination(destination) => self.destination(destination, seconds, points),
            ReportItem::Route(endpoint) => self.route(endpoint, seconds, points),
            ReportItem::DestinationTotal(destination) => self.destination_total(destination, points),
            ReportItem::Cell(key) => self.cell(key, points),
        }
    }

    /// Postpones a cell to the next report and counts it. The total of a destination is not postponed by
    /// itself, because it is collected again with its cells.
    fn postpone(&mut self, item: ReportItem) {
        if let ReportItem::Cell(key) = item {
            self.recording.counters.postpone(key);
            self.selection.record_postponed(key);
            self.recording.counters.add(CounterKey::Reports, Field::PointsPostponed, 1);
        }
    }

    fn courier(&mut self, points: &mut Vec<Point>) {
        push_counts(points, &SeriesSubject::Courier, &self.recording.counters.courier_total());
        let current = self.current;
        let gauges = [
            ("held", current.messages_in_flight),
            ("held_bytes", current.bytes_in_flight),
            ("hold", current.max_messages_in_flight),
            ("slots_used", current.calls_in_flight),
            ("slots", current.max_calls_in_flight),
            ("clients", current.clients),
            ("links", current.upstream_connections),
        ];
        for (metric, value) in gauges {
            points.push(Point::new(SeriesSubject::Courier, metric, PointValue::Gauge(value as f64)));
        }
    }

    fn class(&mut self, class: usize, points: &mut Vec<Point>) {
        let Some(name) = self.recording.classes.series_name(class) else { return };
        let subject = SeriesSubject::Class(name.to_owned());
        push_counts(points, &subject, &self.recording.counters.class_total(class));
        if let Some(latency) = self.recording.classes.latency_mut(class) {
            latency.take_points(&subject, points);
        }
    }

    fn destination(&mut self, destination: u32, seconds: f64, points: &mut Vec<Point>) {
        let subject = SeriesSubject::Destination(self.destination_name(destination));
        if let Some(limit) = self.recording.limits.destination_mut(destination) {
            limit.take_points(&subject, seconds, points);
        }
    }

    fn route(&mut self, endpoint: u32, seconds: f64, points: &mut Vec<Point>) {
        let destination = self.recording.limits.route_destination(endpoint).unwrap_or(0);
        let subject = self.route_subject(destination, endpoint);
        if let Some(limit) = self.recording.limits.route_mut(endpoint) {
            limit.take_points(&subject, seconds, points);
        }
    }

    fn destination_total(&mut self, destination: u32, points: &mut Vec<Point>) {
        let total = self.recording.counters.destination_total(destination);
        let subject = SeriesSubject::Destination(self.destination_name(destination));
        push_counts(points, &subject, &total);
    }

    fn cell(&mut self, key: CounterKey, points: &mut Vec<Point>) {
        let Some(&counts) = self.recording.counters.cells().get(&key) else { return };
        let subject = match key {
            CounterKey::Cell { destination, class } => {
                let Some(class) = self.recording.classes.series_name(usize::from(class)) else { return };
                let class = class.to_owned();
                SeriesSubject::DestinationAndClass { destination: self.destination_name(destination), class }
            }
            CounterKey::Route { endpoint } => {
                let Some(destination) = self.recording.limits.route_destination(endpoint) else { return };
                self.route_subject(destination, endpoint)
            }
            // The courier's points include the counts about the reports.
            CounterKey::Reports => return,
        };
        push_counts(points, &subject, &counts);
    }

    fn route_subject(&mut self, destination: u32, endpoint: u32) -> SeriesSubject {
        SeriesSubject::Route { destination: self.destination_name(destination), endpoint }
    }

    fn destination_name(&mut self, destination: u32) -> String {
        self.recording.names.name(destination, self.outputs)
    }
}

/// Whether an item can be postponed to a later report: cumulative counts can, because the next value includes
/// the skipped one; gauges cannot, because they cover one interval only.
fn is_postponable(item: ReportItem) -> bool {
    matches!(item, ReportItem::DestinationTotal(_) | ReportItem::Cell(_))
}

/// Appends a point for each count that is not zero: a series begins with its first counted event.
fn push_counts(points: &mut Vec<Point>, subject: &SeriesSubject, counts: &Counts) {
    for (field, count) in counts.nonzero() {
        points.push(Point::new(subject.clone(), field.name(), PointValue::Counter(count)));
    }
}
