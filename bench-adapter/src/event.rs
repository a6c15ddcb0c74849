//! Decoding of wire records into the dispatcher's events.
//!
//! The functions read the fields that follow the instance number, if the record has one. They ignore trailing
//! fields that they do not know.

use crate::codes::{list_event, outcome, phase};
use crate::error::RecordError;
use crate::fields::FieldReader;
use linnetcart::{
    AcceptedMessage, AttemptOutcome, AttemptResult, Endpoint, EndpointStatus, Event, HealthCheckResult, Time,
};
use linnetcart_deployment_settings::{DeploymentSettings, CAPACITY_LEFT_FIELD, RATE_LIMIT_FIELD};
use serde_json::Value;
use std::collections::BTreeMap;

const NANOSECONDS_PER_MILLISECOND: Time = 1_000_000;
/// Tenant of a message whose record ends before the tenant field.
const DEFAULT_TENANT: u32 = 0;

/// Positions, in the load reports of an instance, of the values that the dispatcher uses; `None` for a value
/// that the reports do not contain.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoadReportLayout {
    capacity_left: Option<usize>,
    rate_limit: Option<usize>,
}

impl LoadReportLayout {
    /// Returns the layout that the settings of an instance describe.
    pub(crate) fn of(settings: &DeploymentSettings) -> LoadReportLayout {
        LoadReportLayout {
            capacity_left: settings.load_report_index(CAPACITY_LEFT_FIELD),
            rate_limit: settings.load_report_index(RATE_LIMIT_FIELD),
        }
    }
}

/// The values of a load report that the dispatcher uses.
struct LoadReport {
    /// Unused fraction of the limit, 0 to 1; `None` if it is not reported.
    capacity_left: Option<f64>,
    /// Rate limit in calls a second over all couriers; `None` if it is not reported.
    rate_limit: Option<f64>,
}

/// The seed and the settings with which an instance starts.
pub(crate) struct InstanceStart {
    pub(crate) seed: u64,
    pub(crate) settings: DeploymentSettings,
}

/// A numbered list of endpoints, to which later records refer by its number.
pub(crate) struct NumberedList {
    pub(crate) number: u16,
    pub(crate) entries: Vec<Endpoint>,
}

/// Decodes an `INSTANCE_STARTED` record: the seed and the settings, which are JSON.
pub(crate) fn decode_instance_start(fields: &mut FieldReader) -> Result<InstanceStart, RecordError> {
    let seed = fields.u64()?;
    let length = fields.u32()?;
    let object: Value = serde_json::from_slice(fields.bytes(length as usize)?)?;
    let settings = DeploymentSettings::read(&object)?;
    Ok(InstanceStart { seed, settings })
}

/// Decodes a `NUMBERED_LIST` record.
pub(crate) fn decode_numbered_list(fields: &mut FieldReader) -> Result<NumberedList, RecordError> {
    let number = fields.u16()?;
    let count = fields.u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(decode_endpoint(fields)?);
    }
    Ok(NumberedList { number, entries })
}

fn decode_endpoint(fields: &mut FieldReader) -> Result<Endpoint, RecordError> {
    let status = match fields.u8()? {
        phase::READY => EndpointStatus::Ready,
        phase::REMOVED => EndpointStatus::Removed,
        phase::DRAINING => EndpointStatus::Draining,
        unknown => return Err(RecordError::UnknownPhase(unknown)),
    };
    let kind = fields.u8()?;
    let rate = f64::from(fields.f32()?);
    let destination = u32::from(fields.u16()?);
    let id = fields.u32()?;
    let _added_at = fields.u64()?;
    let zone = fields.u8()?;
    Ok(Endpoint { id, destination, kind, zone, rate, status })
}

/// Decodes an `ENDPOINT_LIST` record; `lists` are the numbered lists defined so far.
pub(crate) fn decode_endpoint_list(
    fields: &mut FieldReader,
    lists: &BTreeMap<u16, Vec<Endpoint>>,
) -> Result<Event, RecordError> {
    let complete = match fields.u8()? {
        list_event::FAILED => return Ok(Event::EndpointListFailed),
        list_event::CHANGES => false,
        list_event::COMPLETE | list_event::CACHED => true,
        unknown => return Err(RecordError::UnknownListEvent(unknown)),
    };
    let number = fields.u16()?;
    let entries = lists.get(&number).ok_or(RecordError::UnknownList(number))?;
    Ok(Event::EndpointList { complete, entries: entries.clone() })
}

