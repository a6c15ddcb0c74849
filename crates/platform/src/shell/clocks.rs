//! The readings of this machine's clocks at the start of the process.

use crate::records::ClockReference;
use linnetcart::Time;
use rustix::time::{clock_gettime, ClockId};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant, SystemTime};

/// Identifies the run of the machine since it was started.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// Readings that are taken within this time count as simultaneous.
const MAX_READING_TIME: Duration = Duration::from_micros(200);
/// After so many tries the readings that were closest together are used.
const MAX_READINGS: usize = 50;

/// Readings of the clocks at one moment.
#[derive(Clone, Copy, Debug)]
pub struct StartClocks {
    /// The origin of the process's own clock.
    pub started_at: Instant,
    /// The wall clock, in nanoseconds since 1970. All times that this process records follow from it and from the
    /// time since `started_at`: later steps of the wall clock have no effect.
    pub wall: Time,
    /// How the recorded times relate to the monotonic clock, which all processes of a machine share.
    pub reference: ClockReference,
}

/// A pair of readings of the monotonic clock.
struct MonotonicReading {
    instant: Instant,
    monotonic: i64,
    took: Duration,
}

impl StartClocks {
    /// Reads the clocks. The process may be held up between two readings, so that the monotonic ones are
    /// repeated until they are close together; the moment of the wall clock's reading does not matter.
    pub fn read() -> StartClocks {
        let wall = wall_clock();
        let mut closest = MonotonicReading::take();
        for _ in 1..MAX_READINGS {
            if closest.took <= MAX_READING_TIME {
                break;
            }
            let reading = MonotonicReading::take();
            if reading.took < closest.took {
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
        let took = instant.elapsed();
        let monotonic = monotonic.tv_sec * 1_000_000_000 + monotonic.tv_nsec;
        MonotonicReading { instant, monotonic, took }
    }
}

/// Reads the wall clock: nanoseconds since the Unix epoch.
pub fn wall_clock() -> Time {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as Time
}

/// Returns the digest of the machine's boot id; 0 if it cannot be read.
fn boot_id() -> u64 {
    let Ok(id) = std::fs::read(BOOT_ID_FILE) else { return 0 };
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
