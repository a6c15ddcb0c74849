//! The six delivery rules as invariants, checked against records of what went over the wire: what clients
//! submitted and how they were answered, what endpoints received and answered, and which endpoint list
//! changes reached the couriers. Nothing that a courier reports about itself is used. The same checks serve
//! runs on sockets and in virtual time.
//!
//! Each check counts the cases to which its rule applied. A rule with no cases was not exercised by the run.
//!
//! The checker shares value types with the decision library ([`Time`], [`Idempotency`]) but no code that
//! computes anything. [`Class`] and its weight are deliberately implemented a second time, so that a fault in
//! the library's own computation is detected instead of repeated.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod index;
mod invariants;
mod records;
mod report;
mod rules;
mod summary;

pub use invariants::{Class, Invariants};
pub use linnetcart::{Idempotency, Time};
pub use records::{
    Answer, Arrival, ClientAnswer, ConnectionPosition, EndpointNotification, EndpointVerdict, FailedConnect,
    Outage, Partition, Records, Stall, Submission,
};
pub use report::{ClassSummary, InvariantResult, Report};

use index::RecordIndex;

/// Checks the six rules and computes the summary of each class and of the whole service.
pub fn check(records: &Records, invariants: &Invariants) -> Report {
    let index = RecordIndex::new(records);
    let service = summary::summarize(records, invariants, &index);
    let calls = summary::count_calls(records);
    Report {
        rules: vec![
            rules::final_answer::check(records, invariants, &index),
            rules::single_effect::check(invariants, &index),
            rules::draining::check(records, invariants),
            rules::recovery::check(records, invariants),
            rules::key_order::check(records, invariants, &index),
            rules::retry_after::check(records, invariants),
        ],
        classes: service.classes,
        service: service.overall,
        worst_stretch: service.worst_interval,
        rejected_calls: calls.rejected,
        calls: calls.total,
    }
}
