//! The journal fails while a process starts or shuts down, or the process is killed while it writes.

use super::{make_journal_unwritable, JOURNAL_UNWRITABLE};
use crate::courier::{submission, wait_until, CourierProcess};
use crate::peer::GatedListener;
use crate::stubs::{discovery_stub, endpoint_stub};
use linnetcart_fault_injection::Fault;
use std::time::Duration;

/// How long the faults at the start of the process last in these tests.
const FAILURE_AT_START: Duration = Duration::from_millis(800);
/// Upper bound of the submissions in
/// [`killed_in_journal_write_accepted_messages_are_completed_and_rejected_ones_never_sent`].
const MAX_SUBMISSIONS: usize = 5000;
const PAUSE_AFTER_REJECTION: Duration = Duration::from_millis(1);

/// Restarts a courier with a pending message under these faults. Checks that the process waits until they
/// are over instead of exiting, and then attempts the message.
fn check_restart_under(name: &str, faults: &[Fault]) {
    let endpoint = endpoint_stub();
    let discovery = discovery_stub();
    let mut courier = CourierProcess::new(name, endpoint.address, discovery.address);
    assert_eq!(courier.submit("status", "slow-pending"), 202);
    wait_until("its attempt is in flight", || endpoint.count_matching("slow-pending") == 1);
    courier.kill();
    faults.iter().for_each(|&fault| courier.faults.always(fault));
    courier.start();
    std::thread::sleep(FAILURE_AT_START);
    assert!(courier.child.try_wait().unwrap().is_none(), "the process has exited");
    let injected: u64 = faults.iter().map(|&fault| courier.faults.injected(fault)).sum();
    assert!(injected > 0, "no call has failed");
    courier.faults.clear();
    courier.wait_until_ready();
    wait_until("the pending message is attempted", || endpoint.count_matching("slow-pending") > 1);
}

#[test]
fn journal_unwritable_at_start_process_waits_for_it() {
    check_restart_under("start-write", &JOURNAL_UNWRITABLE);
}

/// A journal that cannot be read must not be taken for an empty one, as its messages would be lost.
#[test]
fn journal_unreadable_at_start_is_not_treated_as_empty() {
    check_restart_under("start-read", &[Fault::FileRead]);
}

#[test]
fn journal_directory_unlistable_at_start_process_waits_for_it() {
    check_restart_under("start-list", &[Fault::DirectoryList]);
}

#[test]
fn listener_cannot_be_opened_at_start_process_waits_for_it() {
    check_restart_under("start-socket", &[Fault::Socket]);
}

#[test]
fn registration_with_event_loop_fails_at_start_process_waits_for_it() {
    check_restart_under("start-register", &[Fault::Register]);
}

#[test]
fn every_fault_at_start_process_waits_and_serves() {
    let faults = Fault::ALL.into_iter().filter(|&fault| fault != Fault::KillInFileWrite);
    check_restart_under("start-all", &faults.collect::<Vec<_>>());
}

/// A kill in the middle of a write leaves a torn record at the end of the journal. Records after an earlier
/// torn one, which could not be truncated, must still be read, and a message that was rejected because its
/// record was torn must not be sent.
#[test]
fn killed_in_journal_write_accepted_messages_are_completed_and_rejected_ones_never_sent() {
    for seed in 0..12u8 {
        let endpoint = endpoint_stub();
        let discovery = discovery_stub();
        let mut courier = CourierProcess::new(&format!("half-{seed}"), endpoint.address, discovery.address);
        let submit = |n: usize| courier.request(&submission("order", &format!("m{n:04}-"), ""));
        let mut answers = Vec::new();
        // Some writes are short and the torn record cannot be truncated; one write kills the process.
        courier.faults.set(Fault::FileShortWrite, 60);
        courier.faults.always(Fault::FileTruncate);
        courier.faults.set(Fault::KillInFileWrite, 16 + seed);
        for n in 0..MAX_SUBMISSIONS {
            answers.push(submit(n));
            match answers[n] {
                None => break,
                // The journal is unwritable; the courier tries again after a pause.
                Some(503) => std::thread::sleep(PAUSE_AFTER_REJECTION),
                Some(_) => {}
            }
        }
        assert_eq!(answers.last(), Some(&None), "the process was not killed");
        courier.faults.clear();
        courier.child.wait().unwrap();
        courier.restart();
        for (n, answer) in answers.iter().enumerate() {
            let id = format!("m{n:04}-");
            let completed = || endpoint.count_matching(&id) + discovery.count_matching(&id);
            match answer {
                Some(202) => wait_until("an accepted message is completed", || completed() > 0),
                Some(503) => assert_eq!(completed(), 0, "{id} was rejected and sent, seed {seed}"),
                _ => {}
            }
            assert!(endpoint.count_matching(&id) <= 1, "{id} was sent twice, seed {seed}");
        }
    }
}

#[test]
fn journal_unwritable_during_shutdown_requests_are_answered_and_pending_messages_kept() {
    let gate = GatedListener::new();
    let discovery = discovery_stub();
    let mut courier = CourierProcess::new("shutdown", gate.address, discovery.address);
    assert_eq!(courier.submit("status", "pending"), 202);
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "pending");
    courier.signal(rustix::process::Signal::TERM);
    make_journal_unwritable(&courier);
    for n in 0..5 {
        let answer = courier.request(&submission("order", &format!("late{n}"), ""));
        assert_eq!(answer, Some(503), "a request that was read is answered");
    }
    courier.child.wait().unwrap();
    courier.faults.clear();
    drop(attempt);
    courier.restart();
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "pending");
}
