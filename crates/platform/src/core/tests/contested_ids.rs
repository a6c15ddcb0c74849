//! Requests that name the same id, one of which is not complete when the other arrives.

use super::harness::*;
use crate::core::client_connections::reading_order::MAX_DEFERRAL;

const USUAL: ClientId = 1;
const STRANGER: ClientId = 2;

/// Returns a request for this time in milliseconds with the id `m` and this body.
fn request(milliseconds: u64, body: &str) -> String {
    format!(
        "POST /status HTTP/1.1\r\nX-Txn: m\r\nX-Remaining-Ms: {milliseconds}\r\nX-Route-To: dest=3\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A core with two clients, the first of which has sent the part of its request up to its last byte.
struct Contest {
    harness: Harness,
    rest: String,
}

impl Contest {
    fn new() -> Contest {
        let mut harness = Harness::new();
        let mut usual = request(9000, "usual");
        let rest = usual.split_off(usual.len() - 1);
        for client in [USUAL, STRANGER] {
            harness.core.client_opened(client);
        }
        harness.core.client_received(USUAL, usual.as_bytes());
        harness.process();
        Contest { harness, rest }
    }

    fn send(&mut self, client: ClientId, bytes: &str) {
        self.harness.core.client_received(client, bytes.as_bytes());
        self.harness.process();
    }

    fn send_rest(&mut self) {
        let rest = self.rest.clone();
        self.send(USUAL, &rest);
    }

    /// Returns the status of the last response to a client; 0 for none.
    fn status(&self, client: ClientId) -> u16 {
        let answer = self.harness.answers.iter().rev().find(|answer| answer.client == client);
        answer.map_or(0, |answer| status(&answer.bytes))
    }

    fn sent_body(&self) -> String {
        let text = String::from_utf8_lossy(self.harness.first_attempt_bytes()).into_owned();
        text.rsplit("\r\n").next().unwrap().to_owned()
    }
}

/// Guards against a whole request taking the id of one that is under way: its message was not sent.
#[test]
fn request_under_way_keeps_its_id() {
    let mut contest = Contest::new();
    contest.send(STRANGER, &request(9000, "stranger"));
    contest.harness.run_for(MAX_DEFERRAL - MILLISECOND);
    assert_eq!(contest.status(STRANGER), 0, "it waits");
    contest.send_rest();
    assert_eq!((contest.status(USUAL), contest.status(STRANGER)), (202, 409));
    assert_eq!(contest.sent_body(), "usual");
    assert_eq!(contest.harness.core.counters().deferred_submissions, 1);
}

/// Guards against an id that is held for ever by a request that does not go on.
#[test]
fn request_waits_a_limited_time_for_one_under_way() {
    let mut contest = Contest::new();
    contest.send(STRANGER, &request(9000, "stranger"));
    contest.harness.run_for(MAX_DEFERRAL);
    assert_eq!(contest.status(STRANGER), 202);
    contest.send_rest();
    assert_eq!(contest.status(USUAL), 409);
    assert_eq!(contest.sent_body(), "stranger");
}

#[test]
fn request_waits_a_part_of_its_time_for_one_under_way() {
    let mut contest = Contest::new();
    contest.send(STRANGER, &request(100, "stranger"));
    contest.harness.run_for(25 * MILLISECOND);
    assert_eq!(contest.status(STRANGER), 202);
}

#[test]
fn request_no_longer_waits_once_the_other_connection_has_ended() {
    let mut contest = Contest::new();
    contest.send(STRANGER, &request(9000, "stranger"));
    contest.harness.core.client_closed(USUAL);
    contest.harness.process();
    assert_eq!(contest.status(STRANGER), 202);
}

/// The same client submits its message again on another connection.
#[test]
fn request_under_way_and_its_repetition_are_one_message() {
    let mut contest = Contest::new();
    contest.send(STRANGER, &request(9000, "usual"));
    contest.harness.run_for(MAX_DEFERRAL);
    contest.send_rest();
    assert_eq!((contest.status(USUAL), contest.status(STRANGER)), (202, 202));
    assert_eq!(contest.harness.sent_ids(), ["m"]);
}

/// Guards against a client that is refused because another one sent bytes behind its own request.
#[test]
fn bytes_behind_deferred_request_refuse_only_that() {
    let mut contest = Contest::new();
    contest.send(STRANGER, &request(9000, "stranger"));
    contest.send(STRANGER, "more");
    assert_eq!(contest.status(STRANGER), 400);
    contest.send_rest();
    assert_eq!(contest.status(USUAL), 202);
}

/// Guards against requests that are held in memory while they wait.
#[test]
fn request_does_not_wait_while_requests_take_much_memory() {
    let mut contest = Contest::new();
    let mut client = 10;
    while !contest.harness.core.must_process() {
        client += 1;
        contest.harness.core.client_opened(client);
        let large = request(9000, &"x".repeat(60_000)).replace("X-Txn: m", &format!("X-Txn: m{client}"));
        contest.send(client, &large[..50_000]);
    }
    contest.send(STRANGER, &request(9000, "stranger"));
    assert_eq!(contest.status(STRANGER), 202);
}

/// Guards against a request that is read in the last phase of the shutdown and not answered before its end.
#[test]
fn request_does_not_wait_in_last_phase_of_shutdown() {
    let mut contest = Contest::new();
    contest.harness.core.begin_shutdown();
    contest.harness.run_for(DECISION_CUTOFF);
    contest.harness.core.client_opened(3);
    contest.harness.core.client_opened(4);
    contest.send(3, "POST /status HTTP/1.1\r\nX-Txn: m\r\n");
    contest.send(4, &request(9000, "stranger"));
    assert_eq!(contest.status(4), 202, "the next process delivers it");
}

/// Guards against a client being told that its message is delivered or returned while that of another has ended so.
#[test]
fn submission_with_id_of_ended_message_is_answered_by_its_own_content() {
    const FAILED: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
    const REJECTED: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    for (response, state, again) in [(FAILED, "failed", 202), (REJECTED, "returned", 503)] {
        let order = |body| request(1000, body).replace("/status", "/order");
        let mut harness = Harness::new();
        assert_eq!(harness.send_request(order("usual").as_bytes()), 202);
        let connection = harness.attempts()[0].connection;
        harness.respond(connection, response.as_bytes());
        harness.run_for(1100 * MILLISECOND);
        harness.connect_discovery();
        let notification = harness.notifications().remove(0);
        assert!(notification.body.contains(&format!(r#""state":"{state}""#)), "{}", notification.body);
        for what in ["before", "after"] {
            assert_eq!(harness.send_request(order("other").as_bytes()), 409, "{state}, {what}");
            assert_eq!(harness.send_request(order("usual").as_bytes()), again, "{state}, {what}");
            harness.respond(notification.connection, b"HTTP/1.1 204 No Content\r\n\r\n");
        }
    }
}
