//! Syncs of the counter log to disk. While they fail, counts are not reported.

use crate::{LogEvent, Output, SyncError};

#[cfg(test)]
mod tests;

/// Numbers the syncs of the log and remembers whether the last one failed.
#[derive(Debug, Default)]
pub(crate) struct CounterSync {
    last_number: u64,
    is_failing: bool,
}

impl CounterSync {
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Requests a sync and returns its number.
    pub(crate) fn request(&mut self, outputs: &mut Vec<Output>) -> u64 {
        self.last_number += 1;
        outputs.push(Output::Sync(self.last_number));
        self.last_number
    }

    pub(crate) fn succeeded(&mut self, outputs: &mut Vec<Output>) {
        if self.is_failing {
            outputs.push(Output::LogWarning(LogEvent::CountsReportedAgain));
        }
        self.is_failing = false;
    }

    pub(crate) fn failed(&mut self, reason: SyncError, outputs: &mut Vec<Output>) {
        if !self.is_failing {
            outputs.push(Output::LogWarning(LogEvent::CountsWithheld { reason }));
        }
        self.is_failing = true;
    }
}
