//! At the level in service, the log lines with a message's id record every step of its processing.

use crate::courier::{submission, wait_until, CourierProcess};
use crate::peer::{serve_next_request, GatedListener};
use crate::stubs::{discovery_stub, endpoint_stub, SERVED};
use linnetcart_fault_injection::Fault;

/// Returns the log messages about a message, in order.
fn log_messages_of(courier: &CourierProcess, id: &str) -> Vec<String> {
    let lines = courier.log_lines_of(id);
    lines.iter().map(|line| line["message"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn log_has_every_step_of_message_retried_and_served() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::new("log-served", gate.address, discovery.address);
    assert_eq!(courier.request(&submission("order", "m", "")), Some(202));
    let mut peers = vec![];
    let rejected = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    serve_next_request(&gate, &mut peers, rejected);
    serve_next_request(&gate, &mut peers, SERVED);
    wait_until("its completion is logged", || {
        log_messages_of(&courier, "m").last().is_some_and(|last| last == "message completed")
    });
    let expected = [
        "message accepted",
        "attempt sent",
        "attempt finished",
        "attempt sent",
        "attempt finished",
        "message completed",
    ];
    assert_eq!(log_messages_of(&courier, "m"), expected);
    let lines = courier.log_lines_of("m");
    let field = |line: usize, name: &str| lines[line][name].to_string();
    assert!(field(2, "outcome").contains("Rejected") && field(4, "outcome").contains("Served"));
    assert_eq!((field(1, "attempt"), field(3, "attempt")), ("0".to_owned(), "1".to_owned()));
    assert!(lines[1]["connection"].is_u64() && lines[1]["endpoint"].is_u64(), "{}", lines[1]);
}

#[test]
fn log_has_every_step_of_message_failed_and_notified() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::new("log-failed", gate.address, discovery.address);
    assert_eq!(courier.request(&submission("order", "m", "")), Some(202));
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    serve_next_request(&gate, &mut vec![], error);
    wait_until("the acknowledgement is logged", || {
        log_messages_of(&courier, "m").last().is_some_and(|last| last == "notification acknowledged")
    });
    let expected = [
        "message accepted",
        "attempt sent",
        "attempt finished",
        "message completed",
        "notification sent",
        "notification acknowledged",
    ];
    assert_eq!(log_messages_of(&courier, "m"), expected);
    let lines = courier.log_lines_of("m");
    let end = lines.iter().find(|line| line["message"] == "message completed").unwrap();
    assert_eq!((&end["outcome"], &end["reason"]), (&"Failed".into(), &"GivenUp".into()), "{end}");
}

#[test]
fn log_has_reason_of_each_answer_that_is_no_acceptance() {
    let discovery = discovery_stub();
    // The endpoint accepts no connection before the answers are read: the message stays open.
    let endpoint = GatedListener::new();
    let courier = CourierProcess::new("log-answers", endpoint.address, discovery.address);
    let invalid = submission("order", "invalid", "").replace("X-Remaining-Ms: 30000", "X-Remaining-Ms: soon");
    assert_eq!(courier.request(&invalid), Some(400));
    let expired = submission("order", "expired", "").replace("X-Remaining-Ms: 30000", "X-Remaining-Ms: 0");
    assert_eq!(courier.request(&expired), Some(503));
    assert_eq!(courier.request(&submission("order", "twice", "")), Some(202));
    assert_eq!(courier.request(&submission("order", "twice", "")), Some(202));
    for (id, message, field, reason) in [
        ("invalid", "request invalid", "error", "X-Remaining-Ms is a whole number"),
        ("expired", "message rejected", "reason", "Expired"),
        ("twice", "repeated submission", "known", "Accepted"),
    ] {
        let lines = courier.log_lines_of(id);
        let line = lines.iter().find(|line| line["message"] == message);
        assert!(line.is_some_and(|line| line[field] == reason), "{id}: {lines:?}");
    }
}

#[test]
fn log_has_reason_of_rejected_message() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::new("log-rejected", gate.address, discovery.address);
    courier.faults.always(Fault::FileWrite);
    courier.faults.always(Fault::FileCreate);
    assert_eq!(courier.request(&submission("order", "first", "")), Some(503));
    assert_eq!(courier.request(&submission("order", "second", "")), Some(503));
    wait_until("the journal's state is logged", || courier.count_logged("journal unwritable", &[]) == 1);
    let undone = "message rejected, its acceptance was not recorded";
    wait_until("the rejection of the first is logged", || {
        log_messages_of(&courier, "first").contains(&undone.to_owned())
    });
    let second = courier.log_lines_of("second");
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!(second[0]["message"], "message rejected");
    assert_eq!(second[0]["reason"], "JournalUnwritable");
}

#[test]
fn log_unwritable_process_keeps_running() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let mut courier = CourierProcess::new("log-full", endpoint.address, discovery.address);
    courier.faults.always(Fault::LogWrite);
    assert_eq!(courier.submit("order", "first"), 202);
    wait_until("it is delivered", || endpoint.count_matching("first") == 1);
    courier.kill_and_restart();
    assert_eq!(courier.submit("order", "second"), 202);
    wait_until("it is delivered", || endpoint.count_matching("second") == 1);
    assert!(courier.faults.injected(Fault::LogWrite) > 0, "no write to the log has failed");
    assert!(courier.child.try_wait().unwrap().is_none(), "the process has exited");
}
