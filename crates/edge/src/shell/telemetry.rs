//! I/O of telemetry: the connection to Graphite, datagrams to and from collectd, and the counter files.
//!
//! [`linnetcart_telemetry`] decides what is counted and reported, and when.

mod reporting;
mod start;

pub(super) use reporting::Reporting;

use super::telemetry_log::log_event;
use super::{nanos, wall_clock, Shell, FLUSH_TIMEOUT, MAX_POLL_INTERVAL};
use crate::core::Core;
use linnetcart::Time;
use linnetcart_telemetry::{CurrentState, Output};

impl Shell {
    /// Runs telemetry for this iteration and carries out its outputs. Warnings are rate-limited.
    pub(super) fn report(&mut self) {
        let now = self.now();
        let (Some(reporting), Some(core)) = (&mut self.reporting, &self.program.core) else { return };
        reporting.update_endpoints(core);
        reporting.collect_syncs();
        if let Some(token) = reporting.graphite {
            reporting.telemetry.acknowledged(now, self.net.written_bytes(token));
        }
        reporting.telemetry.process(now, wall_clock(), || current_state(core));
        let mut warnings = Vec::new();
        for output in reporting.telemetry.outputs() {
            match output {
                Output::Append(frame) => reporting.append(&frame),
                Output::Sync(number) => reporting.sync_counters(number),
                Output::Graphite(action) => {
                    reporting.carry_out_graphite(action, &mut self.net, &mut self.roles);
                }
                Output::Datagram(address, packet) => {
                    reporting.send_datagram(&mut self.net, address, &packet);
                }
                Output::LogWarning(event) => warnings.push(event),
                Output::LogInfo(event) => log_event(&event),
            }
        }
        for event in warnings {
            if self.log_limiter.permits(now) {
                log_event(&event);
            }
        }
    }

    /// Returns whether the last report of the process has been sent or has timed out. The first call requests
    /// the report.
    pub(super) fn last_report_sent(&mut self, now: Time) -> bool {
        let Some(reporting) = &mut self.reporting else { return true };
        let Some(requested_at) = reporting.last_report_at else {
            reporting.telemetry.report_now(now);
            reporting.last_report_at = Some(now);
            return false;
        };
        let timed_out = now > requested_at + nanos(FLUSH_TIMEOUT);
        timed_out || (now > requested_at + nanos(MAX_POLL_INTERVAL) && reporting.telemetry.is_idle())
    }
}

/// Returns the gauges of the courier for a report: usage and limits, which no delivery event carries.
fn current_state(core: &Core) -> CurrentState {
    let status = core.status();
    let limits = &core.settings().limits;
    CurrentState {
        messages_in_flight: status.in_flight,
        bytes_in_flight: status.in_flight_bytes,
        calls_in_flight: status.calls,
        max_calls_in_flight: limits.max_calls as usize,
        max_messages_in_flight: limits.max_in_flight as usize,
        clients: status.clients,
        upstream_connections: status.upstream_connections,
    }
}
