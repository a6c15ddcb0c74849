//! The encoding of the journal's records, which later versions have to read, and the conversion of recorded
//! times.

use super::*;
use linnetcart_journal::Record as RawRecord;

fn raw(kind: u8, payload: &[u8]) -> RawRecord {
    RawRecord { kind, payload: payload.to_vec() }
}

/// Asserts that a record is encoded to exactly these bytes, and decoded from them.
fn assert_stored(record: Record, kind: u8, payload: &[u8]) {
    assert_eq!(record.encode(), raw(kind, payload), "{record:?}");
    assert_eq!(Record::decode(&raw(kind, payload)), Some(record));
}

fn message(idempotency_key: Option<Vec<u8>>) -> Message {
    Message {
        id: b"id".to_vec(),
        idempotency_key,
        class: 2,
        destination: 0x0304_0506,
        ordering_key: 0x0708_090a_0b0c_0d0e,
        wall_deadline: 0x1011_1213_1415_1617,
        body: b"hi".to_vec(),
    }
}

#[test]
fn accepted_record_bytes_unchanged() {
    let head = [
        1, 0, 0, 0, // message
        2, // class
        6, 5, 4, 3, // destination
        0x0e, 0x0d, 0x0c, 0x0b, 0x0a, 9, 8, 7, // ordering key
        0x17, 0x16, 0x15, 0x14, 0x13, 0x12, 0x11, 0x10, // deadline
        2, 0, b'i', b'd', // id
    ];
    let keyed = [&head[..], &[3, 0], b"key", b"hi"].concat();
    assert_stored(Record::Accepted { number: 1, message: message(Some(b"key".to_vec())) }, 1, &keyed);
    let plain = [&head[..], &[0xff, 0xff], b"hi"].concat();
    assert_stored(Record::Accepted { number: 1, message: message(None) }, 1, &plain);
}

#[test]
fn attempt_record_bytes_unchanged() {
    let attempt = SentAttempt { number: 3, zone: 4, sent_at: 5 };
    assert_stored(
        Record::AttemptSent { message: 1, attempt },
        2,
        &[1, 0, 0, 0, 3, 0, 4, 5, 0, 0, 0, 0, 0, 0, 0],
    );
    assert_stored(Record::NotExecuted { message: 1, attempt: 3 }, 3, &[1, 0, 0, 0, 3, 0]);
}

#[test]
fn outcome_record_bytes_unchanged() {
    let completed = |outcome| Record::Completed { message: 1, outcome };
    assert_stored(completed(FinalOutcome::Delivered), 4, &[1, 0, 0, 0, 0, 0, 0, 0, 0]);
    assert_stored(completed(FinalOutcome::Failed), 4, &[1, 0, 0, 0, 1, 0, 0, 0, 0]);
    assert_stored(completed(FinalOutcome::Returned { retry_after_ms: 258 }), 4, &[1, 0, 0, 0, 2, 2, 1, 0, 0]);
    assert_stored(Record::Notified { message: 1 }, 5, &[1, 0, 0, 0]);
}

