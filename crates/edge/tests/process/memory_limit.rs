//! Peers that make the courier hold memory: its peak, read from the system, stays under the limit of its settings, and
//! usual clients are served beside them.

use crate::courier::{entry, platform_config, submission, wait_until, CourierProcess};
use crate::crowd::{Crowd, CrowdAnswers, UsualClients};
use crate::peer::Peer;
use crate::stubs::{discovery_stub, endless_endpoint, endpoint_stub, silent_endpoint, Stub};
use linnetcart_http::Persistence;
use rustix::process::Signal;
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// The least memory that the pages name, in megabytes.
const MEMORY_MB: u64 = 32;
/// The most file descriptors that the pages name.
const FILE_DESCRIPTORS: u64 = 1024;
const CLIENTS: usize = 600;
const LARGE_BODY_BYTES: usize = 65_000;
/// Messages whose records together take more than the memory.
const JOURNAL_MESSAGES: usize = 800;

fn config(listen: SocketAddr, endpoint: SocketAddr, discovery: SocketAddr, disk_mb: u64) -> Value {
    let mut config = platform_config(listen, &[endpoint], discovery);
    config["limits"]["memory_mb"] = MEMORY_MB.into();
    config["limits"]["sockets"] = FILE_DESCRIPTORS.into();
    config["limits"]["disk_mb"] = disk_mb.into();
    config["settings"]["bounds"]["max_open"] = 1000.into();
    config["known"]["endpoints"][0]["weight"] = 100_000.0.into();
    config
}

/// A courier with the least memory, and an endpoint.
struct Scene {
    courier: CourierProcess,
    endpoint: Stub,
    _discovery: Stub,
}

impl Scene {
    fn new(name: &str, endpoint: Stub, disk_mb: u64) -> Scene {
        let discovery = discovery_stub();
        let courier = CourierProcess::with_config(name, |listen| {
            config(listen, endpoint.address, discovery.address, disk_mb)
        });
        Scene { courier, endpoint, _discovery: discovery }
    }

    fn check_memory(&mut self) {
        assert!(self.courier.child.try_wait().unwrap().is_none(), "the process has ended by itself");
        let peak = self.courier.peak_memory_bytes();
        println!("peak memory: {peak} bytes");
        assert!(peak < MEMORY_MB * 1_000_000, "peak memory: {peak} bytes");
    }
}

/// Ends the courier, and checks that it has closed no connection without an answer but those from which it had read
/// nothing, because too many were open.
fn check_unanswered(mut scene: Scene, answers: &CrowdAnswers) {
    scene.courier.signal(Signal::TERM);
    scene.courier.child.wait().unwrap();
    let evicted = scene.courier.last_counter("evicted_clients");
    println!("unanswered: {}, closed unread: {evicted}", answers.unanswered);
    assert!(
        answers.unanswered <= evicted,
        "{} without an answer, {evicted} closed unread",
        answers.unanswered
    );
}

fn large_request(id: &str) -> String {
    submission("order", id, &format!("Content-Length: {LARGE_BODY_BYTES}\r\n"))
        + &"x".repeat(LARGE_BODY_BYTES)
}

/// A head of as many short fields as may be, which never ends.
fn head_of_short_fields(id: &str) -> String {
    submission("order", id, "").trim_end().to_owned() + "\r\n" + &"a:1\r\n".repeat(50)
}

#[test]
fn large_requests_that_stop_half_way_pass_no_memory_limit_and_close_no_usual_client() {
    let mut scene = Scene::new("stopped-large", endpoint_stub(), 1);
    let usual = UsualClients::start(scene.courier.listen, "usual-s");
    let mut crowd = Crowd::new(scene.courier.listen);
    for number in 0..CLIENTS {
        let request = large_request(&format!("half-{number}."));
        crowd.send_part(&request[..60_000]);
    }
    std::thread::sleep(Duration::from_millis(500));
    let answers = crowd.check_answers(&[408, 503]);
    usual.finish().check();
    scene.check_memory();
    assert_eq!(scene.courier.submit("order", "later"), 202);
    check_unanswered(scene, &answers);
}

