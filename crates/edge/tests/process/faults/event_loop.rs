//! The wait for events and registrations with it fail for a moment.

use crate::courier::{submission, wait_until, CourierProcess};
use crate::peer::Peer;
use crate::stubs::{discovery_stub, endpoint_stub};
use linnetcart_fault_injection::{Fault, Rate};
use rustix::process::Signal;

const MESSAGES: usize = 60;

fn serve_under(name: &str, fault: Fault, rate: Rate) {
    let endpoint = endpoint_stub();
    let discovery = discovery_stub();
    let mut courier = CourierProcess::new(name, endpoint.address, discovery.address);
    courier.faults.set(fault, rate);
    let mut client = Peer::connect(courier.listen);
    for n in 0..MESSAGES {
        client.send(&submission("order", &format!("m{n:03}"), ""));
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
fn wait_interrupted_in_series_loop_goes_on() {
    serve_under("wait-eintr", Fault::WaitInterrupted, 240);
}

#[test]
fn event_loop_cannot_rearm_its_timer_no_event_is_lost_and_process_goes_on() {
    serve_under("rearm", Fault::RegisterAgain, 100);
}

#[test]
fn stopped_and_continued_in_series_answers_are_complete() {
    let endpoint = endpoint_stub();
    let discovery = discovery_stub();
    let courier = CourierProcess::new("stop-cont", endpoint.address, discovery.address);
    let mut client = Peer::connect(courier.listen);
    for n in 0..MESSAGES {
        client.send(&submission("order", &format!("m{n:03}"), ""));
        courier.signal(Signal::STOP);
        courier.signal(Signal::CONT);
        assert_eq!(client.read_response().status, 202, "message {n}");
    }
    for n in 0..MESSAGES {
        wait_until("the message is delivered", || endpoint.count_matching(&format!("m{n:03}")) == 1);
    }
}
