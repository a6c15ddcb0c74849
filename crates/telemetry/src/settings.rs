//! What is reported, and where: the document of `PUT /telemetry`.
//!
//! The names of fields and the texts of [`SettingsError`] are part of the interface of operators.

mod error;
#[cfg(test)]
mod tests;

pub use error::SettingsError;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Stands for a key that is not shown.
const HIDDEN_KEY: &str = "(kept)";
/// Names of hosts and users are no longer: the protocol allows 128 bytes with the zero byte.
const MAX_NAME_BYTES: usize = 127;

/// The complete document. An empty one reports nothing; counts go on all the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// Seconds between two reports.
    pub interval_s: u64,
    /// Points of one report at most. Beyond it cells of destination and class take turns.
    pub points: usize,
    /// Cells of counts at most: destinations times classes, and separate routes.
    pub cells: usize,
    /// Names of destinations, by number.
    pub names: BTreeMap<u32, String>,
    /// A Graphite receiver.
    pub graphite: Option<Graphite>,
    /// A collectd receiver.
    pub collectd: Option<Collectd>,
    /// Reports of the host's own collectd, which the courier listens to.
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

/// A Graphite receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Graphite {
    /// Where it listens.
    pub address: SocketAddr,
    /// In what format.
    #[serde(default)]
    pub form: Form,
    /// Names with tags instead of long paths.
    #[serde(default)]
    pub tags: bool,
    /// Bytes of reports that wait for it at most; beyond it the oldest are dropped.
    #[serde(default = "default_queue_bytes")]
    pub queue_bytes: usize,
    /// Seconds without progress after which the connection is closed and made again.
    #[serde(default = "default_stuck_s")]
    pub stuck_s: u64,
}

fn default_queue_bytes() -> usize {
    16 << 20
}

fn default_stuck_s() -> u64 {
    30
}

/// A format of Graphite's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// A line for each point.
    #[default]
    Plaintext,
    /// Frames of pickled lists.
    Pickle,
}

/// A collectd receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collectd {
    /// Where it listens, over UDP.
    pub address: SocketAddr,
    /// The name of the host that reports; by default deployment and number.
    #[serde(default)]
    pub host: Option<String>,
    /// How packets are secured.
    #[serde(default)]
    pub security: Security,
    /// Bytes of one packet at most.
    #[serde(default = "default_packet_bytes")]
    pub packet_bytes: usize,
}

fn default_packet_bytes() -> usize {
    1452
}

/// How packets of collectd are secured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Security {
    /// Neither signed nor encrypted.
    #[default]
    None,
    /// Signed.
    Sign(User),
    /// Encrypted.
    Encrypt(User),
}

/// A user that collectd knows, with the key.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct User {
    /// The name.
    pub user: String,
    /// The key.
    pub key: String,
}

impl std::fmt::Debug for User {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "User({}, a key)", self.user)
    }
}

/// Reports of the host's own collectd.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Where to listen, over UDP; keep it on loopback.
    pub address: SocketAddr,
    /// The security that packets must have at least.
    #[serde(default)]
    pub require: Require,
    /// Keys by user; several while one replaces another.
    #[serde(default)]
    pub users: BTreeMap<String, Vec<String>>,
    /// Seconds that a value's time may differ from the clock.
    #[serde(default = "default_skew_s")]
    pub skew_s: u64,
}

fn default_skew_s() -> u64 {
    300
}

/// The security that packets must have at least.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Require {
    /// Anything.
    #[default]
    Nothing,
    /// Signed or encrypted.
    Signed,
    /// Encrypted.
    Encrypted,
}

/// A secret key of the document.
struct KeyEntry<'a> {
    /// Whose key it is: the same in a document that was read and comes back.
    owner: String,
    key: &'a mut String,
}

