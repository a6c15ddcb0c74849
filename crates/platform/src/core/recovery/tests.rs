//! Counts of recovered messages.

use super::*;
use crate::core::tests::fixtures;
use crate::records::SentAttempt;

fn pending(possibly_executed: Vec<SentAttempt>, completion: Completion) -> PendingMessage {
    let attempts = possibly_executed.len() as u16;
    PendingMessage { message: fixtures::message("id"), attempts, possibly_executed, completion }
}

#[test]
fn recovery_reported_once_last_untried_message_attempted_or_given_up() {
    let mut recovery = Recovery::default();
    let sent = SentAttempt { number: 0, zone: 0, sent_at: 0 };
    recovery.add(1, &pending(vec![], Completion::Uncompleted));
    recovery.add(2, &pending(vec![], Completion::Uncompleted));
    recovery.add(3, &pending(vec![sent], Completion::Uncompleted));
    recovery.add(4, &pending(vec![], Completion::from(FinalOutcome::Failed)));
    assert_eq!(recovery.take_awaiting_decision(), [1, 2, 3], "a message with an outcome needs no decision");
    assert_eq!((recovery.attempted(3), recovery.given_up(4)), (None, None), "neither message was untried");
    assert_eq!((recovery.attempted(1), recovery.attempted(1)), (None, None));
    let counts = RecoveryCounts { recovered: 4, untried: 2, attempted: 1, given_up: 1 };
    assert_eq!((recovery.given_up(2), recovery.counts()), (Some(counts), counts));
}
