//! The log of the core: its events, limited in their rate, and periodic statistics.

use crate::core::{Core, CoreEvent, EvictedClient, MILLISECOND};
use linnetcart::Time;
use linnetcart_courier_common::{log_limit_change, ProcessMemory};

const SECOND: Time = 1000 * MILLISECOND;
/// Maximum number of events about no message that are logged in a second; further ones are dropped.
const MAX_EVENTS_PER_SECOND: u32 = 20;
/// Interval of the statistics, in nanoseconds.
const STATISTICS_INTERVAL: Time = 10 * SECOND;

/// The state of the rate limit and of the statistics.
#[derive(Debug, Default)]
pub struct CoreLog {
    /// The second, on the courier's clock, that `events_in_second` counts.
    second: Time,
    events_in_second: u32,
    /// When the statistics are logged next, on the courier's clock.
    next_statistics: Time,
}

impl CoreLog {
    /// Logs the core's new events and, when they are due, statistics.
    pub fn update(&mut self, core: &mut Core, journal_bytes: u64, now: Time) {
        let second = now / SECOND;
        if second != self.second {
            self.second = second;
            self.events_in_second = 0;
        }
        for event in core.take_events() {
            if is_about_message(&event) {
                log_event(&event);
                continue;
            }
            self.events_in_second += 1;
            if self.events_in_second <= MAX_EVENTS_PER_SECOND {
                log_event(&event);
            }
        }
        if now >= self.next_statistics {
            self.next_statistics = now + STATISTICS_INTERVAL;
            log_statistics(core, journal_bytes);
        }
    }
}

/// Whether an event belongs to the history of a message, which the log has completely.
fn is_about_message(event: &CoreEvent) -> bool {
    match event {
        CoreEvent::NotificationRejected { .. }
        | CoreEvent::ResponseUnattributed { message: Some(_), .. }
        | CoreEvent::AcceptanceUndone { .. }
        | CoreEvent::AttemptUndone { .. }
        | CoreEvent::UnknownClass { .. } => true,
        CoreEvent::WatchFailed(_)
        | CoreEvent::WatchSilent
        | CoreEvent::ClientRefused { .. }
        | CoreEvent::ClientEvicted(_)
        | CoreEvent::NotificationsFailed(_)
        | CoreEvent::NotificationsTimedOut
        | CoreEvent::LimitChanged(_)
        | CoreEvent::ResponseUnattributed { message: None, .. }
        | CoreEvent::RecoveryFinished(_) => false,
    }
}

fn log_event(event: &CoreEvent) {
    match event {
        CoreEvent::WatchFailed(error) => tracing::info!(%error, "endpoint watch failed, reconnecting"),
        CoreEvent::WatchSilent => tracing::info!("endpoint watch silent, reconnecting"),
        CoreEvent::ClientRefused { client, received_bytes, error } => {
            tracing::info!(client, received_bytes, %error, "request without an id refused");
        }
        CoreEvent::ClientEvicted(EvictedClient { client, state, idle_for, connections }) => tracing::info!(
            client,
            ?state,
            idle_ms = idle_for / MILLISECOND,
            connections,
            "client connection closed, too many are open"
        ),
        CoreEvent::NotificationsFailed(error) => {
            tracing::info!(%error, "status notifications not acknowledged, resending");
        }
        CoreEvent::NotificationsTimedOut => tracing::info!("status notifications timed out, resending"),
        CoreEvent::NotificationRejected { message } => {
            tracing::info!(id = message, "status notification rejected and dropped");
        }
        CoreEvent::LimitChanged(change) => log_limit_change(change),
        CoreEvent::ResponseUnattributed { message, attempt, connection, endpoint, attribution } => {
            tracing::info!(
                id = message,
                attempt,
                connection,
                endpoint,
                ?attribution,
                "response not certainly of this attempt, connection closed"
            );
        }
        CoreEvent::AcceptanceUndone { message } => {
            tracing::info!(id = message, "message rejected, its acceptance was not recorded");
        }
        CoreEvent::AttemptUndone { message, attempt } => {
            tracing::info!(id = message, attempt, "attempt not sent, it was not recorded in time");
        }
        CoreEvent::UnknownClass { message } => {
            tracing::info!(id = message, "recovered message of unknown class failed");
        }
        CoreEvent::RecoveryFinished(counts) => tracing::info!(
            recovered = counts.recovered,
            untried = counts.untried,
            attempted = counts.attempted,
            given_up = counts.given_up,
            "recovery finished"
        ),
    }
}

/// Logs the sizes of the tables, the memory of the process and the counters.
pub fn log_statistics(core: &Core, journal_bytes: u64) {
    let sizes = core.sizes();
    let status = std::fs::read_to_string(ProcessMemory::STATUS_FILE).unwrap_or_default();
    let memory = ProcessMemory::parse(&status);
    tracing::info!(
        resident_bytes = memory.map(|memory| memory.resident_bytes),
        peak_bytes = memory.map(|memory| memory.peak_bytes),
        request_bytes = sizes.request_bytes,
        in_flight_bytes = sizes.in_flight_bytes,
        response_bytes = sizes.response_bytes,
        ended_ids = sizes.ended_ids,
        in_flight = sizes.in_flight,
        unacknowledged = sizes.unacknowledged,
        endpoints = sizes.endpoints,
        clients = sizes.clients,
        upstream_connections = sizes.upstream_connections,
        attempts = sizes.attempts,
        journal_bytes,
        counters = ?core.counters(),
        "statistics"
    );
}
