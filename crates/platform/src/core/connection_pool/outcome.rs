//! How an attempt ended, as its connection tells it.

use crate::core::attempts::AttemptId;
use linnetcart::AttemptOutcome;

/// What an answer's load report says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of the limit that is left.
    pub capacity_left: Option<f64>,
    /// The limit, in calls a second.
    pub rate_limit: Option<f64>,
}

/// An attempt that ended, and what its answer says.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The endpoint says that the message is completed.
    pub message_completed: bool,
    /// The load report.
    pub load: LoadReport,
    /// Set for an answer that came after its attempt was abandoned: the endpoint, for whose limit alone it counts.
    pub abandoned_at: Option<u32>,
}

impl FinishedAttempt {
    /// One whose answer says nothing else.
    pub fn new(id: AttemptId, outcome: AttemptOutcome) -> FinishedAttempt {
        FinishedAttempt {
            id,
            outcome,
            message_completed: false,
            load: LoadReport::default(),
            abandoned_at: None,
        }
    }
}
