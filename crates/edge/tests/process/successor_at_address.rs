//! A new process at the address of an endpoint: nothing that was meant for the old one reaches it.

use crate::courier::{entry, platform_config, submission, wait_until, CourierProcess};
use crate::peer::{GatedListener, Peer};
use crate::stubs::SERVED;
use serde_json::{json, Value};

/// How long a test waits for a call that must not come.
const NO_CALL_MS: u64 = 400;
/// The destination of the successor.
const OTHER_DESTINATION: u32 = 4;

/// A courier whose discovery, and the process at the address of its only endpoint, are controlled by the test.
struct Scene {
    courier: CourierProcess,
    _discovery: GatedListener,
    gate: GatedListener,
    watch: Peer,
    version: u64,
}

impl Scene {
    fn new(name: &str) -> Scene {
        let discovery = GatedListener::new();
        let gate = GatedListener::new();
        let courier = CourierProcess::with_config(name, |listen| {
            platform_config(listen, &[gate.address], discovery.address)
        });
        let mut watch = discovery.accept();
        watch.read_request();
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        Scene { courier, _discovery: discovery, gate, watch, version: 1 }
    }

    fn send_changes(&mut self, entries: &[Value]) {
        self.version += 1;
        let event = json!({"index": self.version, "snapshot": false, "endpoints": entries});
        let line = format!("{event}\n");
        self.watch.send(&format!("{:x}\r\n{line}\r\n", line.len()));
        self.courier.wait_until_input_processed();
    }

    /// The successor's entry: another name and destination at the address of the first endpoint.
    fn successor(&self) -> Value {
        let mut successor = entry("s-new", self.gate.address, "active");
        successor["group"] = OTHER_DESTINATION.into();
        successor
    }

    fn submit(&self, class: &str, id: &str) {
        assert_eq!(self.courier.request(&submission(class, id, "")), Some(202));
    }
}

#[test]
fn nothing_of_the_old_endpoint_is_sent_to_its_successor_at_the_address() {
    let mut scene = Scene::new("successor");
    scene.send_changes(&[scene.successor()]);
    scene.submit("order", "for-the-old");
    assert!(scene.gate.is_silent_for(NO_CALL_MS), "the successor belongs to another destination");
}

#[test]
fn entry_of_the_old_endpoint_that_leaves_later_does_not_remove_its_successor() {
    let mut scene = Scene::new("successor-left");
    scene.send_changes(&[scene.successor()]);
    let left = entry("s-1", scene.gate.address, "left");
    scene.send_changes(&[left]);
    let for_the_new = submission("order", "for-the-new", "").replace("dest=3", "dest=4");
    assert_eq!(scene.courier.request(&for_the_new), Some(202));
    assert_eq!(scene.gate.accept().read_request(), "for-the-new");
}

#[test]
fn last_name_at_an_address_counts_within_one_list() {
    let mut scene = Scene::new("successor-one-list");
    let old = entry("s-1", scene.gate.address, "active");
    scene.send_changes(&[old, scene.successor()]);
    scene.submit("order", "for-the-old");
    assert!(scene.gate.is_silent_for(NO_CALL_MS), "the successor belongs to another destination");
}

/// The call waits for its connection while the list names a successor at the address.
#[test]
fn call_that_waits_for_its_connection_is_not_sent_to_a_successor() {
    let discovery = GatedListener::new();
    let mut gate = GatedListener::not_accepting();
    let courier = CourierProcess::with_config("successor-connecting", |listen| {
        let mut config = platform_config(listen, &[gate.address], discovery.address);
        config["settings"]["bounds"]["connect_timeout_ns"] = 20_000_000_000u64.into();
        config
    });
    let mut watch = discovery.accept();
    watch.read_request();
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let mut scene = Scene { courier, _discovery: discovery, gate: GatedListener::new(), watch, version: 1 };
    scene.submit("order", "waits");
    let mut successor = entry("s-new", gate.address, "active");
    successor["group"] = OTHER_DESTINATION.into();
    scene.send_changes(&[successor]);
    gate.open();
    let mut connection = gate.accept();
    scene.courier.wait_until_input_processed();
    assert!(connection.is_silent());
}

/// A connection that rests belongs to the old process, whatever listens at its address now.
#[test]
fn idle_connection_of_the_old_endpoint_carries_nothing_for_its_successor() {
    let mut scene = Scene::new("successor-idle");
    let mut peers = vec![];
    for number in 0..5 {
        scene.submit("status", &format!("warm-up-{number}"));
        crate::peer::serve_next_request(&scene.gate, &mut peers, SERVED);
        scene.courier.wait_until_input_processed();
        std::thread::sleep(crate::scene::AFTER_RESPONSE);
    }
    scene.send_changes(&[scene.successor()]);
    let for_the_new = submission("order", "for-the-new", "").replace("dest=3", "dest=4");
    assert_eq!(scene.courier.request(&for_the_new), Some(202));
    assert_eq!(scene.gate.accept().read_request(), "for-the-new");
    wait_until("the old connections end", || peers.iter().all(Peer::has_ended));
}

/// A Retry-After of the old endpoint says nothing about its successor, which has another destination.
#[test]
fn retry_after_of_the_old_endpoint_does_not_hold_its_successor_back() {
    let mut scene = Scene::new("successor-wait");
    scene.submit("order", "refused");
    let mut old = scene.gate.accept();
    old.read_request();
    old.send("HTTP/1.1 429 No\r\nX-Backoff-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
    scene.courier.wait_until_input_processed();
    scene.send_changes(&[scene.successor()]);
    let for_the_new = submission("order", "for-the-new", "").replace("dest=3", "dest=4");
    assert_eq!(scene.courier.request(&for_the_new), Some(202));
    assert_eq!(scene.gate.accept().read_request(), "for-the-new");
}
