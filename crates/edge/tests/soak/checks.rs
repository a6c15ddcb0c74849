//! The rules, checked against what clients, endpoints and discovery saw.

use crate::agent::{Notification, NotificationLog};
use crate::clients::{Answer, Submission};
use crate::endpoint::{Behaviour, Call, CallLog};
use crate::run::{Outage, RunSettings};
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Threads of the test may note a call this much later than it came.
const NOTING_TOLERANCE: Duration = Duration::from_secs(1);
/// No notification is overdue until this long after the courier is ready again.
const GRACE_AFTER_RESTART: Duration = Duration::from_millis(1500);

/// What was seen in a run.
pub struct Observations {
    pub submissions: Vec<Submission>,
    pub calls: CallLog,
    pub notifications: NotificationLog,
    pub outages: Vec<Outage>,
    pub exited_unasked: bool,
}

/// The result of a run.
pub struct Report {
    pub seed: u64,
    pub accepted: usize,
    pub rejected: usize,
    pub unanswered: usize,
    pub restarts: usize,
    /// The longest time that a client waited for an answer while the courier was there.
    pub latest_answer: Duration,
    /// By how much the latest notification came after its message's time.
    pub latest_notification: Duration,
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} accepted, {} rejected, {} unanswered, {} restarts, latest answer {} ms, \
             latest notification {} ms, {} violations",
            self.seed,
            self.accepted,
            self.rejected,
            self.unanswered,
            self.restarts,
            self.latest_answer.as_millis(),
            self.latest_notification.as_millis(),
            self.violations.len()
        )
    }
}

impl Report {
    /// Returns the report of a run that could not be completed.
    pub fn of_failed_run(seed: u64) -> Report {
        Report {
            seed,
            accepted: 0,
            rejected: 0,
            unanswered: 0,
            restarts: 0,
            latest_answer: Duration::ZERO,
            latest_notification: Duration::ZERO,
            violations: vec![format!("seed {seed}: the run failed, see the output of its thread")],
        }
    }
}

/// The calls and notifications of a run by message.
struct ByMessage {
    calls: BTreeMap<String, Vec<Call>>,
    notifications: BTreeMap<String, Vec<Notification>>,
}

impl ByMessage {
    fn new(observations: &Observations) -> ByMessage {
        let mut calls: BTreeMap<String, Vec<Call>> = BTreeMap::new();
        for call in observations.calls.lock().expect("no test thread panics").iter() {
            calls.entry(call.id.clone()).or_default().push(call.clone());
        }
        let mut notifications: BTreeMap<String, Vec<Notification>> = BTreeMap::new();
        for notification in observations.notifications.lock().expect("no test thread panics").iter() {
            notifications.entry(notification.id.clone()).or_default().push(notification.clone());
        }
        ByMessage { calls, notifications }
    }

    fn calls(&self, submission: &Submission) -> &[Call] {
        self.calls.get(&submission.id).map_or(&[], Vec::as_slice)
    }

    fn executions(&self, submission: &Submission) -> usize {
        self.calls(submission).iter().filter(|call| call.behaviour.executes()).count()
    }

    /// Whether the platform was notified that the message may be handed in again.
    fn is_returned(&self, submission: &Submission) -> bool {
        let notifications = self.notifications.get(&submission.id);
        notifications.is_some_and(|all| all.iter().any(|notification| notification.state == "returned"))
    }

    /// When the message had its end: served, or notified.
    fn ended_at(&self, submission: &Submission) -> Option<Instant> {
        let served = self.calls(submission).iter().filter_map(|call| call.served_at).min();
        let notified = self.notified_at(submission);
        [served, notified].into_iter().flatten().min()
    }

    fn notified_at(&self, submission: &Submission) -> Option<Instant> {
        let notifications = self.notifications.get(&submission.id)?;
        notifications.iter().map(|notification| notification.arrived_at).min()
    }
}

fn is_accepted(submission: &Submission) -> bool {
    matches!(submission.answer, Answer::Status(200 | 202))
}

fn is_rejected(submission: &Submission) -> bool {
    matches!(submission.answer, Answer::Status(429 | 503))
}

