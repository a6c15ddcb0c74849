//! One iteration of the event loop: timeouts, requests, at most one decision, attempts, traffic with
//! discovery and the shutdown, in this order.

use super::recovery;
use super::shutdown::OutstandingWork;
use super::{Core, JournalState};
use linnetcart::{AttemptOutcome, Time};

impl Core {
    /// Runs one iteration of the event loop. If a decision is due, all events queued since the last one are
    /// passed to the decision library in one call, and the actions that it returns are executed. Records,
    /// outputs and log events are collected for the shell.
    pub fn process(&mut self, now: Time) {
        self.advance_clock(now);
        self.recovery.begin_iteration();
        self.expire();
        // Requests are not read during the initial sync: no decision is made before it ends, and each answer
        // depends on one.
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
        if self.journal == JournalState::Unwritable {
            self.release_unrecorded_notifications();
        }
        self.poll_notifier();
        self.sweep_clients();
        self.evict_clients();
        self.put_closes_first();
        self.finish_shutdown();
    }

    /// Closes connections to endpoints whose deadline has passed, and ends attempts whose connection was
    /// closed or whose own deadline has passed.
    fn expire(&mut self) {
        let now = self.clock.now();
        for finished in self.pool.close_timed_out(now) {
            self.finish_attempt(finished);
        }
        for id in self.attempts.expired(now) {
            self.cancel_attempt(id, AttemptOutcome::TimedOut);
        }
    }

    /// Handles the requests that have arrived, in the order of their arrival and up to a number of bytes; the next
    /// iteration follows with the others.
    fn read_requests(&mut self) {
        self.clients.resume_deferred(self.clock.now());
        let mut submitted_bytes = 0;
        while submitted_bytes < self.max_submitted_bytes {
            let Some(id) = self.clients.take_unread() else { return };
            submitted_bytes += self.clients.received(id).len();
            self.read_request(id);
        }
    }

    /// Runs one decision on the queued events and on recovered messages that were not passed to the library
    /// yet, answers the requests that wait for it and executes the other actions.
    fn decide(&mut self) {
        let mut recovered = Vec::new();
        for number in self.recovery.take_awaiting_decision() {
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

    /// Stops decisions for the rest of the shutdown. Messages that still arrive are accepted and recorded,
    /// and the next process delivers them. Attempts whose request is not sent are cancelled and left to that
    /// process as well, because they might not end before this one exits.
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

    /// Queues the closes and write shutdowns that the connection pool has collected, before all other
    /// outputs.
    pub(super) fn put_closes_first(&mut self) {
        let closed = self.pool.take_closed();
        let abandoned = self.pool.take_abandoned();
        self.effects.put_closes_first(&closed, &abandoned);
    }

    /// Ends the shutdown if no attempt is in flight and no notification is unacknowledged, or if it timed
    /// out.
    fn finish_shutdown(&mut self) {
        let idle =
            self.attempts.is_empty() && self.notifier.len() == 0 && !self.clients.has_unread_or_deferred();
        let work = if idle { OutstandingWork::None } else { OutstandingWork::Some };
        self.shutdown.finish(self.clock.now(), work);
    }
}
