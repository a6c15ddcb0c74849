use super::*;

/// The result of consuming received bytes.
#[derive(Debug, PartialEq)]
struct Consumed {
    is_readable: bool,
    unread: Vec<u8>,
    points: usize,
}

fn consume(stream: &mut Stream, bytes: &[u8]) -> Consumed {
    let mut unread = bytes.to_vec();
    let mut points = 0;
    let is_readable = stream.consume(&mut unread, |_| points += 1);
    Consumed { is_readable, unread, points }
}

#[test]
fn lines_complete_are_consumed_and_the_remainder_is_buffered() {
    let mut stream = Stream::default();
    let consumed = consume(&mut stream, b"a.slots 1 10\nnonsense\na.slots 2 20\na.sl");
    assert_eq!(consumed, Consumed { is_readable: true, unread: b"a.sl".to_vec(), points: 2 });
    assert_eq!((stream.value("a.slots"), stream.points, stream.invalid_items), (Some(2.0), 2, 1));
    assert_eq!(stream.last_error.as_deref(), Some("not a plaintext point: nonsense"));
}

#[test]
fn frame_too_long_or_invalid_is_counted() {
    let mut stream = Stream::default();
    let invalid = consume(&mut stream, b"\0\0\0\x01x\0\0");
    assert_eq!(invalid, Consumed { is_readable: true, unread: b"\0\0".to_vec(), points: 0 });
    assert_eq!(stream.last_error.as_deref(), Some("a frame that is no pickled list"));
    let too_long = consume(&mut stream, b"\0\xff\xff\xff");
    assert!(!too_long.is_readable);
    let expected = "a frame of 16777215 bytes is longer than 4194304 bytes";
    assert_eq!((stream.invalid_items, stream.last_error.as_deref()), (2, Some(expected)));
}

#[test]
fn count_that_falls_is_reported_and_gauge_is_not() {
    let mut stream = Stream::default();
    for (value, time_s) in [(5.0, 10), (4.0, 20), (6.0, 15)] {
        stream.record_point("x.courier.taken", value, time_s);
        stream.record_point("linnetcart.edge.taken;edge=1", value, time_s);
        stream.record_point("x.courier.slots", value, time_s);
    }
    let expected = [
        "x.courier.taken: 5 at 10, then 4 at 20",
        "linnetcart.edge.taken;edge=1: 5 at 10, then 4 at 20",
        "x.courier.taken: 4 at 20, then 6 at 15",
        "linnetcart.edge.taken;edge=1: 4 at 20, then 6 at 15",
        "x.courier.slots: 4 at 20, then 6 at 15",
    ];
    assert_eq!(stream.regressions, expected);
}
