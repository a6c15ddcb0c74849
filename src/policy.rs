//! Every decision of the library, one file a concern. What the decisions are based on is in [`crate::state`].
//!
//! "Rule 1" to "rule 6" in comments are the six rules that the crate documentation lists.

mod admission;
mod dispatch;
mod endpoint_list;
mod health;
mod hedging;
mod local_faults;
mod messages;
mod outcomes;
mod rate;

use crate::interface::{Action, Event, Settings, Time};
use crate::state::{DispatchState, LatencySamples, ListPoll, Random, RecoveredAttempts, WakeUpTimer};

/// A time that never comes: only an event can change anything.
const NEVER: Time = Time::MAX;
const NANOS_PER_SECOND: f64 = 1e9;

/// The decisions of one courier.
#[derive(Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    random: Random,
    now: Time,
    wake_up: WakeUpTimer,
    /// How much later than requested this cycle came.
    delay: Time,
    state: DispatchState,
    /// Recent latencies of served calls, whatever the destination.
    latencies: LatencySamples,
    list_poll: ListPoll,
    /// Attempts cannot be recorded at present.
    records_unavailable: bool,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no endpoints and no messages; `seed` determines its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let next_at = if settings.endpoint_list_polled { 0 } else { NEVER };
        Dispatcher {
            settings,
            random: Random::new(seed),
            list_poll: ListPoll { next_at, backoff: 0 },
            ..Dispatcher::default()
        }
    }

    /// Runs one decision cycle: applies all events since the last one, at clock time `now`, and returns the
    /// actions to carry out, in their order. A `now` before that of the last cycle counts as that.
    pub fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.max(now);
        self.delay = self.wake_up.start_cycle(self.now);
        for event in events {
            self.apply(event);
        }
        self.poll_endpoint_list();
        self.state.key_queues.forget_idle(self.now);
        self.answer_expired();
        self.detect_silence();
        self.shed_load();
        self.dispatch();
        self.hedge();
        let wake_up = self.wake_up.end_cycle(self.now, self.settings.tick);
        self.actions.extend(wake_up.map(|at| Action::WakeUp { at }));
        std::mem::take(&mut self.actions)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::EndpointList { complete, entries } => self.update_endpoints(complete, entries),
            Event::EndpointListFailed => self.back_off_list_poll(),
            Event::Accepted(message) => self.accept(message, None),
            Event::Recovered { message, attempts, unresolved } => {
                self.accept(message, Some(RecoveredAttempts { attempts, unresolved }));
            }
            Event::ClientCancelled { message } => self.finish(message),
            Event::AttemptFinished(result) => self.finish_attempt(result),
            Event::RecordingChanged { available } => self.change_recording(available),
            Event::HealthChecked(_) | Event::Gossip { .. } | Event::WokenUp => {}
        }
    }

    /// Whether a Retry-After binds this endpoint at `now`. A call whose connection took long to make is
    /// checked with it once more before it is written: the Retry-After may have come meanwhile (rule 6).
    pub fn retry_after_pending(&self, now: Time, endpoint: u32) -> bool {
        self.state.limiter(endpoint).is_some_and(|limiter| limiter.retry_after_until > now)
    }
}
