//! The courier as a process: its control interface, its snapshot, its shutdown, clients that misbehave.

#[path = "support/kafka.rs"]
mod kafka;
#[path = "support/work_folder.rs"]
mod work_folder;

use kafka::produce_request;
use linnetcart_kafka::{client, codes, Frames};
use linnetcart_testbed::courier_process::http_request;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use work_folder::work_folder;

const RECORD_BYTES: usize = 100;

struct Edge {
    child: Child,
    kafka: SocketAddr,
    control: SocketAddr,
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The line of JSON that a program prints when it is ready.
fn ready_line(child: &mut Child) -> serde_json::Value {
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap()
}

fn edge(dir: &Path, files: Option<u32>) -> Edge {
    let program = env!("CARGO_BIN_EXE_linnetcart-testbed");
    let args = "edge --kafka 127.0.0.1:0 --control 127.0.0.1:0 --drain-ms 1500 --log json --state-dir";
    let limit = files.map_or(String::new(), |n| format!("ulimit -n {n}; "));
    let mut child = Command::new("sh")
        .arg("-c")
        .arg(format!("{limit}exec {program} {args} {}", dir.display()))
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let ready = ready_line(&mut child);
    let addr = |name: &str| ready[name].as_str().unwrap().parse().unwrap();
    Edge { kafka: addr("kafka"), control: addr("control"), child }
}

/// Status and body.
fn http(at: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let reply = http_request(at, method, path, body).unwrap();
    (reply.status, reply.body)
}

fn settings() -> String {
    serde_json::json!({
        "deployment": "test", "courier": {"me": 0, "of": 1, "zone": "a"}, "zones": ["a"],
        "classes": [
            {"name": "status", "aim_ms": 1000, "deadline_ms": 5000, "worth": 1, "repeat": "safe"},
            {"name": "order", "aim_ms": 500, "deadline_ms": 1000, "worth": 1, "repeat": "unsafe"}],
        "kinds": [{"name": "k"}],
        "limits": {"slots": 8, "held": 100, "attempts": 4},
        "rules": {"answer_slack_ms": 50, "cold_share": 0.2, "warm_after_ms": 1000, "fall_multiple": 2.0, "fall_span_ms": 1000}
    })
    .to_string()
}

fn list(version: u64, at: SocketAddr) -> String {
    serde_json::json!({"version": version, "whole": true, "entries": [
        {"id": 1, "destination": 0, "kind": "k", "zone": "a", "state": "ready", "address": at.to_string()}]})
    .to_string()
}

/// An endpoint that takes connections and never answers, or refuses all.
fn silent_endpoint() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

fn answer(stream: &mut TcpStream) -> client::ProduceReply {
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut frames = Frames::new(kafka::MAX_FRAME_BYTES);
    kafka::read_reply(stream, &mut frames).expect("closed instead of answered")
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill")
        .args([&format!("-{name}"), &child.id().to_string()])
        .status()
        .unwrap()
        .success());
}

fn ended(child: &mut Child, within: Duration) -> Option<i32> {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("it did not end");
}

