//! What happened in the couriers, told by the core's facts.

use linnetcart_conformance::Time;
use linnetcart_edge::delivery_events::DeliveryEvent;
use std::collections::BTreeMap;

/// A fact, and where and when it happened.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// When.
    pub at: Time,
    /// In which courier.
    pub courier: u32,
    /// In which of its lives.
    pub life: u32,
    /// What.
    pub fact: DeliveryEvent,
}

/// The life of one message in all couriers that held it, or everything.
#[derive(Clone, Debug, Default)]
pub struct Story {
    /// Only this message.
    only: Option<u64>,
    /// What the couriers that hold it call it.
    numbers: BTreeMap<(u32, u32, u32), u64>,
    /// What happened, in order.
    pub told: Vec<Told>,
}

impl Story {
    /// Of one message, by its name.
    pub fn of(message: u64) -> Story {
        Story { only: Some(message), ..Story::default() }
    }

    /// Adds what a turn told.
    pub fn add(&mut self, at: Time, courier: u32, life: u32, facts: &[DeliveryEvent]) {
        for fact in facts {
            if let DeliveryEvent::Accepted { message, name, .. } = fact {
                let name = std::str::from_utf8(name).ok().and_then(|n| n.parse().ok());
                match name {
                    Some(name) if self.only.is_none_or(|o| o == name) => {
                        self.numbers.insert((courier, life, *message), name);
                    }
                    _ => {
                        self.numbers.remove(&(courier, life, *message));
                    }
                }
            }
            let number = match fact {
                DeliveryEvent::Accepted { message, .. }
                | DeliveryEvent::AttemptStarted { message, .. }
                | DeliveryEvent::AttemptFinished { message, .. }
                | DeliveryEvent::Completed { message, .. }
                | DeliveryEvent::ClientCancelled { message, .. } => Some(*message),
                _ => None,
            };
            let wanted =
                number.map_or(self.only.is_none(), |n| self.numbers.contains_key(&(courier, life, n)));
            if wanted {
                self.told.push(Told { at, courier, life, fact: fact.clone() });
            }
        }
    }
}
