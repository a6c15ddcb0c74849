//! Endpoints that behave at random: how they answer, and when.

use crate::world::{MILLISECOND, SECOND};
use linnetcart::*;
use rand::rngs::StdRng;
use rand::Rng;

/// How an endpoint answers calls for a while.
#[derive(Clone, Copy)]
pub enum Behaviour {
    Serves { usual_latency: Time },
    Errors,
    Rejects { retry_after: Time },
    Hangs,
    Resets,
    RefusesConnections,
}

impl Behaviour {
    pub fn random(random: &mut StdRng) -> Behaviour {
        match random.random_range(0..9) {
            0 => Behaviour::Errors,
            1 => Behaviour::Rejects { retry_after: 0 },
            2 => Behaviour::Rejects { retry_after: random.random_range(10 * MILLISECOND..5 * SECOND) },
            3 => Behaviour::Hangs,
            4 => Behaviour::Resets,
            5 => Behaviour::RefusesConnections,
            _ => Behaviour::Serves { usual_latency: random.random_range(2 * MILLISECOND..SECOND / 2) },
        }
    }

    /// Draws how an attempt ends; `time_remaining` is that to the deadline of its message.
    pub fn end_attempt(self, random: &mut StdRng, time_remaining: Time) -> AttemptEnd {
        if random.random_bool(0.001) {
            let no_capacity = random.random();
            return AttemptEnd { latency: 0, outcome: AttemptOutcome::NotSent { no_capacity } };
        }
        let (latency, outcome) = match self {
            Behaviour::Serves { usual_latency } => {
                (serving_latency(random, usual_latency), AttemptOutcome::Served)
            }
            Behaviour::Errors => (3 * MILLISECOND, AttemptOutcome::Error),
            Behaviour::Rejects { retry_after } => (2 * MILLISECOND, AttemptOutcome::Rejected { retry_after }),
            Behaviour::Hangs => (time_remaining, AttemptOutcome::TimedOut),
            Behaviour::Resets => (30 * MILLISECOND, AttemptOutcome::Reset),
            Behaviour::RefusesConnections => (MILLISECOND, AttemptOutcome::NoConnection),
        };
        AttemptEnd { latency, outcome }
    }
}

/// One call in a hundred takes six times as long as usual.
fn serving_latency(random: &mut StdRng, usual_latency: Time) -> Time {
    if random.random_bool(0.01) {
        return usual_latency * 6;
    }
    usual_latency * random.random_range(5..20) / 10
}

/// How long an attempt takes and how it ends.
pub struct AttemptEnd {
    pub latency: Time,
    pub outcome: AttemptOutcome,
}

/// An endpoint and its present behaviour.
pub struct EndpointModel {
    pub entry: Endpoint,
    pub behaviour: Behaviour,
    pub reports_load: bool,
}

impl EndpointModel {
    pub fn random(random: &mut StdRng, destination: u32, id: u32) -> EndpointModel {
        let entry = Endpoint {
            id,
            destination,
            kind: (destination % 3) as u8,
            zone: random.random_range(0..2),
            rate: random.random_range(0.0..200.0),
            status: EndpointStatus::Ready,
        };
        let usual_latency = random.random_range(2 * MILLISECOND..200 * MILLISECOND);
        let behaviour = Behaviour::Serves { usual_latency };
        let reports_load = random.random_bool(0.3);
        EndpointModel { entry, behaviour, reports_load }
    }
}
