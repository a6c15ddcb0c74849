//! The readings of this machine's clocks at the start of the process.

use linnetcart::Time;
use std::time::{Instant, SystemTime};

/// Readings of the clocks at one moment.
#[derive(Clone, Copy, Debug)]
pub struct StartClocks {
    /// The origin of the process's own clock.
    pub started_at: Instant,
    /// The wall clock, in nanoseconds since 1970.
    pub wall: Time,
}

impl StartClocks {
    /// Reads the clocks together: time spent between the readings would shift every recorded time.
    pub fn read() -> StartClocks {
        StartClocks { started_at: Instant::now(), wall: wall_clock() }
    }
}

/// Reads the wall clock: nanoseconds since the Unix epoch.
pub fn wall_clock() -> Time {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as Time
}
