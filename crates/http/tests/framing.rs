//! Parsing of requests, responses and chunked bodies: cut at any byte, ambiguous, malformed, arbitrary.

use linnetcart_http::{
    parse_request, parse_response, unframed_values, ChunkedDecoder, EarlyStatus, ParsedResponse, Persistence,
    RequestError, MAX_BODY_BYTES, MAX_HEADER_FIELDS, MAX_HEAD_BYTES,
};
use proptest::prelude::*;

#[test]
fn request_cut_at_any_byte_parsed_only_when_complete() {
    let bytes = b"POST /notice/x?y=1 HTTP/1.1\r\nHost: a\r\nX-Txn: 9b\r\nContent-Length: 3\r\n\r\nabcGET";
    let request_length = bytes.len() - 3;
    for n in 0..request_length {
        assert_eq!(parse_request(&bytes[..n]), Ok(None), "{n}");
    }
    let r = parse_request(bytes).unwrap().unwrap();
    assert_eq!((r.method(), r.path(), r.body()), (&b"POST"[..], &b"/notice/x"[..], &b"abc"[..]));
    assert_eq!(r.field("x-txn"), Ok(Some(&b"9b"[..])));
    assert_eq!(
        (r.field("cookie"), r.length(), r.persistence),
        (Ok(None), request_length, Persistence::KeepAlive)
    );
}

#[test]
fn request_with_ambiguous_framing_rejected_before_its_body() {
    let head = |fields: &str| format!("POST /a HTTP/1.1\r\n{fields}\r\n\r\n").into_bytes();
    let rejection = |fields: &str| parse_request(&head(fields)).unwrap_err();
    assert_eq!(rejection("Content-Length: 5\r\nTransfer-Encoding: chunked"), RequestError::TransferEncoding);
    assert_eq!(rejection("Transfer-Encoding : chunked"), RequestError::Unreadable);
    assert_eq!(rejection("transfer-encoding: identity"), RequestError::TransferEncoding);
    for length in ["-1", "+1", "1, 1", "0x3", "1 1", "", "99999999999999999999", "1e3"] {
        assert_eq!(rejection(&format!("Content-Length: {length}")), RequestError::BadLength, "{length}");
    }
    assert_eq!(rejection("Content-Length: 1\r\nContent-Length: 1"), RequestError::BadLength);
    assert_eq!(rejection("Content-Length: 65537"), RequestError::BodyTooLong);
    assert_eq!(parse_request(&vec![b'a'; MAX_HEAD_BYTES + 1]), Err(RequestError::HeadTooLong));
    let many = "a: b\r\n".repeat(MAX_HEADER_FIELDS + 1);
    assert_eq!(rejection(&format!("{many}c: d")), RequestError::HeadTooLong);
    assert!(parse_request(b"\x16\x03\x01\x02\x00").is_err());
}

#[test]
fn response_cut_at_any_byte_incomplete_until_head_ends() {
    let bytes =
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 No\r\nX-Backoff-Ms: 40\r\nContent-Length: 2\r\n\r\nokX";
    let head = bytes.len() - 3;
    for n in 0..head {
        assert_eq!(
            parse_response(&bytes[..n]),
            ParsedResponse::Incomplete { status: EarlyStatus::Other },
            "{n}"
        );
    }
    let ParsedResponse::Head(h) = parse_response(bytes) else { panic!() };
    assert_eq!((h.status, h.length, h.body, h.persistence), (429, head, Some(2), Persistence::KeepAlive));
    assert_eq!(h.field("x-backoff-ms"), Some(&b"40"[..]));
}

#[test]
fn response_malformed_after_200_status_line_reports_ok() {
    assert_eq!(parse_response(b"\x00\x01"), ParsedResponse::Malformed { status: EarlyStatus::Other });
    assert_eq!(
        parse_response(b"HTTP/1.1 2000 OK\r\n"),
        ParsedResponse::Malformed { status: EarlyStatus::Other }
    );
    assert_eq!(
        parse_response(b"HTTP/1.1 200 OK\r\nX"),
        ParsedResponse::Incomplete { status: EarlyStatus::Ok }
    );
    assert_eq!(
        parse_response(b"HTTP/1.1 200 OK\r\n\x01\x02: \x00\r\n\r\n"),
        ParsedResponse::Malformed { status: EarlyStatus::Ok }
    );
    assert_eq!(
        parse_response(b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n"),
        ParsedResponse::Malformed { status: EarlyStatus::Ok }
    );
    assert_eq!(
        parse_response(b"HTTP/1.1 500 No\r\nContent-Length: x\r\n\r\n"),
        ParsedResponse::Malformed { status: EarlyStatus::Other }
    );
    let mut long = b"HTTP/1.1 200 OK\r\nX: ".to_vec();
    long.resize(MAX_HEAD_BYTES + 1, b'a');
    assert_eq!(parse_response(&long), ParsedResponse::Malformed { status: EarlyStatus::Ok });
    let ParsedResponse::Head(h) = parse_response(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
    else {
        panic!()
    };
    assert_eq!((h.status, h.body), (200, None));
}

#[test]
fn chunked_body_cut_at_any_byte_decoded() {
    let bytes = b"3\r\nabc\r\n1;x=y\r\n\n\r\n0\r\n\r\n";
    for cut in 0..=bytes.len() {
        let (mut chunks, mut out) = (ChunkedDecoder::default(), Vec::new());
        chunks.push(&bytes[..cut], &mut out).unwrap();
        assert!(chunks.push(&bytes[cut..], &mut out).unwrap());
        assert_eq!(out, b"abc\n");
    }
    assert!(ChunkedDecoder::default().push(b"zz\r\n", &mut Vec::new()).is_err());
    assert!(ChunkedDecoder::default().push(&[b'1'; 65], &mut Vec::new()).is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic_or_wait_beyond_bounds(
        bytes in proptest::collection::vec(any::<u8>(), 0..400),
        start in 0..4usize,
    ) {
        let starts: [&[u8]; 4] =
            [b"", b"POST /a HTTP/1.1\r\n", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: "];
        let bytes = [starts[start], &bytes].concat();
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes);
        let mut out = Vec::new();
        let _ = ChunkedDecoder::default().push(&bytes, &mut out);
        prop_assert!(out.len() <= bytes.len());
        let long = [&bytes[..], &vec![b'a'; MAX_HEAD_BYTES + MAX_BODY_BYTES + 1]].concat();
        prop_assert!(!matches!(parse_request(&long), Ok(None)));
        let waits = matches!(parse_response(&long), ParsedResponse::Incomplete { .. });
        prop_assert!(!waits);
    }
}

#[test]
fn unframed_values_are_those_of_complete_lines_of_first_head() {
    let values = |bytes: &str| -> Vec<String> {
        let values = unframed_values(bytes.as_bytes(), "x-txn");
        values.map(|value| String::from_utf8_lossy(value).into_owned()).collect()
    };
    assert_eq!(values("POST / HTTP/1.1\r\nX-Txn: a\r\nX-Tx"), ["a"]);
    assert_eq!(values("POST / HTTP/1.1\nx-txn : a\nno field\nX-TXN:b\n"), ["a", "b"]);
    assert_eq!(values("POST / HTTP/1.1\r\nX-Txn: cut"), [""; 0]);
    assert_eq!(values("X-Txn: request-line\r\nX-Txn2: other\r\n"), [""; 0]);
    assert_eq!(values("POST / HTTP/1.1\r\n\r\nX-Txn: body\r\n"), [""; 0]);
    assert_eq!(values(&format!("POST / HTTP/1.1\r\n{}", "X-Txn: a\r\n".repeat(100))).len(), 64);
}
