//! Recovery from the journal of the previous process.

use super::harness::*;

#[test]
fn journal_cut_after_any_record_recovers_all_and_resends_only_idempotent() {
    let mut harness = Harness::new();
    for (n, class) in ["order", "status", "order", "change", "order"].iter().enumerate() {
        assert_eq!(harness.submit(class, &format!("m{n}"), "k"), 202);
    }
    let attempts = harness.attempts();
    harness.respond(attempts[0].connection, SERVED.as_bytes());
    harness.respond(attempts[2].connection, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    harness.respond(attempts[4].connection, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    let full = harness.journal.clone();
    for cut in 0..=full.len() {
        let cut_journal = &full[..cut];
        let mut restarted = Harness::with_journal(cut_journal.to_vec(), harness.now + SECOND, 40);
        restarted.run_for(100 * MILLISECOND);
        restarted.connect_discovery();
        let sent = restarted.sent_ids();
        let notifications = restarted.notifications();
        for message in accepted_messages(cut_journal) {
            let id = message.id;
            let is_sent = sent.contains(&id);
            let is_notified = notifications.iter().any(|batch| batch.body.contains(&format!("\"{id}\"")));
            match message.state {
                Recorded::Delivered => assert!(!is_sent && !is_notified, "cut {cut}: {id} is delivered"),
                Recorded::Undeliverable => {
                    assert!(is_notified && !is_sent, "cut {cut}: the sender of {id} is notified");
                }
                Recorded::Uncompleted => assert!(is_sent && !is_notified, "cut {cut}: {id} is sent"),
            }
        }
    }
}

/// The state of a message according to a journal.
enum Recorded {
    Delivered,
    /// The message failed or was returned, or was possibly executed and is not idempotent.
    Undeliverable,
    Uncompleted,
}

struct AcceptedMessage {
    id: String,
    state: Recorded,
}

/// Index of the class that is not idempotent.
const NOT_IDEMPOTENT_CLASS: u8 = 2;

fn accepted_messages(journal: &[Record]) -> Vec<AcceptedMessage> {
    let mut accepted = Vec::new();
    for record in journal {
        if let Record::Accepted { number, message } = record {
            let id = String::from_utf8(message.id.clone()).unwrap();
            let state = recorded_state(journal, *number, message.class);
            accepted.push(AcceptedMessage { id, state });
        }
    }
    accepted
}

fn recorded_state(journal: &[Record], number: u32, class: u8) -> Recorded {
    let mut sent = 0;
    let mut not_executed = 0;
    let mut outcome = None;
    for record in journal {
        match record {
            Record::AttemptSent { message, .. } if *message == number => sent += 1,
            Record::NotExecuted { message, .. } if *message == number => not_executed += 1,
            Record::Completed { message, outcome: completed } if *message == number => {
                outcome = Some(*completed);
            }
            _ => {}
        }
    }
    match outcome {
        Some(FinalOutcome::Delivered) => Recorded::Delivered,
        Some(_) => Recorded::Undeliverable,
        None if class == NOT_IDEMPOTENT_CLASS && sent > not_executed => Recorded::Undeliverable,
        None => Recorded::Uncompleted,
    }
}

#[test]
fn message_of_unknown_class_in_journal_without_names_fails() {
    let mut harness = Harness::new();
    assert_eq!(harness.submit("order", "m", ""), 202);
    let mut journal = std::mem::take(&mut harness.journal);
    journal.retain(|record| !matches!(record, Record::Names { .. }));
    for record in &mut journal {
        if let Record::Accepted { message, .. } = record {
            message.class = 9;
        }
    }
    let mut restarted = Harness::with_journal(journal, harness.now + SECOND, 40);
    let connection = restarted.connect_discovery();
    assert_eq!(restarted.notifications(), [failed_notification(connection)]);
}

#[test]
fn recovered_message_times_out_counting_initial_sync() {
    let message = |id: &str, class, time_remaining| Message {
        id: id.into(),
        idempotency_key: Some(b"t".to_vec()),
        class,
        destination: 9,
        ordering_key: 0,
        wall_deadline: 100 * SECOND + time_remaining,
        body: vec![],
    };
    let sent = SentAttempt { number: 0, zone: 0, sent_at: 100 * SECOND - 6900 * MILLISECOND };
    let journal = vec![
        Record::Accepted { number: 1, message: message("a", 0, 300 * MILLISECOND) },
        Record::Accepted { number: 2, message: message("keyed", 1, 9 * SECOND) },
        Record::AttemptSent { message: 2, attempt: sent },
    ];
    let mut harness = Harness::with_journal(journal, 100 * SECOND, 40);
    let is_completed = |harness: &Harness, number| {
        harness.has_record(|record| matches!(record, Record::Completed { message, .. } if *message == number))
    };
    assert!(
        !is_completed(&harness, 1) && is_completed(&harness, 2),
        "the deduplication window of `keyed`, 8 s less a second for transit, has ended"
    );
    harness.run_for(80 * MILLISECOND);
    assert!(!is_completed(&harness, 1));
    harness.run_for(11 * MILLISECOND);
    assert!(is_completed(&harness, 1), "two ticks before its deadline");
}

#[test]
fn key_cooldown_survives_restart() {
    let start = |journal, now| {
        let mut config = config(40);
        config.settings.settings.key_cooldown = 2 * SECOND;
        Harness::with_config(config, journal, now)
    };
    let mut harness = start(vec![], 100 * SECOND);
    harness.submit("change", "a", "k");
    harness.run_for(4 * SECOND);
    let hedge = harness.attempts()[1].connection;
    harness.respond(hedge, SERVED.as_bytes());
    assert_eq!(harness.write_shutdown.len(), 1, "the slower attempt is cancelled, and may still execute");
    // The second process reads the cooldown from the journal of the first, the third from the second's
    // snapshot. Each restarts it, because an endpoint may not have seen the end of the attempt before the
    // process exited.
    let second = start(harness.journal, harness.now + 10 * MILLISECOND);
    let mut harness = start(second.journal, second.now + 10 * MILLISECOND);
    assert_eq!((harness.submit("change", "b", "k"), harness.submit("change", "c", "l")), (202, 202));
    harness.run_for(2 * SECOND - INITIAL_SYNC_TIMEOUT - MILLISECOND);
    assert_eq!(harness.sent_ids(), ["c"], "a message of another key");
    harness.run_for(MILLISECOND);
    assert_eq!(harness.attempts().last().unwrap().message_id, "b");
}
