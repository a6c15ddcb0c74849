use super::*;

#[test]
fn clock_set_back_is_caught_up_without_repeated_timestamps() {
    let hour = 3600 * SECOND;
    let mut stamps = Timestamps::new(0, 0);
    let mut last = 0;
    let mut caught = 0;
    for n in 1..2000u64 {
        let now = n * 10 * SECOND;
        let wall = 1_000_000 * SECOND + now - if n > 100 { hour } else { 0 };
        let Timestamp { time: stamp, ahead } = stamps.next(now, wall);
        assert!(stamp >= last + SECOND, "{last} {stamp}");
        if n > 100 && ahead == 0 && caught == 0 {
            caught = n;
        }
        last = stamp;
    }
    assert!((700..=900).contains(&caught), "two hours later it is caught up with: {caught}");
    let stamp = stamps.next(30_000 * SECOND, 1_100_000 * SECOND).time;
    assert_eq!(stamp, 1_100_000 * SECOND, "forward it is followed at once");
    let stamp = stamps.next(30_010 * SECOND, 900_000 * SECOND).time;
    assert_eq!(stamp, 900_000 * SECOND, "a day ahead was wrong");
}
