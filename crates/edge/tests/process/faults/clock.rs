//! The wall clock is stepped while the courier is in service, or between two processes.
//!
//! Deadlines and cooldowns must not follow the step. A process derives the times that it records in the
//! journal from its monotonic clock and one reading of the wall clock at its start, so after a step the next
//! process has to correct the times that it reads.

use super::submission_for;
use crate::courier::{submission, wait_until, CourierProcess};
use crate::peer::GatedListener;
use crate::stubs::{discovery_stub, endpoint_stub};
use std::time::Duration;

/// By how much the wall clock is stepped.
const STEP: Duration = Duration::from_secs(3600);
/// Time to the deadline of a message that must be completed during the test, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 1500;
/// How long a test waits for an attempt that must not be sent.
const QUIET_PERIOD: Duration = Duration::from_millis(700);

#[test]
fn wall_clock_steps_forward_between_processes_pending_message_keeps_its_remaining_time() {
    let gate = GatedListener::new();
    let discovery = discovery_stub();
    let mut courier = CourierProcess::new("forward", gate.address, discovery.address);
    assert_eq!(courier.request(&submission("status", "pending", "")), Some(202));
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "pending");
    courier.kill();
    drop(attempt);
    courier.faults.step_wall_clock_forward(STEP);
    courier.restart();
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "pending");
    assert_eq!(discovery.count_matching("pending"), 0, "failed long before its deadline");
}

#[test]
fn wall_clock_steps_back_between_processes_pending_message_is_completed_in_time() {
    let gate = GatedListener::new();
    let discovery = discovery_stub();
    let mut courier = CourierProcess::new("back", gate.address, discovery.address);
    assert_eq!(courier.request(&submission_for("status", "pending", SHORT_DEADLINE_MS)), Some(202));
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "pending");
    courier.kill();
    drop(attempt);
    courier.faults.step_wall_clock_back(STEP);
    courier.restart();
    wait_until("the platform is notified", || discovery.count_matching("pending") == 1);
}

#[test]
fn wall_clock_steps_forward_between_processes_key_still_cools_down() {
    let gate = GatedListener::new();
    let discovery = discovery_stub();
    let mut courier = CourierProcess::with_config("key-step", |listen| {
        let mut config = crate::courier::platform_config(listen, &[gate.address], discovery.address);
        config["settings"]["contract"]["turn_gap_ns"] = 3_000_000_000u64.into();
        config
    });
    let with_key = |id: &str, ms: u64| {
        submission("change", id, "Cookie: subject=k\r\n").replace("-Ms: 30000", &format!("-Ms: {ms}"))
    };
    assert_eq!(courier.request(&with_key("first", 500)), Some(202));
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "first");
    wait_until("its deadline has passed", || discovery.count_matching("first") == 1);
    courier.kill();
    courier.faults.step_wall_clock_forward(STEP);
    courier.restart();
    assert_eq!(courier.request(&with_key("second", 30_000)), Some(202));
    assert!(gate.is_silent_for(QUIET_PERIOD.as_millis() as u64), "the key cools down");
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "second");
}

#[test]
fn wall_clock_steps_in_service_messages_are_delivered_and_completed() {
    let endpoint = endpoint_stub();
    let discovery = discovery_stub();
    let courier = CourierProcess::new("in-service", endpoint.address, discovery.address);
    for n in 0..6 {
        match n % 3 {
            0 => courier.faults.step_wall_clock_forward(STEP),
            1 => courier.faults.step_wall_clock_back(STEP),
            _ => courier.faults.step_wall_clock_back(Duration::ZERO),
        }
        assert_eq!(courier.submit("order", &format!("m{n}")), 202);
        wait_until("the message is delivered", || endpoint.count_matching(&format!("m{n}")) == 1);
    }
    assert_eq!(courier.request(&submission_for("status", "slow", SHORT_DEADLINE_MS)), Some(202));
    courier.faults.step_wall_clock_back(STEP);
    wait_until("the platform is notified", || discovery.count_matching("slow") == 1);
}
