//! The real program on the platform's protocol: killed, restarted, ended and configured anew, with stand-ins for
//! discovery and endpoints that keep records of what crossed the sockets.

mod process;

use process::*;
use rustix::process::Signal;
use std::net::TcpStream;
use std::process::Command;

#[test]
fn killed_with_calls_out_it_owes_all_and_repeats_nothing_unsafe() {
    let ((endpoint, calls), (discovery, notices)) = (endpoint(), discovery());
    let mut rig = Rig::new("kill", endpoint, discovery);
    assert_eq!(rig.hand_in("order", "slow-order"), 202);
    assert_eq!(rig.hand_in("status", "slow-status"), 202);
    assert_eq!(rig.hand_in("order", "quick-order"), 202);
    until("all are out", || calls.lock().unwrap().len() == 3);
    rig.kill_and_start();
    until("the unsafe one is ended", || count(&notices, "slow-order") > 0);
    assert!(count(&notices, r#""slow-order","state":"failed""#) > 0);
    until("the safe one goes again", || count(&calls, "slow-status") > 1);
    assert_eq!(count(&calls, "slow-order"), 1);
    // Twice more: what is over stays over.
    rig.kill_and_start();
    rig.kill_and_start();
    until("the safe one goes again", || count(&calls, "slow-status") > 2);
    assert_eq!((count(&calls, "slow-order"), count(&calls, "quick-order")), (1, 1));
    assert_eq!((count(&notices, "slow-order"), count(&notices, "quick-order")), (1, 0));
    assert_eq!(rig.hand_in("status", "slow-status"), 202, "and its id is still known");
}

#[test]
fn sigterm_ends_it_with_its_calls_answered_and_sighup_moves_discovery() {
    let ((endpoint, calls), (first, before)) = (endpoint(), discovery());
    let (second, after) = discovery();
    let mut rig = Rig::new("signals", endpoint, first);
    std::fs::write(rig.dir.join("config.json"), "{\"name\":").unwrap();
    rig.signal(Signal::HUP);
    assert_eq!(rig.hand_in("order", "a"), 202, "half a file changes nothing");
    configure(&rig.dir, rig.listen, endpoint, second);
    rig.signal(Signal::HUP);
    assert_eq!(rig.hand_in("order", "slow-b"), 202);
    until("it is out", || count(&calls, "slow-b") == 1);
    rig.signal(Signal::TERM);
    assert_eq!(rig.hand_in("order", "c"), 202, "it goes on answering");
    until("it ends by itself", || TcpStream::connect(rig.listen).is_err());
    assert!(rig.child.wait().unwrap().success());
    assert_eq!(count(&calls, "c"), 1);
    rig.child = start(&rig.dir);
    rig.ready();
    until("the notice goes to the new address", || count(&after, "slow-b") == 1);
    assert_eq!((count(&before, "slow-b"), count(&calls, "slow-b")), (0, 1));
}

#[test]
fn a_damaged_journal_costs_what_is_damaged_and_no_more() {
    let ((endpoint, calls), (discovery, notices)) = (endpoint(), discovery());
    let mut rig = Rig::new("damage", endpoint, discovery);
    assert_eq!(rig.hand_in("order", "slow-first"), 202);
    assert_eq!(rig.hand_in("order", "slow-second"), 202);
    until("both are out", || calls.lock().unwrap().len() == 2);
    rig.child.kill().unwrap();
    rig.child.wait().unwrap();
    for entry in std::fs::read_dir(rig.dir.join("state")).unwrap() {
        let path = entry.unwrap().path();
        let mut bytes = std::fs::read(&path).unwrap();
        let at = bytes.windows(10).position(|w| w == b"slow-first").expect("its record");
        bytes[at] ^= 1;
        bytes.extend(b"the start of a write that its process did not live to finish");
        std::fs::write(&path, bytes).unwrap();
    }
    rig.child = start(&rig.dir);
    rig.ready();
    until("the second is answered for", || count(&notices, "slow-second") > 0);
    assert_eq!((calls.lock().unwrap().len(), count(&notices, "first")), (2, 0));
    // A folder that cannot be written: an error that names it, and nothing is taken on.
    rig.child.kill().unwrap();
    rig.child.wait().unwrap();
    std::fs::remove_dir_all(rig.dir.join("state")).unwrap();
    std::fs::write(rig.dir.join("state"), "in the way").unwrap();
    rig.child = start(&rig.dir);
    assert_eq!(rig.child.wait().unwrap().code(), Some(1));
}

#[test]
fn a_start_that_cannot_be_names_the_place() {
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
