//! The cycle of a report: for each part, points are collected, the counter log is synced, and the points are
//! sent.

use super::Telemetry;
use crate::counts::{encode_entry, CounterKey, CounterLogEntry, Field};
use crate::points::PointCollector;
use crate::report::{Report, ReportPhase};
use crate::time::{as_seconds, SECOND};
use crate::timestamps::Timestamp;
use crate::{LogEvent, Output, SyncError};
use linnetcart::Time;

/// Maximum duration of a sync of the counter log, in nanoseconds; after it, the part of the report that waits
/// for the sync is sent without counts.
const SYNC_TIMEOUT: Time = 20 * SECOND;

impl Telemetry {
    /// Adds to the counts of the reports: points dropped, connections failed and host packets rejected since
    /// the last call.
    pub(super) fn count_losses(&mut self) {
        let losses = self.receivers.take_losses();
        let rejections = self.host.take_rejections();
        let counters = &mut self.recording.counters;
        counters.add(CounterKey::Reports, Field::PointsDropped, losses.points_dropped);
        counters.add(CounterKey::Reports, Field::ReceiverConnectionFailures, losses.connection_failures);
        counters.add(CounterKey::Reports, Field::PacketsRejected, rejections);
    }

    /// Begins a report: fixes its timestamp and its items.
    pub(super) fn begin_report(&mut self, now: Time, wall: Time) {
        let Timestamp { time: timestamp, ahead } = self.timestamps.next(now, wall);
        let was_ahead = self.report_statistics.timestamps_ahead_s > 0.0;
        if ahead > SECOND && !was_ahead {
            let event = LogEvent::ClockSetBack { timestamps_ahead_s: ahead / SECOND };
            self.outputs.push(Output::LogWarning(event));
        }
        self.report_statistics.timestamps_ahead_s = as_seconds(ahead);
        self.report_statistics.count += 1;
        // The timestamp is logged so that a restarted courier continues after it.
        let entry = CounterLogEntry::Timestamp(timestamp / SECOND);
        self.outputs.push(Output::Append(encode_entry(&entry)));
        self.recording.counters.log_changes(&mut self.outputs);
        let seconds = self.schedule.begin_report(now);
        let items = self.selection.select(&mut self.recording);
        self.report = Some(Report::new(timestamp, seconds, items));
    }

    /// Processes the next slice of the report in progress. While the log is being synced, only the timeout is
    /// checked.
    pub(super) fn advance_report(&mut self, now: Time) {
        let Some(mut report) = self.report.take() else { return };
        match report.phase {
            ReportPhase::Collecting => self.collect_slice(&mut report, now),
            ReportPhase::Syncing { since, .. } if since + SYNC_TIMEOUT <= now => {
                self.counter_sync.failed(SyncError::Timeout, &mut self.outputs);
                report.withhold_counts();
                report.phase = ReportPhase::Sending;
            }
            ReportPhase::Syncing { .. } | ReportPhase::Complete => {}
            ReportPhase::Sending => self.send_slice(&mut report),
        }
        if !report.is_complete() {
            self.report = Some(report);
        }
    }

    fn send_slice(&mut self, report: &mut Report) {
        let slice = report.take_slice();
        self.receivers.send_points(&slice, report.timestamp, &mut self.outputs);
        if report.part.is_empty() {
            report.finish_part();
        }
    }

    fn collect_slice(&mut self, report: &mut Report, now: Time) {
        let mut collector = PointCollector {
            recording: &mut self.recording,
            selection: &mut self.selection,
            current: self.current,
            max_points: self.settings.points,
            outputs: &mut self.outputs,
        };
        collector.collect_slice(report);
        self.report_statistics.last_points = report.points_collected;
        if report.is_part_complete() {
            // The changes behind the part's counts must be appended before the sync that covers them.
            self.recording.counters.log_changes(&mut self.outputs);
            let number = self.counter_sync.request(&mut self.outputs);
            report.phase = ReportPhase::Syncing { number, since: now };
        }
    }

    /// Sends the queued notifications to collectd, if configured, with the timestamp `max(wall, timestamp of
    /// the last report)`.
    pub(super) fn send_notifications(&mut self, wall: Time) {
        let timestamp = self.timestamps.last().max(wall);
        for notification in self.recording.notifications.take() {
            self.receivers.notify(&notification, timestamp, &mut self.outputs);
        }
    }
}
