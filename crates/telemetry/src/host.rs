//! Metrics of the host, as reported by the host's own collectd: load, network links and disks.
//!
//! Packets are not trusted: they may be truncated, forged or replayed. Such a packet costs no more than its
//! decoding and is counted; the number of stored series and host names is bounded.

mod status;
#[cfg(test)]
mod tests;

pub use status::{DiskRates, HostStatus, LinkRates, LoadAverages};

use crate::collectd::{self, ItemHeader, MetricValue, PacketError, PacketItem, Severity};
use crate::settings::Listen;
use crate::time::as_seconds;
use crate::LogEvent;
use linnetcart::Time;
use std::collections::BTreeMap;

/// Maximum number of series; values of further series are ignored and counted.
const MAX_SERIES: usize = 4096;
/// Maximum number of host names on the status page.
const MAX_HOSTS: usize = 16;
/// Maximum number of characters of a notification's text that are kept for the log.
const MAX_NOTIFICATION_CHARACTERS: usize = 200;
/// Number of collectd's time units (2^-30 seconds) in a second.
const UNITS_PER_SECOND: f64 = (1u64 << 30) as f64;

/// A notification of a fault from the host's collectd.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostNotification {
    /// Name of the host.
    pub host: String,
    /// The severity, as defined by collectd's protocol; see [`Severity`].
    pub severity: u64,
    /// The text without control characters, truncated to 200 characters.
    pub text: String,
}

/// Identifies a series by collectd's identifier: host, plugin, type and the instances of both.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    host: String,
    plugin: String,
    plugin_instance: String,
    type_name: String,
    type_instance: String,
}

/// The last values of a series.
#[derive(Clone, Debug)]
struct LastValues {
    /// Timestamp of the values, in units of 2^-30 seconds since 1970.
    time: u64,
    values: Vec<MetricValue>,
}

/// Decodes the packets of the host's collectd, and keeps the last metrics of the host.
#[derive(Clone, Debug)]
pub struct HostMonitor {
    settings: Listen,
    series: BTreeMap<SeriesKey, LastValues>,
    status: HostStatus,
    /// When the last packet was accepted, on the monotonic clock.
    last_accepted: Option<Time>,
}

impl HostMonitor {
    /// Creates a monitor that has received no packets.
    pub fn new(settings: Listen) -> HostMonitor {
        HostMonitor { settings, series: BTreeMap::new(), status: HostStatus::default(), last_accepted: None }
    }

    /// Replaces the settings; received metrics are retained.
    pub fn configure(&mut self, settings: Listen) {
        self.settings = settings;
    }

    /// Processes a packet that was received at these readings of the monotonic and the wall clock. Returns an
    /// event for the log, if there is one.
    pub fn packet_received(&mut self, packet: &[u8], now: Time, wall: Time) -> Option<LogEvent> {
        match collectd::read(packet, &self.settings.users, self.settings.require) {
            Ok(items) => {
                self.status.packets_accepted += 1;
                self.last_accepted = Some(now);
                self.accept(items, wall)
            }
            Err(error) => self.reject(error),
        }
    }

    /// Returns the current metrics of the host.
    pub fn status(&self, now: Time) -> HostStatus {
        let age = self.last_accepted.map(|accepted| now.saturating_sub(accepted));
        HostStatus { age_s: age.map(as_seconds), ..self.status.clone() }
    }

    /// Returns the number of packets rejected so far.
    pub fn packets_rejected(&self) -> u64 {
        self.status.packets_rejected
    }

    /// Counts a rejected packet. Returns an event for the first rejection, and for every one that indicates a
    /// wrong key or an attack.
    fn reject(&mut self, error: PacketError) -> Option<LogEvent> {
        let is_first = self.status.last_rejection.is_none();
        let is_key_wrong =
            matches!(error, PacketError::NotAuthentic { .. } | PacketError::UnknownUser { .. });
        self.status.packets_rejected += 1;
        self.status.last_rejection = Some(error.to_string());
        (is_first || is_key_wrong).then_some(LogEvent::HostPacketRejected { error })
    }

