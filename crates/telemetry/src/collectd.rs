//! collectd's binary protocol: packets of typed parts, plain, signed or encrypted.
//!
//! A part is its type and its length with these four bytes, both 16 bits, most significant byte first, and what
//! it holds. Strings end in a zero byte. Parts describe what follows until another of their kind comes.

use crate::series::{Place, Point, Value};
use crate::settings::{Require, Security, User};
use aes::cipher::{KeyIvInit, StreamCipher};
use hmac::{Hmac, Mac};
use sha1::Sha1;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// 256-bit AES in output feedback mode.
type Ofb = ofb::Ofb<aes::Aes256>;

const HOST: u16 = 0x0000;
const TIME: u16 = 0x0001;
const PLUGIN: u16 = 0x0002;
const PLUGIN_INSTANCE: u16 = 0x0003;
const TYPE: u16 = 0x0004;
const TYPE_INSTANCE: u16 = 0x0005;
const VALUES: u16 = 0x0006;
const INTERVAL: u16 = 0x0007;
const TIME_HR: u16 = 0x0008;
const INTERVAL_HR: u16 = 0x0009;
const MESSAGE: u16 = 0x0100;
const SEVERITY: u16 = 0x0101;
const SIGNATURE: u16 = 0x0200;
const ENCRYPTION: u16 = 0x0210;

/// Bytes of a part before what it holds.
const HEAD: usize = 4;
const MAC: usize = 32;
const IV: usize = 16;
const SUM: usize = 20;
/// A name is no longer, with its zero byte.
const NAME: usize = 128;
/// Values of one list at most; stock types have fewer.
const MOST_VALUES: usize = 64;

/// A value with its kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MetricValue {
    /// Grows, and wraps.
    Counter(u64),
    /// Of now.
    Gauge(f64),
    /// Of which the change counts.
    Derive(i64),
    /// Since the last report.
    Absolute(u64),
}

impl MetricValue {
    /// As a number.
    pub fn as_f64(self) -> f64 {
        match self {
            MetricValue::Counter(n) | MetricValue::Absolute(n) => n as f64,
            MetricValue::Gauge(x) => x,
            MetricValue::Derive(n) => n as f64,
        }
    }
}

/// What a list of values, or a notification, is about, and when.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct About {
    /// The host.
    pub host: String,
    /// When, in units of 2^-30 seconds since 1970.
    pub time: u64,
    /// Between two, in the same units.
    pub interval: u64,
    /// The plugin.
    pub plugin: String,
    /// Which of its instances.
    pub plugin_instance: String,
    /// The type, as `types.db` has it.
    pub kind: String,
    /// Which of its instances.
    pub type_instance: String,
}

/// What a packet says.
#[derive(Clone, Debug, PartialEq)]
pub enum PacketItem {
    /// Values.
    Values(About, Vec<MetricValue>),
    /// A notification, with its severity: 1 failure, 2 warning, 4 okay.
    Notification(About, u64, String),
}

/// Why a packet was turned down.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// A part is cut, or says a length that cannot be.
    #[error("at byte {0}: a part's length cannot be")]
    Length(usize),
    /// What a part holds cannot be.
    #[error("at byte {0}: what the part holds cannot be")]
    Content(usize),
    /// A signed or encrypted part where none may be.
    #[error("at byte {0}: parts are nested wrongly")]
    Nested(usize),
    /// The signature or the sum is wrong.
    #[error("signature, sum or key of user `{0}` is wrong")]
    Forged(String),
    /// No key for the user.
    #[error("no key is set for user `{0}`")]
    Unknown(String),
    /// Less secure than must be.
    #[error("the packet must be signed or encrypted")]
    Plain,
}

/// Seconds and nanoseconds as collectd counts them: in 2^-30 seconds.
pub fn high_resolution(nanos: u64) -> u64 {
    let (seconds, rest) = (nanos / 1_000_000_000, nanos % 1_000_000_000);
    (seconds << 30) | ((rest << 30) / 1_000_000_000)
}

/// The same back, in nanoseconds.
pub fn nanos(high_resolution: u64) -> u64 {
    let rest = (high_resolution & 0x3fff_ffff) * 1_000_000_000;
    (high_resolution >> 30).saturating_mul(1_000_000_000).saturating_add(rest >> 30)
}

// ---- Out

