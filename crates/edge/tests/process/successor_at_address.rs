//! A new process at the address of an endpoint: nothing that was meant for the old one reaches it.

use crate::courier::{entry, submission, wait_until};
use crate::peer::{GatedListener, Peer};
use crate::stubs::SERVED;
use crate::watched_scene::WatchedScene;
use serde_json::{json, Value};

/// How long a test waits for a call that must not come.
const NO_CALL_MS: u64 = 400;
/// The destination of the successor.
const OTHER_DESTINATION: u32 = 4;

/// Sends an event with these changed entries.
fn send_changes(scene: &mut WatchedScene, version: u64, entries: &[Value]) {
    scene.send_event(&json!({"index": version, "snapshot": false, "endpoints": entries}));
}

/// The successor's entry: another name and destination at the address of the first endpoint.
fn successor(scene: &WatchedScene) -> Value {
    let mut successor = entry("s-new", scene.endpoint.address, "active");
    successor["group"] = OTHER_DESTINATION.into();
    successor
}

#[test]
fn nothing_of_the_old_endpoint_is_sent_to_its_successor_at_the_address() {
    let mut scene = WatchedScene::new("successor");
    let changes = [successor(&scene)];
    send_changes(&mut scene, 2, &changes);
    scene.submit("order", "for-the-old");
    assert!(scene.endpoint.is_silent_for(NO_CALL_MS), "the successor belongs to another destination");
}

#[test]
fn entry_of_the_old_endpoint_that_leaves_later_does_not_remove_its_successor() {
    let mut scene = WatchedScene::new("successor-left");
    let changes = [successor(&scene)];
    send_changes(&mut scene, 2, &changes);
    let left = entry("s-1", scene.endpoint.address, "left");
    send_changes(&mut scene, 3, &[left]);
    let for_the_new = submission("order", "for-the-new", "").replace("dest=3", "dest=4");
    assert_eq!(scene.courier.request(&for_the_new), Some(202));
    assert_eq!(scene.endpoint.accept().read_request(), "for-the-new");
}

#[test]
fn last_name_at_an_address_counts_within_one_list() {
    let mut scene = WatchedScene::new("successor-one-list");
    let old = entry("s-1", scene.endpoint.address, "active");
    let changes = [old, successor(&scene)];
    send_changes(&mut scene, 2, &changes);
    scene.submit("order", "for-the-old");
    assert!(scene.endpoint.is_silent_for(NO_CALL_MS), "the successor belongs to another destination");
}

/// The call waits for its connection while the list names a successor at the address.
#[test]
fn call_that_waits_for_its_connection_is_not_sent_to_a_successor() {
    let not_accepting = GatedListener::not_accepting();
    let mut scene = WatchedScene::with_endpoint("successor-connecting", not_accepting, |config| {
        config["settings"]["bounds"]["connect_timeout_ns"] = 20_000_000_000u64.into();
    });
    scene.submit("order", "waits");
    let changes = [successor(&scene)];
    send_changes(&mut scene, 2, &changes);
    scene.endpoint.open();
    let mut connection = scene.endpoint.accept();
    scene.courier.wait_until_input_processed();
    assert!(connection.is_silent());
}

/// A connection that rests belongs to the old process, whatever listens at its address now.
#[test]
fn idle_connection_of_the_old_endpoint_carries_nothing_for_its_successor() {
    let mut scene = WatchedScene::new("successor-idle");
    let mut peers = vec![];
    for number in 0..5 {
        scene.submit("status", &format!("warm-up-{number}"));
        crate::peer::serve_next_request(&scene.endpoint, &mut peers, SERVED);
        scene.courier.wait_until_input_processed();
        std::thread::sleep(crate::scene::AFTER_RESPONSE);
    }
    let changes = [successor(&scene)];
    send_changes(&mut scene, 2, &changes);
    let for_the_new = submission("order", "for-the-new", "").replace("dest=3", "dest=4");
    assert_eq!(scene.courier.request(&for_the_new), Some(202));
    assert_eq!(scene.endpoint.accept().read_request(), "for-the-new");
    wait_until("the old connections end", || peers.iter().all(Peer::has_ended));
}

/// A Retry-After of the old endpoint says nothing about its successor, which has another destination.
#[test]
fn retry_after_of_the_old_endpoint_does_not_hold_its_successor_back() {
    let mut scene = WatchedScene::new("successor-wait");
    scene.submit("order", "refused");
    let mut old = scene.endpoint.accept();
    old.read_request();
    old.send("HTTP/1.1 429 No\r\nX-Backoff-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
    scene.courier.wait_until_input_processed();
    let changes = [successor(&scene)];
    send_changes(&mut scene, 2, &changes);
    let for_the_new = submission("order", "for-the-new", "").replace("dest=3", "dest=4");
    assert_eq!(scene.courier.request(&for_the_new), Some(202));
    assert_eq!(scene.endpoint.accept().read_request(), "for-the-new");
}
