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
mod tests {
    use super::*;
    use linnetcart::{Class, Idempotency};

    fn site() -> DeploymentSettings {
        let class = |repeat, ordered| Class {
            latency_objective: 1,
            deadline: 5_000_000_000,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: repeat,
            ordered,
        };
        let mut site = DeploymentSettings {
            class_names: vec!["status".into(), "change".into()],
            ..DeploymentSettings::default()
        };
        let keyed = Idempotency::Keyed { dedup_window: 1, per_zone: false };
        site.settings.classes = vec![class(Idempotency::Idempotent, false), class(keyed, true)];
        site
    }

    fn take(head: &str) -> Result<Handed, Refused> {
        let bytes = format!("{head}\r\nContent-Length: 0\r\n\r\n");
        read(&linnetcart_http::parse_request(bytes.as_bytes()).unwrap().unwrap(), &site())
    }

    #[test]
    fn a_message_is_read_from_its_fields() {
        let head =
            "POST /change/7 HTTP/1.1\r\nX-Txn: 9b\r\nCookie: a=b; subject=7f\r\nX-Remaining-Ms: 480\r\n\
                    Idempotency-Key: 5c\r\nX-Route-To: dest=7";
        let h = take(head).unwrap();
        assert_eq!((h.class, h.destination, h.left), (1, 7, 480_000_000));
        assert_eq!((&h.id[..], h.token.as_deref()), (&b"9b"[..], Some(&b"5c"[..])));
        assert!(h.line != 0 && h.line == take(head).unwrap().line);
        assert_ne!(h.line, take(&head.replace("subject=7f", "subject=80")).unwrap().line);
        assert_eq!(take(&head.replace("480", "99999999999")).unwrap().left, 5_000_000_000);
    }

    #[test]
    fn what_cannot_be_used_is_refused() {
        let good = "POST /status HTTP/1.1\r\nX-Txn: 9b\r\nX-Remaining-Ms: 480\r\nX-Route-To: dest=7";
        assert!(take(good).is_ok());
        let status = |from: &str, to: &str| take(&good.replace(from, to)).unwrap_err().0;
        assert_eq!(status("/status", "/nothing"), 404);
        assert_eq!(status("/status", "/"), 404);
        assert_eq!(status("POST", "GET"), 405);
        for (from, to) in [
            ("X-Txn: 9b", "X-Other: 1"),
            ("X-Txn: 9b", "X-Txn: 9b\r\nX-Txn: 9c"),
            ("9b", "9 b"),
            ("480", "-480"),
            ("480", "soon"),
            ("480", "4.8"),
            ("dest=7", "dest=-7"),
            ("dest=7", "7"),
            ("dest=7", "dest=99999999999"),
            ("/status", "/change"),
        ] {
            assert_eq!(status(from, to), 400, "{from} -> {to}");
        }
    }
}