fn part(out: &mut Vec<u8>, kind: u16, body: &[u8]) {
    out.extend(kind.to_be_bytes());
    out.extend(((HEAD + body.len()) as u16).to_be_bytes());
    out.extend(body);
}

fn text(out: &mut Vec<u8>, kind: u16, text: &str) {
    let mut body = text.as_bytes()[..text.len().min(NAME - 1)].to_vec();
    body.retain(|&b| b != 0);
    body.push(0);
    part(out, kind, &body);
}

/// The name and type under which a point goes.
fn about(point: &Point) -> (String, &'static str, MetricValue) {
    let instance = match &point.place {
        Place::Courier => "courier".to_owned(),
        Place::Class(class) => format!("class-{class}"),
        Place::Dest(dest) => format!("dest-{dest}"),
        Place::Cell(dest, class) => format!("dest-{dest}-class-{class}"),
        Place::Route(dest, route) => format!("dest-{dest}-route-{route}"),
    };
    match point.value {
        Value::Count(n) => (instance, "derive", MetricValue::Derive(i64::try_from(n).unwrap_or(i64::MAX))),
        Value::Gauge(x) => (instance, "gauge", MetricValue::Gauge(x)),
        Value::Millis(x) => (instance, "latency", MetricValue::Gauge(x / 1000.0)),
    }
}

fn values(out: &mut Vec<u8>, values: &[MetricValue]) {
    let mut body = (values.len() as u16).to_be_bytes().to_vec();
    body.extend(values.iter().map(|v| match v {
        MetricValue::Counter(_) => 0u8,
        MetricValue::Gauge(_) => 1,
        MetricValue::Derive(_) => 2,
        MetricValue::Absolute(_) => 3,
    }));
    for v in values {
        match *v {
            MetricValue::Counter(n) | MetricValue::Absolute(n) => body.extend(n.to_be_bytes()),
            // The one thing with its least significant byte first.
            MetricValue::Gauge(x) => body.extend(x.to_le_bytes()),
            MetricValue::Derive(n) => body.extend(n.to_be_bytes()),
        }
    }
    part(out, VALUES, &body);
}

/// When a packet's values are of, and how it is secured.
#[derive(Clone, Debug)]
pub struct Envelope<'a> {
    /// The host.
    pub host: &'a str,
    /// Nanoseconds since 1970.
    pub stamp: u64,
    /// Nanoseconds between two reports.
    pub interval: u64,
    /// Security.
    pub security: &'a Security,
    /// Bytes of a packet at most.
    pub most: usize,
}

impl Envelope<'_> {
    fn begin(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.most);
        text(&mut out, HOST, self.host);
        part(&mut out, TIME_HR, &high_resolution(self.stamp).to_be_bytes());
        part(&mut out, INTERVAL_HR, &high_resolution(self.interval).to_be_bytes());
        out
    }

    /// Bytes that securing adds.
    fn added(&self) -> usize {
        match self.security {
            Security::None => 0,
            Security::Sign(u) => HEAD + MAC + u.user.len(),
            Security::Encrypt(u) => HEAD + 2 + u.user.len() + IV + SUM,
        }
    }

    fn seal(&self, parts: Vec<u8>, iv: &mut dyn FnMut() -> [u8; IV]) -> Vec<u8> {
        match self.security {
            Security::None => parts,
            Security::Sign(u) => sign(&parts, u),
            Security::Encrypt(u) => encrypt(&parts, u, iv()),
        }
    }

    /// Points in packets filled to the bound, each with the number of its points.
    pub fn packets(&self, points: &[Point], iv: &mut dyn FnMut() -> [u8; IV]) -> Vec<(Vec<u8>, u32)> {
        let room = self.most - self.added();
        let mut packets = Vec::new();
        let (mut open, mut count) = (self.begin(), 0);
        text(&mut open, PLUGIN, "linnetcart");
        let empty = open.clone();
        // What the parts before it say already need not be said again.
        let (mut instance, mut kind) = (String::new(), "");
        for point in points {
            let (its_instance, its_kind, value) = about(point);
            let describe = |instance: &str, kind: &str| {
                let mut more = Vec::new();
                if instance != its_instance {
                    text(&mut more, PLUGIN_INSTANCE, &its_instance);
                }
                if kind != its_kind {
                    text(&mut more, TYPE, its_kind);
                }
                text(&mut more, TYPE_INSTANCE, point.field);
                values(&mut more, &[value]);
                more
            };
            let mut more = describe(&instance, kind);
            if open.len() + more.len() > room && count > 0 {
                packets.push((self.seal(std::mem::replace(&mut open, empty.clone()), iv), count));
                count = 0;
                more = describe("", "");
            }
            open.extend(more);
            count += 1;
            (instance, kind) = (its_instance, its_kind);
        }
        if count > 0 {
            packets.push((self.seal(open, iv), count));
        }
        packets
    }

    /// A notification; its text is cut to what a packet takes.
    pub fn notification(
        &self,
        instance: &str,
        severity: u64,
        message: &str,
        iv: &mut dyn FnMut() -> [u8; IV],
    ) -> Vec<u8> {
        let mut out = self.begin();
        text(&mut out, PLUGIN, "linnetcart");
        text(&mut out, PLUGIN_INSTANCE, instance);
        text(&mut out, TYPE, "gauge");
        text(&mut out, TYPE_INSTANCE, "state");
        part(&mut out, SEVERITY, &severity.to_be_bytes());
        text(&mut out, MESSAGE, message);
        self.seal(out, iv)
    }
}

