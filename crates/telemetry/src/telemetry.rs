//! The metrics reporting of a courier: its components, and the order of their steps in one iteration of the
//! event loop.
//!
//! [`Telemetry`] owns all state of the reporting. It never performs I/O; it returns actions as [`Output`]s.
//! `now` is a reading of the monotonic clock, `wall` one of the wall clock since 1970, both in nanoseconds.

mod report_cycle;

use crate::connection::ReceiverConnection;
use crate::counter_sync::CounterSync;
use crate::counters::RestoredCounts;
use crate::counts::{encode_entry, CounterKey, CounterLogEntry, Counts, Saved};
use crate::graphite::MetricSource;
use crate::host_listener::HostListener;
use crate::names;
use crate::receivers::Receivers;
use crate::recording::Recording;
use crate::report::{Report, ReportPhase};
use crate::schedule::ReportSchedule;
use crate::selection::ItemSelection;
use crate::settings::Telemetry as Settings;
use crate::time::SECOND;
use crate::timestamps::Timestamps;
use crate::{CourierInfo, CurrentState, ListedEndpoint, Output, RestoredState, Status, SyncError};
use linnetcart::Time;
use linnetcart_delivery_events::DeliveryEvent;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// The metrics reporting of one courier: counting, reports, and the connections to their receivers.
#[derive(Debug)]
pub struct Telemetry {
    settings: Settings,
    recording: Recording,
    schedule: ReportSchedule,
    selection: ItemSelection,
    report: Option<Report>,
    counter_sync: CounterSync,
    timestamps: Timestamps,
    receivers: Receivers,
    host: HostListener,
    /// The courier's gauges, read when the report in progress began.
    current: CurrentState,
    report_statistics: ReportStatistics,
    outputs: Vec<Output>,
}

/// Statistics of the reports of this process, for the status page.
#[derive(Clone, Copy, Debug, Default)]
struct ReportStatistics {
    /// Number of reports begun.
    count: u64,
    /// Number of points collected so far for the last report begun.
    last_points: usize,
    /// How far the timestamp of the last report was ahead of the wall clock, in seconds.
    timestamps_ahead_s: f64,
}

impl Telemetry {
    /// Creates the reporting with the stored state of an earlier run. The first report is due after a random
    /// delay, uniform in 0..interval, so that couriers that start together report at different times. Nothing
    /// is reported while the settings have no receivers, but counting continues.
    pub fn new(courier: CourierInfo, stored: RestoredState, settings: Settings, now: Time) -> Telemetry {
        let class_names = courier.classes.iter().map(|class| class.name.clone()).collect();
        let restored = RestoredCounts::read(&stored, class_names, settings.cells);
        let timestamps = Timestamps::new(restored.last_timestamp_s * SECOND, now);
        let source =
            MetricSource { deployment: names::sanitize(&courier.deployment), courier: courier.courier_index };
        let mut random = ChaCha8Rng::seed_from_u64(courier.seed ^ (u64::from(courier.courier_index) << 32));
        let interval = settings.interval_s * SECOND;
        let first_delay = random.random_range(0..interval);
        let mut telemetry = Telemetry {
            settings: Settings::default(),
            recording: Recording::new(&courier, restored, now),
            schedule: ReportSchedule::new(interval, first_delay, now),
            selection: ItemSelection::default(),
            report: None,
            counter_sync: CounterSync::default(),
            timestamps,
            receivers: Receivers::new(source, random),
            host: HostListener::new(now),
            current: CurrentState::default(),
            report_statistics: ReportStatistics::default(),
            outputs: Vec::new(),
        };
        telemetry.configure(settings, now);
        telemetry
    }

    /// Returns a snapshot of all counts, which replaces the counter logs so far. Later changes belong in a
    /// new log, which begins with [`Telemetry::log_header`].
    pub fn saved(&self) -> Saved {
        self.recording.saved(self.timestamps.last() / SECOND)
    }

    /// Returns the first frame of a new counter log: the class names that class numbers in it refer to.
    pub fn log_header(&self) -> Vec<u8> {
        encode_entry(&CounterLogEntry::Classes(self.recording.classes.names()))
    }

    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Applies new settings. The connection to Graphite and its send buffer are retained if the settings of
    /// the Graphite receiver are unchanged; otherwise they are discarded.
    pub fn configure(&mut self, settings: Settings, now: Time) {
        self.receivers.configure(&settings, &mut self.outputs);
        self.host.configure(settings.listen.as_ref());
        self.schedule.configure(settings.interval_s * SECOND, now);
        self.recording.names.configure(&settings.names);
        self.settings = settings;
    }

