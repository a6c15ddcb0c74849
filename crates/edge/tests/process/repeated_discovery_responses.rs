//! Responses and list events of discovery that arrive twice or belong to an earlier request.

use crate::courier::{entry, platform_config, submission, CourierProcess};
use crate::peer::{GatedListener, Peer};
use serde_json::{json, Value};

const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const ACKNOWLEDGED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
/// How long a test waits for a new connection for a notification: less than the courier waits for an answer.
const NEW_CONNECTION_MS: u64 = 60;
/// How long a test waits for an attempt that must not come.
const NO_ATTEMPT_MS: u64 = 300;

/// A courier whose discovery and only endpoint are controlled by the test.
struct Scene {
    courier: CourierProcess,
    discovery: GatedListener,
    endpoint: GatedListener,
    watch: Peer,
}

impl Scene {
    fn new(name: &str) -> Scene {
        let discovery = GatedListener::new();
        let endpoint = GatedListener::new();
        let courier = CourierProcess::with_config(name, |listen| {
            platform_config(listen, &[endpoint.address], discovery.address)
        });
        let mut watch = discovery.accept();
        assert!(watch.wait_for_request());
        watch.read_request();
        watch.send(&format!("{WATCH_HEAD}1\r\n\n\r\n"));
        Scene { courier, discovery, endpoint, watch }
    }

    fn send_event(&mut self, event: &Value) {
        let line = format!("{event}\n");
        self.watch.send(&format!("{:x}\r\n{line}\r\n", line.len()));
        self.courier.wait_until_input_processed();
    }

    fn event(&self, version: u64, complete: bool, status: &str) -> Value {
        let entry = entry("s-1", self.endpoint.address, status);
        json!({"index": version, "snapshot": complete, "endpoints": [entry]})
    }

    fn submit(&self, id: &str) {
        assert_eq!(self.courier.request(&submission("order", id, "")), Some(202));
    }

    /// Submits a message that fails, so that the platform is notified.
    fn fail(&self, id: &str) {
        self.submit(id);
        let mut attempt = self.endpoint.accept();
        assert_eq!(attempt.read_request(), id);
        attempt.send(FAILED);
        self.courier.wait_until_input_processed();
    }
}

#[test]
fn copied_acknowledgement_does_not_acknowledge_next_notification() {
    let mut scene = Scene::new("copied-204");
    scene.fail("a");
    let mut first = scene.discovery.accept();
    assert!(first.read_request().contains("\"a\""));
    first.send(ACKNOWLEDGED);
    scene.courier.wait_until_input_processed();
    scene.fail("b");
    // The copy arrives while the next notification is out, wherever that is sent.
    if scene.discovery.is_silent_for(NEW_CONNECTION_MS) {
        assert!(first.read_request().contains("\"b\""));
        first.send(ACKNOWLEDGED);
    } else {
        assert!(scene.discovery.accept().read_request().contains("\"b\""));
        first.send_if_open(ACKNOWLEDGED);
    }
    scene.courier.wait_until_input_processed();
    drop(first);
    let mut again = scene.discovery.accept();
    assert!(again.read_request().contains("\"b\""), "discovery has never acknowledged b");
    scene.watch.send("1\r\n\n\r\n");
}

#[test]
fn copied_list_event_of_older_version_not_applied() {
    let mut scene = Scene::new("copied-event");
    scene.send_event(&scene.event(4, false, "active"));
    scene.send_event(&scene.event(5, false, "leaving"));
    for complete in [false, true] {
        scene.send_event(&scene.event(4, complete, "active"));
        scene.submit(if complete { "b" } else { "a" });
        assert!(scene.endpoint.is_silent_for(NO_ATTEMPT_MS), "the endpoint is draining");
        scene.watch = scene.discovery.accept();
        assert!(scene.watch.wait_for_request(), "the complete list is requested");
        scene.watch.read_request();
        scene.watch.send(WATCH_HEAD);
        scene.send_event(&scene.event(5, true, "leaving"));
        assert!(scene.endpoint.is_silent_for(NO_ATTEMPT_MS), "the endpoint is draining");
    }
}
