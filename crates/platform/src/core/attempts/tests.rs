//! Deadlines of attempts, and the wake-ups for pending ones.

use super::*;

const KEY: u64 = 5;

fn id(message: u32) -> AttemptId {
    AttemptId { message, number: 0 }
}

#[test]
fn attempt_expires_at_its_deadline() {
    let mut attempts = Attempts::new(0);
    attempts.add(id(1), 7, 10, 100);
    attempts.add(id(2), 7, 10, 50);
    assert_eq!(attempts.next_wake(10), 50);
    assert!(attempts.expired(49).is_empty());
    assert_eq!(attempts.expired(50), [id(2)]);
    assert!(attempts.remove(id(2)).is_some() && attempts.remove(id(2)).is_none(), "removed once");
    assert_eq!(attempts.next_wake(10), 100);
}

#[test]
fn attempt_pending_until_started_and_woken_by_cooldown() {
    let mut attempts = Attempts::new(20);
    attempts.key_cooldowns.start(KEY, 10);
    attempts.add(id(1), 7, 10, 100);
    assert_eq!((attempts.pending(), attempts.next_wake(10)), (vec![id(1)], 30));
    attempts.start(id(1));
    assert_eq!(
        (attempts.pending(), attempts.next_wake(10)),
        (vec![], 100),
        "a cooldown does not delay a started attempt"
    );
}