impl Telemetry {
    /// Checks what serde cannot.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_keys()?;
        check_range("interval_s", self.interval_s as usize, 1..=3600)?;
        check_range("points", self.points, 1000..=10_000_000)?;
        check_range("cells", self.cells, 100..=1_000_000)?;
        check_range("names", self.names.len(), 0..=100_000)?;
        if let Some(graphite) = &self.graphite {
            graphite.check()?;
        }
        if let Some(collectd) = &self.collectd {
            collectd.check()?;
        }
        if let Some(listen) = &self.listen {
            listen.check()?;
        }
        Ok(())
    }

    /// The document without its keys, for those who may read it.
    pub fn without_keys(&self) -> Telemetry {
        let mut hidden = self.clone();
        for KeyEntry { key, .. } in hidden.keys_mut() {
            *key = HIDDEN_KEY.to_owned();
        }
        hidden
    }

    /// Gives a document that was read without its keys and comes back the keys of the one in force.
    pub fn keep_keys(&mut self, in_force: Option<&Telemetry>) {
        let mut in_force = in_force.cloned().unwrap_or_default();
        let mut known_keys = BTreeMap::new();
        for KeyEntry { owner, key } in in_force.keys_mut() {
            known_keys.insert(owner, key.clone());
        }
        for KeyEntry { owner, key } in self.keys_mut() {
            if key != HIDDEN_KEY {
                continue;
            }
            if let Some(known_key) = known_keys.get(&owner) {
                key.clone_from(known_key);
            }
        }
    }

    /// No key may still be hidden: there was none to keep.
    fn check_keys(&self) -> Result<(), SettingsError> {
        let mut document = self.clone();
        let mut hidden = document.keys_mut();
        hidden.retain(|entry| entry.key == HIDDEN_KEY);
        match hidden.pop() {
            Some(entry) => Err(SettingsError::UnknownKey { owner: entry.owner }),
            None => Ok(()),
        }
    }

    /// All keys, in the order of the document.
    fn keys_mut(&mut self) -> Vec<KeyEntry<'_>> {
        let mut keys = Vec::new();
        if let Some(collectd) = &mut self.collectd {
            if let Security::Sign(user) | Security::Encrypt(user) = &mut collectd.security {
                keys.push(KeyEntry { owner: format!("collectd {}", user.user), key: &mut user.key });
            }
        }
        if let Some(listen) = &mut self.listen {
            for (user, user_keys) in &mut listen.users {
                for (number, key) in user_keys.iter_mut().enumerate() {
                    keys.push(KeyEntry { owner: format!("listen {user} {number}"), key });
                }
            }
        }
        keys
    }
}

impl Graphite {
    fn check(&self) -> Result<(), SettingsError> {
        check_range("graphite.queue_bytes", self.queue_bytes, 1 << 16..=1 << 30)?;
        check_range("graphite.stuck_s", self.stuck_s as usize, 1..=3600)
    }
}

impl Collectd {
    fn check(&self) -> Result<(), SettingsError> {
        check_range("collectd.packet_bytes", self.packet_bytes, 1024..=65_507)?;
        if self.host.as_ref().is_some_and(|host| !is_valid_name(host)) {
            return Err(SettingsError::InvalidHostName);
        }
        match &self.security {
            Security::Sign(user) | Security::Encrypt(user) => user.check(),
            Security::None => Ok(()),
        }
    }
}

impl User {
    fn check(&self) -> Result<(), SettingsError> {
        if is_valid_name(&self.user) && !self.key.is_empty() {
            Ok(())
        } else {
            Err(SettingsError::InvalidUser)
        }
    }
}

impl Listen {
    fn check(&self) -> Result<(), SettingsError> {
        check_range("listen.skew_s", self.skew_s as usize, 1..=86_400)?;
        let has_keys = self.users.values().any(|keys| !keys.is_empty());
        if self.require != Require::Nothing && !has_keys {
            return Err(SettingsError::MissingUserKeys);
        }
        Ok(())
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

fn check_range(
    field: &'static str,
    value: usize,
    allowed: RangeInclusive<usize>,
) -> Result<(), SettingsError> {
    if allowed.contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange { field, value, min: *allowed.start(), max: *allowed.end() })
    }
}
