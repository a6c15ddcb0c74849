//! The counted quantities, and a set with one count of each.

use std::ops::{Index, IndexMut};

/// A counted quantity.
///
/// The position in [`Field::ALL`] is the field's number in the counter log; [`Field::name`] is part of metric
/// names and snapshots. Both are stored on disk and by receivers: new fields go to the end, and no field is
/// renumbered or renamed.
///
/// Once every accepted message has its final answer or was cancelled by its client, `WeightOffered` is
/// `WeightWithinObjective` + `WeightLate` + `WeightLost`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Field {
    /// Messages accepted.
    Accepted,
    /// Messages served within the latency objective.
    WithinObjective,
    /// Messages served after the latency objective.
    Late,
    /// Messages rejected after being accepted.
    RejectedAfterAccept,
    /// Messages whose final answer is a failure.
    Failed,
    /// Messages cancelled by their client.
    ClientCancelled,
    /// Messages rejected before being accepted.
    RejectedBeforeAccept,
    /// Attempts started.
    Attempts,
    /// Attempts started while another attempt of the message was in flight.
    Hedges,
    /// Attempts served.
    AttemptsServed,
    /// Attempts cancelled.
    AttemptsCancelled,
    /// Attempts rejected by an endpoint above its limit.
    AttemptsRejected,
    /// Rejected attempts whose response carried a Retry-After.
    RetryAfterReceived,
    /// Attempts answered with an error.
    AttemptErrors,
    /// Attempts without a response in time.
    AttemptTimeouts,
    /// Attempts whose connection was reset.
    ConnectionResets,
    /// Attempts that the endpoint did not execute for lack of a connection, because they were not sent or the
    /// endpoint reported so, or because of a fault of the courier's own machine.
    AttemptsNotSent,
    /// Priority weight of all messages, accepted or rejected, in thousandths.
    WeightOffered,
    /// Priority weight served within the latency objective, in thousandths.
    WeightWithinObjective,
    /// Priority weight that remained of messages served after the latency objective, in thousandths.
    WeightLate,
    /// Priority weight of messages not served, and the weight lost by serving late, in thousandths.
    WeightLost,
    /// Points dropped because the send buffer for Graphite was full.
    PointsDropped,
    /// Cells postponed to the next report because a report reached its maximum number of points.
    PointsPostponed,
    /// Connections to Graphite that could not be established, broke, or were closed for lack of progress.
    ReceiverConnectionFailures,
    /// Packets of the host's collectd that were rejected.
    PacketsRejected,
}

/// Number of counted quantities: the variants of [`Field`], and so the counts in a [`Counts`].
pub const FIELD_COUNT: usize = 25;

impl Field {
    /// All fields, in the order of their numbers.
    pub const ALL: [Field; FIELD_COUNT] = [
        Field::Accepted,
        Field::WithinObjective,
        Field::Late,
        Field::RejectedAfterAccept,
        Field::Failed,
        Field::ClientCancelled,
        Field::RejectedBeforeAccept,
        Field::Attempts,
        Field::Hedges,
        Field::AttemptsServed,
        Field::AttemptsCancelled,
        Field::AttemptsRejected,
        Field::RetryAfterReceived,
        Field::AttemptErrors,
        Field::AttemptTimeouts,
        Field::ConnectionResets,
        Field::AttemptsNotSent,
        Field::WeightOffered,
        Field::WeightWithinObjective,
        Field::WeightLate,
        Field::WeightLost,
        Field::PointsDropped,
        Field::PointsPostponed,
        Field::ReceiverConnectionFailures,
        Field::PacketsRejected,
    ];

    /// Returns the field's name in series and snapshots.
    pub fn name(self) -> &'static str {
        match self {
            Field::Accepted => "taken",
            Field::WithinObjective => "in_aim",
            Field::Late => "late",
            Field::RejectedAfterAccept => "refused",
            Field::Failed => "failed",
            Field::ClientCancelled => "withdrawn",
            Field::RejectedBeforeAccept => "turned_away",
            Field::Attempts => "attempts",
            Field::Hedges => "copies",
            Field::AttemptsServed => "served",
            Field::AttemptsCancelled => "cancelled",
            Field::AttemptsRejected => "full",
            Field::RetryAfterReceived => "told_waits",
            Field::AttemptErrors => "errors",
            Field::AttemptTimeouts => "timed_out",
            Field::ConnectionResets => "resets",
            Field::AttemptsNotSent => "not_sent",
            Field::WeightOffered => "worth_asked_milli",
            Field::WeightWithinObjective => "worth_in_aim_milli",
            Field::WeightLate => "worth_late_milli",
            Field::WeightLost => "worth_lost_milli",
            Field::PointsDropped => "points_dropped",
            Field::PointsPostponed => "points_put_off",
            Field::ReceiverConnectionFailures => "outlet_failures",
            Field::PacketsRejected => "packets_bad",
        }
    }

    /// Returns the field with this name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Field> {
        Field::ALL.into_iter().find(|field| field.name() == name)
    }

    /// Returns the field's number in the counter log.
    pub(super) fn number(self) -> u8 {
        self as u8
    }

    /// Returns the field with this number in the counter log, or `None` if there is none.
    pub(super) fn from_number(number: u8) -> Option<Field> {
        Field::ALL.get(usize::from(number)).copied()
    }
}

/// A set with one count of each field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts([u64; FIELD_COUNT]);

impl Counts {
    /// Adds the counts of another set, field by field.
    pub fn add_all(&mut self, other: &Counts) {
        for field in Field::ALL {
            self[field] += other[field];
        }
    }

    /// Returns the fields whose count is not zero with their counts, in the order of their numbers.
    pub fn nonzero(&self) -> impl Iterator<Item = (Field, u64)> + '_ {
        Field::ALL.into_iter().map(|field| (field, self[field])).filter(|(_, count)| *count > 0)
    }
}

impl Index<Field> for Counts {
    type Output = u64;

    fn index(&self, field: Field) -> &u64 {
        &self.0[field as usize]
    }
}

impl IndexMut<Field> for Counts {
    fn index_mut(&mut self, field: Field) -> &mut u64 {
        &mut self.0[field as usize]
    }
}
