//! The counted quantities, and one count of each.

use std::ops::{Index, IndexMut};

/// A counted quantity.
///
/// Its place in [`Field::ALL`] is its number in the log of counts, and its name stands in metric names and saved
/// documents. Both are on disk and at receivers: new fields go to the end, and none is renumbered or renamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Field {
    /// Messages accepted.
    Accepted,
    /// Messages served within the latency objective.
    WithinObjective,
    /// Messages served after the latency objective.
    Late,
    /// Messages rejected after they were accepted.
    RejectedAfterAccept,
    /// Messages that failed.
    Failed,
    /// Messages whose client cancelled.
    ClientCancelled,
    /// Messages rejected without being accepted.
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
    /// Rejected attempts whose answer named a Retry-After.
    RetryAfterReceived,
    /// Attempts answered with an error.
    AttemptErrors,
    /// Attempts without an answer in time.
    AttemptTimeouts,
    /// Attempts whose connection was reset.
    ConnectionResets,
    /// Attempts that got no connection or were not sent.
    AttemptsNotSent,
    /// Priority weight of messages that asked for delivery, in thousandths.
    WeightOffered,
    /// Priority weight served within the latency objective, in thousandths.
    WeightWithinObjective,
    /// Priority weight served after the latency objective, in thousandths.
    WeightLate,
    /// Priority weight not served, in thousandths.
    WeightLost,
    /// Points of reports dropped because a receiver did not accept them.
    PointsDropped,
    /// Points postponed to a later report because of the limit of points in one.
    PointsPostponed,
    /// Connections to a receiver that failed or broke.
    ReceiverConnectionFailures,
    /// Packets of the host's collectd that were rejected.
    PacketsRejected,
}

/// How many fields there are.
pub const FIELDS: usize = 25;

impl Field {
    /// All fields, in the order of their numbers.
    pub const ALL: [Field; FIELDS] = [
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

    /// Its name in series and saved documents.
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

    /// The field of a name in a series or saved document.
    pub fn from_name(name: &str) -> Option<Field> {
        Field::ALL.into_iter().find(|field| field.name() == name)
    }

    /// Its number in the log of counts.
    pub(super) fn number(self) -> u8 {
        self as u8
    }

    /// The field of a number in the log of counts.
    pub(super) fn from_number(number: u8) -> Option<Field> {
        Field::ALL.get(usize::from(number)).copied()
    }
}

/// One count of each field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts([u64; FIELDS]);

impl Counts {
    /// Adds each count of another to the one of the same field.
    pub fn add_all(&mut self, other: &Counts) {
        for field in Field::ALL {
            self[field] += other[field];
        }
    }

    /// The fields that counted something, in the order of their numbers.
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
