//! Every decision of the library, one file a concern; what they are made from is kept in [`crate::state`].

mod admission;
mod dispatch;
mod endpoint_list;
mod health;
mod hedging;
mod messages;
mod outcomes;
mod rate;

use crate::interface::{Action, Event, Settings, Time};
use crate::state::{DispatchState, LatencySamples, ListPoll, Random, RecoveredAttempts};

/// No clock time helps, only an event.
const NEVER: Time = Time::MAX;
const NANOS_PER_SECOND: f64 = 1e9;

/// The decisions of one courier.
#[derive(Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    random: Random,
    now: Time,
    /// When this decision cycle wants the next one.
    wake_at: Time,
    /// The wake-up that was asked for and is still to come.
    pending_wake_up: Time,
    /// How much later than wanted this cycle came.
    delay: Time,
    state: DispatchState,
    /// Recent latencies of served calls, whatever the destination.
    latencies: LatencySamples,
    list_poll: ListPoll,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// A dispatcher that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let next_at = if settings.endpoint_list_polled { 0 } else { NEVER };
        Dispatcher {
            settings,
            random: Random::new(seed),
            pending_wake_up: NEVER,
            list_poll: ListPoll { next_at, backoff: 0 },
            ..Dispatcher::default()
        }
    }

    /// One decision cycle: takes all events since the last, at clock time `now`, and returns what is to do.
    pub fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.max(now);
        self.wake_at = NEVER;
        self.delay = self.now.saturating_sub(self.pending_wake_up);
        for event in events {
            match event {
                Event::EndpointList { complete, entries } => self.update_endpoints(complete, entries),
                Event::EndpointListFailed => self.back_off_list_poll(),
                Event::Accepted(message) => self.accept(message, None),
                Event::Recovered { message, attempts, unresolved } => {
                    self.accept(message, Some(RecoveredAttempts { attempts, unresolved }));
                }
                Event::ClientCancelled { message } => self.finish(message),
                Event::AttemptFinished(result) => self.finish_attempt(result),
                Event::HealthChecked(_) | Event::Gossip { .. } | Event::WokenUp => {}
            }
        }
        self.poll_endpoint_list();
        self.state.key_queues.forget_idle(self.now);
        self.answer_expired();
        self.detect_silence();
        self.shed_load();
        self.dispatch();
        self.hedge();
        self.request_wake_up();
        std::mem::take(&mut self.actions)
    }

    /// Rule 6 for a call whose connection took its time: a Retry-After that came meanwhile binds it too.
    pub fn retry_after_pending(&self, now: Time, endpoint: u32) -> bool {
        self.state.limiter(endpoint).is_some_and(|limiter| limiter.retry_after_until > now)
    }

    fn wake_by(&mut self, at: Time) {
        self.wake_at = self.wake_at.min(at);
    }

    fn request_wake_up(&mut self) {
        // A wake-up may come rounded down: one that is due within a tick counts as used.
        if self.pending_wake_up <= self.now + self.settings.tick || self.wake_at < self.pending_wake_up {
            self.pending_wake_up = self.wake_at.max(self.now + 1);
            if self.pending_wake_up != NEVER {
                self.actions.push(Action::WakeUp { at: self.pending_wake_up });
            }
        }
    }
}