    /// Replaces the endpoint list. For destinations and routes that the list no longer contains, the observed
    /// limits are discarded and the counts are retained.
    pub fn set_endpoints(&mut self, endpoints: impl Iterator<Item = ListedEndpoint>) {
        self.recording.limits.set_endpoints(endpoints);
    }

    /// Records a delivery event.
    pub fn record(&mut self, event: &DeliveryEvent) {
        self.recording.record(event, &mut self.outputs);
    }

    /// Performs one iteration of the event loop: appends changes of counts to the log, begins a report if one
    /// is due, advances the report in progress by a slice, and sends what receivers accept. `current` is
    /// called when a report begins.
    pub fn process(&mut self, now: Time, wall: Time, current: impl FnOnce() -> CurrentState) {
        self.count_losses();
        self.recording.counters.log_if_due(now, &mut self.outputs);
        self.host.log_summary_if_due(now, &mut self.outputs);
        if self.schedule.take_due_report(now) && self.report.is_none() && self.receivers.has_receiver() {
            self.current = current();
            self.begin_report(now, wall);
        }
        if self.schedule.take_due_slice(now) {
            self.advance_report(now);
        }
        self.send_notifications(wall);
        self.receivers.poll(now, &mut self.outputs);
    }

    /// Makes a report due at once, so that the final counts are sent before the process ends.
    pub fn report_now(&mut self, now: Time) {
        self.schedule.report_now(now);
    }

    /// Whether no report is in progress and no bytes wait for a connected receiver. Bytes for a receiver that
    /// is not connected do not count, so that a shutdown does not wait for it.
    pub fn is_idle(&self) -> bool {
        self.report.is_none() && self.receivers.is_idle()
    }

    /// Returns the time at which [`Telemetry::process`] must be called next if no event occurs before.
    pub fn next_wakeup(&self) -> Time {
        let mut wakeup = self.schedule.next_report();
        if let Some(connection_wakeup) = self.receivers.connection().and_then(ReceiverConnection::next_wakeup)
        {
            wakeup = wakeup.min(connection_wakeup);
        }
        if self.report.as_ref().is_some_and(|report| !report.is_syncing()) {
            wakeup = wakeup.min(self.schedule.next_slice());
        }
        wakeup
    }

    /// Removes and returns the actions since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Handles the result of the sync with this number. If the current part of the report waits for this
    /// sync, the part is sent: with the counts if the sync succeeded, without the counts if it failed. The
    /// result of any other sync is ignored.
    pub fn synced(&mut self, number: u64, result: Result<(), SyncError>) {
        let Some(report) = &mut self.report else { return };
        if !report.waits_for_sync(number) {
            return;
        }
        report.phase = ReportPhase::Sending;
        match result {
            Ok(()) => self.counter_sync.succeeded(&mut self.outputs),
            Err(reason) => {
                report.withhold_counts();
                self.counter_sync.failed(reason, &mut self.outputs);
            }
        }
    }

    /// Handles that the connection to Graphite was established.
    pub fn connected(&mut self, now: Time) {
        if let Some(connection) = self.receivers.connection_mut() {
            connection.connected(now);
        }
    }

    /// Handles that the connection to Graphite failed or broke.
    pub fn disconnected(&mut self, now: Time) {
        if let Some(connection) = self.receivers.connection_mut() {
            connection.disconnected(now);
        }
    }

    /// Handles that the system has written `bytes` bytes in total since the connection to Graphite was
    /// established.
    pub fn acknowledged(&mut self, now: Time, bytes: u64) {
        if let Some(connection) = self.receivers.connection_mut() {
            connection.written(now, bytes);
        }
    }

    /// Handles a packet from the host's collectd.
    pub fn datagram_received(&mut self, packet: &[u8], now: Time, wall: Time) {
        self.host.packet_received(packet, now, wall, &mut self.outputs);
    }

    /// Returns the status of the reporting, for the status page.
    pub fn status(&self, now: Time) -> Status {
        let store = self.recording.counters.store();
        let connection = self.receivers.connection();
        Status {
            reports: self.report_statistics.count,
            points: self.report_statistics.last_points,
            cells: store.cells().len(),
            beyond: store.over_limit(),
            graphite_connected: connection.map(ReceiverConnection::is_connected),
            graphite_waiting: connection.map_or(0, ReceiverConnection::buffered_bytes),
            dropped: connection.map_or(0, |connection| connection.losses().points_dropped),
            timestamps_ahead_s: self.report_statistics.timestamps_ahead_s,
            counts_not_safe: self.counter_sync.is_failing(),
            host: self.host.status(now),
        }
    }

    /// Returns all counts, by the cell that they belong to.
    pub fn counts(&self) -> &BTreeMap<CounterKey, Counts> {
        self.recording.counters.cells()
    }
}
