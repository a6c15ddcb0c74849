//! Responses and list events of discovery that arrive twice or belong to an earlier request.

use crate::courier::entry;
use crate::watched_scene::{WatchedScene, WATCH_HEAD};
use serde_json::{json, Value};

const ACKNOWLEDGED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
/// How long a test waits for a new connection for a notification: less than the courier waits for an answer.
const NEW_CONNECTION_MS: u64 = 60;
/// How long a test waits for an attempt that must not come.
const NO_ATTEMPT_MS: u64 = 300;

fn event(scene: &WatchedScene, version: u64, complete: bool, status: &str) -> Value {
    let entry = entry("s-1", scene.endpoint.address, status);
    json!({"index": version, "snapshot": complete, "endpoints": [entry]})
}

/// Submits a message that fails, so that the platform is notified.
fn fail(scene: &WatchedScene, id: &str) {
    scene.submit("order", id);
    let mut attempt = scene.endpoint.accept();
    assert_eq!(attempt.read_request(), id);
    attempt.send(FAILED);
    scene.courier.wait_until_input_processed();
}

#[test]
fn copied_acknowledgement_does_not_acknowledge_next_notification() {
    let mut scene = WatchedScene::new("copied-204");
    fail(&scene, "a");
    let mut first = scene.discovery.accept();
    assert!(first.read_request().contains("\"a\""));
    first.send(ACKNOWLEDGED);
    scene.courier.wait_until_input_processed();
    fail(&scene, "b");
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
    let mut scene = WatchedScene::new("copied-event");
    scene.send_event(&event(&scene, 4, false, "active"));
    scene.send_event(&event(&scene, 5, false, "leaving"));
    for complete in [false, true] {
        scene.send_event(&event(&scene, 4, complete, "active"));
        scene.submit("order", if complete { "b" } else { "a" });
        assert!(scene.endpoint.is_silent_for(NO_ATTEMPT_MS), "the endpoint is draining");
        scene.watch = scene.discovery.accept();
        assert!(scene.watch.wait_for_request(), "the complete list is requested");
        scene.watch.read_request();
        scene.watch.send(WATCH_HEAD);
        scene.send_event(&event(&scene, 5, true, "leaving"));
        assert!(scene.endpoint.is_silent_for(NO_ATTEMPT_MS), "the endpoint is draining");
    }
}
