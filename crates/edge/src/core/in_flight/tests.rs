//! Messages in the in-flight table, from acceptance to the outcome of the last attempt.

use super::*;

fn message(bytes: usize) -> Message {
    Message {
        position: RecordPosition { client: 1, request: 0, partition: 0, record: 0 },
        class: 0,
        destination: 1,
        record: Record { value: Some(vec![b'x'; bytes].into()), ..Record::default() },
        accepted_at: 10,
        deadline: 20,
    }
}

#[test]
fn completed_message_with_an_attempt_in_flight_stays_until_the_outcome() {
    let mut table = InFlightTable::new(u32::MAX);
    let number = table.insert(message(5));
    assert_eq!((number, table.usage()), (u32::MAX, Usage { messages: 1, bytes: 5 }));
    let first = table.begin_attempt(number).expect("it is in the table");
    assert_eq!((first.number, first.hedge), (0, false));
    table.complete(number);
    assert!(table.all_completed() && table.get_open(number).is_none());
    assert!(table.get(number).is_some());
    assert_eq!(table.finish_attempt(number, AttemptOutcome::Cancelled), MessageState::Completed);
    assert!(table.get(number).is_none());
    assert_eq!(table.usage(), Usage::default());
}

#[test]
fn second_attempt_beside_the_first_is_a_hedge_and_only_possible_executions_are_recorded() {
    let mut table = InFlightTable::new(1);
    let number = table.insert(message(5));
    table.begin_attempt(number);
    let second = table.begin_attempt(number).expect("it is in the table");
    assert_eq!((second.number, second.hedge, second.message_completed), (1, true, false));
    assert_eq!(table.finish_attempt(number, AttemptOutcome::NoConnection), MessageState::Open);
    assert!(!table.get(number).expect("it is in the table").possibly_executed);
    assert_eq!(table.finish_attempt(number, AttemptOutcome::TimedOut), MessageState::Open);
    assert!(table.get(number).expect("it is in the table").possibly_executed);
}
