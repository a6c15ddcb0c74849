//! One iteration of the event loop: the order in which the parts of the core are processed.

use super::recovery;
use super::shutdown::OutstandingWork;
use super::submission::ClientCloseReason;
use super::Core;
use linnetcart::{AttemptOutcome, Time};

impl Core {
    /// Runs one iteration of the event loop: at most one decision on all events since the last one, and
    /// everything that follows from it.
    pub fn process(&mut self, now: Time) {
        self.advance_clock(now);
        self.recovery.begin_iteration();
        self.expire();
        // During the initial sync, requests wait: without a decision there is no answer for them.
        let in_initial_sync = self.in_initial_sync();
        if !in_initial_sync {
            self.read_requests();
        }
        if !self.shutdown.allows_decisions() {
            self.stop_decisions();
        } else if !in_initial_sync && self.decisions.is_due(self.clock.now()) {
            self.decide();
        }
        self.start_ready_attempts();
        if !in_initial_sync {
            self.close_half_closed();
        }
        self.poll_discovery();
        self.notifier.release_due(self.clock.now());
        self.poll_notifier();
        self.sweep_clients();
        self.put_closes_first();
        self.finish_shutdown();
    }

    /// Ends attempts whose connection or own deadline has timed out.
    fn expire(&mut self) {
        let now = self.clock.now();
        for finished in self.pool.close_timed_out(now) {
            self.finish_attempt(finished);
        }
        for id in self.attempts.expired(now) {
            self.cancel_attempt(id, AttemptOutcome::TimedOut);
        }
    }

    fn read_requests(&mut self) {
        for id in self.clients.take_unread() {
            self.read_request(id);
        }
    }

    fn decide(&mut self) {
        let mut recovered = Vec::new();
        for number in self.recovery.take_undecided() {
            if let Some(message) = self.in_flight.get(number) {
                recovered.push(recovery::recovered_event(number, message, self.clock));
            }
        }
        let actions = self.decisions.decide(self.clock.now(), recovered);
        let decided = self.admission.decide(actions);
        self.answer_decided(decided.admissions);
        for action in decided.to_execute {
            self.execute(action);
        }
    }

    /// Messages that still arrive are accepted for the next process. Attempts without a sent request are left
    /// to it, too: nothing may begin that cannot finish before this process exits.
    fn stop_decisions(&mut self) {
        self.decisions.stop();
        let accepted = self.admission.accept_all();
        self.answer_decided(accepted);
        for id in self.attempts.ids() {
            if !self.pool.is_request_queued(id) {
                self.cancel_attempt(id, AttemptOutcome::Cancelled);
            }
        }
    }

    fn close_half_closed(&mut self) {
        for id in self.clients.take_half_closed() {
            self.close_client(id, ClientCloseReason::HalfClosed);
        }
    }

    pub(super) fn put_closes_first(&mut self) {
        let closed = self.pool.take_closed();
        let abandoned = self.pool.take_abandoned();
        self.effects.put_closes_first(&closed, &abandoned);
    }

    fn finish_shutdown(&mut self) {
        let idle = self.attempts.is_empty() && self.notifier.len() == 0;
        let work = if idle { OutstandingWork::None } else { OutstandingWork::Some };
        self.shutdown.finish(self.clock.now(), work);
    }
}
