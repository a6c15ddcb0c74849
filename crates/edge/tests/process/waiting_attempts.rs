//! Attempts that wait between their decision and their send: what their decision rested on is judged again.

use crate::courier::{platform_config, submission, wait_until, CourierProcess};
use crate::peer::{serve_next_request, GatedListener};
use std::time::{Duration, Instant};

const KEY: &str = "Cookie: subject=k\r\n";
/// How long endpoints remember an idempotency key.
const WINDOW: Duration = Duration::from_millis(2500);
/// Time to the deadline of the later message of the key.
const LATER_REMAINING_MS: u64 = 400;
/// When the first call's connection ends.
const RESET_AFTER: Duration = Duration::from_millis(700);

/// The notification of a later message of the key stays unanswered while an earlier one may be repeated.
#[test]
fn keyed_message_is_not_sent_again_after_its_key_is_forgotten() {
    let discovery = GatedListener::new();
    let gate = GatedListener::new();
    let courier = CourierProcess::with_config("window", |listen| {
        let mut config = platform_config(listen, &[gate.address], discovery.address);
        config["settings"]["services"][2]["key_ttl_ns"] = (WINDOW.as_nanos() as u64).into();
        config
    });
    let later = submission("change", "b", KEY).replace("-Ms: 30000", &format!("-Ms: {LATER_REMAINING_MS}"));
    assert_eq!(courier.request(&submission("change", "a", KEY)), Some(202));
    let mut peers = vec![];
    assert_eq!(serve_next_request(&gate, &mut peers, "").id, "a");
    let first_at = Instant::now();
    assert_eq!(courier.request(&later), Some(202));
    wait_until("the later message has ended", || {
        courier.count_logged("message completed", &[("id", "b".into())]) == 1
    });
    std::thread::sleep(RESET_AFTER.saturating_sub(first_at.elapsed()));
    peers.clear();
    let mut repeated = Vec::new();
    while first_at.elapsed() < 2 * WINDOW {
        if !gate.is_silent_for(20) {
            let mut peer = gate.accept();
            if peer.wait_for_request() {
                repeated.push((peer.read_request(), first_at.elapsed()));
                peers.push(peer);
            }
        }
        // Discovery answers only after the window.
        while first_at.elapsed() > WINDOW && !discovery.is_silent() {
            let mut notifications = discovery.accept();
            if notifications.wait_for_request() {
                notifications.read_request();
                notifications.send_if_open("HTTP/1.1 204 No Content\r\n\r\n");
            }
        }
    }
    assert!(!repeated.is_empty(), "it may be sent again within the window");
    for (id, after) in repeated {
        assert!(after < WINDOW, "{id} was sent again {after:?} after its first call");
    }
}
