//! The metrics of the host, for the status page and the log.

use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of links, and of disks, in a log line.
const MAX_LOGGED_DEVICES: usize = 8;

/// The host's metrics from its last reports, and counts of the packets and values received. The serialized
/// names of the fields are part of the status page.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HostStatus {
    /// Names of the hosts whose values were accepted; at most the first 16.
    pub hosts: Vec<String>,
    /// Load averages; `None` until they are reported.
    pub load: Option<LoadAverages>,
    /// Traffic of each network interface, by its name.
    pub links: BTreeMap<String, LinkRates>,
    /// Traffic of each disk, by its name.
    pub disks: BTreeMap<String, DiskRates>,
    /// Seconds since the last accepted packet; `None` before the first.
    pub age_s: Option<f64>,
    /// Number of packets accepted since the listener was added to the settings.
    #[serde(rename = "good")]
    pub packets_accepted: u64,
    /// Number of packets rejected since the listener was added to the settings.
    #[serde(rename = "bad")]
    pub packets_rejected: u64,
    /// Why the last rejected packet was rejected; `None` if none was.
    #[serde(rename = "last_bad")]
    pub last_rejection: Option<String>,
    /// Number of lists of values that were ignored because their timestamp was not after the last one of the
    /// series, or differed from the wall clock by more than the settings allow.
    #[serde(rename = "old")]
    pub values_outdated: u64,
    /// Number of lists of values that were ignored because the maximum number of series was reached.
    #[serde(rename = "beyond")]
    pub values_beyond_limit: u64,
}

/// Load averages over one, five and fifteen minutes; serialized as a list in this order.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 3]")]
pub struct LoadAverages {
    /// Load average over one minute.
    pub one_minute: f64,
    /// Load average over five minutes.
    pub five_minutes: f64,
    /// Load average over fifteen minutes.
    pub fifteen_minutes: f64,
}

/// Traffic of a network interface, in bytes per second; serialized as a list in this order.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 2]")]
pub struct LinkRates {
    /// Bytes received per second.
    pub received: f64,
    /// Bytes sent per second.
    pub sent: f64,
}

/// Traffic of a disk, in bytes per second; serialized as a list in this order.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 2]")]
pub struct DiskRates {
    /// Bytes read per second.
    pub read: f64,
    /// Bytes written per second.
    pub written: f64,
}

impl From<LoadAverages> for [f64; 3] {
    fn from(load: LoadAverages) -> [f64; 3] {
        [load.one_minute, load.five_minutes, load.fifteen_minutes]
    }
}

impl From<LinkRates> for [f64; 2] {
    fn from(rates: LinkRates) -> [f64; 2] {
        [rates.received, rates.sent]
    }
}

impl From<DiskRates> for [f64; 2] {
    fn from(rates: DiskRates) -> [f64; 2] {
        [rates.read, rates.written]
    }
}

/// Formats the metrics as `key=value` fields of a log line.
impl fmt::Display for HostStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(LoadAverages { one_minute, five_minutes, fifteen_minutes }) = self.load {
            write!(f, "load_1m={one_minute:.2} load_5m={five_minutes:.2} load_15m={fifteen_minutes:.2} ")?;
        }
        for (link, LinkRates { received, sent }) in self.links.iter().take(MAX_LOGGED_DEVICES) {
            write!(f, "link={link:?} received_bytes_per_s={received:.0} sent_bytes_per_s={sent:.0} ")?;
        }
        for (disk, DiskRates { read, written }) in self.disks.iter().take(MAX_LOGGED_DEVICES) {
            write!(f, "disk={disk:?} read_bytes_per_s={read:.0} written_bytes_per_s={written:.0} ")?;
        }
        write!(f, "packets_rejected={}", self.packets_rejected)
    }
}
