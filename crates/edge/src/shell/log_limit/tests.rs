//! The rate limit on log lines.

use super::*;

#[test]
fn lines_beyond_the_limit_are_suppressed_until_the_next_second() {
    let mut limiter = LogLimiter::default();
    let permitted = (0..25).filter(|_| limiter.permits(NANOS_PER_SECOND)).count();
    assert_eq!((permitted, limiter.suppressed()), (20, 5));
    assert!(limiter.permits(2 * NANOS_PER_SECOND));
    assert_eq!(limiter.suppressed(), 0);
}
