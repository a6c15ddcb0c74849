//! The life cycle of the process: killed, ended by SIGTERM, started with a damaged journal or without a
//! configuration.

use crate::courier::{courier_command, platform_config, wait_until, CourierProcess};
use crate::stubs::{discovery_stub, endpoint_stub};
use rustix::process::Signal;
use std::net::TcpStream;

/// After a kill it is unknown whether an attempt in flight was executed. A message that is not idempotent
/// must fail in place of being sent again; an idempotent one is retried.
#[test]
fn courier_killed_with_attempts_in_flight_completes_all_and_repeats_only_idempotent() {
    let endpoint = endpoint_stub();
    let discovery = discovery_stub();
    let mut courier = CourierProcess::new("kill", endpoint.address, discovery.address);
    assert_eq!(courier.submit("order", "slow-order"), 202);
    assert_eq!(courier.submit("status", "slow-status"), 202);
    assert_eq!(courier.submit("order", "quick-order"), 202);
    wait_until("all attempts are in flight", || endpoint.requests().len() == 3);
    // The response to quick-order must be read before the kill: otherwise the next process could not know the
    // outcome of its attempt.
    courier.wait_until_input_processed();
    courier.kill_and_restart();
    wait_until("slow-order is completed", || discovery.count_matching("slow-order") > 0);
    assert!(discovery.count_matching(r#""slow-order","state":"failed""#) > 0);
    wait_until("slow-status is retried", || endpoint.count_matching("slow-status") > 1);
    assert_eq!(endpoint.count_matching("slow-order"), 1);
    // A message stays completed once the acknowledgement of its notification has been read.
    courier.wait_until_input_processed();
    courier.kill_and_restart();
    courier.kill_and_restart();
    wait_until("slow-status is retried again", || endpoint.count_matching("slow-status") > 2);
    assert_eq!((endpoint.count_matching("slow-order"), endpoint.count_matching("quick-order")), (1, 1));
    assert_eq!((discovery.count_matching("slow-order"), discovery.count_matching("quick-order")), (1, 0));
    assert_eq!(courier.submit("status", "slow-status"), 202, "the same message is accepted again");
}

#[test]
fn sigterm_ends_with_attempts_answered_and_sighup_moves_discovery() {
    let endpoint = endpoint_stub();
    let first = discovery_stub();
    let second = discovery_stub();
    let mut courier = CourierProcess::new("signals", endpoint.address, first.address);
    courier.overwrite_config("{\"name\":");
    courier.signal(Signal::HUP);
    wait_until("the incomplete configuration is rejected", || {
        courier.count_logged("configuration unreadable, previous one stays in force", &[]) > 0
    });
    assert_eq!(courier.submit("order", "a"), 202, "an incomplete configuration changes nothing");
    courier.write_config(&platform_config(courier.listen, &[endpoint.address], second.address));
    courier.signal(Signal::HUP);
    wait_until("the new configuration is in force", || {
        courier.count_logged("configuration reloaded", &[]) > 0
    });
    assert_eq!(courier.submit("order", "slow-b"), 202);
    wait_until("its attempt is in flight", || endpoint.count_matching("slow-b") == 1);
    courier.signal(Signal::TERM);
    assert_eq!(courier.submit("order", "c"), 202, "requests are still answered");
    wait_until("the listener is closed", || TcpStream::connect(courier.listen).is_err());
    assert!(courier.child.wait().unwrap().success());
    assert_eq!(endpoint.count_matching("c"), 1);
    courier.restart();
    wait_until("the notification goes to the new address", || second.count_matching("slow-b") == 1);
    assert_eq!((first.count_matching("slow-b"), endpoint.count_matching("slow-b")), (0, 1));
}

#[test]
fn journal_damaged_loses_only_damaged_records() {
    let endpoint = endpoint_stub();
    let discovery = discovery_stub();
    let mut courier = CourierProcess::new("damage", endpoint.address, discovery.address);
    assert_eq!(courier.submit("order", "slow-first"), 202);
    assert_eq!(courier.submit("order", "slow-second"), 202);
    wait_until("both attempts are in flight", || endpoint.requests().len() == 2);
    courier.kill();
    for name in courier.state_files() {
        let path = courier.dir.join("state").join(name);
        let mut bytes = std::fs::read(&path).unwrap();
        let at = bytes.windows(10).position(|window| window == b"slow-first").expect("its record");
        bytes[at] ^= 1;
        bytes.extend(b"the start of a write that the process did not finish");
        std::fs::write(&path, bytes).unwrap();
    }
    courier.restart();
    wait_until("the second is completed", || discovery.count_matching("slow-second") > 0);
    assert_eq!((endpoint.requests().len(), discovery.count_matching("first")), (2, 0));
    // A file takes the place of the state directory: the process exits with an error and accepts nothing.
    courier.kill();
    std::fs::remove_dir_all(courier.dir.join("state")).unwrap();
    std::fs::write(courier.dir.join("state"), "in the way").unwrap();
    courier.start();
    assert_eq!(courier.child.wait().unwrap().code(), Some(1));
}

#[test]
fn start_without_configuration_names_the_cause() {
    let run = |config: &str, state: &str| {
        let output =
            courier_command().env("RELAY_CONFIG", config).env("RELAY_STATE", state).output().unwrap();
        assert_eq!(output.status.code(), Some(1));
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    assert!(run("", "/").contains("RELAY_CONFIG is not set"));
    assert!(run("/nowhere/config.json", "/").contains("/nowhere/config.json cannot be read"));
}
