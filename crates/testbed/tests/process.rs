//! The courier as a process: its control interface, its snapshot, its end, clients that misbehave.

use linnetcart_kafka::{client, codes, Frames, Record};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

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

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("linnetcart-process-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
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
    let said = ready_line(&mut child);
    let addr = |name: &str| said[name].as_str().unwrap().parse().unwrap();
    Edge { kafka: addr("kafka"), control: addr("control"), child }
}

/// Status and body.
fn http(at: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let reply = linnetcart_testbed::courier_process::http_request(at, method, path, body).unwrap();
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

fn produce(number: i32, topic: &str) -> Vec<u8> {
    let record = Record { value: Some(vec![b'v'; 100].into()), ..Record::default() };
    let to = [client::ProduceTarget { topic, partition: 0, records: &[record] }];
    client::produce(number, "test", 9, (-1, 5000), &to).unwrap().to_vec()
}

fn answer(s: &mut TcpStream) -> client::ProduceReply {
    s.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut frames = Frames::new(1 << 20);
    let mut buf = [0; 4096];
    loop {
        if let Some(f) = frames.next_frame().unwrap() {
            return client::read_produced(&f, 9).unwrap();
        }
        let n = s.read(&mut buf).unwrap();
        assert!(n > 0, "closed instead of answered");
        frames.push(&buf[..n]);
    }
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
fn settings_and_list_come_by_call_and_survive_a_kill() {
    let dir = folder("snapshot");
    let (_keep, at) = silent_endpoint();
    let mut e = edge(&dir, None);
    assert_eq!(http(e.control, "PUT", "/list", &list(1, at)).0, 409);
    assert_eq!(http(e.control, "PUT", "/settings", "{\"deployment\": 3}").0, 422);
    assert_eq!(http(e.control, "PUT", "/settings", &settings()).0, 200);
    assert_eq!(http(e.control, "PUT", "/list", &list(5, at)).0, 200);
    let (status, body) = http(e.control, "PUT", "/list", &list(5, at));
    assert!(status == 422 && body.contains("not above 5"), "{body}");
    e.child.kill().unwrap();
    e.child.wait().unwrap();
    let e = edge(&dir, None);
    let (_, body) = http(e.control, "GET", "/list", "");
    assert!(body.contains("\"version\": 5") && body.contains(&at.to_string()), "{body}");
    drop(e);
    // A cut snapshot is set aside, and the courier starts without settings.
    let path = dir.join("snapshot");
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
    let e = edge(&dir, None);
    let (_, body) = http(e.control, "GET", "/status", "");
    assert!(body.contains("set aside") && body.contains("\"courier\": null"), "{body}");
    assert!(dir.join("snapshot.damaged-1").exists());
    drop(e);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn the_first_signal_ends_what_is_held_and_the_second_ends_at_once() {
    for second in [false, true] {
        let dir = folder(&format!("signal-{second}"));
        let (_keep, at) = silent_endpoint();
        let mut e = edge(&dir, None);
        assert_eq!(http(e.control, "PUT", "/settings", &settings()).0, 200);
        assert_eq!(http(e.control, "PUT", "/list", &list(1, at)).0, 200);
        let mut s = TcpStream::connect(e.kafka).unwrap();
        s.write_all(&produce(1, "status")).unwrap();
        std::thread::sleep(Duration::from_millis(200));
        signal(&e.child, "TERM");
        if second {
            std::thread::sleep(Duration::from_millis(200));
            signal(&e.child, "TERM");
            assert_eq!(ended(&mut e.child, Duration::from_secs(5)), Some(3));
        } else {
            let got = answer(&mut s);
            assert_eq!(
                got.parts[0].code,
                codes::NOT_ENOUGH_REPLICAS,
                "safe to repeat: handed back at the bound"
            );
            assert_eq!(ended(&mut e.child, Duration::from_secs(5)), Some(0));
            assert!(TcpStream::connect(e.kafka).is_err());
        }
        std::fs::remove_dir_all(dir).unwrap();
    }
}

#[test]
fn slow_and_silent_clients_harm_nobody() {
    let dir = folder("clients");
    let (_keep, at) = silent_endpoint();
    let e = edge(&dir, None);
    assert_eq!(http(e.control, "PUT", "/settings", &settings()).0, 200);
    assert_eq!(http(e.control, "PUT", "/list", &list(1, at)).0, 200);
    // One that sends half a request and waits, one that asks and never reads, one that talks nonsense.
    let mut half = TcpStream::connect(e.kafka).unwrap();
    half.write_all(&produce(1, "status")[..20]).unwrap();
    let mut deaf = TcpStream::connect(e.kafka).unwrap();
    deaf.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let ask = client::metadata(1, "t", 9, None).unwrap();
    let mut sent = 0;
    while sent < 64 << 20 && deaf.write_all(&ask.repeat(1000)).is_ok() {
        sent += ask.len() * 1000;
    }
    assert!(sent < 64 << 20, "it is not read without end");
    let mut nonsense = TcpStream::connect(e.kafka).unwrap();
    nonsense.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    nonsense.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(matches!(nonsense.read(&mut [0; 10]), Ok(0) | Err(_)), "closed");
    // The others are answered in their time.
    let begun = Instant::now();
    let mut s = TcpStream::connect(e.kafka).unwrap();
    s.write_all(&produce(1, "order")).unwrap();
    let got = answer(&mut s);
    assert!(matches!(got.parts[0].code, codes::UNKNOWN_SERVER_ERROR | codes::NOT_ENOUGH_REPLICAS));
    assert!(begun.elapsed() < Duration::from_secs(3));
    half.write_all(&produce(1, "status")[20..]).unwrap();
    assert_eq!(answer(&mut half).parts[0].code, codes::NOT_ENOUGH_REPLICAS);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn out_of_file_descriptors_it_goes_on_and_recovers() {
    let dir = folder("files");
    let (_keep, at) = silent_endpoint();
    let e = edge(&dir, Some(40));
    assert_eq!(http(e.control, "PUT", "/settings", &settings()).0, 200);
    assert_eq!(http(e.control, "PUT", "/list", &list(1, at)).0, 200);
    let crowd: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(e.kafka).unwrap()).collect();
    std::thread::sleep(Duration::from_millis(300));
    drop(crowd);
    // With room again, clients are taken and answered.
    let mut s = TcpStream::connect(e.kafka).unwrap();
    s.write_all(&produce(1, "order")).unwrap();
    assert!(matches!(answer(&mut s).parts[0].code, codes::UNKNOWN_SERVER_ERROR | codes::NOT_ENOUGH_REPLICAS));
    assert_eq!(http(e.control, "GET", "/status", "").0, 200);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_stack_comes_up_delivers_and_ends() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linnetcart-testbed"))
        .args(["up", "--seed", "3"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let said = ready_line(&mut child);
    let kafka: SocketAddr = said["kafka"].as_str().unwrap().parse().unwrap();
    let topic = said["topics"][0].as_str().unwrap().to_owned();
    assert!(said["destinations"].as_array().unwrap().len() > 3 && said["control"].is_string());
    let mut s = TcpStream::connect(kafka).unwrap();
    s.write_all(&produce(7, &topic)).unwrap();
    let got = answer(&mut s);
    assert_eq!((got.correlation, got.parts[0].code), (7, codes::NONE));
    drop(s);
    signal(&child, "TERM");
    assert_eq!(ended(&mut child, Duration::from_secs(10)), Some(0));
}
