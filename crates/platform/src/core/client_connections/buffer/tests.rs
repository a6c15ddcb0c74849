use super::*;

const HEAD: &[u8] = b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\n";

#[test]
fn request_that_comes_byte_by_byte_is_complete_with_its_last_byte() {
    let mut buffer = RequestBuffer::default();
    for (position, byte) in HEAD.iter().chain(b"hello").enumerate() {
        assert_eq!(buffer.request(), Ok(None), "{position}");
        buffer.push(&[*byte]);
    }
    let request = buffer.request().unwrap().unwrap();
    assert_eq!(request.body(), b"hello");
    buffer.free_body();
    assert_eq!(buffer.bytes(), HEAD);
}

#[test]
fn bytes_without_a_line_end_are_malformed_once_they_cannot_become_a_head() {
    let mut buffer = RequestBuffer::default();
    buffer.push(b"\x01\x02");
    assert!(buffer.is_malformed() && buffer.request().is_err());
    let mut long = RequestBuffer::default();
    for _ in 0..=MAX_HEAD_BYTES {
        long.push(b"G");
    }
    assert!(long.is_malformed());
}

#[test]
fn buffer_takes_little_more_than_its_bytes() {
    let mut buffer = RequestBuffer::default();
    for _ in 0..60 {
        buffer.push(&[b'G'; 100]);
    }
    assert!(buffer.held_bytes() < 2 * 6000);
}
