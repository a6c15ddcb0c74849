use super::*;

const HOUR: Time = 3600 * SECOND;
const REPORT_INTERVAL: Time = 10 * SECOND;

#[test]
fn clock_set_back_is_caught_up_without_repeated_timestamps() {
    let mut timestamps = Timestamps::new(0, 0);
    let mut last = 0;
    let mut caught_up = 0;
    for report in 1..2000u64 {
        let now = report * REPORT_INTERVAL;
        let is_set_back = report > 100;
        let wall = 1_000_000 * SECOND + now - if is_set_back { HOUR } else { 0 };
        let Timestamp { time, ahead } = timestamps.next(now, wall);
        assert!(time >= last + SECOND, "{last} {time}");
        if is_set_back && ahead == 0 && caught_up == 0 {
            caught_up = report;
        }
        last = time;
    }
    assert!((700..=900).contains(&caught_up), "two hours after an hour's step back, in report {caught_up}");
    let forward = timestamps.next(30_000 * SECOND, 1_100_000 * SECOND).time;
    assert_eq!(forward, 1_100_000 * SECOND, "a step forward is followed at once");
    let back = timestamps.next(30_010 * SECOND, 900_000 * SECOND).time;
    assert_eq!(back, 900_000 * SECOND, "a step back of more than a day is followed at once");
}
