//! Requests to the control interface, and their framing.

use super::http::MAX_HEAD_BYTES;
use super::*;
use linnetcart_kafka::server::Broker;
use proptest::prelude::*;

fn program() -> Program {
    let broker = Broker { id: 0, host: "127.0.0.1".into(), port: 1 };
    Program::new(StartOptions {
        seed: 1,
        now: 1,
        broker,
        run: 1,
        first_number: 1,
        policy: crate::core::library,
    })
}

/// A disk that is full.
fn no_space() -> SnapshotError {
    SnapshotError::Write { path: "snapshot".into(), source: std::io::Error::other("no space") }
}

fn ask(p: &mut Program, method: &str, path: &str, body: &serde_json::Value, disk: bool) -> (u16, String) {
    let r = Request {
        method: method.into(),
        path: path.into(),
        body: body.to_string().into_bytes(),
        connection: ConnectionHeader::KeepAlive,
    };
    let reply = p.handle(&r, &mut |_| if disk { Ok(()) } else { Err(no_space()) });
    (reply.status, reply.body)
}

#[test]
fn requests_in_any_order_change_all_or_nothing_and_errors_name_field_and_next_step() {
    let mut p = program();
    let settings = crate::settings::tests::sample();
    let list = json!({"version": 1, "whole": true, "entries": [
        {"id": 1, "destination": 0, "kind": "large", "zone": "a", "state": "ready", "address": "127.0.0.1:9"}]});
    let (status, body) = ask(&mut p, "PUT", "/list", &list, true);
    assert_eq!(status, 409);
    assert!(body.contains("PUT /settings first"), "{body}");
    assert_eq!(ask(&mut p, "PUT", "/settings", &settings, false).0, 500);
    assert!(p.core.is_none(), "nothing is half applied");
    assert_eq!(ask(&mut p, "PUT", "/settings", &settings, true).0, 200);
    assert_eq!(ask(&mut p, "PUT", "/list", &list, false).0, 500);
    assert_eq!(p.core.as_ref().unwrap().list().version, 0);
    assert_eq!(ask(&mut p, "PUT", "/list", &list, true).0, 200);
    assert_eq!(ask(&mut p, "PUT", "/list", &list, true).0, 422);
    let mut other = settings.clone();
    other["limits"]["slots"] = json!(9);
    assert_eq!(ask(&mut p, "PUT", "/settings", &other, true).0, 202);
    other["kinds"] = json!([{"name": "medium"}]);
    let (status, body) = ask(&mut p, "PUT", "/settings", &other, true);
    assert_eq!(status, 409);
    assert!(body.contains("entries[0].kind"), "{body}");
    assert_eq!(ask(&mut p, "GET", "/elsewhere", &json!(null), true).0, 404);
    assert_eq!(ask(&mut p, "POST", "/list", &json!(null), true).0, 405);
}

#[test]
fn http_head_or_body_beyond_the_bounds_is_invalid() {
    let input = |bytes: &[u8]| {
        let mut http = HttpConnection::default();
        http.push(bytes);
        http.next_input()
    };
    let status = |bytes: &[u8]| match input(bytes) {
        HttpInput::Invalid(reply) => reply.status,
        other => panic!("{other:?}"),
    };
    assert_eq!(status(format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(MAX_HEAD_BYTES)).as_bytes()), 431);
    assert_eq!(status(b"PUT / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n"), 413);
    assert_eq!(status(b"PUT / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
    assert_eq!(status(b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), 411);
    assert_eq!(status(b"\0\0\0\x10\0\x12"), 400);
    assert_eq!(
        input(b"PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"),
        HttpInput::ExpectsContinue
    );
}

proptest! {
    #[test]
    fn http_requests_cut_anywhere_are_read(body in prop::collection::vec(any::<u8>(), 0..60), cut in 1usize..9) {
        let mut wire = format!("PUT /list?x=1 HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        wire.extend(&body);
        let twice = [wire.clone(), wire].concat();
        let mut http = HttpConnection::default();
        let mut got = Vec::new();
        for piece in twice.chunks(cut) {
            http.push(piece);
            while let HttpInput::Request(r) = http.next_input() {
                got.push((r.path, r.body));
            }
        }
        prop_assert_eq!(got, vec![("/list".to_owned(), body.clone()), ("/list".to_owned(), body)]);
    }

    #[test]
    fn http_random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut http = HttpConnection::default();
        http.push(&bytes);
        let _ = http.next_input();
    }
}