/// Waits until every accepted message has its end.
pub fn wait_for_ends(observations: &Observations, timeout: Duration) {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        let by_message = ByMessage::new(observations);
        let mut accepted = observations.submissions.iter().filter(|submission| is_accepted(submission));
        if accepted.all(|submission| by_message.ended_at(submission).is_some()) {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

pub fn check(settings: &RunSettings, observations: &Observations) -> Report {
    let by_message = ByMessage::new(observations);
    let mut violations = Vec::new();
    if observations.exited_unasked {
        violations.push("the process exited unasked".to_owned());
    }
    for submission in &observations.submissions {
        check_message(settings, submission, observations, &by_message, &mut violations);
    }
    check_order(observations, &by_message, &mut violations);
    let seed = settings.seed;
    let count = |of: fn(&Submission) -> bool| observations.submissions.iter().filter(|s| of(s)).count();
    Report {
        seed,
        accepted: count(is_accepted),
        rejected: count(is_rejected),
        unanswered: count(|submission| matches!(submission.answer, Answer::Closed | Answer::Silence)),
        restarts: observations.outages.len(),
        latest_answer: latest_answer(observations),
        latest_notification: latest_notification(observations, &by_message),
        violations: violations.into_iter().map(|text| format!("seed {seed}: {text}")).collect(),
    }
}

fn check_message(
    settings: &RunSettings,
    submission: &Submission,
    observations: &Observations,
    by_message: &ByMessage,
    violations: &mut Vec<String>,
) {
    let Submission { id, class, answer, .. } = submission;
    if is_accepted(submission) && by_message.ended_at(submission).is_none() {
        violations.push(format!("lost: {class} {id} was accepted and has no end"));
    }
    if is_rejected(submission) && by_message.executions(submission) > 0 {
        violations.push(format!("executed: {class} {id} was rejected"));
    }
    if *class == "order" && by_message.executions(submission) > 1 {
        violations
            .push(format!("twice: {class} {id} took effect {} times", by_message.executions(submission)));
    }
    if *class == "order" && by_message.is_returned(submission) && by_message.executions(submission) > 0 {
        violations.push(format!("executed: {class} {id} was returned"));
    }
    let after_end = |call: &Call| {
        by_message.notified_at(submission).is_some_and(|at| call.arrived_at > at + NOTING_TOLERANCE)
    };
    if by_message.calls(submission).iter().any(after_end) {
        violations.push(format!("after its end: {class} {id} was called after its notification"));
    }
    let in_outage = observations.outages.iter().any(|outage| overlaps(outage, submission));
    match answer {
        Answer::Silence if !in_outage => violations.push(format!("silence: {class} {id} got no answer")),
        // A close may cross a request on a connection that has been used before.
        Answer::Closed if submission.on_new_connection && !in_outage && !closes_unread(settings) => {
            violations.push(format!("closed: {class} {id} got no answer on a new connection"));
        }
        _ => {}
    }
}

/// Whether new connections may be closed before their request is read.
fn closes_unread(settings: &RunSettings) -> bool {
    settings.faults.closes_unread || settings.crowd
}

fn overlaps(outage: &Outage, submission: &Submission) -> bool {
    outage.from <= submission.answered_at && submission.sent_at <= outage.until
}

/// Messages of a key are handed in one after another. None may be called before the one before it has its end, nor
/// after the next one was called.
fn check_order(observations: &Observations, by_message: &ByMessage, violations: &mut Vec<String>) {
    let mut by_key: BTreeMap<&str, Vec<&Submission>> = BTreeMap::new();
    for submission in &observations.submissions {
        if let (Some(key), true) = (&submission.key, is_accepted(submission)) {
            by_key.entry(key).or_default().push(submission);
        }
    }
    for pair in by_key.values().flat_map(|messages| messages.windows(2)) {
        let [before, after] = pair else { continue };
        let Some(first_call) = by_message.calls(after).iter().map(|call| call.arrived_at).min() else {
            continue;
        };
        if by_message.ended_at(before).is_none_or(|ended| first_call + NOTING_TOLERANCE < ended) {
            violations.push(format!("order: {} was called before the end of {}", after.id, before.id));
        }
        let overtaken = |call: &Call| call.arrived_at > first_call && call.behaviour != Behaviour::Hang;
        if by_message.calls(before).iter().any(overtaken) {
            violations.push(format!("order: {} was called after {}", before.id, after.id));
        }
    }
}

fn latest_answer(observations: &Observations) -> Duration {
    let answered = observations.submissions.iter().filter(|submission| {
        matches!(submission.answer, Answer::Status(_))
            && !observations.outages.iter().any(|outage| overlaps(outage, submission))
    });
    answered.map(|submission| submission.answered_at - submission.sent_at).max().unwrap_or_default()
}

fn latest_notification(observations: &Observations, by_message: &ByMessage) -> Duration {
    let mut latest = Duration::ZERO;
    for submission in &observations.submissions {
        let Some(at) = by_message.notified_at(submission) else { continue };
        let due = submission.sent_at + submission.time;
        let excused = observations
            .outages
            .iter()
            .any(|outage| outage.from <= at && due <= outage.until + GRACE_AFTER_RESTART);
        if !excused {
            latest = latest.max(at.saturating_duration_since(due));
        }
    }
    latest
}
