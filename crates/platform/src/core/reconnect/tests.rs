//! Backoff and timeouts of connects.

use super::*;

const NOW: Time = 1_000 * MILLISECOND;

#[test]
fn reconnect_backoff_doubles_up_to_its_bound_and_resets() {
    let mut connection = Reconnect::new();
    let mut now = NOW;
    let mut backoffs = Vec::new();
    for _ in 0..7 {
        assert!(connection.begin_connect(now));
        connection.disconnected(now);
        let retry_at = connection.next_wake(Time::MAX);
        assert!(!connection.begin_connect(retry_at - 1));
        backoffs.push((retry_at - now) / MILLISECOND);
        now = retry_at;
    }
    assert_eq!(backoffs, [20, 40, 80, 160, 320, 500, 500]);
    connection.reset_backoff();
    connection.disconnected(now);
    assert_eq!(connection.next_wake(Time::MAX), now + MIN_BACKOFF);
}

#[test]
fn reconnect_slow_connect_times_out() {
    let mut connection = Reconnect::new();
    assert!(connection.begin_connect(NOW) && !connection.begin_connect(NOW), "once");
    let timeout = connection.next_wake(Time::MAX);
    assert_eq!(timeout, NOW + CONNECT_TIMEOUT);
    assert!(!connection.connect_timed_out(timeout - 1) && connection.connect_timed_out(timeout));
}

#[test]
fn reconnect_connected_uses_wake_time_of_owner() {
    let mut connection = Reconnect::new();
    connection.begin_connect(NOW);
    connection.connected();
    assert!(connection.is_connected() && !connection.connect_timed_out(Time::MAX));
    assert_eq!(connection.next_wake(7), 7);
    connection.schedule_retry(NOW);
    assert!(connection.begin_connect(NOW), "no backoff");
}
