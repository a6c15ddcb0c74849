//! Attribution by the order of bytes and by correlation id.

use super::*;

const FIRST: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n4f";
const SECOND: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n9c";

fn attribution(history: &ResponseHistory, response: &[u8]) -> Attribution {
    Attribution::of_unnamed(RequestProgress::Complete, history, response)
}

#[test]
fn response_before_last_byte_of_request_unsolicited() {
    for (written, expected) in [(9, Attribution::Unsolicited), (10, Attribution::Certain)] {
        let progress = RequestProgress::new(10, written);
        assert_eq!(Attribution::of_unnamed(progress, &ResponseHistory::default(), FIRST), expected);
    }
}

#[test]
fn response_ambiguous_while_it_may_be_copy_of_earlier_response() {
    let mut history = ResponseHistory::default();
    assert!(history.push(FIRST));
    let first_difference = FIRST.len() - 2;
    for length in 0..=SECOND.len() {
        let expected = if length <= first_difference { Attribution::Ambiguous } else { Attribution::Certain };
        assert_eq!(attribution(&history, &SECOND[..length]), expected);
    }
    assert!(history.push(SECOND));
    for earlier in [FIRST, SECOND] {
        assert_eq!(attribution(&history, earlier), Attribution::Ambiguous);
    }
}

#[test]
fn response_ambiguous_behind_piece_of_earlier_response() {
    let mut history = ResponseHistory::default();
    assert!(history.push(FIRST));
    for piece in 1..FIRST.len() {
        let joined = [&FIRST[..piece], SECOND].concat();
        for end in piece + 1..joined.len() {
            assert_eq!(attribution(&history, &joined[..end]), Attribution::Ambiguous, "{piece} {end}");
        }
    }
    let damaged = b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n";
    assert_eq!(attribution(&history, damaged), Attribution::Certain);
}

#[test]
fn response_history_bounded() {
    let mut history = ResponseHistory::default();
    let response = [b'x'; 1000];
    let kept = (0..100).take_while(|_| history.push(&response)).count();
    assert_eq!(kept, 16);
}

#[test]
fn responses_differ_unless_first_of_endpoint_or_equal_to_one_of_last_1024() {
    let mut seen = SeenResponses::default();
    assert!(!seen.insert(1, 200, FIRST), "the first one is no evidence");
    assert!(!seen.insert(1, 200, FIRST) && seen.insert(1, 200, SECOND));
    assert!(!seen.insert(2, 200, b"other"), "another endpoint may repeat itself");
    for number in 0..1024u32 {
        assert!(seen.insert(1, 200, &number.to_be_bytes()));
    }
    assert!(seen.insert(1, 200, FIRST), "forgotten");
}

#[test]
fn response_named_by_correlation_id_certain_only_for_oldest_request() {
    let attribution = |correlation| Attribution::of_correlated(correlation, [3, 4, 5].into_iter());
    assert_eq!(attribution(3), Attribution::Certain);
    assert_eq!((attribution(4), attribution(5)), (Attribution::OutOfOrder, Attribution::OutOfOrder));
    assert_eq!((attribution(2), attribution(6)), (Attribution::Unsolicited, Attribution::Unsolicited));
    assert_eq!(Attribution::of_correlated(3, [].into_iter()), Attribution::Unsolicited);
}

#[test]
fn request_never_executed_if_its_last_byte_was_not_written() {
    assert_eq!(Execution::after_close(RequestProgress::new(10, 9)), Execution::Never);
    assert_eq!(Execution::after_close(RequestProgress::new(10, 10)), Execution::Possible);
}
