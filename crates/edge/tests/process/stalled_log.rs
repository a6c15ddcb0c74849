//! The reader of the log stalls or goes away: nobody waits for it, and no line of it ends the process.

use crate::courier::{courier_command, platform_config, submission, wait_until, CourierProcess};
use crate::stubs::{discovery_stub, endpoint_stub};
use std::process::Stdio;
use std::time::Duration;

/// Enough messages to fill a pipe with their lines many times.
const MESSAGES: usize = 600;

/// Replaces the process by one whose log goes to a pipe that nobody reads.
fn with_unread_log(name: &str) -> (CourierProcess, crate::stubs::Stub, crate::stubs::Stub) {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let mut courier = CourierProcess::with_config(name, |listen| {
        platform_config(listen, &[endpoint.address], discovery.address)
    });
    courier.kill();
    courier.child = courier_command()
        .env("RELAY_CONFIG", courier.dir.join("config.json"))
        .env("RELAY_STATE", courier.dir.join("state"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    courier.wait_until_ready();
    (courier, endpoint, discovery)
}

#[test]
fn messages_are_delivered_while_the_reader_of_the_log_stalls() {
    let (mut courier, endpoint, _discovery) = with_unread_log("stalled-log");
    let _unread = courier.child.stderr.take();
    for number in 0..MESSAGES {
        let request = submission("status", &format!("m{number}."), "");
        assert!(matches!(courier.request(&request), Some(202 | 503)), "{number}");
    }
    // The endpoint's limit has turned many away: later ones are delivered.
    std::thread::sleep(Duration::from_millis(500));
    courier.wait_until_accepting("status", "last");
    wait_until("a later message is delivered", || endpoint.count_matching("last") > 0);
}

#[test]
fn messages_are_delivered_after_the_reader_of_the_log_has_gone() {
    let (mut courier, endpoint, _discovery) = with_unread_log("gone-log");
    drop(courier.child.stderr.take());
    for number in 0..50 {
        assert_eq!(courier.submit("status", &format!("m{number}.")), 202);
    }
    wait_until("messages are delivered", || endpoint.requests().len() >= 25);
    assert!(courier.child.try_wait().unwrap().is_none(), "the process has ended by itself");
}
