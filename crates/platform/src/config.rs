//! What the platform tells a courier: its environment, its configuration file, entries of the endpoint list.

use linnetcart::EndpointStatus;
use linnetcart_deployment_settings::DeploymentSettings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Bad {
    /// It is no JSON, or a field is missing or of another type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The settings.
    #[error("settings: {0}")]
    Settings(#[from] linnetcart_deployment_settings::SettingsError),
    /// A figure has no use.
    #[error("{0}")]
    Figure(String),
}

/// The limits that the process has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Millions of bytes in the folder that lasts.
    pub disk_mb: f64,
}

/// An entry of the endpoint list as discovery writes it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    /// Its name, the same at every courier.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of its destination's kind.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its destination.
    pub group: u32,
    /// Its state.
    pub status: Status,
    /// Calls a second, as the settings say.
    #[serde(default)]
    pub weight: f64,
    /// Its last start, Unix time in milliseconds.
    #[serde(default)]
    pub since_ms: u64,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// In service.
    Active,
    /// Finishes what it has.
    Leaving,
    /// Out of the list.
    Left,
}

impl From<Status> for EndpointStatus {
    fn from(status: Status) -> EndpointStatus {
        match status {
            Status::Active => EndpointStatus::Ready,
            Status::Leaving => EndpointStatus::Draining,
            Status::Left => EndpointStatus::Removed,
        }
    }
}

/// The list, or changes of it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct News {
    /// Its version.
    pub index: u64,
    /// It is the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// Entries, or changed ones.
    pub endpoints: Vec<Entry>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: Value,
    limits: Limits,
    #[serde(default)]
    known: News,
    settings: Value,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The courier's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers and notices go.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The process's limits.
    pub limits: Limits,
    /// The list as it was last had.
    pub known: News,
    /// What the site says of itself.
    pub site: DeploymentSettings,
}

impl Config {
    /// Reads a configuration as a whole.
    pub fn read(bytes: &[u8]) -> Result<Config, Bad> {
        let file: File = serde_json::from_slice(bytes)?;
        let mut site = DeploymentSettings::read(&file.settings)?;
        if site.class_names.is_empty() {
            return Err(Bad::Figure("settings.services is empty; a courier needs a class".into()));
        }
        if file.limits.sockets < 64 || file.limits.disk_mb <= 0.0 {
            return Err(Bad::Figure("limits: 64 sockets and a little disk are the least".into()));
        }
        // A call on this protocol has one message.
        site.settings.kinds.iter_mut().for_each(|k| k.max_messages_per_call = 1);
        let seed = match &file.seed {
            Value::Number(n) => n.as_u64().unwrap_or(0),
            Value::String(s) => u64::from_str_radix(s, 16).unwrap_or(0),
            _ => 0,
        };
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            limits: file.limits,
            known: file.known,
            site,
        })
    }
}