#[test]
fn names_completed_and_cooldown_record_bytes_unchanged() {
    let names = Record::Names { classes: vec!["a".into(), "b".into()], zones: vec!["z".into()] };
    assert_stored(names, 6, br#"[["a","b"],["z"]]"#);
    let ended =
        |end| Record::CompletedId(CompletedId { id_digest: 1, content_digest: 2, expires_at: 3, end });
    let numbers = [1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0];
    assert_stored(ended(IdEnd::Completed), 7, &numbers);
    for (end, code) in [(IdEnd::Returned, 1), (IdEnd::Rejected, 2), (IdEnd::Failed, 3), (IdEnd::Invalid, 4)] {
        assert_stored(ended(end), 10, &[&numbers[..], &[code]].concat());
    }
    assert_stored(Record::KeyCooldown { ordering_key: 1, until: 2 }, 8, &numbers[..16]);
}

#[test]
fn unknown_or_short_record_not_decoded() {
    assert_eq!(Record::decode(&raw(11, &[1, 0, 0, 0])), None, "an unknown kind");
    assert_eq!(Record::decode(&raw(10, &[1, 0, 0, 0])), None, "too short");
    assert_eq!(Record::decode(&raw(9, &[1, 0, 0, 0])), None, "too short");
    assert_eq!(Record::decode(&raw(4, &[1, 0, 0, 0, 3, 0, 0, 0, 0])), None, "an unknown outcome");
    assert_eq!(Record::decode(&raw(2, &[1, 0, 0, 0, 3, 0, 4, 5])), None, "too short");
}

/// A process compares the digests of submitted messages with those that earlier processes stored.
#[test]
fn completed_message_digest_unchanged() {
    let completed = message(None).completed_id(IdEnd::Completed);
    assert_eq!(
        (completed.id_digest, completed.content_digest, completed.expires_at),
        (12_357_064_557_592_139_580, 3_708_870_094_396_395_126, message(None).wall_deadline)
    );
}

/// Guards against a message whose idempotency key alone differs being taken for the one that has ended.
#[test]
fn content_digest_covers_idempotency_key() {
    let digest_of =
        |key: Option<&[u8]>| message(key.map(<[u8]>::to_vec)).completed_id(IdEnd::Completed).content_digest;
    assert_eq!(digest_of(Some(b"key")), 12_412_631_175_533_938_947);
    assert_ne!(digest_of(Some(b"key")), digest_of(Some(b"other")));
    assert_ne!(digest_of(Some(b"")), digest_of(None));
}

#[test]
fn clock_reference_record_bytes_unchanged() {
    let reference = ClockReference { boot_id: 1, wall_offset: -2 };
    let bytes = [1, 0, 0, 0, 0, 0, 0, 0, 0xfe, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
    assert_stored(Record::ClockReference(reference), 9, &bytes);
}

/// Replays one message, an attempt, a completed id and a cooldown that were recorded under `recorded`.
fn replay_under(recorded: Option<ClockReference>, clock: ClockReference) -> Replay {
    let attempt = SentAttempt { number: 0, zone: 0, sent_at: 1_000 };
    let completed = CompletedId { id_digest: 1, content_digest: 2, expires_at: 3_000, end: IdEnd::Completed };
    let mut records: Vec<Record> = recorded.map(Record::ClockReference).into_iter().collect();
    records.extend([
        Record::Accepted { number: 1, message: Message { wall_deadline: 5_000, ..message(None) } },
        Record::AttemptSent { message: 1, attempt },
        Record::CompletedId(completed),
        Record::KeyCooldown { ordering_key: 7, until: 2_000 },
    ]);
    let stored: Vec<RawRecord> = records.iter().map(Record::encode).collect();
    Replay::from_records(&stored, &[], &[], clock)
}

/// The times of [`replay_under`] in the order deadline, attempt, completed id, cooldown.
fn replayed_times(replay: &Replay) -> [Time; 4] {
    let pending = &replay.pending[&1];
    let expires_at = replay.completed[0].expires_at;
    [
        pending.message.wall_deadline,
        pending.possibly_executed[0].sent_at,
        expires_at,
        replay.key_cooldowns[&7],
    ]
}

#[test]
fn recorded_times_shifted_by_wall_clock_steps_within_one_boot() {
    let clock = |boot_id, wall_offset| ClockReference { boot_id, wall_offset };
    let forward = replay_under(Some(clock(1, 100)), clock(1, 600));
    assert_eq!(replayed_times(&forward), [5_500, 1_500, 3_500, 2_500]);
    let back = replay_under(Some(clock(1, 100)), clock(1, -400));
    assert_eq!(replayed_times(&back), [4_500, 500, 2_500, 1_500]);
    let restarted = replay_under(Some(clock(1, 100)), clock(2, 600));
    assert_eq!(replayed_times(&restarted), [5_000, 1_000, 3_000, 2_000], "the machine was rebooted");
    let earlier_version = replay_under(None, clock(1, 600));
    assert_eq!(replayed_times(&earlier_version), [5_000, 1_000, 3_000, 2_000]);
}
