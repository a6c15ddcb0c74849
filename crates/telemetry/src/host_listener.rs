//! The listener for the host's own collectd, if one is configured.

use crate::host::{HostMonitor, HostStatus};
use crate::settings::Listen;
use crate::time::SECOND;
use crate::{LogEvent, Output};
use linnetcart::Time;

/// Interval of logging the host's metrics, in nanoseconds.
const SUMMARY_INTERVAL: Time = 60 * SECOND;

/// Receives packets from the host's collectd, and logs the host's metrics at intervals.
#[derive(Debug)]
pub(crate) struct HostListener {
    monitor: Option<HostMonitor>,
    /// Number of packets that the monitor had rejected at the last [`HostListener::take_rejections`].
    counted_rejections: u64,
    /// When the host's metrics are logged next, by the monotonic clock.
    next_summary: Time,
}

impl HostListener {
    pub(crate) fn new(now: Time) -> HostListener {
        HostListener { monitor: None, counted_rejections: 0, next_summary: now + SUMMARY_INTERVAL }
    }

    /// Replaces the settings. Received metrics are retained while a listener stays configured.
    pub(crate) fn configure(&mut self, listen: Option<&Listen>) {
        match (&mut self.monitor, listen) {
            (Some(monitor), Some(listen)) => monitor.configure(listen.clone()),
            (_, listen) => {
                self.monitor = listen.cloned().map(HostMonitor::new);
                self.counted_rejections = 0;
            }
        }
    }

    /// Processes a packet; ignored without a listener.
    pub(crate) fn packet_received(
        &mut self,
        packet: &[u8],
        now: Time,
        wall: Time,
        outputs: &mut Vec<Output>,
    ) {
        let event = self.monitor.as_mut().and_then(|monitor| monitor.packet_received(packet, now, wall));
        outputs.extend(event.map(Output::LogWarning));
    }

    /// Returns the host's current metrics; `None` without a listener.
    pub(crate) fn status(&self, now: Time) -> Option<HostStatus> {
        self.monitor.as_ref().map(|monitor| monitor.status(now))
    }

    /// Returns the number of packets rejected since the last call.
    pub(crate) fn take_rejections(&mut self) -> u64 {
        let Some(monitor) = &self.monitor else { return 0 };
        let rejections = monitor.packets_rejected();
        let before = std::mem::replace(&mut self.counted_rejections, rejections);
        rejections.saturating_sub(before)
    }

    /// Logs the host's metrics once per [`SUMMARY_INTERVAL`]. Nothing is logged as long as no packet has been
    /// accepted.
    pub(crate) fn log_summary_if_due(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.next_summary > now {
            return;
        }
        self.next_summary = now + SUMMARY_INTERVAL;
        let status = self.status(now).filter(|status| status.age_s.is_some());
        outputs.extend(status.map(|status| Output::LogInfo(LogEvent::HostMetrics(status))));
    }
}