/// Decodes a `MESSAGE_ACCEPTED` record.
pub(crate) fn decode_message(fields: &mut FieldReader) -> Result<Event, RecordError> {
    let id = fields.u32()?;
    let time_remaining = fields.u64()?;
    let class = fields.u8()?;
    let _attributes = fields.u8()?;
    let _cost_hint = fields.u64()?;
    let ordering_key = fields.u64()?;
    let destination = fields.f32()? as u32;
    let tenant = if fields.is_empty() { DEFAULT_TENANT } else { fields.u32()? };
    Ok(Event::Accepted(AcceptedMessage { id, destination, class, time_remaining, ordering_key, tenant }))
}

/// Decodes an `ATTEMPT_FINISHED` record.
pub(crate) fn decode_attempt_finished(
    fields: &mut FieldReader,
    layout: LoadReportLayout,
) -> Result<Event, RecordError> {
    let message = fields.u32()?;
    let attempt = fields.u16()?;
    let endpoint = fields.u32()?;
    let status = fields.u8()?;
    let elapsed = fields.u64()?;
    let completed = fields.u8()? != 0;
    let note = fields.u32()?;
    let outcome = decode_outcome(status, note)?;
    let report = decode_load_report(fields, layout)?;
    Ok(Event::AttemptFinished(AttemptResult {
        message,
        attempt,
        endpoint,
        outcome,
        elapsed,
        completed,
        capacity_left: report.capacity_left,
        rate_limit: report.rate_limit,
    }))
}

/// Decodes a `CLIENT_CANCELLED` record.
pub(crate) fn decode_client_cancelled(fields: &mut FieldReader) -> Result<Event, RecordError> {
    Ok(Event::ClientCancelled { message: fields.u32()? })
}

/// Decodes a `HEALTH_CHECKED` record.
pub(crate) fn decode_health_checked(
    fields: &mut FieldReader,
    layout: LoadReportLayout,
) -> Result<Event, RecordError> {
    let status = fields.u8()?;
    let elapsed = fields.u64()?;
    let endpoint = fields.u32()?;
    let outcome = decode_outcome(status, outcome::NO_NOTE)?;
    let report = decode_load_report(fields, layout)?;
    Ok(Event::HealthChecked(HealthCheckResult {
        endpoint,
        outcome,
        elapsed,
        capacity_left: report.capacity_left,
        rate_limit: report.rate_limit,
    }))
}

/// Decodes a `GOSSIP` record.
pub(crate) fn decode_gossip(fields: &mut FieldReader) -> Result<Event, RecordError> {
    let from = u32::from(fields.u16()?);
    let length = fields.u16()?;
    let body = fields.bytes(usize::from(length))?.to_vec();
    Ok(Event::Gossip { from, body })
}

/// Decodes an outcome from its code `status` and the note, whose meaning depends on the code (see
/// [`codes::outcome`](crate::codes::outcome)).
fn decode_outcome(status: u8, note: u32) -> Result<AttemptOutcome, RecordError> {
    match status {
        outcome::SERVED => Ok(AttemptOutcome::Served),
        outcome::ERROR => Ok(AttemptOutcome::Error),
        outcome::REJECTED => {
            Ok(AttemptOutcome::Rejected { retry_after: u64::from(note) * NANOSECONDS_PER_MILLISECOND })
        }
        outcome::TIMED_OUT => Ok(AttemptOutcome::TimedOut),
        outcome::NO_CONNECTION => Ok(AttemptOutcome::NoConnection),
        outcome::RESET => Ok(AttemptOutcome::Reset),
        outcome::CANCELLED => Ok(AttemptOutcome::Cancelled),
        outcome::NOT_SENT => Ok(AttemptOutcome::NotSent { no_capacity: note == outcome::NOTE_NO_CAPACITY }),
        unknown => Err(RecordError::UnknownOutcome(unknown)),
    }
}

/// Decodes the load report at the end of a record. It is optional: without it no value is reported.
fn decode_load_report(fields: &mut FieldReader, layout: LoadReportLayout) -> Result<LoadReport, RecordError> {
    let count = if fields.is_empty() { 0 } else { fields.u8()? };
    let mut values = Vec::new();
    for _ in 0..count {
        values.push(f64::from(fields.f32()?));
    }
    let value_at = |index: Option<usize>| values.get(index?).copied();
    Ok(LoadReport { capacity_left: value_at(layout.capacity_left), rate_limit: value_at(layout.rate_limit) })
}

#[cfg(test)]
mod tests;
