//! Numbers and names at the ends of their ranges, from clients, endpoints and discovery: none ends the process.

use crate::courier::{submission, wait_until};
use crate::peer::GatedListener;
use crate::scene::AFTER_RESPONSE;
use crate::watched_scene::{WatchedScene, WATCH_HEAD};
use serde_json::{json, Value};
use std::time::Duration;

const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\n\r\n";
const U64_MAX: &str = "18446744073709551615";
const LARGEST_DECIMAL: &str = "999999999999999999";

/// A courier that reads load reports.
fn start(name: &str) -> WatchedScene {
    WatchedScene::with_endpoint(name, GatedListener::new(), |config| {
        config["settings"]["stats"] = json!({"names": ["x0", "x1", "left", "limit"]});
    })
}

fn check_alive(scene: &mut WatchedScene) {
    std::thread::sleep(Duration::from_millis(200));
    assert!(scene.courier.child.try_wait().unwrap().is_none(), "the process has ended by itself");
    assert_eq!(scene.courier.request(READY_REQUEST), Some(200));
}

/// Sends an event and opens the watch anew if the courier closes it.
fn send_event(scene: &mut WatchedScene, event: &Value) {
    scene.send_event(event);
    if !scene.discovery.is_silent_for(150) {
        scene.watch = scene.discovery.accept();
        scene.watch.read_request();
        scene.watch.send(&format!("{WATCH_HEAD}1\r\n\n\r\n"));
    }
}

#[test]
fn extreme_values_in_requests_end_no_process() {
    let mut scene = start("extreme-requests");
    let long = "k".repeat(8000);
    let requests = [
        submission("order", "a", "").replace("30000", LARGEST_DECIMAL),
        submission("order", "b", "").replace("30000", U64_MAX),
        submission("order", "c", "").replace("30000", "0"),
        submission("order", "d", "").replace("dest=3", "dest=4294967295"),
        submission("order", "e", "").replace("dest=3", &format!("dest={U64_MAX}")),
        submission("order", "f", &format!("Content-Length: {U64_MAX}\r\n")),
        submission("order", "g", "Content-Length: -1\r\n"),
        submission("change", "h", &format!("Cookie: subject={long}\r\n")),
        submission(&long, "i", ""),
        submission("order", &long, ""),
        submission("order", "\u{80}\u{ffff}", ""),
        submission("change", "j", "Cookie: ;;;=;subject=\r\n"),
    ];
    for request in &requests {
        scene.courier.request_within(request, Duration::from_millis(500));
    }
    check_alive(&mut scene);
}

#[test]
fn extreme_values_in_responses_end_no_process() {
    let mut scene = start("extreme-responses");
    // Those with a wait come last: it holds back all that follows.
    let fields = [
        format!("503 No\r\nX-Backoff-Ms: {U64_MAX}\r\nX-Pressure: x0=-1,x1=-1e308,left=nan,limit=nan"),
        "503 No\r\nX-Backoff-Ms: -5\r\nX-Pressure: x0=inf,x1=-inf,left=0,limit=0".to_owned(),
        "200 OK\r\nX-Pressure: x0=0,x1=1e-320,left=1e308,limit=1e308".to_owned(),
        "500 Error\r\nX-Pressure: x0=1e308,x1=1e-308".to_owned(),
        "999 Odd".to_owned(),
        "000 Odd".to_owned(),
        format!("410 Gone\r\nContent-Length: {U64_MAX}"),
        "200 OK\r\nX-Pressure: x0=1e308,x1=1e308".to_owned(),
        "429 No\r\nX-Backoff-Ms: 1".to_owned(),
        format!("429 No\r\nX-Backoff-Ms: {LARGEST_DECIMAL}\r\nX-Pressure: x0=1e308,x1=1e308"),
        "504 No\r\nX-Backoff-Ms: 86400000000".to_owned(),
    ];
    for (number, field) in fields.iter().enumerate() {
        assert!(scene.courier.request(&submission("status", &format!("m{number}."), "")).is_some());
        if scene.endpoint.is_silent_for(3000) {
            continue;
        }
        let mut call = scene.endpoint.accept();
        if call.wait_for_request() {
            call.read_request();
            call.send_if_open(&format!("HTTP/1.1 {field}\r\nContent-Length: 0\r\n\r\n"));
        }
        std::thread::sleep(AFTER_RESPONSE);
    }
    check_alive(&mut scene);
    scene.courier.request(&submission("status", "later", ""));
    std::thread::sleep(Duration::from_millis(500));
    let sent = scene.courier.count_logged("attempt sent", &[("id", "later".into())]);
    assert_eq!(sent, 0, "the longest wait is heeded");
}

#[test]
fn extreme_values_in_endpoint_lists_end_no_process() {
    let mut scene = start("extreme-lists");
    let address = scene.endpoint.address;
    let entry = |name: &str, change: &dyn Fn(&mut Value)| {
        let mut entry = crate::courier::entry(name, address, "active");
        change(&mut entry);
        entry
    };
    let entries = [
        entry("s-1", &|entry| entry["weight"] = json!(1e308)),
        entry("s-1", &|entry| entry["weight"] = json!(-1e308)),
        entry("s-1", &|entry| entry["weight"] = json!(5e-324)),
        entry("s-1", &|entry| entry["since_ms"] = json!(u64::MAX)),
        entry("s-1", &|entry| entry["group"] = json!(u32::MAX)),
        entry("s-1", &|entry| entry["address"] = json!("[::1]:0")),
        entry("s-1", &|entry| entry["zone"] = json!("z".repeat(100_000))),
        entry("s-1", &|entry| entry["type"] = json!("")),
        entry("", &|_| {}),
        entry(&"n".repeat(100_000), &|_| {}),
        entry("s-1", &|entry| entry["group"] = json!(-1)),
        entry("s-1", &|entry| entry["weight"] = json!("text")),
    ];
    for (number, entry) in entries.iter().enumerate() {
        for (version, complete) in [(100 + number as u64, false), (100 + number as u64, true)] {
            send_event(&mut scene, &json!({"index": version, "snapshot": complete, "endpoints": [entry]}));
            scene
                .courier
                .request_within(&submission("status", &format!("m{number}."), ""), Duration::from_secs(1));
        }
    }
    send_event(&mut scene, &json!({"index": u64::MAX, "snapshot": true, "endpoints": []}));
    send_event(&mut scene, &json!({"index": 0, "snapshot": true, "endpoints": []}));
    check_alive(&mut scene);
    wait_until("the courier answers", || scene.courier.request(READY_REQUEST) == Some(200));
}
