//! The life of a message, put together from the log alone.

use crate::courier::{submission, wait_until, CourierProcess};
use crate::peer::{serve_next_request, GatedListener};
use crate::stubs::{discovery_stub, endpoint_stub, SERVED};
use linnetcart_fault_injection::Fault;

/// Returns what was logged of a message, in order.
fn life_of(courier: &CourierProcess, id: &str) -> Vec<String> {
    let lines = courier.logged_about(id);
    lines.iter().map(|line| line["message"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn message_retried_and_served_is_told_completely_by_the_log() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::new("log-served", gate.address, discovery.address);
    assert_eq!(courier.request(&submission("order", "told", "")), Some(202));
    let mut peers = vec![];
    let rejected = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    serve_next_request(&gate, &mut peers, rejected);
    serve_next_request(&gate, &mut peers, SERVED);
    wait_until("its end is logged", || {
        life_of(&courier, "told").last().is_some_and(|last| last == "message completed")
    });
    let expected = [
        "message accepted",
        "attempt sent",
        "attempt finished",
        "attempt sent",
        "attempt finished",
        "message completed",
    ];
    assert_eq!(life_of(&courier, "told"), expected);
    let lines = courier.logged_about("told");
    let field = |line: usize, name: &str| lines[line][name].to_string();
    assert!(field(2, "outcome").contains("Rejected") && field(4, "outcome").contains("Served"));
    assert_eq!((field(1, "attempt"), field(3, "attempt")), ("0".to_owned(), "1".to_owned()));
    assert!(lines[1]["connection"].is_u64() && lines[1]["endpoint"].is_u64(), "{}", lines[1]);
}

#[test]
fn message_failed_and_notified_is_told_completely_by_the_log() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::new("log-failed", gate.address, discovery.address);
    assert_eq!(courier.request(&submission("order", "told", "")), Some(202));
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    serve_next_request(&gate, &mut vec![], error);
    wait_until("its end is logged", || {
        life_of(&courier, "told").last().is_some_and(|last| last == "notification acknowledged")
    });
    let expected = [
        "message accepted",
        "attempt sent",
        "attempt finished",
        "message completed",
        "notification acknowledged",
    ];
    assert_eq!(life_of(&courier, "told"), expected);
}

#[test]
fn message_rejected_is_told_with_its_reason_by_the_log() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::new("log-rejected", gate.address, discovery.address);
    courier.faults.always(Fault::FileWrite);
    courier.faults.always(Fault::FileCreate);
    assert_eq!(courier.request(&submission("order", "first", "")), Some(503));
    assert_eq!(courier.request(&submission("order", "second", "")), Some(503));
    wait_until("the journal's state is logged", || courier.count_logged("journal unwritable", &[]) == 1);
    let undone = "message rejected, its acceptance was not recorded";
    wait_until("the first is told", || life_of(&courier, "first").contains(&undone.to_owned()));
    let second = courier.logged_about("second");
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!(second[0]["message"], "message rejected");
    assert_eq!(second[0]["reason"], "JournalUnwritable");
}

#[test]
fn log_cannot_be_written_process_goes_on() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let mut courier = CourierProcess::new("log-full", endpoint.address, discovery.address);
    courier.faults.always(Fault::LogWrite);
    assert_eq!(courier.submit("order", "first"), 202);
    wait_until("it is delivered", || endpoint.count_matching("first") == 1);
    courier.kill_and_restart();
    assert_eq!(courier.submit("order", "second"), 202);
    wait_until("it is delivered", || endpoint.count_matching("second") == 1);
    assert!(courier.faults.injected(Fault::LogWrite) > 0, "nothing was logged");
    assert!(courier.child.try_wait().unwrap().is_none(), "the process has exited");
}
