use super::*;

fn take(stream: &mut Stream, bytes: &[u8]) -> (bool, Vec<u8>, usize) {
    let mut held = bytes.to_vec();
    let mut points = 0;
    let makes_sense = stream.take(&mut held, |_, _, _| points += 1);
    (makes_sense, held, points)
}

#[test]
fn lines_complete_are_taken_and_the_rest_is_held() {
    let mut stream = Stream::default();
    let taken = take(&mut stream, b"a.slots 1 10\nnonsense\na.slots 2 20\na.sl");
    assert_eq!(taken, (true, b"a.sl".to_vec(), 2));
    assert_eq!((stream.value("a.slots"), stream.points, stream.bad), (Some(2.0), 2, 1));
    assert_eq!(stream.last_bad.as_deref(), Some("a line that is no point: nonsense"));
}

#[test]
fn frame_too_long_or_invalid_is_counted() {
    let mut stream = Stream::default();
    assert_eq!(take(&mut stream, b"\0\0\0\x01x\0\0"), (true, b"\0\0".to_vec(), 0));
    assert_eq!(stream.last_bad.as_deref(), Some("a frame that is no pickled list"));
    let (makes_sense, _, _) = take(&mut stream, b"\0\xff\xff\xff");
    assert!(!makes_sense);
    assert_eq!((stream.bad, stream.last_bad.as_deref()), (2, Some("a frame of 16777215 bytes")));
}

#[test]
fn count_that_falls_is_reported_and_gauge_is_not() {
    let mut stream = Stream::default();
    for (value, time) in [(5.0, 10), (4.0, 20), (6.0, 15)] {
        stream.point("x.courier.taken", value, time);
        stream.point("linnetcart.edge.taken;edge=1", value, time);
        stream.point("x.courier.slots", value, time);
    }
    let wanted = [
        "x.courier.taken: 5 at 10, then 4 at 20",
        "linnetcart.edge.taken;edge=1: 5 at 10, then 4 at 20",
        "x.courier.taken: 4 at 20, then 6 at 15",
        "linnetcart.edge.taken;edge=1: 4 at 20, then 6 at 15",
        "x.courier.slots: 4 at 20, then 6 at 15",
    ];
    assert_eq!(stream.fell, wanted);
}
