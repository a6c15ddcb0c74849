//! Requests and the messages that they hand in.

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
    let head = "POST /change/7 HTTP/1.1\r\nX-Txn: 9b\r\nCookie: a=b; subject=7f\r\nX-Remaining-Ms: 480\r\n\
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
