//! The relation of recorded wall-clock times to the monotonic clock. With it, durations stay correct if the
//! wall clock is stepped between two processes.

use linnetcart::Time;

/// The offset between the recorded wall-clock times of a process and the monotonic clock of its machine.
///
/// A process derives all times that it records from its monotonic clock and one reading of the wall clock at
/// its start. The wall clock may be stepped before the next process starts; the monotonic clock continues
/// until the machine is rebooted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReference {
    /// Identifies the boot of the machine since which the monotonic clock counts; 0 if unknown.
    pub boot_id: u64,
    /// Recorded wall-clock time minus monotonic time, in nanoseconds.
    pub wall_offset: i64,
}

impl ClockReference {
    /// Returns the shift in nanoseconds that converts times recorded under `recorded` to this reference:
    /// `self.wall_offset - recorded.wall_offset` within the same boot. After a reboot only the wall clock
    /// relates the two processes, and the shift is 0.
    pub fn shift_from(self, recorded: ClockReference) -> i64 {
        if self.boot_id != recorded.boot_id {
            return 0;
        }
        self.wall_offset.saturating_sub(recorded.wall_offset)
    }
}

/// Returns `time` plus `shift` nanoseconds, saturating.
pub(super) fn shifted(time: Time, shift: i64) -> Time {
    time.saturating_add_signed(shift)
}
