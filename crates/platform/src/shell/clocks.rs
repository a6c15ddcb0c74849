//! The readings of this machine's clocks at the start of the process.

use crate::records::ClockReference;
use linnetcart::Time;
use rustix::time::{clock_gettime, ClockId};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant, SystemTime};

/// File with the random id that the kernel draws at each boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// Maximum time between two readings that count as simultaneous.
const MAX_READING_TIME: Duration = Duration::from_micros(200);
/// Maximum number of pairs of readings; after that many, the pair whose readings are closest together is
/// used.
const MAX_READINGS: usize = 50;

/// Readings of the clocks at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct StartClocks {
    /// The origin of the courier's clock, which is monotonic.
    pub started_at: Instant,
    /// The wall clock (`CLOCK_REALTIME`), in nanoseconds since the Unix epoch. A recorded time is
    /// `wall` + (time since `started_at`), so that later steps of the wall clock have no effect.
    pub wall: Time,
    /// Recorded times minus `CLOCK_MONOTONIC`, the clock that all processes of one boot share.
    pub reference: ClockReference,
}

/// A pair of readings of the monotonic clock: as an [`Instant`], and as a number of nanoseconds.
struct MonotonicReading {
    instant: Instant,
    /// `CLOCK_MONOTONIC`, in nanoseconds.
    monotonic: i64,
    /// Time from the first reading to the end of the second.
    duration: Duration,
}

impl StartClocks {
    /// Reads the clocks. The process may be preempted between two readings, so the monotonic pair is read up
    /// to [`MAX_READINGS`] times, until its readings are at most [`MAX_READING_TIME`] apart. The moment at
    /// which the wall clock is read does not matter, since recorded times are defined by that reading.
    pub fn read() -> StartClocks {
        let wall = wall_clock();
        let mut closest = MonotonicReading::take();
        for _ in 1..MAX_READINGS {
            if closest.duration <= MAX_READING_TIME {
                break;
            }
            let reading = MonotonicReading::take();
            if reading.duration < closest.duration {
                closest = reading;
            }
        }
        let wall_offset = (wall as i64).saturating_sub(closest.monotonic);
        let reference = ClockReference { boot_id: boot_id(), wall_offset };
        StartClocks { started_at: closest.instant, wall, reference }
    }
}

impl MonotonicReading {
    fn take() -> MonotonicReading {
        let instant = Instant::now();
        let monotonic = clock_gettime(ClockId::Monotonic);
        let duration = instant.elapsed();
        let monotonic = monotonic.tv_sec * 1_000_000_000 + monotonic.tv_nsec;
        MonotonicReading { instant, monotonic, duration }
    }
}

/// Reads the wall clock, in nanoseconds since the Unix epoch; 0 if it is set to an earlier time.
pub fn wall_clock() -> Time {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as Time
}

/// Returns a hash of the machine's boot id; 0 if it cannot be read.
fn boot_id() -> u64 {
    let Ok(id) = std::fs::read(BOOT_ID_FILE) else { return 0 };
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