fn mac(user: &str, key: &str, parts: &[u8]) -> Hmac<Sha256> {
    // Any length of key will do for HMAC.
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key.as_bytes()).unwrap_or_else(|_| unreachable!());
    mac.update(user.as_bytes());
    mac.update(parts);
    mac
}

/// The signature's part holds the code over the user's name and all parts after it, then that name.
fn sign(parts: &[u8], u: &User) -> Vec<u8> {
    let mut body = mac(&u.user, &u.key, parts).finalize().into_bytes().to_vec();
    body.extend(u.user.as_bytes());
    let mut out = Vec::with_capacity(HEAD + body.len() + parts.len());
    part(&mut out, SIGNATURE, &body);
    out.extend(parts);
    out
}

fn cipher(key: &str, iv: &[u8; IV]) -> Ofb {
    Ofb::new(&Sha256::digest(key.as_bytes()), iv.into())
}

/// The encrypted part holds the length of the user's name, it, the initial vector, and encrypted: the SHA-1 sum
/// of the parts, and them.
fn encrypt(parts: &[u8], u: &User, iv: [u8; IV]) -> Vec<u8> {
    let mut sealed = Sha1::digest(parts).to_vec();
    sealed.extend(parts);
    cipher(&u.key, &iv).apply_keystream(&mut sealed);
    let mut body = (u.user.len() as u16).to_be_bytes().to_vec();
    body.extend(u.user.as_bytes());
    body.extend(iv);
    body.extend(sealed);
    let mut out = Vec::with_capacity(HEAD + body.len());
    part(&mut out, ENCRYPTION, &body);
    out
}

// ---- In

/// How a packet was secured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Secured {
    No,
    Signed,
    Encrypted,
}

/// Reads a packet: all of it, or nothing.
pub fn read(
    packet: &[u8],
    keys: &BTreeMap<String, Vec<String>>,
    require: Require,
) -> Result<Vec<PacketItem>, PacketError> {
    let mut said = Vec::new();
    parts(packet, keys, require, Secured::No, &mut said)?;
    Ok(said)
}

fn parts(
    packet: &[u8],
    keys: &BTreeMap<String, Vec<String>>,
    require: Require,
    mut secured: Secured,
    said: &mut Vec<PacketItem>,
) -> Result<(), PacketError> {
    let (mut at, mut about, mut severity) = (0, About::default(), 0);
    while at < packet.len() {
        let word = |from: usize| Some(u16::from_be_bytes(packet.get(from..from + 2)?.try_into().ok()?));
        let (kind, length) = word(at).zip(word(at + 2)).ok_or(PacketError::Length(at))?;
        let end = at + usize::from(length);
        let body = packet
            .get(at + HEAD..end)
            .filter(|_| usize::from(length) >= HEAD)
            .ok_or(PacketError::Length(at))?;
        let number = || Ok(u64::from_be_bytes(body.try_into().map_err(|_| PacketError::Content(at))?));
        match kind {
            SIGNATURE if at == 0 && secured == Secured::No => {
                verify(body, &packet[end..], keys)?;
                secured = Secured::Signed;
            }
            ENCRYPTION if secured == Secured::No && at == 0 && end == packet.len() => {
                let open = decrypt(body, keys)?;
                return parts(&open, keys, require, Secured::Encrypted, said);
            }
            SIGNATURE | ENCRYPTION => return Err(PacketError::Nested(at)),
            _ if (secured as u8) < (require as u8) => return Err(PacketError::Plain),
            HOST => (about.host, about.plugin_instance) = (string(body, at)?, String::new()),
            PLUGIN => about.plugin = string(body, at)?,
            PLUGIN_INSTANCE => about.plugin_instance = string(body, at)?,
            TYPE => about.kind = string(body, at)?,
            TYPE_INSTANCE => about.type_instance = string(body, at)?,
            TIME => about.time = number()?.checked_mul(1 << 30).ok_or(PacketError::Content(at))?,
            INTERVAL => about.interval = number()?.checked_mul(1 << 30).ok_or(PacketError::Content(at))?,
            TIME_HR => about.time = number()?,
            INTERVAL_HR => about.interval = number()?,
            SEVERITY => severity = number()?,
            MESSAGE => said.push(PacketItem::Notification(about.clone(), severity, string(body, at)?)),
            VALUES => said
                .push(PacketItem::Values(about.clone(), read_values(body).ok_or(PacketError::Content(at))?)),
            // Kinds that came later are passed over, as the protocol says.
            _ => {}
        }
        at = end;
    }
    Ok(())
}

