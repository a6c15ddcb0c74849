//! Syncs of the counter log to disk. While syncs fail, counts are not reported, because a reported count that
//! is not on disk would fall after a power loss.

use crate::{LogEvent, Output, SyncError};

#[cfg(test)]
mod tests;

/// Numbers the syncs of the log and logs the beginning and the end of a series of failures.
#[derive(Debug, Default)]
pub(crate) struct CounterSync {
    /// Number of the last sync requested.
    last_number: u64,
    /// Whether the last completed sync failed.
    is_failing: bool,
}

impl CounterSync {
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Requests a sync of everything appended so far, and returns its number.
    pub(crate) fn request(&mut self, outputs: &mut Vec<Output>) -> u64 {
        self.last_number += 1;
        outputs.push(Output::Sync(self.last_number));
        self.last_number
    }

    /// Handles a success; logs the end of a series of failures.
    pub(crate) fn succeeded(&mut self, outputs: &mut Vec<Output>) {
        if self.is_failing {
            outputs.push(Output::LogWarning(LogEvent::CountsReportedAgain));
        }
        self.is_failing = false;
    }

    /// Handles a failure; logs the first of a series.
    pub(crate) fn failed(&mut self, reason: SyncError, outputs: &mut Vec<Output>) {
        if !self.is_failing {
            outputs.push(Output::LogWarning(LogEvent::CountsWithheld { reason }));
        }
        self.is_failing = true;
    }
}
