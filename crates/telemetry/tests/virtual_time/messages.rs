//! Simulated messages: their random outcomes, and the delivery events that they cause.

use crate::fixture::SECOND;
use linnetcart::AttemptOutcome;
use linnetcart_delivery_events::{DeliveryEvent, FinalAnswer, LoadReport};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Latency of a message that is answered within the latency objective, in nanoseconds.
const WITHIN_OBJECTIVE: u64 = SECOND / 9;
/// Latency of a message that is served after the latency objective, in nanoseconds.
const LATE: u64 = 2 * SECOND;

/// The outcome of a simulated message.
pub struct MessageOutcome {
    outcome: AttemptOutcome,
    answer: FinalAnswer,
    /// Time to the outcome of the attempt and to the final answer, in nanoseconds.
    elapsed: u64,
    /// The metric that counts the attempt.
    pub attempt_metric: &'static str,
    /// The metric that counts the final answer.
    pub answer_metric: &'static str,
}

impl MessageOutcome {
    /// Draws the outcome of a message; most are served within the latency objective.
    pub fn draw(random: &mut ChaCha8Rng) -> MessageOutcome {
        match random.random_range(0..10) {
            0 => MessageOutcome {
                outcome: AttemptOutcome::Rejected { retry_after: SECOND },
                answer: FinalAnswer::Rejected { retry_after: SECOND },
                elapsed: WITHIN_OBJECTIVE,
                attempt_metric: "full",
                answer_metric: "refused",
            },
            1 => MessageOutcome {
                outcome: AttemptOutcome::Error,
                answer: FinalAnswer::Failed,
                elapsed: WITHIN_OBJECTIVE,
                attempt_metric: "errors",
                answer_metric: "failed",
            },
            2 => MessageOutcome {
                outcome: AttemptOutcome::Served,
                answer: FinalAnswer::Served,
                elapsed: LATE,
                attempt_metric: "served",
                answer_metric: "late",
            },
            _ => MessageOutcome {
                outcome: AttemptOutcome::Served,
                answer: FinalAnswer::Served,
                elapsed: WITHIN_OBJECTIVE,
                attempt_metric: "served",
                answer_metric: "in_aim",
            },
        }
    }
}

/// Returns the events of a message that is accepted, attempted once and answered.
pub fn accepted_message(
    message: u32,
    class: u8,
    destination: u32,
    deadline: u64,
    message_outcome: &MessageOutcome,
) -> [DeliveryEvent; 4] {
    let endpoint = destination * 10;
    let &MessageOutcome { outcome, answer, elapsed, .. } = message_outcome;
    let load = Some(LoadReport { capacity_left: 0.25, rate_limit: 40.0 });
    [
        DeliveryEvent::Accepted { message, name: "x".into(), class, destination, deadline },
        DeliveryEvent::AttemptStarted { message, attempt: 0, class, destination, endpoint, hedge: false },
        DeliveryEvent::AttemptFinished {
            message,
            attempt: 0,
            class,
            destination,
            endpoint,
            outcome,
            elapsed,
            load,
        },
        DeliveryEvent::Completed { message, class, destination, answer, elapsed },
    ]
}
