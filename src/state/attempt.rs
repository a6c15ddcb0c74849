//! Attempts in flight and the calls that carry them.

use crate::interface::Time;

/// One attempt of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) message: u32,
    pub(crate) attempt: u16,
}

/// An attempt that was sent and whose result has not come.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) endpoint: u32,
    pub(crate) sent_at: Time,
    pub(crate) call: u64,
    pub(crate) cancelled: bool,
}

/// An attempt whose result has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FinishedAttempt {
    pub(crate) sent_at: Time,
    /// Its result is the first from which the fate of its call is known.
    pub(crate) first_outcome: bool,
}

/// A call in flight; it may carry the attempts of several messages.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub(crate) sends: u32,
    /// An outcome of it is known.
    pub(crate) outcome_known: bool,
}

/// What the end of one attempt means for its call.
pub(super) struct CallProgress {
    /// It was the last attempt in the call.
    pub(super) call_ended: bool,
    /// It is the first from which the fate of the call is known.
    pub(super) first_outcome: bool,
}

impl Call {
    /// Takes one of its attempts out; `informative` if the result tells the fate of the call.
    pub(super) fn finish_send(&mut self, informative: bool) -> CallProgress {
        self.sends = self.sends.saturating_sub(1);
        let first_outcome = informative && !self.outcome_known;
        self.outcome_known |= first_outcome;
        CallProgress { call_ended: self.sends == 0, first_outcome }
    }
}
