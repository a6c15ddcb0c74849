//! Invalid responses of discovery, and timeouts of the watch.

use super::*;

/// More than the number of request bytes: the request is written completely.
const WRITTEN: u64 = 1 << 20;

const NOW: Time = 1_000 * MILLISECOND;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn connected() -> EndpointWatch {
    let mut watch = EndpointWatch::new(EventLimits::within(12_000_000));
    assert_eq!(watch.poll(NOW), ConnectionAction::Connect);
    watch.connected(NOW, "127.0.0.1:8500".parse().unwrap(), 41);
    watch
}

#[test]
fn watch_with_wrong_answer_fails() {
    for (answer, error) in [
        (&b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"[..], WatchError::Status(404)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", WatchError::Status(200)),
        (b"noise\r\n\r\n", WatchError::Malformed),
    ] {
        assert_eq!(
            connected().receive(NOW, answer, WRITTEN),
            WatchProgress { events: vec![], error: Some(error) }
        );
    }
}

#[test]
fn watch_ended_still_yields_its_events() {
    let mut watch = connected();
    let event = b"1c\r\n{\"index\":42,\"endpoints\":[]}\n\r\n0\r\n\r\n";
    let progress = watch.receive(NOW, &[HEAD, event].concat(), WRITTEN);
    assert_eq!(progress.events, [WatchEvent { version: 42, complete: false, entries: vec![] }]);
    assert_eq!(progress.error, Some(WatchError::Ended));
}

#[test]
fn watch_event_invalid_reported_after_those_before_it() {
    let mut watch = connected();
    let events = b"26\r\n{\"index\":42,\"endpoints\":[]}\n{\"index\":x}\r\n";
    let progress = watch.receive(NOW, &[HEAD, events].concat(), WRITTEN);
    assert_eq!(progress.events.len(), 1);
    assert!(matches!(progress.error, Some(WatchError::InvalidEvent(_))), "{progress:?}");
}

#[test]
fn watch_synced_by_first_empty_line_also_after_restart() {
    let mut watch = connected();
    assert_eq!(watch.receive(NOW, HEAD, WRITTEN), WatchProgress::default());
    assert!(!watch.has_synced());
    assert_eq!(watch.receive(NOW, b"1\r\n\n\r\n", WRITTEN), WatchProgress::default());
    assert!(watch.has_synced());
    watch.restart();
    assert!(watch.has_synced());
}

#[test]
fn watch_silent_too_long_closed_and_opened_without_backoff() {
    let mut watch = connected();
    let silent_at = NOW + WATCH_SILENCE_TIMEOUT;
    assert_eq!((watch.next_wake(), watch.poll(silent_at - 1)), (silent_at, ConnectionAction::Nothing));
    assert_eq!(watch.poll(silent_at), ConnectionAction::Close);
    assert_eq!(watch.poll(silent_at), ConnectionAction::Connect);
}

#[test]
fn watch_response_before_request_was_written_is_an_error() {
    let mut watch = EndpointWatch::new(EventLimits::within(12_000_000));
    let request = watch.connected(NOW, "127.0.0.1:8500".parse().unwrap(), 41);
    let written = request.len() as u64 - 1;
    assert_eq!(watch.receive(NOW, HEAD, written).error, Some(WatchError::Unsolicited));
}

#[test]
fn event_beyond_its_memory_is_refused_by_its_length_or_its_entries() {
    let limits = EventLimits::within(3 * BYTES_PER_ENTRY * 10);
    assert_eq!(limits, EventLimits { bytes: 10 * BYTES_PER_ENTRY, entries: 20 });
    for line in ["x".repeat(10 * BYTES_PER_ENTRY + 1), "{".repeat(21)] {
        let mut watch = EndpointWatch::new(limits);
        watch.poll(NOW);
        watch.connected(NOW, "127.0.0.1:8500".parse().unwrap(), 41);
        let chunk = format!("{:x}\r\n{line}", line.len());
        let progress = watch.receive(NOW, &[HEAD, chunk.as_bytes()].concat(), WRITTEN);
        let too_long = WatchError::EventTooLong { max_bytes: limits.bytes, max_entries: limits.entries };
        assert_eq!(progress.error, Some(too_long));
    }
}
