//! A limit on the log lines that peers and destinations can cause.

use crate::time::NANOS_PER_SECOND;
use linnetcart::Time;

/// How many lines may be logged in a second.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Suppresses log lines beyond the limit.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    second: u64,
    lines: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Returns how many lines were suppressed in the current second.
    pub(super) fn suppressed(&self) -> u64 {
        self.suppressed
    }

    /// Returns whether another line may be logged, and counts the line.
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
