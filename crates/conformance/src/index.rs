//! An index of the records by message, built once and shared by several rules.

use crate::records::{Arrival, Records, Submission};
use linnetcart::Time;
use std::collections::BTreeMap;

/// Submissions and arrivals grouped by message number, each group sorted by time.
pub(crate) struct RecordIndex<'a> {
    submissions: BTreeMap<u64, Vec<&'a Submission>>,
    arrivals: BTreeMap<u64, Vec<&'a Arrival>>,
}

impl<'a> RecordIndex<'a> {
    pub(crate) fn new(records: &'a Records) -> Self {
        let mut submissions: BTreeMap<u64, Vec<&Submission>> = BTreeMap::new();
        for submission in &records.submissions {
            submissions.entry(submission.message).or_default().push(submission);
        }
        for of_message in submissions.values_mut() {
            of_message.sort_by_key(|submission| submission.at);
        }
        let mut arrivals: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &records.arrivals {
            arrivals.entry(arrival.message).or_default().push(arrival);
        }
        for of_message in arrivals.values_mut() {
            of_message.sort_by_key(|arrival| arrival.at);
        }
        RecordIndex { submissions, arrivals }
    }

    /// Iterates over all submitted messages by number, each with its submissions (at least one).
    pub(crate) fn messages(&self) -> impl Iterator<Item = (u64, &[&'a Submission])> {
        self.submissions.iter().map(|(&message, submissions)| (message, submissions.as_slice()))
    }

    /// Returns the arrivals of a message at any endpoint, sorted by time; empty if it never arrived.
    pub(crate) fn arrivals_of(&self, message: u64) -> &[&'a Arrival] {
        self.arrivals.get(&message).map_or(&[], Vec::as_slice)
    }

    /// Returns when the client next submitted the same message, or `None` if this submission was the last.
    pub(crate) fn next_submission_at(&self, submission: &Submission) -> Option<Time> {
        let of_message = self.submissions.get(&submission.message)?;
        let mut times = of_message.iter().map(|other| other.at);
        times.find(|&at| at > submission.at)
    }
}
