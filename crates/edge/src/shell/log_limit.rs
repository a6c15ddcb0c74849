//! Rate limit on the log lines that peers and destinations can cause.

use crate::time::NANOS_PER_SECOND;
use linnetcart::Time;

/// Maximum number of lines per second.
const MAX_LINES_PER_SECOND: u32 = 20;

/// A fixed-window rate limiter: counts the lines of each second of the monotonic clock and suppresses those
/// beyond the limit.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    /// The current window, in seconds of the monotonic clock.
    second: u64,
    /// Lines requested in the current window, suppressed ones included.
    lines: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Returns how many lines were suppressed in the latest window.
    pub(super) fn suppressed(&self) -> u64 {
        self.suppressed
    }

    /// Counts a line, and returns whether it may be logged. The first line of a new window reports how many
    /// were suppressed in the previous one.
    pub(super) fn permits(&mut self, now: Time) -> bool {
        let second = now / NANOS_PER_SECOND;
        if second != self.second {
            if self.suppressed > 0 {
                tracing::info!(
                    lines = self.suppressed,
                    limit_per_second = MAX_LINES_PER_SECOND,
                    "log lines suppressed"
                );
            }
            *self = LogLimiter { second, lines: 0, suppressed: 0 };
        }
        self.lines += 1;
        let permitted = self.lines <= MAX_LINES_PER_SECOND;
        self.suppressed += u64::from(!permitted);
        permitted
    }
}

#[cfg(test)]
mod tests;
