//! Model of endpoints with random behaviour: the outcome and the latency of each attempt.

use crate::world::{MILLISECOND, SECOND};
use linnetcart::*;
use rand::rngs::StdRng;
use rand::Rng;

/// How an endpoint answers calls until its behaviour changes.
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

    /// Draws the outcome and latency of an attempt. `time_remaining` is the time to the deadline of its
    /// message, in nanoseconds; an attempt at an endpoint that hangs times out then.
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

/// Draws a latency in nanoseconds: 0.5 to 1.9 times the usual one, and 6 times for one call in a hundred.
fn serving_latency(random: &mut StdRng, usual_latency: Time) -> Time {
    if random.random_bool(0.01) {
        return usual_latency * 6;
    }
    usual_latency * random.random_range(5..20) / 10
}

/// How an attempt ends, and the time from sending to that in nanoseconds.
pub struct AttemptEnd {
    pub latency: Time,
    pub outcome: AttemptOutcome,
}

/// An endpoint: its list entry, its present behaviour, and whether its answers carry load reports.
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
