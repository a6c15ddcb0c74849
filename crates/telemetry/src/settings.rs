//! Settings of the reports and their receivers: the document of `PUT /telemetry`.
//!
//! The serialized names of fields and the texts of [`SettingsError`] are part of the control interface.

mod error;
mod keys;
#[cfg(test)]
mod tests;
mod validation;

pub use error::SettingsError;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The complete document. With an empty document nothing is reported, but counting continues.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// Seconds between two reports.
    pub interval_s: u64,
    /// Maximum number of points in a report. Beyond it, the counts of destinations and routes are spread over
    /// several reports.
    pub points: usize,
    /// Maximum number of counter cells: destinations times classes, and independent routes.
    pub cells: usize,
    /// Names of destinations in series, by the destination's number.
    pub names: BTreeMap<u32, String>,
    /// The Graphite receiver; `None` to send no reports to Graphite.
    pub graphite: Option<Graphite>,
    /// The collectd receiver; `None` to send no reports to collectd.
    pub collectd: Option<Collectd>,
    /// The listener for reports of the host's own collectd; `None` for no listener.
    pub listen: Option<Listen>,
}

impl Default for Telemetry {
    fn default() -> Telemetry {
        Telemetry {
            interval_s: 10,
            points: 100_000,
            cells: 100_000,
            names: BTreeMap::new(),
            graphite: None,
            collectd: None,
            listen: None,
        }
    }
}

/// The Graphite receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Graphite {
    /// Address at which the receiver listens, over TCP.
    pub address: SocketAddr,
    /// Format of the points.
    #[serde(default)]
    pub form: Form,
    /// Whether series are named in Graphite's tag syntax (`metric;tag=value`) instead of by dotted paths.
    #[serde(default)]
    pub tags: bool,
    /// Maximum size of the send buffer in bytes; beyond it, the oldest unsent points are dropped.
    #[serde(default = "default_queue_bytes")]
    pub queue_bytes: usize,
    /// Seconds without progress, in connecting or in writing, after which the connection is closed and
    /// reconnected.
    #[serde(default = "default_stuck_s")]
    pub stuck_s: u64,
}

fn default_queue_bytes() -> usize {
    16 << 20
}

fn default_stuck_s() -> u64 {
    30
}

/// A format in which Graphite receives points.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// One line for each point.
    #[default]
    Plaintext,
    /// Length-prefixed frames, each with a pickled list of points.
    Pickle,
}

/// The collectd receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collectd {
    /// Address at which the receiver listens, over UDP.
    pub address: SocketAddr,
    /// Host name in the reports; by default composed of the deployment and the courier's number.
    #[serde(default)]
    pub host: Option<String>,
    /// How packets are secured.
    #[serde(default)]
    pub security: Security,
    /// Maximum size of a packet in bytes. The default is the UDP payload over IPv6 in an Ethernet frame:
    /// 1500 - 40 - 8.
    #[serde(default = "default_packet_bytes")]
    pub packet_bytes: usize,
}

fn default_packet_bytes() -> usize {
    1452
}

/// How packets to collectd are secured, in the terms of collectd's network plugin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Security {
    /// Neither signed nor encrypted.
    #[default]
    None,
    /// Signed with the key of this user (HMAC-SHA-256).
    Sign(User),
    /// Encrypted with the key of this user (AES-256 in output feedback mode).
    Encrypt(User),
}

/// A user in collectd's authentication file, with its key.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct User {
    /// Name of the user.
    pub user: String,
    /// Secret key of the user; redacted in documents that are shown and in debug output.
    pub key: String,
}

impl std::fmt::Debug for User {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "User({}, a key)", self.user)
    }
}

/// The listener for reports of the host's own collectd.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address to listen on, over UDP; it should be a loopback address, as only the host's own collectd
    /// reports to it.
    pub address: SocketAddr,
    /// The minimum security of accepted packets.
    #[serde(default)]
    pub require: Require,
    /// Secret keys by user; a user has several during key rotation.
    #[serde(default)]
    pub users: BTreeMap<String, Vec<String>>,
    /// Maximum difference between the timestamp of a value and the wall clock, in seconds; values with a
    /// larger difference are ignored.
    #[serde(default = "default_skew_s")]
    pub skew_s: u64,
}

fn default_skew_s() -> u64 {
    300
}

/// The minimum security of accepted packets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Require {
    /// Packets may be plain.
    #[default]
    Nothing,
    /// Packets must be signed or encrypted.
    Signed,
    /// Packets must be encrypted.
    Encrypted,
}
