use super::*;

const INTERVAL: Time = 10 * SECOND;

fn schedule() -> ReportSchedule {
    ReportSchedule::new(INTERVAL, 3 * SECOND, 0)
}

#[test]
fn report_due_is_taken_once_per_interval() {
    let mut schedule = schedule();
    assert!(!schedule.take_due_report(3 * SECOND - 1));
    assert!(schedule.take_due_report(3 * SECOND));
    assert!(!schedule.take_due_report(3 * SECOND));
    assert_eq!(schedule.next_report(), 13 * SECOND, "an interval after it was due, not after it was taken");
}

#[test]
fn report_taken_late_is_followed_after_half_an_interval() {
    let mut schedule = schedule();
    assert!(schedule.take_due_report(100 * SECOND));
    assert_eq!(schedule.next_report(), 105 * SECOND);
}

#[test]
fn interval_shortened_brings_next_report_forward() {
    let mut schedule = schedule();
    schedule.configure(SECOND, 0);
    assert_eq!(schedule.next_report(), SECOND);
    schedule.configure(INTERVAL, 0);
    assert_eq!(schedule.next_report(), SECOND, "a longer interval does not delay it");
}

#[test]
fn report_begun_covers_time_since_the_last_and_makes_a_slice_due() {
    let mut schedule = schedule();
    assert_eq!(schedule.begin_report(4 * SECOND), 4.0);
    assert_eq!(schedule.begin_report(14 * SECOND), 10.0);
    assert!(schedule.take_due_slice(14 * SECOND));
    assert!(!schedule.take_due_slice(14 * SECOND));
    assert_eq!(schedule.next_slice(), 14 * SECOND + SLICE_INTERVAL);
}
