//! Parsing of submissions, and the status codes for invalid ones.

use super::*;

fn settings() -> DeploymentSettings {
    let class = |repeat, ordered| Class {
        latency_objective: 1,
        deadline: 5_000_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: repeat,
        ordered,
    };
    let mut settings = DeploymentSettings {
        class_names: vec!["status".into(), "change".into()],
        ..DeploymentSettings::default()
    };
    let keyed = Idempotency::Keyed { dedup_window: 1, per_zone: false };
    settings.settings.classes = vec![class(Idempotency::Idempotent, false), class(keyed, true)];
    settings
}

fn parse(head: &str) -> Result<SubmittedMessage, RequestError> {
    let bytes = format!("{head}\r\nContent-Length: 0\r\n\r\n");
    let request = linnetcart_http::parse_request(bytes.as_bytes()).unwrap().unwrap();
    parse_submission(&request, &settings())
}

#[test]
fn submission_fields_read() {
    let head = "POST /change/7 HTTP/1.1\r\nX-Txn: 9b\r\nCookie: a=b; subject=7f\r\nX-Remaining-Ms: 480\r\n\
                Idempotency-Key: 5c\r\nX-Route-To: dest=7";
    let message = parse(head).unwrap();
    assert_eq!((message.class, message.destination, message.time_remaining), (1, 7, 480_000_000));
    assert_eq!((&message.id[..], message.idempotency_key.as_deref()), (&b"9b"[..], Some(&b"5c"[..])));
    assert!(message.ordering_key != 0 && message.ordering_key == parse(head).unwrap().ordering_key);
    assert_ne!(message.ordering_key, parse(&head.replace("subject=7f", "subject=80")).unwrap().ordering_key);
    assert_eq!(parse(&head.replace("480", "99999999999")).unwrap().time_remaining, 5_000_000_000);
}

#[test]
fn submission_invalid_rejected_with_status() {
    let good = "POST /status HTTP/1.1\r\nX-Txn: 9b\r\nX-Remaining-Ms: 480\r\nX-Route-To: dest=7";
    assert!(parse(good).is_ok());
    let status = |from: &str, to: &str| parse(&good.replace(from, to)).unwrap_err().status();
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
