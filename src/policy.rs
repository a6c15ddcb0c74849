//! The decisions of the library, one file per concern. The state that they are based on is in
//! [`crate::state`].
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
mod send_check;

use crate::interface::{Action, Event, Settings, Time};
use crate::state::{DispatchState, LatencySamples, ListPoll, Random, RecoveredAttempts, WakeUpTimer};

/// A clock time that is never reached: stands for work that is due only after a further event.
const NEVER: Time = Time::MAX;
const NANOS_PER_SECOND: f64 = 1e9;

/// Decides for one courier process which messages are sent, retried, hedged, cancelled, rejected or given up.
#[derive(Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    random: Random,
    now: Time,
    wake_up: WakeUpTimer,
    /// Nanoseconds by which this decision cycle started after the requested wake-up; 0 if it was not late.
    delay: Time,
    state: DispatchState,
    /// Latencies of the last served calls to all destinations.
    latencies: LatencySamples,
    list_poll: ListPoll,
    /// Whether the courier cannot record attempts at present ([`Event::RecordingChanged`]).
    records_unavailable: bool,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints and messages; `seed` initializes the random number generator.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let next_at = if settings.endpoint_list_polled { 0 } else { NEVER };
        Dispatcher {
            settings,
            random: Random::new(seed),
            list_poll: ListPoll { next_at, backoff: 0 },
            ..Dispatcher::default()
        }
    }

    /// Runs one decision cycle at clock time `now`, in nanoseconds: applies all events since the last cycle,
    /// and returns the actions to carry out, in order. The dispatcher's time never goes back: if `now` is
    /// earlier than in the last cycle, the time of the last cycle is used.
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
}
