//! Reads the deadline and the tenant of a record from its headers and its timestamp.

use super::AdmissionContext;
use crate::core::deadline::{message_deadline, ClientClocks, MessageDeadline, StatedTimes};
use crate::settings::Settings;
use crate::time::NANOS_PER_MS;
use linnetcart::Time;
use linnetcart_kafka::Record;

/// The header with the time between a message's submission and its deadline, in milliseconds.
const DEADLINE_MS: &str = "deadline-ms";
/// The header with a message's deadline, in milliseconds since 1970 by the client's wall clock.
const DEADLINE_AT_MS: &str = "deadline-at-ms";
/// The header with the name of a message's tenant.
const TENANT: &str = "tenant";

/// Why the headers of a record are invalid. The text is the error message of the record in the Produce
/// response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum HeaderError {
    #[error("header {name}: `{text}` is no whole number of milliseconds")]
    Duration { name: &'static str, text: String },
    #[error("header {name}: `{text}` is no whole number of milliseconds since 1970")]
    Timestamp { name: &'static str, text: String },
    #[error("header tenant: `{name}` is not in the settings")]
    UnknownTenant { name: String },
}

/// The deadline and the tenant that follow from a record's headers and timestamp.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordHeaders {
    pub(super) deadline: MessageDeadline,
    /// The index of the tenant in the settings; 0 if there are no tenants or the record names none.
    pub(super) tenant: u32,
}

/// A record with invalid headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct InvalidRecord {
    /// The index of the record in its batch.
    pub(super) index: i32,
    pub(super) error: HeaderError,
}

/// Reads the headers of all records. Returns the records with invalid headers if there are any.
pub(super) fn read_all_headers(
    records: &[Record],
    class: u8,
    context: &AdmissionContext<'_>,
) -> Result<Vec<RecordHeaders>, Vec<InvalidRecord>> {
    let mut headers = Vec::with_capacity(records.len());
    let mut invalid = Vec::new();
    for (index, record) in records.iter().enumerate() {
        match read_headers(record, class, context) {
            Ok(header) => headers.push(header),
            Err(error) => invalid.push(InvalidRecord { index: index as i32, error }),
        }
    }
    if invalid.is_empty() {
        Ok(headers)
    } else {
        Err(invalid)
    }
}

fn read_headers(
    record: &Record,
    class: u8,
    context: &AdmissionContext<'_>,
) -> Result<RecordHeaders, HeaderError> {
    let settings = context.settings;
    let time_left =
        read_millis(record, DEADLINE_MS).map_err(|text| HeaderError::Duration { name: DEADLINE_MS, text })?;
    let stated_deadline = read_millis(record, DEADLINE_AT_MS)
        .map_err(|text| HeaderError::Timestamp { name: DEADLINE_AT_MS, text })?;
    let created_ms = u64::try_from(record.timestamp).ok().filter(|&ms| ms > 0);
    let stated = StatedTimes {
        time_left,
        deadline: stated_deadline,
        created_at: created_ms.map(|ms| ms.saturating_mul(NANOS_PER_MS)),
    };
    let clocks = ClientClocks {
        max_skew: settings.clocks.max_skew_ms * NANOS_PER_MS,
        timestamps_are_creation_times: settings.clocks.timestamps_are_creation_times,
    };
    let max_time_left = settings.classes[usize::from(class)].deadline();
    let deadline = message_deadline(clocks, context.clock, stated, max_time_left);
    Ok(RecordHeaders { deadline, tenant: read_tenant(record, settings)? })
}

fn header_text(record: &Record, name: &str) -> Option<String> {
    record.header(name).map(|value| String::from_utf8_lossy(value).into_owned())
}

/// Reads a header in milliseconds and returns it in nanoseconds, or `None` if the record does not have it.
/// The error is the text of a header that is not a whole number.
fn read_millis(record: &Record, name: &str) -> Result<Option<Time>, String> {
    let Some(text) = header_text(record, name) else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(ms) => Ok(Some(ms.saturating_mul(NANOS_PER_MS))),
        Err(_) => Err(text),
    }
}

/// Returns the index in the settings of the record's tenant, 0 if there are no tenants or the record names
/// none.
fn read_tenant(record: &Record, settings: &Settings) -> Result<u32, HeaderError> {
    if settings.tenants.is_empty() {
        return Ok(0);
    }
    let Some(name) = header_text(record, TENANT) else { return Ok(0) };
    match settings.tenants.iter().position(|tenant| tenant.name == name) {
        Some(index) => Ok(index as u32),
        None => Err(HeaderError::UnknownTenant { name }),
    }
}