#[test]
fn slow_writers_of_large_requests_pass_no_memory_limit_and_close_no_usual_client() {
    let mut scene = Scene::new("slow-large", endpoint_stub(), 1);
    let usual = UsualClients::start(scene.courier.listen, "usual-w");
    let mut crowd = Crowd::new(scene.courier.listen);
    let requests: Vec<String> =
        (0..CLIENTS).map(|number| large_request(&format!("slow-{number}."))).collect();
    for request in &requests {
        crowd.send_part(&request[..60_000]);
    }
    for step in 0..10 {
        std::thread::sleep(Duration::from_millis(100));
        for (client, request) in requests.iter().enumerate() {
            crowd.continue_part(client, &request[60_000 + 50 * step..60_000 + 50 * (step + 1)]);
        }
    }
    let answers = crowd.check_answers(&[408, 503]);
    usual.finish().check();
    scene.check_memory();
    check_unanswered(scene, &answers);
}

#[test]
fn heads_of_very_many_short_fields_pass_no_memory_limit() {
    let mut scene = Scene::new("short-fields", endpoint_stub(), 1);
    let usual = UsualClients::start(scene.courier.listen, "usual-f");
    let mut crowd = Crowd::new(scene.courier.listen);
    for number in 0..CLIENTS {
        let head = head_of_short_fields(&format!("fields-{number}."));
        // More fields than a head may have, or a head that stops.
        let fields = if number.is_multiple_of(2) { "b:2\r\n".repeat(2000) } else { String::new() };
        crowd.send_part(&(head + &fields));
    }
    let answers = crowd.check_answers(&[400, 408, 431, 503]);
    usual.finish().check();
    scene.check_memory();
    check_unanswered(scene, &answers);
}

#[test]
fn large_messages_for_a_slow_destination_are_bounded_by_memory_and_not_by_the_disk() {
    let mut scene = Scene::new("slow-destination", silent_endpoint(), 64);
    let mut crowd = Crowd::new(scene.courier.listen);
    for number in 0..CLIENTS / 2 {
        crowd.send_part(&large_request(&format!("slow-{number}.")));
    }
    let answers = crowd.check_answers(&[202, 503]);
    assert!(answers.statuses.contains(&202), "some are accepted");
    scene.check_memory();
}

#[test]
fn accepted_large_messages_pass_no_memory_limit_after_a_restart() {
    let mut scene = Scene::new("slow-restart", silent_endpoint(), 64);
    for round in 0..4 {
        let mut crowd = Crowd::new(scene.courier.listen);
        for number in 0..200 {
            crowd.send_part(&large_request(&format!("slow-{round}-{number}.")));
        }
        crowd.check_answers(&[202, 503]);
        scene.check_memory();
        scene.courier.kill_and_restart();
        scene.check_memory();
    }
}

#[test]
fn client_that_reads_no_answers_makes_no_memory_grow() {
    let mut scene = Scene::new("no-reading", endpoint_stub(), 1);
    let usual = UsualClients::start(scene.courier.listen, "usual-n");
    let mut crowd = Crowd::new(scene.courier.listen);
    for _ in 0..20 {
        crowd.flood("GET /ready HTTP/1.1\r\n\r\n", 3_000_000);
    }
    usual.finish().check();
    scene.check_memory();
}

#[test]
fn responses_that_never_end_pass_no_memory_limit() {
    let mut scene = Scene::new("endless-responses", endless_endpoint(), 4);
    let mut crowd = Crowd::new(scene.courier.listen);
    for number in 0..CLIENTS / 2 {
        crowd.send_part(&submission("order", &format!("endless-{number}."), ""));
    }
    crowd.check_answers(&[202, 429, 503]);
    wait_until("calls were answered", || !scene.endpoint.requests().is_empty());
    std::thread::sleep(Duration::from_secs(3));
    scene.check_memory();
    assert_eq!(scene.courier.request("GET /ready HTTP/1.1\r\n\r\n"), Some(200));
}

