//! Which code a partition of a Produce request gets, from how its records ended.

use linnetcart::Time;
use linnetcart_kafka::codes;
use linnetcart_kafka::server::PartitionResult;

/// How one record ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEnd {
    /// Served.
    Served,
    /// Handed back. `unseen`: no attempt of it can have run.
    Refused {
        /// When it may come again, 0 if that is not said.
        come_back: Time,
        /// No attempt of it can have run.
        unseen: bool,
    },
    /// Given up; it may have taken effect.
    Failed,
}

impl RecordEnd {
    fn text(&self) -> String {
        match self {
            RecordEnd::Served => "served".into(),
            RecordEnd::Refused { .. } => "refused: harmless to hand in again".into(),
            RecordEnd::Failed => "failed: it may have taken effect; do not hand it in again".into(),
        }
    }
}

/// The partition's answer, and the time to come back for the whole request.
///
/// The code that clients retry says "not persisted" of every record of the batch. So it is given only if that
/// is so: one record that was handed back, or several of which none was ever sent on. What ended differently
/// is final, and from Produce 8 on each record carries its own ending.
pub fn part(topic: &str, partition: i32, ends: &[RecordEnd], offset: i64) -> (PartitionResult, Time) {
    let come_back = |e: &RecordEnd| match e {
        RecordEnd::Refused { come_back, .. } => *come_back,
        _ => 0,
    };
    let wait = ends.iter().map(come_back).max().unwrap_or(0);
    let unseen = |e: &RecordEnd| matches!(e, RecordEnd::Refused { unseen: true, .. });
    let retriable = match ends {
        [RecordEnd::Refused { .. }] => true,
        _ => ends.iter().all(unseen),
    };
    let mut ended =
        PartitionResult { topic: topic.to_owned(), partition, offset: -1, ..PartitionResult::default() };
    if ends.iter().all(|e| *e == RecordEnd::Served) {
        ended.offset = offset;
        return (ended, 0);
    }
    if retriable {
        ended.code = codes::NOT_ENOUGH_REPLICAS;
        ended.text = Some("refused; nothing was sent on, hand it in again".into());
        return (ended, wait);
    }
    if ends.iter().all(|e| *e == RecordEnd::Failed) {
        ended.code = codes::UNKNOWN_SERVER_ERROR;
        ended.text = Some(RecordEnd::Failed.text());
        return (ended, 0);
    }
    ended.code = codes::INVALID_RECORD;
    ended.text = Some("the records of this batch ended differently; see each".into());
    ended.records = ends.iter().enumerate().map(|(n, e)| (n as i32, e.text())).collect();
    (ended, wait)
}

#[cfg(test)]
mod tests {
    use super::*;

    const BACK: RecordEnd = RecordEnd::Refused { come_back: 5, unseen: true };
    const SEEN: RecordEnd = RecordEnd::Refused { come_back: 7, unseen: false };

    #[test]
    fn the_retriable_code_only_if_no_record_was_sent_on() {
        let code = |ends: &[RecordEnd]| part("t", 0, ends, 0).0.code;
        assert_eq!(code(&[RecordEnd::Served, RecordEnd::Served]), codes::NONE);
        assert_eq!(code(&[BACK, BACK]), codes::NOT_ENOUGH_REPLICAS);
        assert_eq!(code(&[SEEN]), codes::NOT_ENOUGH_REPLICAS);
        assert_eq!(code(&[BACK, SEEN]), codes::INVALID_RECORD);
        assert_eq!(code(&[BACK, RecordEnd::Served]), codes::INVALID_RECORD);
        assert_eq!(code(&[BACK, RecordEnd::Failed]), codes::INVALID_RECORD);
        assert_eq!(code(&[RecordEnd::Failed]), codes::UNKNOWN_SERVER_ERROR);
        let (mixed, wait) = part("t", 0, &[RecordEnd::Served, BACK, RecordEnd::Failed], 0);
        assert_eq!((mixed.records.len(), wait), (3, 5));
    }
}
