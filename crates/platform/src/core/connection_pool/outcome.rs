//! The outcome of an attempt as observed on its connection.

use crate::core::attempts::AttemptId;
use linnetcart::AttemptOutcome;

/// The values of an answer's load report; `None` for a value that is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of the endpoint's limit that is still available.
    pub capacity_left: Option<f64>,
    /// The endpoint's limit, in calls per second.
    pub rate_limit: Option<f64>,
}

/// An attempt that ended, with the content of its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// The outcome. `NotSent` is also the outcome of an attempt that its endpoint answered with 504, with 410
    /// or with 503 and `x-egress-full`.
    pub outcome: AttemptOutcome,
    /// Whether the endpoint reports that the message is completed.
    pub message_completed: bool,
    /// The load report of the answer.
    pub load: LoadReport,
    /// For the answer to an abandoned attempt: the endpoint, whose limit alone the answer affects. `None`
    /// otherwise.
    pub abandoned_endpoint: Option<u32>,
}

impl FinishedAttempt {
    /// Creates a result whose answer carries no further information.
    pub fn new(id: AttemptId, outcome: AttemptOutcome) -> FinishedAttempt {
        FinishedAttempt {
            id,
            outcome,
            message_completed: false,
            load: LoadReport::default(),
            abandoned_endpoint: None,
        }
    }
}
