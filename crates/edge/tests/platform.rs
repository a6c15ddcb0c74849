//! The real program on the platform's protocol: killed, restarted, ended and configured anew, with stand-ins
//! for discovery and endpoints that keep records of what crossed the sockets.

mod process;

use process::stubs::{count_matching, discovery_stub, endpoint_stub};
use process::*;
use rustix::process::Signal;
use std::net::TcpStream;
use std::process::Command;

#[test]
fn courier_killed_with_attempts_out_owes_all_and_repeats_nothing_unsafe() {
    let (endpoint, attempts) = endpoint_stub();
    let (discovery, notifications) = discovery_stub();
    let mut courier = CourierProcess::new("kill", endpoint, discovery);
    assert_eq!(courier.submit("order", "slow-order"), 202);
    assert_eq!(courier.submit("status", "slow-status"), 202);
    assert_eq!(courier.submit("order", "quick-order"), 202);
    wait_until("all are out", || attempts.lock().unwrap().len() == 3);
    // Without this the answer to the quick one may be unread when the process dies, and its attempt
    // unresolved.
    courier.settle();
    courier.kill_and_restart();
    wait_until("the unsafe one is ended", || count_matching(&notifications, "slow-order") > 0);
    assert!(count_matching(&notifications, r#""slow-order","state":"failed""#) > 0);
    wait_until("the safe one goes again", || count_matching(&attempts, "slow-status") > 1);
    assert_eq!(count_matching(&attempts, "slow-order"), 1);
    // Twice more: what is over stays over, once the acknowledgement of its notification has been read.
    courier.settle();
    courier.kill_and_restart();
    courier.kill_and_restart();
    wait_until("the safe one goes again", || count_matching(&attempts, "slow-status") > 2);
    assert_eq!((count_matching(&attempts, "slow-order"), count_matching(&attempts, "quick-order")), (1, 1));
    assert_eq!(
        (count_matching(&notifications, "slow-order"), count_matching(&notifications, "quick-order")),
        (1, 0)
    );
    assert_eq!(courier.submit("status", "slow-status"), 202, "and its id is still known");
}

#[test]
fn sigterm_ends_with_attempts_answered_and_sighup_moves_discovery() {
    let (endpoint, attempts) = endpoint_stub();
    let (first, before) = discovery_stub();
    let (second, after) = discovery_stub();
    let mut courier = CourierProcess::new("signals", endpoint, first);
    std::fs::write(courier.dir.join("config.json"), "{\"name\":").unwrap();
    courier.signal(Signal::HUP);
    assert_eq!(courier.submit("order", "a"), 202, "half a file changes nothing");
    configure(&courier.dir, courier.listen, endpoint, second);
    courier.signal(Signal::HUP);
    assert_eq!(courier.submit("order", "slow-b"), 202);
    wait_until("it is out", || count_matching(&attempts, "slow-b") == 1);
    courier.signal(Signal::TERM);
    assert_eq!(courier.submit("order", "c"), 202, "it goes on answering");
    wait_until("it ends by itself", || TcpStream::connect(courier.listen).is_err());
    assert!(courier.child.wait().unwrap().success());
    assert_eq!(count_matching(&attempts, "c"), 1);
    courier.child = start_courier(&courier.dir);
    courier.wait_until_ready();
    wait_until("the notification goes to the new address", || count_matching(&after, "slow-b") == 1);
    assert_eq!((count_matching(&before, "slow-b"), count_matching(&attempts, "slow-b")), (0, 1));
}

#[test]
fn journal_damaged_costs_only_what_is_damaged() {
    let (endpoint, attempts) = endpoint_stub();
    let (discovery, notifications) = discovery_stub();
    let mut courier = CourierProcess::new("damage", endpoint, discovery);
    assert_eq!(courier.submit("order", "slow-first"), 202);
    assert_eq!(courier.submit("order", "slow-second"), 202);
    wait_until("both are out", || attempts.lock().unwrap().len() == 2);
    courier.child.kill().unwrap();
    courier.child.wait().unwrap();
    for entry in std::fs::read_dir(courier.dir.join("state")).unwrap() {
        let path = entry.unwrap().path();
        let mut bytes = std::fs::read(&path).unwrap();
        let at = bytes.windows(10).position(|w| w == b"slow-first").expect("its record");
        bytes[at] ^= 1;
        bytes.extend(b"the start of a write that its process did not live to finish");
        std::fs::write(&path, bytes).unwrap();
    }
    courier.child = start_courier(&courier.dir);
    courier.wait_until_ready();
    wait_until("the second is answered for", || count_matching(&notifications, "slow-second") > 0);
    assert_eq!((attempts.lock().unwrap().len(), count_matching(&notifications, "first")), (2, 0));
    // A folder that cannot be written: an error that names it, and nothing is taken on.
    courier.child.kill().unwrap();
    courier.child.wait().unwrap();
    std::fs::remove_dir_all(courier.dir.join("state")).unwrap();
    std::fs::write(courier.dir.join("state"), "in the way").unwrap();
    courier.child = start_courier(&courier.dir);
    assert_eq!(courier.child.wait().unwrap().code(), Some(1));
}

#[test]
fn start_impossible_names_the_place() {
    let run = |config: &str, state: &str| {
        let out = Command::new(env!("CARGO_BIN_EXE_linnetcart-edge"))
            .arg("platform")
            .env("RELAY_CONFIG", config)
            .env("RELAY_STATE", state)
            .output()
            .unwrap();
        assert_eq!(out.status.code(), Some(1));
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    assert!(run("", "/").contains("RELAY_CONFIG is not set"));
    assert!(run("/nowhere/config.json", "/").contains("/nowhere/config.json cannot be read"));
}
