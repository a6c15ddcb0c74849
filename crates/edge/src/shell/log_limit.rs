//! A bound on log lines that peers and destinations can cause.

use linnetcart::Time;

/// Lines that are logged in a second.
const MAX_LINES_PER_SECOND: u32 = 20;
const NANOS_PER_SECOND: Time = 1_000_000_000;

/// Keeps a flood out of the log.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    second: u64,
    lines: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Lines suppressed in the running second.
    pub(super) fn suppressed(&self) -> u64 {
        self.suppressed
    }

    /// Whether a further line may be logged; it is counted either way.
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
