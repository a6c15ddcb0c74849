//! Interprets an endpoint's response by the status table of the protocol:
//!
//! | status | outcome of the attempt |
//! | --- | --- |
//! | 200 | `Served`; the message is completed |
//! | 429 | `Rejected` |
//! | 503 with `x-egress-full: 1` | `NotSent` for lack of capacity |
//! | 503 otherwise | `Rejected` |
//! | 504 | `NotSent` |
//! | 410 | `NotSent`; the message is completed nevertheless, and recorded as delivered |
//! | any other | `Error` |
//!
//! [`AttemptOutcome::NotSent`] therefore also stands for attempts that were sent and that the endpoint
//! reports as not executed.

use super::LoadReport;
use crate::core::clock::MILLISECOND;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_deployment_settings::{DeploymentSettings, CAPACITY_LEFT_FIELD, RATE_LIMIT_FIELD};
use linnetcart_http::{parse_decimal, EarlyStatus, ResponseHead};

/// The outcome of an attempt and the state of its message, according to a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interpretation {
    /// The outcome of the attempt. `NotSent` means that the endpoint reports the attempt as not executed.
    pub outcome: AttemptOutcome,
    /// Whether the endpoint reports that the message is completed.
    pub message_completed: bool,
}

/// Interprets a response. If its status is not 200 and its body length is unknown, it counts as an error,
/// because it cannot be checked for completeness.
pub fn interpret(head: &ResponseHead) -> Interpretation {
    if head.body.is_none() && head.status != 200 {
        return Interpretation { outcome: AttemptOutcome::Error, message_completed: false };
    }
    outcome_of_status(head)
}

/// Interprets a response by its status and header fields, whether or not its body is complete.
pub fn outcome_of_status(head: &ResponseHead) -> Interpretation {
    let is_full = head.field("x-egress-full") == Some(b"1");
    let outcome = match head.status {
        200 => AttemptOutcome::Served,
        429 => AttemptOutcome::Rejected { retry_after: retry_after(head) },
        503 if is_full => AttemptOutcome::NotSent { no_capacity: true },
        503 => AttemptOutcome::Rejected { retry_after: retry_after(head) },
        504 | 410 => AttemptOutcome::NotSent { no_capacity: false },
        _ => AttemptOutcome::Error,
    };
    Interpretation { outcome, message_completed: matches!(head.status, 200 | 410) }
}

/// Returns the outcome of an attempt whose response is malformed or incomplete: `Served` if its status line
/// reads 200.
pub fn outcome_of_malformed(status: EarlyStatus) -> AttemptOutcome {
    match status {
        EarlyStatus::Ok => AttemptOutcome::Served,
        EarlyStatus::Other => AttemptOutcome::Error,
    }
}

/// Returns the Retry-After of a response in nanoseconds; 0 if it is absent or unreadable.
fn retry_after(head: &ResponseHead) -> Time {
    let milliseconds = head.field("x-backoff-ms").and_then(parse_decimal).unwrap_or(0);
    milliseconds.saturating_mul(MILLISECOND)
}

/// Parses the load report of a response, such as `x0=0.25,x1=80`. An unreadable value is treated as absent.
pub fn load_report(head: &ResponseHead, settings: &DeploymentSettings) -> LoadReport {
    let text = head.field("x-pressure").and_then(|value| std::str::from_utf8(value).ok()).unwrap_or("");
    LoadReport {
        capacity_left: load_value(text, CAPACITY_LEFT_FIELD, settings),
        rate_limit: load_value(text, RATE_LIMIT_FIELD, settings),
    }
}

/// Returns the value `name` of a load report if the settings list it and it is a finite number >= 0.
fn load_value(text: &str, name: &str, settings: &DeploymentSettings) -> Option<f64> {
    settings.load_report_index(name)?;
    let mut pairs = text.split(',').map(str::trim).filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let number: f64 = value.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
