use super::{CallResult, LossRatePolicy, MaxIdlePolicy};
use linnetcart::Time;

const MILLISECOND: Time = 1_000_000;

fn lost_if(is_lost: bool) -> CallResult {
    if is_lost {
        CallResult::Lost
    } else {
        CallResult::Answered
    }
}

#[test]
fn max_idle_is_halved_by_a_loss_and_doubled_by_each_idle_timeout() {
    let mut policy = MaxIdlePolicy::new(1000);
    assert_eq!(policy.max_idle(5), 1000);
    policy.record_loss(10, 600);
    assert_eq!(policy.max_idle(10), 300);
    policy.record_loss(20, 900);
    assert_eq!(policy.max_idle(20), 150, "a longer idle time that lost a call says nothing new");
    assert_eq!(policy.max_idle(1020), 300);
    assert_eq!(policy.max_idle(2020), 600);
    assert_eq!(policy.max_idle(3020), 1000);
    assert_eq!(policy.max_idle(Time::MAX), 1000);
}

#[test]
fn idle_times_that_lose_calls_are_not_used_until_that_is_forgotten() {
    let mut policy = LossRatePolicy::default();
    let short = 40 * MILLISECOND;
    let long = 300 * MILLISECOND;
    assert!(policy.may_reuse(0, short));
    assert!(policy.may_reuse(0, long));
    for n in 0..40 {
        policy.record_call(n * MILLISECOND, Some(short), CallResult::Answered);
        policy.record_call(n * MILLISECOND, Some(long), lost_if(n % 4 == 0));
    }
    assert!(policy.may_reuse(40 * MILLISECOND, short));
    assert!(!policy.may_reuse(40 * MILLISECOND, long));
    assert!(policy.may_reuse(100_000 * MILLISECOND, long), "used again");
}

#[test]
fn idle_connections_are_used_where_new_ones_lose_as_many_calls() {
    let mut policy = LossRatePolicy::default();
    for n in 0..100 {
        policy.record_call(n * MILLISECOND, Some(300 * MILLISECOND), lost_if(n % 8 == 0));
        policy.record_call(n * MILLISECOND, None, lost_if(n % 8 == 0));
    }
    assert!(policy.may_reuse(100 * MILLISECOND, 300 * MILLISECOND));
}