    /// Processes the items of a packet. Returns an event with the notifications of faults, if there are any.
    fn accept(&mut self, items: Vec<PacketItem>, wall: Time) -> Option<LogEvent> {
        let mut notifications = Vec::new();
        for item in items {
            match item {
                PacketItem::Notification { header, severity, text } if is_fault(severity) => {
                    notifications.push(HostNotification::new(header.host, severity, &text));
                }
                PacketItem::Notification { .. } => {}
                PacketItem::Values { header, values } => self.accept_values(header, values, wall),
            }
        }
        (!notifications.is_empty()).then_some(LogEvent::HostNotifications(notifications))
    }

    /// Updates a series and the status. A list of values is ignored and counted if its timestamp differs from
    /// the wall clock by more than [`Listen::skew_s`], or is not after the last timestamp of the series
    /// (replayed or reordered packets).
    fn accept_values(&mut self, header: ItemHeader, values: Vec<MetricValue>, wall: Time) {
        let key = SeriesKey::new(&header);
        let before = self.series.get(&key);
        let is_far_from_clock =
            header.time.abs_diff(collectd::high_resolution(wall)) > self.settings.skew_s << 30;
        let is_repeated = before.is_some_and(|before| before.time >= header.time);
        if is_far_from_clock || is_repeated {
            self.status.values_outdated += 1;
            return;
        }
        if before.is_none() && self.series.len() >= MAX_SERIES {
            self.status.values_beyond_limit += 1;
            return;
        }
        let rates = before.map_or(Vec::new(), |before| rates(before, &values, header.time));
        self.status.update(&header, &values, &rates);
        self.series.insert(key, LastValues { time: header.time, values });
    }
}

/// Whether a notification of this severity reports a fault, rather than the end of one.
fn is_fault(severity: u64) -> bool {
    severity <= Severity::Warning as u64
}

impl SeriesKey {
    fn new(header: &ItemHeader) -> SeriesKey {
        SeriesKey {
            host: header.host.clone(),
            plugin: header.plugin.clone(),
            plugin_instance: header.plugin_instance.clone(),
            type_name: header.type_name.clone(),
            type_instance: header.type_instance.clone(),
        }
    }
}

impl HostNotification {
    fn new(host: String, severity: u64, text: &str) -> HostNotification {
        let printable = text.chars().filter(|character| !character.is_control());
        HostNotification { host, severity, text: printable.take(MAX_NOTIFICATION_CHARACTERS).collect() }
    }
}

/// Returns the rate of change of each value per second, max(0, value - previous value) / seconds. A change is
/// negative when a counter restarted.
fn rates(before: &LastValues, values: &[MetricValue], time: u64) -> Vec<f64> {
    let seconds = (time - before.time) as f64 / UNITS_PER_SECOND;
    let mut rates = Vec::with_capacity(values.len());
    for (value, value_before) in values.iter().zip(&before.values) {
        let change = (value.as_f64() - value_before.as_f64()).max(0.0);
        rates.push(change / seconds);
    }
    rates
}

impl HostStatus {
    fn update(&mut self, header: &ItemHeader, values: &[MetricValue], rates: &[f64]) {
        if !self.hosts.contains(&header.host) && self.hosts.len() < MAX_HOSTS {
            self.hosts.push(header.host.clone());
        }
        match (header.plugin.as_str(), header.type_name.as_str()) {
            ("load", "load") => self.update_load(values),
            ("interface", "if_octets") => self.update_link(&header.plugin_instance, rates),
            ("disk", "disk_octets") => self.update_disk(&header.plugin_instance, rates),
            _ => {}
        }
    }

    fn update_load(&mut self, values: &[MetricValue]) {
        let [one, five, fifteen] = values else { return };
        self.load = Some(LoadAverages {
            one_minute: one.as_f64(),
            five_minutes: five.as_f64(),
            fifteen_minutes: fifteen.as_f64(),
        });
    }

    fn update_link(&mut self, link: &str, rates: &[f64]) {
        if let &[received, sent, ..] = rates {
            self.links.insert(link.to_owned(), LinkRates { received, sent });
        }
    }

    fn update_disk(&mut self, disk: &str, rates: &[f64]) {
        if let &[read, written, ..] = rates {
            self.disks.insert(disk.to_owned(), DiskRates { read, written });
        }
    }
}
