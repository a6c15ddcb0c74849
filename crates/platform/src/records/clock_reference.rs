//! The relation of recorded wall-clock times to the monotonic clock, by which spans survive steps of the wall
//! clock between two processes.

use linnetcart::Time;

/// How far the wall-clock times of a process are ahead of the monotonic clock of its machine.
///
/// A process derives all times that it records from its monotonic clock and one reading of the wall clock at its
/// start. The wall clock may be stepped before the next process starts; the monotonic clock runs on until the
/// machine is started again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReference {
    /// Identifies the run of the machine to which the monotonic clock belongs; 0 if unknown.
    pub boot_id: u64,
    /// Recorded wall-clock time minus monotonic time, in nanoseconds.
    pub wall_ahead: i64,
}

impl ClockReference {
    /// Returns by how many nanoseconds times that were recorded under `recorded` have to be moved to become times
    /// of this reference. After a restart of the machine only the wall clock relates them, and they stay.
    pub fn shift_from(self, recorded: ClockReference) -> i64 {
        if self.boot_id != recorded.boot_id {
            return 0;
        }
        self.wall_ahead.saturating_sub(recorded.wall_ahead)
    }
}

/// Moves a time by a shift.
pub(super) fn shifted(time: Time, shift: i64) -> Time {
    time.saturating_add_signed(shift)
}