#[test]
fn settings_and_endpoint_list_put_by_call_survive_a_kill() {
    let dir = work_folder("snapshot");
    let (_keep, at) = silent_endpoint();
    let mut courier = edge(&dir, None);
    assert_eq!(http(courier.control, "PUT", "/list", &list(1, at)).0, 409);
    assert_eq!(http(courier.control, "PUT", "/settings", "{\"deployment\": 3}").0, 422);
    assert_eq!(http(courier.control, "PUT", "/settings", &settings()).0, 200);
    assert_eq!(http(courier.control, "PUT", "/list", &list(5, at)).0, 200);
    let (status, body) = http(courier.control, "PUT", "/list", &list(5, at));
    assert!(status == 422 && body.contains("not above 5"), "{body}");
    courier.child.kill().unwrap();
    courier.child.wait().unwrap();
    let courier = edge(&dir, None);
    let (_, body) = http(courier.control, "GET", "/list", "");
    assert!(body.contains("\"version\": 5") && body.contains(&at.to_string()), "{body}");
    drop(courier);
    // A cut snapshot is set aside, and the courier starts without settings.
    let path = dir.join("snapshot");
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
    let courier = edge(&dir, None);
    let (_, body) = http(courier.control, "GET", "/status", "");
    assert!(body.contains("set aside") && body.contains("\"courier\": null"), "{body}");
    assert!(dir.join("snapshot.damaged-1").exists());
    drop(courier);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn first_signal_drains_and_second_signal_exits_at_once() {
    for second in [false, true] {
        let dir = work_folder(&format!("signal-{second}"));
        let (_keep, at) = silent_endpoint();
        let mut courier = edge(&dir, None);
        assert_eq!(http(courier.control, "PUT", "/settings", &settings()).0, 200);
        assert_eq!(http(courier.control, "PUT", "/list", &list(1, at)).0, 200);
        let mut stream = TcpStream::connect(courier.kafka).unwrap();
        stream.write_all(&produce_request(1, "status", RECORD_BYTES)).unwrap();
        std::thread::sleep(Duration::from_millis(200));
        signal(&courier.child, "TERM");
        if second {
            std::thread::sleep(Duration::from_millis(200));
            signal(&courier.child, "TERM");
            assert_eq!(ended(&mut courier.child, Duration::from_secs(5)), Some(3));
        } else {
            let reply = answer(&mut stream);
            assert_eq!(reply.parts[0].code, codes::NOT_ENOUGH_REPLICAS, "idempotent: rejected at the bound");
            assert_eq!(ended(&mut courier.child, Duration::from_secs(5)), Some(0));
            assert!(TcpStream::connect(courier.kafka).is_err());
        }
        std::fs::remove_dir_all(dir).unwrap();
    }
}

#[test]
fn slow_and_malformed_clients_delay_no_other_client() {
    let dir = work_folder("clients");
    let (_keep, at) = silent_endpoint();
    let courier = edge(&dir, None);
    assert_eq!(http(courier.control, "PUT", "/settings", &settings()).0, 200);
    assert_eq!(http(courier.control, "PUT", "/list", &list(1, at)).0, 200);
    // One that sends half a request and waits, one that never reads replies, one that sends no valid request.
    let mut half = TcpStream::connect(courier.kafka).unwrap();
    half.write_all(&produce_request(1, "status", RECORD_BYTES)[..20]).unwrap();
    let mut never_reads = TcpStream::connect(courier.kafka).unwrap();
    never_reads.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let request = client::metadata(1, "t", 9, None).unwrap();
    let mut sent = 0;
    while sent < 64 << 20 && never_reads.write_all(&request.repeat(1000)).is_ok() {
        sent += request.len() * 1000;
    }
    assert!(sent < 64 << 20, "it is not read without end");
    let mut malformed = TcpStream::connect(courier.kafka).unwrap();
    malformed.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    malformed.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(matches!(malformed.read(&mut [0; 10]), Ok(0) | Err(_)), "closed");
    // The others are answered in their time.
    let started = Instant::now();
    let mut stream = TcpStream::connect(courier.kafka).unwrap();
    stream.write_all(&produce_request(1, "order", RECORD_BYTES)).unwrap();
    let reply = answer(&mut stream);
    assert!(matches!(reply.parts[0].code, codes::UNKNOWN_SERVER_ERROR | codes::NOT_ENOUGH_REPLICAS));
    assert!(started.elapsed() < Duration::from_secs(3));
    half.write_all(&produce_request(1, "status", RECORD_BYTES)[20..]).unwrap();
    assert_eq!(answer(&mut half).parts[0].code, codes::NOT_ENOUGH_REPLICAS);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn courier_out_of_file_descriptors_recovers() {
    let dir = work_folder("files");
    let (_keep, at) = silent_endpoint();
    let courier = edge(&dir, Some(40));
    assert_eq!(http(courier.control, "PUT", "/settings", &settings()).0, 200);
    assert_eq!(http(courier.control, "PUT", "/list", &list(1, at)).0, 200);
    let crowd: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(courier.kafka).unwrap()).collect();
    std::thread::sleep(Duration::from_millis(300));
    drop(crowd);
    // With descriptors again, clients are accepted and answered.
    let mut stream = TcpStream::connect(courier.kafka).unwrap();
    stream.write_all(&produce_request(1, "order", RECORD_BYTES)).unwrap();
    assert!(matches!(
        answer(&mut stream).parts[0].code,
        codes::UNKNOWN_SERVER_ERROR | codes::NOT_ENOUGH_REPLICAS
    ));
    assert_eq!(http(courier.control, "GET", "/status", "").0, 200);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn stack_brought_up_delivers_and_ends_on_a_signal() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linnetcart-testbed"))
        .args(["up", "--seed", "3"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let ready = ready_line(&mut child);
    let kafka: SocketAddr = ready["kafka"].as_str().unwrap().parse().unwrap();
    let topic = ready["topics"][0].as_str().unwrap().to_owned();
    assert!(ready["destinations"].as_array().unwrap().len() > 3 && ready["control"].is_string());
    let mut stream = TcpStream::connect(kafka).unwrap();
    stream.write_all(&produce_request(7, &topic, RECORD_BYTES)).unwrap();
    let reply = answer(&mut stream);
    assert_eq!((reply.correlation, reply.parts[0].code), (7, codes::NONE));
    drop(stream);
    signal(&child, "TERM");
    assert_eq!(ended(&mut child, Duration::from_secs(10)), Some(0));
}
