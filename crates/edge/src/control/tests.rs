//! Requests to the control interface, and their HTTP framing.

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
        memory: linnetcart_courier_common::memory_budget::MemoryBudget::unlimited(),
        policy: crate::core::library,
    })
}

/// Whether the snapshot can be written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disk {
    Writable,
    Full,
}

fn no_space() -> SnapshotError {
    SnapshotError::Write { path: "snapshot".into(), source: std::io::Error::other("no space") }
}

fn request(program: &mut Program, method: &str, path: &str, body: &serde_json::Value, disk: Disk) -> Reply {
    let request = Request {
        method: method.into(),
        path: path.into(),
        body: body.to_string().into_bytes(),
        connection: ConnectionHeader::KeepAlive,
    };
    program.handle(&request, &mut |_| match disk {
        Disk::Writable => Ok(()),
        Disk::Full => Err(no_space()),
    })
}

fn put(program: &mut Program, path: &str, body: &serde_json::Value) -> Reply {
    request(program, "PUT", path, body, Disk::Writable)
}

#[test]
fn requests_apply_completely_or_not_at_all_and_errors_name_field_and_remedy() {
    let mut program = program();
    let settings = crate::settings::tests::sample();
    let list = json!({"version": 1, "whole": true, "entries": [
        {"id": 1, "destination": 0, "kind": "large", "zone": "a", "state": "ready",
         "address": "127.0.0.1:9"}]});
    let reply = put(&mut program, "/list", &list);
    assert_eq!(reply.status, 409);
    assert!(reply.body.contains("PUT /settings first"), "{}", reply.body);
    assert_eq!(request(&mut program, "PUT", "/settings", &settings, Disk::Full).status, 500);
    assert!(program.core.is_none(), "nothing is applied partially");
    assert_eq!(put(&mut program, "/settings", &settings).status, 200);
    assert_eq!(request(&mut program, "PUT", "/list", &list, Disk::Full).status, 500);
    assert_eq!(program.core.as_ref().unwrap().list().version, 0);
    assert_eq!(put(&mut program, "/list", &list).status, 200);
    assert_eq!(put(&mut program, "/list", &list).status, 422);
    let mut other = settings.clone();
    other["limits"]["slots"] = json!(9);
    assert_eq!(put(&mut program, "/settings", &other).status, 202);
    other["kinds"] = json!([{"name": "medium"}]);
    let reply = put(&mut program, "/settings", &other);
    assert_eq!(reply.status, 409);
    assert!(reply.body.contains("entries[0].kind"), "{}", reply.body);
    assert_eq!(request(&mut program, "GET", "/elsewhere", &json!(null), Disk::Writable).status, 404);
    assert_eq!(request(&mut program, "POST", "/list", &json!(null), Disk::Writable).status, 405);
}

#[test]
fn http_head_or_body_beyond_the_limits_is_invalid() {
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
    fn http_requests_received_in_pieces_are_parsed(
        body in prop::collection::vec(any::<u8>(), 0..60),
        piece_bytes in 1usize..9,
    ) {
        let head = format!("PUT /list?x=1 HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
        let encoded = [head.into_bytes(), body.clone()].concat();
        let twice = [encoded.clone(), encoded].concat();
        let mut http = HttpConnection::default();
        let mut requests = Vec::new();
        for piece in twice.chunks(piece_bytes) {
            http.push(piece);
            while let HttpInput::Request(request) = http.next_input() {
                requests.push((request.path, request.body));
            }
        }
        let expected = ("/list".to_owned(), body);
        prop_assert_eq!(requests, vec![expected.clone(), expected]);
    }

    #[test]
    fn http_random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut http = HttpConnection::default();
        http.push(&bytes);
        let _ = http.next_input();
    }
}
