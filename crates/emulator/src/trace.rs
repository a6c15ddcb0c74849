//! Delivery events of all couriers, in order, of one message or of everything.

use linnetcart_conformance::Time;
use linnetcart_edge::delivery_events::DeliveryEvent;
use std::collections::BTreeMap;

/// A delivery event, and when and where it happened.
#[derive(Clone, Debug, PartialEq)]
pub struct TracedEvent {
    /// When.
    pub at: Time,
    /// In which courier.
    pub courier: u32,
    /// In which of the courier's incarnations.
    pub incarnation: u32,
    /// What happened.
    pub event: DeliveryEvent,
}

/// A message as one incarnation of a courier numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LocalMessage {
    courier: u32,
    incarnation: u32,
    number: u32,
}

/// The delivery events of one message in all couriers that held it, or of all messages.
#[derive(Clone, Debug, Default)]
pub struct DeliveryTrace {
    /// The message that is followed; all if none.
    followed: Option<u64>,
    /// Numbers under which couriers hold messages that are followed, with the messages' names.
    names: BTreeMap<LocalMessage, u64>,
    /// What happened, in order.
    pub events: Vec<TracedEvent>,
}

impl DeliveryTrace {
    /// Follows one message, by its name.
    pub fn of_message(name: u64) -> DeliveryTrace {
        DeliveryTrace { followed: Some(name), ..DeliveryTrace::default() }
    }

    /// Adds what one iteration of a courier's event loop reported.
    pub fn add(&mut self, at: Time, courier: u32, incarnation: u32, events: &[DeliveryEvent]) {
        for event in events {
            if let DeliveryEvent::Accepted { message, name, .. } = event {
                let local = LocalMessage { courier, incarnation, number: *message };
                self.note_accepted(local, name);
            }
            let wanted = match message_number(event) {
                Some(number) => self.names.contains_key(&LocalMessage { courier, incarnation, number }),
                None => self.followed.is_none(),
            };
            if wanted {
                self.events.push(TracedEvent { at, courier, incarnation, event: event.clone() });
            }
        }
    }

    /// Moves all times to a clock that began at `start`.
    pub fn rebase(&mut self, start: Time) {
        for traced in &mut self.events {
            traced.at = traced.at.saturating_sub(start);
        }
    }

    /// Numbers are reused, so one that now stands for another message is no longer followed.
    fn note_accepted(&mut self, local: LocalMessage, name: &[u8]) {
        let name = std::str::from_utf8(name).ok().and_then(|name| name.parse().ok());
        match name {
            Some(name) if self.followed.is_none_or(|followed| followed == name) => {
                self.names.insert(local, name);
            }
            _ => {
                self.names.remove(&local);
            }
        }
    }
}

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
