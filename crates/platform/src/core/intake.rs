//! From a request to a message, or to the reason why it is none.

use linnetcart::Time;
use linnetcart_deployment_settings::DeploymentSettings;
use linnetcart_http::{parse_decimal, Request};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Bytes of an id or an idempotency key.
const NAME: usize = 128;

/// A message as handed in.
#[derive(Debug, PartialEq, Eq)]
pub struct Handed {
    /// Its id.
    pub id: Vec<u8>,
    /// Its idempotency key.
    pub token: Option<Vec<u8>>,
    /// Its class.
    pub class: u8,
    /// Its destination.
    pub destination: u32,
    /// The key that it keeps order by; 0 for none.
    pub line: u64,
    /// How long it may still be delivered.
    pub left: Time,
}

/// Why a request is no message: status and reason.
pub type Refused = (u16, &'static str);

/// Reads a request that hands in a message.
pub fn read(r: &Request<'_>, site: &DeploymentSettings) -> Result<Handed, Refused> {
    let once = |name| r.field(name).map_err(|_| (400, "a field stands there twice"));
    let path = r.path().strip_prefix(b"/").unwrap_or_default();
    let first = path.split(|&b| b == b'/').next().unwrap_or_default();
    let class = site.class_names.iter().position(|name| name.as_bytes() == first && !first.is_empty());
    let class = class.ok_or((404, "there is no such class"))?;
    if r.method() != b"POST" {
        return Err((405, "hand messages in with POST"));
    }
    let id = once("x-txn")?.and_then(name).ok_or((400, "X-Txn is missing or cannot be used"))?;
    let token = match once("idempotency-key")? {
        Some(token) => Some(name(token).ok_or((400, "Idempotency-Key cannot be used"))?),
        None => None,
    };
    let keyed = matches!(site.settings.classes[class].idempotency, linnetcart::Idempotency::Keyed { .. });
    if keyed && token.is_none() {
        return Err((400, "this class wants an Idempotency-Key"));
    }
    let to = once("x-route-to")?.and_then(|v| v.strip_prefix(b"dest=")).and_then(parse_decimal);
    let destination =
        to.and_then(|n| u32::try_from(n).ok()).ok_or((400, "X-Route-To is `dest=` and a number"))?;
    let left =
        once("x-remaining-ms")?.and_then(parse_decimal).ok_or((400, "X-Remaining-Ms is a whole number"))?;
    let left = left.saturating_mul(1_000_000).min(site.settings.classes[class].deadline);
    let line = match site.settings.classes[class].ordered {
        true => once("cookie")?.and_then(subject).map_or(0, line),
        false => 0,
    };
    Ok(Handed { id, token, class: class as u8, destination, line, left })
}

/// An id or key that can go into another head as it is.
fn name(value: &[u8]) -> Option<Vec<u8>> {
    let good = !value.is_empty() && value.len() <= NAME && value.iter().all(u8::is_ascii_graphic);
    good.then(|| value.to_vec())
}

/// The cookie that names the key.
fn subject(cookies: &[u8]) -> Option<&[u8]> {
    let mut pairs = cookies.split(|&b| b == b';').map(<[u8]>::trim_ascii);
    pairs.find_map(|p| p.strip_prefix(b"subject=")).filter(|key| !key.is_empty())
}

/// The number that stands for a key; never 0.
fn line(key: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish().max(1)
}

#[cfg(test)]
mod tests;
