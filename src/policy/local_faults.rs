//! Faults of this machine: an attempt that it could not begin, and attempts that it cannot record.

use super::Dispatcher;
use crate::interface::{AttemptOutcome, Time};
use crate::state::Message;

/// Pause at a destination after an attempt that this machine could not begin. It doubles with each further
/// one in a row.
const MIN_LOCAL_BACKOFF: Time = 20_000_000;
/// The longest pause: a lack of descriptors or buffers is over in a moment.
const MAX_LOCAL_BACKOFF: Time = 320_000_000;

impl Dispatcher {
    /// Paces attempts at a destination while this machine cannot begin them. Any other outcome of an attempt
    /// that was sent shows that it can.
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

    /// Sets whether attempts can be recorded. Messages whose attempts need a record wait apart until then, so
    /// that they do not hold up others; each is checked anew when it can be sent.
    pub(super) fn change_recording(&mut self, available: bool) {
        self.records_unavailable = !available;
        for id in self.state.waiting_messages() {
            self.enqueue(id);
        }
    }

    /// Whether a message has to wait until its attempt can be recorded.
    pub(super) fn awaits_recording(&self, message: &Message) -> bool {
        self.records_unavailable && self.settings.classes[message.class].attempt_needs_record()
    }
}
