//! The result of an attempt as observed on its connection: its outcome and the load report of the response.

use super::response::Interpretation;
use crate::core::attempts::AttemptId;
use linnetcart::AttemptOutcome;

/// The load report of a response; `None` for a value that is absent or unreadable.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of the endpoint's limit that is still available.
    pub capacity_left: Option<f64>,
    /// The endpoint's limit, in calls per second.
    pub rate_limit: Option<f64>,
}

/// What a response reports of its message, beyond the outcome of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedEnd {
    /// The endpoint has executed the message (200).
    Delivered,
    /// The message is over, and nothing more is owed for it (410).
    Gone,
    /// A 410 arrived that is not certainly the response to the attempt: the message may be over.
    PossiblyGone,
}

/// The result of an attempt, with the information of its response.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedAttempt {
    /// Id of the attempt.
    pub id: AttemptId,
    /// The outcome. `NotSent` also stands for responses with status 504, with 410, or with 503 and
    /// `x-egress-full`, by which the endpoint reports that this attempt was not executed.
    pub outcome: AttemptOutcome,
    /// The end of the message that the endpoint reports, if it reports one.
    pub end: Option<ReportedEnd>,
    /// The load report of the response.
    pub load: LoadReport,
    /// Number of the endpoint of an abandoned attempt whose response arrived late; `None` for an attempt in
    /// flight.
    pub abandoned_endpoint: Option<u32>,
}

impl FinishedAttempt {
    /// Creates the result of an attempt without a response, or with one that carries no further information.
    pub fn new(id: AttemptId, outcome: AttemptOutcome) -> FinishedAttempt {
        FinishedAttempt {
            id,
            outcome,
            end: (outcome == AttemptOutcome::Served).then_some(ReportedEnd::Delivered),
            load: LoadReport::default(),
            abandoned_endpoint: None,
        }
    }

    /// Creates the result of an attempt according to a response, without its load report.
    pub fn interpreted(id: AttemptId, interpretation: Interpretation) -> FinishedAttempt {
        FinishedAttempt { end: interpretation.end, ..FinishedAttempt::new(id, interpretation.outcome) }
    }
}