/// A discovery whose list never ends a line, and then one with long names in ever new entries.
#[test]
fn endpoint_lists_of_any_length_pass_no_memory_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            std::thread::spawn(move || stream_lists(stream, number));
        }
    });
    let endpoint = endpoint_stub();
    let mut scene = Scene {
        courier: CourierProcess::with_config("long-lists", |listen| {
            config(listen, endpoint.address, address, 1)
        }),
        endpoint,
        _discovery: discovery_stub(),
    };
    std::thread::sleep(Duration::from_secs(4));
    scene.check_memory();
    assert_eq!(scene.courier.request("GET /ready HTTP/1.1\r\n\r\n"), Some(200));
    assert!(scene.endpoint.requests().is_empty());
}

fn stream_lists(mut stream: std::net::TcpStream, number: usize) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for version in 2..400u64 {
        let piece = if number.is_multiple_of(2) {
            " ".repeat(20_000) + "{\"index\":"
        } else {
            let new = |n: u64| {
                entry(&format!("{version}-{n}-{}", "n".repeat(200)), stream.peer_addr().unwrap(), "active")
            };
            let entries: Vec<Value> = (0..100).map(new).collect();
            serde_json::json!({"index": version, "snapshot": false, "endpoints": entries}).to_string() + "\n"
        };
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return;
        }
    }
    std::thread::sleep(Duration::from_secs(2));
}

/// Each id is new: no table grows with them beyond its part of the memory.
#[test]
fn ever_new_ids_make_no_table_grow() {
    let mut scene = Scene::new("new-ids", endpoint_stub(), 1000);
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let listen = scene.courier.listen;
            scope.spawn(move || {
                let mut client = Peer::connect(listen);
                for number in 0..20_000 {
                    // The deadline has passed: the id is refused and remembered.
                    let id = format!("new-{thread}-{number}.");
                    client.send(&submission("order", &id, "").replace("30000", "0"));
                    assert_eq!(client.read_response().status, 503);
                }
            });
        }
    });
    scene.check_memory();
}

/// Much disk: the journal of delivered messages may grow, but the next process has to read it.
#[test]
fn long_journal_passes_no_memory_limit_in_the_process_that_replays_it() {
    let mut scene = Scene::new("long-journal", endpoint_stub(), 1000);
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let listen = scene.courier.listen;
            scope.spawn(move || {
                let mut client = Peer::connect(listen);
                let mut accepted = 0;
                for number in 0..40_000 {
                    let id = format!("journal-{thread}-{number}.");
                    client.send(&large_request(&id).replacen("order", "status", 1));
                    accepted += usize::from(client.read_response().status == 202);
                    if accepted == JOURNAL_MESSAGES / 4 {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(1));
                }
                panic!("{accepted} were accepted");
            });
        }
    });
    scene.check_memory();
    scene.courier.kill_and_restart();
    scene.check_memory();
}

/// One client asks at full speed, each time under a new name: usual clients keep their connections and are answered.
#[test]
fn small_and_unsound_requests_at_full_speed_close_no_usual_client_and_pass_no_memory_limit() {
    let mut scene = Scene::new("full-speed", endpoint_stub(), 1);
    let usual = UsualClients::start(scene.courier.listen, "usual-b");
    let until = Instant::now() + Duration::from_secs(3);
    let mut number = 0;
    let mut noisy = Peer::connect(scene.courier.listen);
    while Instant::now() < until {
        number += 1;
        let id = format!("noise-{number}.");
        let requests = [
            submission("order", &id, "").replace("dest=3", &format!("dest={number}")),
            submission(&format!("class-{number}"), &id, ""),
            submission("change", &id, &format!("Cookie: subject={id}\r\n")).replace("30000", "1"),
            "GET /ready HTTP/1.1\r\n\r\n".to_owned(),
            "noise\r\n\r\n".to_owned(),
        ];
        noisy.send_if_open(&requests[number % requests.len()]);
        if noisy.read_response().persistence == Persistence::Close {
            noisy = Peer::connect(scene.courier.listen);
        }
    }
    println!("requests of the noisy client: {number}");
    usual.finish().check();
    scene.check_memory();
}
