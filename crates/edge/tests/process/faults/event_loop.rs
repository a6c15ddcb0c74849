//! The wait for events (`epoll_wait`) and registrations with it (`epoll_ctl`) fail temporarily.

use crate::courier::{submission, wait_until, CourierProcess};
use crate::peer::Peer;
use crate::stubs::{discovery_stub, endpoint_stub, Stub};
use linnetcart_fault_injection::{Fault, Rate};
use rustix::process::Signal;

const MESSAGES: usize = 60;
/// Messages that may be undelivered at a time. With more, an overloaded machine sheds load.
const MAX_UNDELIVERED: usize = 8;

/// Submits message `n` once at most [`MAX_UNDELIVERED`] before it are undelivered.
fn submit(client: &mut Peer, endpoint: &Stub, n: usize) {
    wait_until("few messages are undelivered", || endpoint.requests().len() + MAX_UNDELIVERED > n);
    client.send(&submission("order", &format!("m{n:03}"), ""));
}

/// Submits messages on one connection while a fault is injected, and checks that all are delivered once and
/// that the process exits normally at SIGTERM.
fn check_served_under(name: &str, fault: Fault, rate: Rate) {
    let endpoint = endpoint_stub();
    let discovery = discovery_stub();
    let mut courier = CourierProcess::new(name, endpoint.address, discovery.address);
    courier.faults.set(fault, rate);
    let mut client = Peer::connect(courier.listen);
    for n in 0..MESSAGES {
        submit(&mut client, &endpoint, n);
        assert_eq!(client.read_response().status, 202, "message {n}");
    }
    for n in 0..MESSAGES {
        wait_until("the message is delivered", || endpoint.count_matching(&format!("m{n:03}")) == 1);
    }
    assert!(courier.faults.injected(fault) > 0, "no call has failed");
    assert!(courier.child.try_wait().unwrap().is_none(), "the process has exited");
    courier.signal(Signal::TERM);
    assert!(courier.child.wait().unwrap().success());
}

#[test]
fn wait_interrupted_repeatedly_event_loop_keeps_running() {
    check_served_under("wait-eintr", Fault::WaitInterrupted, 240);
}

/// A failed `epoll_ctl` ends the wait for events; what was reported ready before it must still be processed.
#[test]
fn event_loop_cannot_rearm_its_timer_no_event_is_lost_and_process_keeps_running() {
    check_served_under("rearm", Fault::RegisterAgain, 100);
}

#[test]
fn stopped_and_continued_repeatedly_answers_are_complete() {
    let endpoint = endpoint_stub();
    let discovery = discovery_stub();
    let courier = CourierProcess::new("stop-cont", endpoint.address, discovery.address);
    let mut client = Peer::connect(courier.listen);
    for n in 0..MESSAGES {
        submit(&mut client, &endpoint, n);
        courier.signal(Signal::STOP);
        courier.signal(Signal::CONT);
        assert_eq!(client.read_response().status, 202, "message {n}");
    }
    for n in 0..MESSAGES {
        wait_until("the message is delivered", || endpoint.count_matching(&format!("m{n:03}")) == 1);
    }
}
