//! What is reported, and where: the document of `PUT /telemetry`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Stands for a key that is not shown.
const KEPT: &str = "(kept)";

/// The whole document. An empty one reports nothing; counts are kept all the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// Seconds between two reports.
    pub interval_s: u64,
    /// Points of one report at most. Beyond it cells of destination and class take turns.
    pub points: usize,
    /// Cells of counts that are kept at most, destinations times classes and routes apart.
    pub cells: usize,
    /// Names of destinations, by number.
    pub names: BTreeMap<u32, String>,
    /// A Graphite receiver.
    pub graphite: Option<Graphite>,
    /// A collectd receiver.
    pub collectd: Option<Collectd>,
    /// Reports of the host's own collectd, taken in.
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
    /// In what form it is sent to.
    #[serde(default)]
    pub form: Form,
    /// Names with tags instead of long paths.
    #[serde(default)]
    pub tags: bool,
    /// Bytes of reports that wait for it at most. Beyond it the oldest are dropped.
    #[serde(default = "queue_bytes")]
    pub queue_bytes: usize,
    /// Seconds after which a receiver that takes nothing is connected to anew.
    #[serde(default = "stuck_s")]
    pub stuck_s: u64,
}

fn queue_bytes() -> usize {
    16 << 20
}

fn stuck_s() -> u64 {
    30
}

/// A form of Graphite's.
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
    #[serde(default = "packet_bytes")]
    pub packet_bytes: usize,
}

fn packet_bytes() -> usize {
    1452
}

/// How packets of collectd are secured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Security {
    /// Not at all.
    #[default]
    None,
    /// Signed.
    Sign(User),
    /// Encrypted.
    Encrypt(User),
}

/// A user of collectd's and the key.
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
    /// What packets must be at least.
    #[serde(default)]
    pub require: Require,
    /// Keys by user; several while one takes the place of another.
    #[serde(default)]
    pub users: BTreeMap<String, Vec<String>>,
    /// Seconds that a value's time may differ from the clock.
    #[serde(default = "skew_s")]
    pub skew_s: u64,
}

fn skew_s() -> u64 {
    300
}

/// What packets must be at least.
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

impl Telemetry {
    /// Checks what serde cannot: the field and what is wrong with it.
    pub fn check(&self) -> Result<(), (String, String)> {
        let within = |field: &str, value: usize, least: usize, most: usize| {
            let ok = (least..=most).contains(&value);
            ok.then_some(()).ok_or_else(|| (field.to_owned(), format!("{value}; {least} to {most} will do")))
        };
        let mut unknown = None;
        self.clone().each_key(|of, key| {
            if key == KEPT {
                unknown = Some((of, "no key is known that could be kept; give it".to_owned()));
            }
        });
        unknown.map_or(Ok(()), Err)?;
        within("interval_s", self.interval_s as usize, 1, 3600)?;
        within("points", self.points, 1000, 10_000_000)?;
        within("cells", self.cells, 100, 1_000_000)?;
        within("names", self.names.len(), 0, 100_000)?;
        if let Some(g) = &self.graphite {
            within("graphite.queue_bytes", g.queue_bytes, 1 << 16, 1 << 30)?;
            within("graphite.stuck_s", g.stuck_s as usize, 1, 3600)?;
        }
        if let Some(c) = &self.collectd {
            within("collectd.packet_bytes", c.packet_bytes, 1024, 65_507)?;
            if c.host.as_ref().is_some_and(|h| h.is_empty() || h.len() > 127) {
                return Err(("collectd.host".into(), "1 to 127 bytes will do".into()));
            }
            if let Security::Sign(u) | Security::Encrypt(u) = &c.security {
                let ok = !u.user.is_empty() && u.user.len() <= 127 && !u.key.is_empty();
                ok.then_some(()).ok_or((
                    "collectd.security".to_owned(),
                    "a user of 1 to 127 bytes and a key are needed".to_owned(),
                ))?;
            }
        }
        if let Some(l) = &self.listen {
            within("listen.skew_s", l.skew_s as usize, 1, 86_400)?;
            if l.require != Require::Nothing && l.users.values().all(Vec::is_empty) {
                return Err((
                    "listen.users".into(),
                    "packets must be secured, but there is no user with a key".into(),
                ));
            }
        }
        Ok(())
    }

    /// Without the keys, for those who may read.
    pub fn without_keys(&self) -> Telemetry {
        let mut plain = self.clone();
        plain.each_key(|_, key| *key = KEPT.into());
        plain
    }

    /// A document that was read without its keys and comes back has the keys of the one before.
    pub fn keep_keys(&mut self, before: Option<&Telemetry>) {
        let mut known = BTreeMap::new();
        if let Some(mut before) = before.cloned() {
            before.each_key(|of, key| {
                known.insert(of, std::mem::take(key));
            });
        }
        self.each_key(|of, key| {
            if let Some(kept) = known.get(&of).filter(|_| key == KEPT) {
                key.clone_from(kept);
            }
        });
    }

    /// All keys, each with a name that stays.
    fn each_key(&mut self, mut see: impl FnMut(String, &mut String)) {
        if let Some(Security::Sign(u) | Security::Encrypt(u)) =
            self.collectd.as_mut().map(|c| &mut c.security)
        {
            see(format!("collectd {}", u.user), &mut u.key);
        }
        for (user, keys) in self.listen.iter_mut().flat_map(|l| &mut l.users) {
            keys.iter_mut().enumerate().for_each(|(n, key)| see(format!("listen {user} {n}"), key));
        }
    }
}
