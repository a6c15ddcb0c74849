//! Interprets an endpoint's response by the status table of the protocol:
//!
//! | status | outcome of the attempt |
//! | --- | --- |
//! | 200 | `Served`; the message is completed |
//! | 429 | `Rejected` |
//! | 503 with `x-egress-full: 1` | `NotSent` for lack of capacity |
//! | 503 otherwise | `Rejected` |
//! | 504 | `NotSent` |
//! | 410 | `NotSent`; the message is over nevertheless, and recorded as delivered |
//! | any other | `Error` |
//!
//! [`AttemptOutcome::NotSent`] therefore also stands for attempts that were sent and that the endpoint
//! reports as not executed.

use super::{LoadReport, ReportedEnd};
use crate::core::clock::MILLISECOND;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_deployment_settings::{DeploymentSettings, CAPACITY_LEFT_FIELD, RATE_LIMIT_FIELD};
use linnetcart_http::{parse_decimal, parse_response, EarlyStatus, ParsedResponse, ResponseHead};

/// The outcome of an attempt and the state of its message, according to a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interpretation {
    /// The outcome of the attempt. `NotSent` means that the endpoint reports the attempt as not executed.
    pub outcome: AttemptOutcome,
    /// The end of the message that the endpoint reports, if it reports one.
    pub end: Option<ReportedEnd>,
}

impl Interpretation {
    const DELIVERED: Interpretation =
        Interpretation { outcome: AttemptOutcome::Served, end: Some(ReportedEnd::Delivered) };
    const GONE: Interpretation = Interpretation {
        outcome: AttemptOutcome::NotSent { no_capacity: false },
        end: Some(ReportedEnd::Gone),
    };
}

/// Whether the status line alone decides what a response reports: 200 and 410.
pub fn is_decided_by_status(status: u16) -> bool {
    matches!(status, 200 | 410)
}

/// Interprets a response. Unless its status line decides, it counts as an error if its body length is unknown,
/// because it cannot be checked for completeness.
pub fn interpret(head: &ResponseHead) -> Interpretation {
    if head.body.is_none() && !is_decided_by_status(head.status) {
        return Interpretation { outcome: AttemptOutcome::Error, end: None };
    }
    outcome_of_status(head)
}

/// Interprets a response by its status and header fields, whether or not its body is complete.
pub fn outcome_of_status(head: &ResponseHead) -> Interpretation {
    let is_full = head.field("x-egress-full") == Some(b"1");
    let outcome = match head.status {
        200 => return Interpretation::DELIVERED,
        410 => return Interpretation::GONE,
        429 => AttemptOutcome::Rejected { retry_after: retry_after(head) },
        503 if is_full => AttemptOutcome::NotSent { no_capacity: true },
        503 => AttemptOutcome::Rejected { retry_after: retry_after(head) },
        504 => AttemptOutcome::NotSent { no_capacity: false },
        _ => AttemptOutcome::Error,
    };
    Interpretation { outcome, end: None }
}

/// Interprets a response whose head is incomplete or malformed, by its status line. Returns `None` if that does
/// not decide.
pub fn interpret_status_line(status: EarlyStatus) -> Option<Interpretation> {
    match status {
        EarlyStatus::Ok => Some(Interpretation::DELIVERED),
        EarlyStatus::Gone => Some(Interpretation::GONE),
        EarlyStatus::Other => None,
    }
}

/// Interprets a malformed response: an error, unless its status line decides.
pub fn interpret_malformed(status: EarlyStatus) -> Interpretation {
    interpret_status_line(status).unwrap_or(Interpretation { outcome: AttemptOutcome::Error, end: None })
}

/// Whether the bytes of a response, complete or not, report that the message is over (410).
pub fn states_gone(bytes: &[u8]) -> bool {
    match parse_response(bytes) {
        ParsedResponse::Incomplete { status } | ParsedResponse::Malformed { status } => {
            status == EarlyStatus::Gone
        }
        ParsedResponse::Head(head) => outcome_of_status(&head) == Interpretation::GONE,
    }
}

/// Longest Retry-After, in nanoseconds: 365 days. A longer one is treated as this one, so that times can be added to it.
const MAX_RETRY_AFTER: Time = 365 * 24 * 3600 * 1000 * MILLISECOND;

/// Returns the Retry-After of a response in nanoseconds; 0 if it is absent or unreadable.
fn retry_after(head: &ResponseHead) -> Time {
    let milliseconds = head.field("x-backoff-ms").and_then(parse_decimal).unwrap_or(0);
    milliseconds.saturating_mul(MILLISECOND).min(MAX_RETRY_AFTER)
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
