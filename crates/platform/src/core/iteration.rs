//! One iteration of the event loop: the order in which the parts of the core are processed.

use super::recovery;
use super::shutdown::OutstandingWork;
use super::Core;
use linnetcart::{AttemptOutcome, Time};

impl Core {
    // ---- An iteration

    /// One iteration of the event loop: one decision on all that came, and what follows from it.
    pub fn process(&mut self, now: Time) {
        self.advance_clock(now);
        self.expire();
        // What clients ask waits for a decision that can say what becomes of it.
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
        self.poll_notifier();
        self.sweep_clients();
        self.put_closes_first();
        self.finish_shutdown();
    }

    /// Ends attempts whose connection or own deadline has run out of time.
    fn expire(&mut self) {
        let now = self.clock.now();
        for finished in self.pool.close_overdue(now) {
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
        self.answer_decided(&actions);
        for action in actions {
            self.execute(action);
        }
    }

    /// What still comes is accepted for the next process. What has no connection yet is for it, too: nothing begins
    /// that cannot end.
    fn stop_decisions(&mut self) {
        self.decisions.stop();
        self.answer_decided(&[]);
        for id in self.attempts.ids() {
            if !self.pool.is_sent(id) {
                self.cancel_attempt(id, AttemptOutcome::Cancelled);
            }
        }
    }

    fn close_half_closed(&mut self) {
        for id in self.clients.take_half_closed() {
            self.close_client(id);
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