fn string(body: &[u8], at: usize) -> Result<String, PacketError> {
    let (&zero, text) = body.split_last().ok_or(PacketError::Content(at))?;
    let ok = zero == 0 && text.len() < NAME * 8 && !text.contains(&0);
    let text = std::str::from_utf8(text).ok().filter(|_| ok).ok_or(PacketError::Content(at))?;
    Ok(text.to_owned())
}

fn read_values(body: &[u8]) -> Option<Vec<MetricValue>> {
    let count = usize::from(u16::from_be_bytes(body.get(..2)?.try_into().ok()?));
    if count > MOST_VALUES || body.len() != 2 + 9 * count {
        return None;
    }
    let (kinds, numbers) = body[2..].split_at(count);
    let read = kinds.iter().zip(numbers.chunks_exact(8)).map(|(kind, eight)| {
        let eight: [u8; 8] = eight.try_into().ok()?;
        Some(match kind {
            0 => MetricValue::Counter(u64::from_be_bytes(eight)),
            1 => MetricValue::Gauge(f64::from_le_bytes(eight)),
            2 => MetricValue::Derive(i64::from_be_bytes(eight)),
            3 => MetricValue::Absolute(u64::from_be_bytes(eight)),
            _ => return None,
        })
    });
    read.collect()
}

fn user<'a>(
    name: &[u8],
    keys: &'a BTreeMap<String, Vec<String>>,
) -> Result<(String, &'a Vec<String>), PacketError> {
    let name = String::from_utf8_lossy(name).into_owned();
    match keys.get(&name).filter(|k| !k.is_empty()) {
        Some(keys) => Ok((name, keys)),
        None => Err(PacketError::Unknown(name.chars().take(NAME).collect())),
    }
}

fn verify(body: &[u8], rest: &[u8], keys: &BTreeMap<String, Vec<String>>) -> Result<(), PacketError> {
    let (code, name) = body.split_at_checked(MAC).ok_or(PacketError::Content(0))?;
    let (name, keys) = user(name, keys)?;
    let good = keys.iter().any(|key| mac(&name, key, rest).verify_slice(code).is_ok());
    good.then_some(()).ok_or(PacketError::Forged(name))
}

fn decrypt(body: &[u8], keys: &BTreeMap<String, Vec<String>>) -> Result<Vec<u8>, PacketError> {
    let (length, rest) = body.split_at_checked(2).ok_or(PacketError::Content(0))?;
    let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
    let (name, rest) = rest.split_at_checked(length).ok_or(PacketError::Content(0))?;
    let (name, keys) = user(name, keys)?;
    let (iv, sealed) = rest.split_at_checked(IV).ok_or(PacketError::Content(0))?;
    let iv: [u8; IV] = iv.try_into().map_err(|_| PacketError::Content(0))?;
    for key in keys {
        let mut open = sealed.to_vec();
        cipher(key, &iv).apply_keystream(&mut open);
        if open.len() >= SUM && Sha1::digest(&open[SUM..]).as_slice() == &open[..SUM] {
            return Ok(open.split_off(SUM));
        }
    }
    Err(PacketError::Forged(name))
}

#[cfg(test)]
mod tests;
