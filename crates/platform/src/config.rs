//! The configuration file that the platform provides, and the endpoint list in discovery's format.
//!
//! Field names in the files are the platform's. Where the code uses another name, the field is renamed for
//! serde.

use linnetcart::EndpointStatus;
use linnetcart_courier_common::memory_budget::{MemoryBudget, DEFAULT_LIMIT_BYTES};
use linnetcart_deployment_settings::DeploymentSettings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Minimum number of file descriptors of a courier.
const MIN_FILE_DESCRIPTORS: usize = 64;

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON, or a field is missing or has another type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The settings of the deployment are invalid.
    #[error("settings: {0}")]
    Settings(#[from] linnetcart_deployment_settings::SettingsError),
    /// The settings name no class of messages.
    #[error("settings.services is empty; at least one class of messages is required")]
    NoClasses,
    /// A limit is too low: fewer than 64 file descriptors, or a `disk_mb` or `memory_mb` that is not greater than 0.
    #[error("limits: `sockets` must be at least 64, and `disk_mb` and `memory_mb` greater than 0")]
    LimitsTooLow,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Maximum number of open file descriptors.
    #[serde(rename = "sockets")]
    pub file_descriptors: usize,
    /// Maximum size of the files in the state directory, in megabytes (10^6 bytes).
    pub disk_mb: f64,
    /// Maximum size of the process's memory, in megabytes (10^6 bytes).
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

fn default_memory_mb() -> f64 {
    DEFAULT_LIMIT_BYTES as f64 / 1e6
}

impl Limits {
    /// Returns the maximum size of the journal's files together, in bytes.
    pub fn disk_bytes(&self) -> u64 {
        (self.disk_mb * 1e6) as u64
    }

    /// Returns the bytes that each part of the process may hold.
    pub fn memory_budget(&self) -> MemoryBudget {
        MemoryBudget::new((self.memory_mb * 1e6) as u64, self.file_descriptors)
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's name, which is the same at every courier.
    pub name: String,
    /// The endpoint's address, in the form `IP:port`.
    pub address: String,
    /// The name of the zone that the endpoint is in; empty if the entry states none.
    #[serde(default)]
    pub zone: String,
    /// The name of the destination's kind; empty if the entry states none.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// The number of the destination that the endpoint belongs to.
    #[serde(rename = "group")]
    pub destination: u32,
    /// Whether the endpoint is in service, draining or removed.
    pub status: ListedStatus,
    /// The endpoint's rate limit, in calls per second for all couriers together, 0 for none; the settings say
    /// how accurate it is.
    #[serde(default, rename = "weight")]
    pub rate: f64,
    /// When the endpoint last started, in milliseconds since the Unix epoch.
    #[serde(default, rename = "since_ms")]
    pub started_at_ms: u64,
}

/// The status of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedStatus {
    /// In service: attempts may be sent to the endpoint.
    Active,
    /// Draining: no new attempt is sent to the endpoint.
    Leaving,
    /// Removed: the endpoint is no longer part of the list.
    Left,
}

impl From<ListedStatus> for EndpointStatus {
    fn from(status: ListedStatus) -> EndpointStatus {
        match status {
            ListedStatus::Active => EndpointStatus::Ready,
            ListedStatus::Leaving => EndpointStatus::Draining,
            ListedStatus::Left => EndpointStatus::Removed,
        }
    }
}

/// An event of the watch on the endpoint list: the complete list, or changes to it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct WatchEvent {
    /// The version of the list after the event.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether the entries are the complete list and not only changes to it.
    #[serde(default, rename = "snapshot")]
    pub complete: bool,
    /// All entries of a complete list; otherwise the entries that changed.
    #[serde(rename = "endpoints")]
    pub entries: Vec<EndpointEntry>,
}

#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: Value,
    limits: Limits,
    #[serde(default, rename = "known")]
    cached_list: WatchEvent,
    settings: Value,
}

/// The configuration of a courier.
#[derive(Clone, Debug)]
pub struct Config {
    /// The courier's name, which it writes to its log at the start.
    pub name: String,
    /// The TCP address on which the courier listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery, which also takes status notifications.
    pub discovery: SocketAddr,
    /// The seed of the decision library's random numbers.
    pub seed: u64,
    /// The resource limits of the process.
    pub limits: Limits,
    /// The endpoint list of the previous process, which is in force until discovery sends one.
    pub cached_list: WatchEvent,
    /// The settings of the deployment.
    pub settings: DeploymentSettings,
}

impl Config {
    /// Parses the content of a configuration file.
    ///
    /// # Errors
    ///
    /// If any part of the file is invalid; see [`ConfigError`].
    pub fn read(bytes: &[u8]) -> Result<Config, ConfigError> {
        let file: ConfigFile = serde_json::from_slice(bytes)?;
        let mut settings = DeploymentSettings::read(&file.settings)?;
        if settings.class_names.is_empty() {
            return Err(ConfigError::NoClasses);
        }
        let limits = file.limits;
        let has_no_room = limits.disk_mb <= 0.0 || limits.memory_mb <= 0.0;
        if limits.file_descriptors < MIN_FILE_DESCRIPTORS || has_no_room {
            return Err(ConfigError::LimitsTooLow);
        }
        // On this protocol, a call carries one message.
        for kind in &mut settings.settings.kinds {
            kind.max_messages_per_call = 1;
        }
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed: read_seed(&file.seed),
            limits: file.limits,
            cached_list: file.cached_list,
            settings,
        })
    }
}

/// Reads a number or a string of hexadecimal digits; any other value reads as 0.
fn read_seed(value: &Value) -> u64 {
    match value {
        Value::Number(number) => number.as_u64().unwrap_or(0),
        Value::String(digits) => u64::from_str_radix(digits, 16).unwrap_or(0),
        _ => 0,
    }
}

#[cfg(test)]
mod tests;
