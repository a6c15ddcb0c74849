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
fn max_idle_halved_by_loss_and_doubled_by_each_idle_timeout() {
    let mut policy = MaxIdlePolicy::new(1000);
    assert_eq!(policy.max_idle(5), 1000);
    policy.record_loss(10, 600);
    assert_eq!(policy.max_idle(10), 300);
    policy.record_loss(20, 900);
    assert_eq!(policy.max_idle(20), 150, "the present maximum is halved, not the longer idle time");
    assert_eq!(policy.max_idle(1020), 300);
    assert_eq!(policy.max_idle(2020), 600);
    assert_eq!(policy.max_idle(3020), 1000);
    assert_eq!(policy.max_idle(Time::MAX), 1000);
}

#[test]
fn loss_rate_lossy_idle_time_not_reused_until_evidence_decays() {
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
    assert!(policy.may_reuse(100_000 * MILLISECOND, long), "reused after the evidence decayed");
}

#[test]
fn loss_rate_idle_connection_reused_when_new_ones_lose_as_many_calls() {
    let mut policy = LossRatePolicy::default();
    for n in 0..100 {
        policy.record_call(n * MILLISECOND, Some(300 * MILLISECOND), lost_if(n % 8 == 0));
        policy.record_call(n * MILLISECOND, None, lost_if(n % 8 == 0));
    }
    assert!(policy.may_reuse(100 * MILLISECOND, 300 * MILLISECOND));
}
