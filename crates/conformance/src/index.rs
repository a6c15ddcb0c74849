//! Records by message, in the order of their times: made once, read by several rules.

use crate::records::{Arrival, Records, Submission};
use linnetcart::Time;
use std::collections::BTreeMap;

/// Submissions and arrivals by message.
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

    /// Messages by number, each with its submissions; there is at least one of each.
    pub(crate) fn messages(&self) -> impl Iterator<Item = (u64, &[&'a Submission])> {
        self.submissions.iter().map(|(&message, submissions)| (message, submissions.as_slice()))
    }

    /// Where a message arrived.
    pub(crate) fn arrivals_of(&self, message: u64) -> &[&'a Arrival] {
        self.arrivals.get(&message).map_or(&[], Vec::as_slice)
    }

    /// When the client submitted the message of a submission the next time.
    pub(crate) fn next_submission_at(&self, submission: &Submission) -> Option<Time> {
        let of_message = self.submissions.get(&submission.message)?;
        let times = of_message.iter().map(|other| other.at);
        times.into_iter().find(|&at| at > submission.at)
    }
}
