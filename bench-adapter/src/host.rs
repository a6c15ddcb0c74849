//! Hosts the running instances and applies batches to them.
//!
//! An instance is one courier of the bench, with its own dispatcher. All instances share the numbered lists
//! of endpoints.

use crate::action::encode_action;
use crate::codes::event;
use crate::error::{BatchError, RecordError};
use crate::event::{
    decode_attempt_finished, decode_client_cancelled, decode_endpoint_list, decode_gossip,
    decode_health_checked, decode_instance_start, decode_message, decode_numbered_list, LoadReportLayout,
};
use crate::fields::FieldReader;
use crate::frame::{encode_reply, read_record, Batch, Record};
use linnetcart::{Dispatcher, Endpoint, Event};
use std::collections::BTreeMap;

/// A running instance.
struct Instance {
    dispatcher: Dispatcher,
    load_report: LoadReportLayout,
}

/// The events of one batch by instance, with the instances in the order in which they first occur in the
/// batch.
#[derive(Default)]
struct PendingEvents {
    order: Vec<u32>,
    events: BTreeMap<u32, Vec<Event>>,
}

impl PendingEvents {
    fn push(&mut self, instance: u32, event: Event) {
        if !self.order.contains(&instance) {
            self.order.push(instance);
        }
        self.events.entry(instance).or_default().push(event);
    }

    /// Drops the events of an instance that is halted or started again; the instance keeps its position in
    /// the order.
    fn discard(&mut self, instance: u32) {
        self.events.remove(&instance);
    }
}

/// All instances of this process by number, and the numbered lists of endpoints.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u16, Vec<Endpoint>>,
}

impl Host {
    /// Applies a batch, runs the decision cycles of its instances, and returns the encoded reply.
    pub(crate) fn process(&mut self, batch: &Batch) -> Result<Vec<u8>, BatchError> {
        let pending = self.read_records(batch)?;
        let actions = self.decide(batch, pending);
        Ok(encode_reply(batch.number, &actions))
    }

    /// Decodes all records of a batch in order. Changes of instances and lists apply at once; events are
    /// collected for the decision cycles.
    fn read_records(&mut self, batch: &Batch) -> Result<PendingEvents, BatchError> {
        let mut pending = PendingEvents::default();
        let mut records = FieldReader::new(&batch.records);
        for number in 0..batch.record_count {
            let record = read_record(&mut records).map_err(BatchError::Framing)?;
            self.read_record(&record, &mut pending).map_err(|source| BatchError::Record {
                batch: batch.number,
                record: number,
                code: record.code,
                source,
            })?;
        }
        if !records.is_empty() {
            return Err(BatchError::TrailingBytes { batch: batch.number, bytes: records.remaining() });
        }
        Ok(pending)
    }

    /// Decodes one record, and applies it or collects its event. Records with an unknown code are skipped.
    fn read_record(&mut self, record: &Record, pending: &mut PendingEvents) -> Result<(), RecordError> {
        let mut fields = FieldReader::new(record.fields);
        match record.code {
            event::NUMBERED_LIST => {
                let list = decode_numbered_list(&mut fields)?;
                self.lists.insert(list.number, list.entries);
            }
            event::INSTANCE_STARTED => {
                let instance = fields.u32()?;
                self.start(instance, &mut fields)?;
                pending.discard(instance);
                pending.push(instance, Event::WokenUp);
            }
            event::INSTANCE_HALTED => {
                let instance = fields.u32()?;
                self.instances.remove(&instance);
                pending.discard(instance);
            }
            code => {
                if let Some(known) = InstanceEvent::from_code(code) {
                    let instance = fields.u32()?;
                    let event = self.decode_event(known, instance, &mut fields)?;
                    pending.push(instance, event);
                }
            }
        }
        Ok(())
    }

    fn start(&mut self, instance: u32, fields: &mut FieldReader) -> Result<(), RecordError> {
        let start = decode_instance_start(fields)?;
        let load_report = LoadReportLayout::of(&start.settings);
        let dispatcher = Dispatcher::new(start.settings.settings, start.seed);
        self.instances.insert(instance, Instance { dispatcher, load_report });
        Ok(())
    }

    fn decode_event(
        &self,
        event: InstanceEvent,
        instance: u32,
        fields: &mut FieldReader,
    ) -> Result<Event, RecordError> {
        match event {
            InstanceEvent::EndpointList => decode_endpoint_list(fields, &self.lists),
            InstanceEvent::MessageAccepted => decode_message(fields),
            InstanceEvent::AttemptFinished => decode_attempt_finished(fields, self.load_report(instance)),
            InstanceEvent::ClientCancelled => decode_client_cancelled(fields),
            InstanceEvent::HealthChecked => decode_health_checked(fields, self.load_report(instance)),
            InstanceEvent::Gossip => decode_gossip(fields),
            // Both records only start a decision cycle: the dispatcher needs no more than the clock time.
            InstanceEvent::StreamStarted | InstanceEvent::TimerExpired => Ok(Event::WokenUp),
        }
    }

    /// Returns the layout of the load reports of an instance; an empty one if the instance is not running.
    fn load_report(&self, instance: u32) -> LoadReportLayout {
        self.instances.get(&instance).map(|running| running.load_report).unwrap_or_default()
    }

    /// Runs one decision cycle for each instance that has events, and returns all encoded actions.
    fn decide(&mut self, batch: &Batch, mut pending: PendingEvents) -> Vec<u8> {
        let mut actions = Vec::new();
        for number in pending.order {
            let Some(instance) = self.instances.get_mut(&number) else { continue };
            let Some(events) = pending.events.remove(&number) else { continue };
            for action in instance.dispatcher.decide(batch.clock, events) {
                encode_action(&mut actions, number, batch.clock, &action);
            }
        }
        actions
    }
}

/// Kinds of record that are decoded into an event of one instance.
#[derive(Clone, Copy)]
enum InstanceEvent {
    EndpointList,
    MessageAccepted,
    StreamStarted,
    AttemptFinished,
    ClientCancelled,
    TimerExpired,
    HealthChecked,
    Gossip,
}

impl InstanceEvent {
    /// Returns the kind of a record code, or `None` for any other code.
    fn from_code(code: u8) -> Option<InstanceEvent> {
        match code {
            event::ENDPOINT_LIST => Some(InstanceEvent::EndpointList),
            event::MESSAGE_ACCEPTED => Some(InstanceEvent::MessageAccepted),
            event::STREAM_STARTED => Some(InstanceEvent::StreamStarted),
            event::ATTEMPT_FINISHED => Some(InstanceEvent::AttemptFinished),
            event::CLIENT_CANCELLED => Some(InstanceEvent::ClientCancelled),
            event::TIMER_EXPIRED => Some(InstanceEvent::TimerExpired),
            event::HEALTH_CHECKED => Some(InstanceEvent::HealthChecked),
            event::GOSSIP => Some(InstanceEvent::Gossip),
            _ => None,
        }
    }
}
