//! Transitions of a message in flight.

use super::*;
use crate::core::tests::fixtures;

fn message(id: &str) -> Message {
    Message { ordering_key: 5, wall_deadline: 100, body: b"hi".to_vec(), ..fixtures::message(id) }
}

fn table_with(numbers: &[u32]) -> InFlightTable {
    let mut table = InFlightTable::new(1_000_000, usize::MAX, 1);
    for &number in numbers {
        table.insert(number, PendingMessage::new(message(&format!("m{number}"))), 100);
    }
    table
}

#[test]
fn in_flight_message_settled_once_acknowledged_without_attempts() {
    let mut table = table_with(&[1]);
    let attempt = table.begin_attempt(1).expect("an attempt");
    assert_eq!(attempt.id, AttemptId { message: 1, number: 0 });
    assert!(table.complete(1, FinalOutcome::Failed) && !table.complete(1, FinalOutcome::Delivered), "once");
    assert_eq!(table.acknowledge(1), Some(&message("m1")));
    assert!(table.remove_if_settled(1).is_none(), "its attempt is in flight");
    let concluded = table.get(1).expect("a message");
    assert_eq!(concluded.pending.completion, Completion::Concluded(FinalOutcome::Failed));
    assert_eq!(concluded.pending.records(1), [], "a new journal file does not need it");
    table.attempt_ended(attempt.id, AttemptOutcome::Cancelled);
    assert!(table.remove_if_settled(1).is_some());
    assert_eq!((table.len(), table.uncompleted_len(), table.size_bytes), (0, 0, 0));
}

#[test]
fn in_flight_attempt_retracted_only_when_sent_and_not_executed() {
    for (sent, outcome, retracts_sent) in [
        (true, AttemptOutcome::NoConnection, true),
        (false, AttemptOutcome::NoConnection, false),
        (true, AttemptOutcome::Reset, false),
    ] {
        let mut table = table_with(&[1]);
        let id = table.begin_attempt(1).expect("an attempt").id;
        if sent {
            table.attempt_sent(1, SentAttempt { number: 0, zone: 0, sent_at: 0 });
        }
        let effect = table.attempt_ended(id, outcome);
        assert_eq!(effect, Some(AttemptEffect { ordering_key: 5, was_completed: false, retracts_sent }));
        let left = table.get(1).expect("a message").pending.possibly_executed.len();
        assert_eq!(left, usize::from(sent && !retracts_sent));
    }
}

#[test]
fn in_flight_id_found_until_message_removed() {
    let mut table = table_with(&[1]);
    assert_eq!((table.find(b"m1"), table.find(b"m2")), (Some(1), None));
    let attempt = table.begin_attempt(1).expect("an attempt");
    table.complete(1, FinalOutcome::Returned { retry_after_ms: 0 });
    assert_eq!((table.find(b"m1"), table.uncompleted_len()), (Some(1), 0));
    assert!(!table.get(1).is_some_and(InFlightMessage::is_returned_whole), "an attempt is in flight");
    table.attempt_ended(attempt.id, AttemptOutcome::Cancelled);
    assert!(table.get(1).is_some_and(InFlightMessage::is_returned_whole));
    table.remove(1);
    assert_eq!(table.find(b"m1"), None);
}

#[test]
fn in_flight_number_in_use_skipped() {
    let mut table = table_with(&[1, 2]);
    assert_eq!((table.allocate_number(), table.allocate_number()), (3, 4));
}

#[test]
fn in_flight_bytes_bounded_by_part_of_journal() {
    let size = stored_size(&message("m1"));
    let mut table = InFlightTable::new(2 * size * CAPACITY_DIVISOR, usize::MAX, 1);
    table.insert(1, PendingMessage::new(message("m1")), 100);
    assert!(table.has_capacity_for(&message("m2")));
    table.insert(2, PendingMessage::new(message("m2")), 100);
    assert!(!table.has_capacity_for(&message("m3")));
    table.remove(1);
    assert!(table.has_capacity_for(&message("m3")));
}

#[test]
fn in_flight_memory_bounded_and_given_back() {
    let held = held_size(&message("m1"));
    let mut table = InFlightTable::new(u64::MAX, 2 * held, 1);
    table.insert(1, PendingMessage::new(message("m1")), 100);
    assert!(table.has_memory_for(&message("m2")));
    table.insert(2, PendingMessage::new(message("m2")), 100);
    assert!(!table.has_memory_for(&message("m3")));
    table.remove(1);
    assert!(table.has_memory_for(&message("m3")));
    table.remove(2);
    assert_eq!(table.held_bytes(), 0);
}

#[test]
fn in_flight_message_may_be_sent_until_its_end_or_deadline() {
    let mut table = table_with(&[1, 2]);
    assert!(table.get_open(1, 99).is_ok());
    assert_eq!(table.get_open(1, 100).err(), Some(MessageEnd::DeadlinePassed));
    table.complete(2, FinalOutcome::Delivered);
    assert_eq!(table.get_open(2, 0).err(), Some(MessageEnd::Completed));
    assert_eq!(table.get_open(3, 0).err(), Some(MessageEnd::Completed), "unknown");
}
