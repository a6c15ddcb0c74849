//! The trace of a run: the delivery events of all couriers in order, of one message or of all.

use crate::host::CourierIncarnation;
use linnetcart_conformance::Time;
use linnetcart_edge::delivery_events::DeliveryEvent;
use std::collections::BTreeMap;

/// A delivery event, with its time and the courier that it happened in.
#[derive(Clone, Debug, PartialEq)]
pub struct TracedEvent {
    /// When the event loop iteration of the event began, in nanoseconds: on the network's clock, or after
    /// [`DeliveryTrace::rebase`] since the start given there.
    pub at: Time,
    /// The number of the courier.
    pub courier: u32,
    /// The number of the courier's incarnation, counted from 0.
    pub incarnation: u32,
    /// The event, as the courier reported it.
    pub event: DeliveryEvent,
}

/// A message of one incarnation of a courier, by the courier's own number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LocalMessage {
    program: CourierIncarnation,
    number: u32,
}

/// The delivery events of one message in all couriers that accepted it, or of all messages.
#[derive(Clone, Debug, Default)]
pub struct DeliveryTrace {
    /// The message that is traced; `None` for all messages.
    traced_message: Option<u64>,
    /// The name of each traced message, by the number that a courier assigned to it. The name is the same in
    /// all couriers.
    names: BTreeMap<LocalMessage, u64>,
    /// The traced events in order of time.
    pub events: Vec<TracedEvent>,
}

impl DeliveryTrace {
    /// Creates a trace of one message, given by its name.
    pub fn of_message(name: u64) -> DeliveryTrace {
        DeliveryTrace { traced_message: Some(name), ..DeliveryTrace::default() }
    }

    /// Adds the events of one iteration of a courier's event loop.
    pub fn add(&mut self, at: Time, program: CourierIncarnation, events: &[DeliveryEvent]) {
        let CourierIncarnation { courier, incarnation } = program;
        for event in events {
            if let DeliveryEvent::Accepted { message, name, .. } = event {
                let local = LocalMessage { program, number: *message };
                self.note_accepted(local, name);
            }
            let is_traced = match message_number(event) {
                Some(number) => self.names.contains_key(&LocalMessage { program, number }),
                None => self.traced_message.is_none(),
            };
            if is_traced {
                self.events.push(TracedEvent { at, courier, incarnation, event: event.clone() });
            }
        }
    }

    /// Subtracts `start` from all times, which converts them to a clock that began at `start`.
    pub fn rebase(&mut self, start: Time) {
        for traced in &mut self.events {
            traced.at = traced.at.saturating_sub(start);
        }
    }

    /// Notes the name of an accepted message if it is traced. Couriers reuse numbers, so the number of a
    /// message that is not traced is removed.
    fn note_accepted(&mut self, local: LocalMessage, name: &[u8]) {
        let name = std::str::from_utf8(name).ok().and_then(|name| name.parse().ok());
        match name {
            Some(name) if self.traced_message.is_none_or(|traced| traced == name) => {
                self.names.insert(local, name);
            }
            _ => {
                self.names.remove(&local);
            }
        }
    }
}

/// Returns the number of the message that an event is about, or `None` if it is not about a message.
fn message_number(event: &DeliveryEvent) -> Option<u32> {
    match event {
        DeliveryEvent::Accepted { message, .. }
        | DeliveryEvent::AttemptStarted { message, .. }
        | DeliveryEvent::AttemptFinished { message, .. }
        | DeliveryEvent::Completed { message, .. }
        | DeliveryEvent::ClientCancelled { message, .. } => Some(*message),
        _ => None,
    }
}
