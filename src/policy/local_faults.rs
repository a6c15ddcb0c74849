//! Faults of the courier's own machine: attempts that it could not begin, and attempts that it cannot record.

use super::Dispatcher;
use crate::interface::{AttemptOutcome, Time};
use crate::state::Message;

/// First backoff of a destination, in nanoseconds, after an attempt that this machine could not begin. It
/// doubles with each further such attempt in a row.
const MIN_LOCAL_BACKOFF: Time = 20_000_000;
/// Longest backoff, in nanoseconds; a shortage of file descriptors or buffers usually ends soon.
const MAX_LOCAL_BACKOFF: Time = 320_000_000;

impl Dispatcher {
    /// Updates the exponential backoff of a destination: a local fault starts or doubles it, and any outcome
    /// of an attempt that was sent, other than a cancellation, resets it.
    pub(super) fn record_local_fault(&mut self, destination: u32, outcome: AttemptOutcome) {
        let Some(destination) = self.state.destinations.get_mut(destination) else { return };
        match outcome {
            AttemptOutcome::LocalFault => {
                let backoff = (2 * destination.local_backoff).clamp(MIN_LOCAL_BACKOFF, MAX_LOCAL_BACKOFF);
                destination.local_backoff = backoff;
                destination.local_backoff_until = self.now + backoff;
            }
            AttemptOutcome::NotSent { .. } | AttemptOutcome::Cancelled => {}
            _ => destination.local_backoff = 0,
        }
    }

    /// Sets whether attempts can be recorded, and requeues all waiting messages. While attempts cannot be
    /// recorded, messages whose attempts need a record have a queue state of their own
    /// (`QueueState::AwaitsRecording`), so that they do not block the others.
    pub(super) fn change_recording(&mut self, available: bool) {
        self.records_unavailable = !available;
        for id in self.state.waiting_messages() {
            self.enqueue(id);
        }
    }

    /// Whether a message has to wait until its next attempt can be recorded.
    pub(super) fn awaits_recording(&self, message: &Message) -> bool {
        self.records_unavailable && self.settings.classes[message.class].attempt_needs_record()
    }
}
