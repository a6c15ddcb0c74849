//! The real program on the platform's protocol: killed, restarted, ended and configured anew, with stand-ins for
//! discovery and endpoints that keep records of what crossed the sockets.

use linnetcart_http::request;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

type Seen = Arc<Mutex<Vec<String>>>;

/// Answers each request by `reply`, which may hold its answer back; requests are in `seen` as id or body.
fn serve(reply: fn(&str) -> Option<&'static [u8]>) -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, seen) = (listener.local_addr().unwrap(), Seen::default());
    let all = Arc::clone(&seen);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = Arc::clone(&all);
            std::thread::spawn(move || answer(stream, reply, &seen));
        }
    });
    (at, seen)
}

fn answer(mut stream: TcpStream, reply: fn(&str) -> Option<&'static [u8]>, seen: &Seen) {
    let (mut held, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut chunk) {
        held.extend_from_slice(&chunk[..n]);
        while let Ok(Some(r)) = request(&held) {
            let id = r.field("x-txn").unwrap().map(|id| String::from_utf8_lossy(id).into_owned());
            let what = id.unwrap_or_else(|| String::from_utf8_lossy(r.body()).into_owned());
            let answer = reply(if r.method() == b"GET" { "watch" } else { &what });
            if r.method() != b"GET" {
                seen.lock().unwrap().push(what);
            }
            let length = r.length();
            held.drain(..length);
            if stream.write_all(answer.unwrap_or(b"")).is_err() {
                return;
            }
        }
    }
}

fn discovery() -> (SocketAddr, Seen) {
    serve(|what| match what {
        "watch" => Some(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"),
        _ => Some(b"HTTP/1.1 204 No Content\r\n\r\n"),
    })
}

/// Holds its answer back for ids that begin with `slow`.
fn endpoint() -> (SocketAddr, Seen) {
    serve(|id| (!id.starts_with("slow")).then_some(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
}

struct Rig {
    dir: PathBuf,
    listen: SocketAddr,
    child: Child,
}

impl Rig {
    fn new(name: &str, endpoint: SocketAddr, discovery: SocketAddr) -> Rig {
        let dir = std::env::temp_dir().join(format!("linnetcart-platform-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(dir.join("state")).unwrap();
        // The system chooses a port that was free just now.
        let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        configure(&dir, listen, endpoint, discovery);
        let child = start(&dir);
        let rig = Rig { dir, listen, child };
        rig.ready();
        rig
    }

    fn ready(&self) {
        until("it is ready", || self.ask("GET /ready HTTP/1.1\r\n\r\n").is_some_and(|s| s == 200));
    }

    fn ask(&self, text: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.listen).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        let mut line = [0; 12];
        stream.read_exact(&mut line).ok()?;
        std::str::from_utf8(&line[9..]).ok()?.parse().ok()
    }

    fn hand_in(&self, class: &str, id: &str) -> u16 {
        let text = format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n"
        );
        self.ask(&text).unwrap_or(0)
    }

    fn kill_and_start(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = start(&self.dir);
        self.ready();
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn configure(dir: &std::path::Path, listen: SocketAddr, endpoint: SocketAddr, discovery: SocketAddr) {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "idempotency": effect, "worth": 1, "slo_ns": 3_000_000_000u64,
            "hard_limit_ns": 10_000_000_000u64, "late_worth": 0.5})
    };
    let file = json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 1},
        "known": {"index": 1, "snapshot": true, "endpoints": [{"name": "s-1", "address": endpoint.to_string(),
            "zone": "a", "type": "bank", "group": 3, "status": "active", "weight": 50.0, "since_ms": 0}]},
        "settings": {"balancers": 1, "kinds": ["bank"], "zones": ["a"], "tick_ns": 5_000_000,
            "services": [class("status", "pure"), class("order", "side_effect")],
            "family_info": {"max_calls": 8, "kind_apart": [false]}, "weight_source": "nominal",
            "bounds": {"max_open": 40, "max_attempts": 12, "may_cancel": true, "conn_idle_ns": 10_000_000_000u64,
                "connect_timeout_ns": 1_000_000_000},
            "contract": {"fall_multiple": 2.0, "fall_ns": 2_000_000_000, "cold_from": 0.5,
                "ramp_time_ns": 1_000_000_000}},
    });
    let aside = dir.join("config.new");
    std::fs::write(&aside, file.to_string()).unwrap();
    std::fs::rename(aside, dir.join("config.json")).unwrap();
}

fn start(dir: &std::path::Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_linnetcart-edge"))
        .arg("platform")
        .env("RELAY_CONFIG", dir.join("config.json"))
        .env("RELAY_STATE", dir.join("state"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..1500 {
        if done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("half a minute, and not yet: {what}");
}

fn count(seen: &Seen, what: &str) -> usize {
    seen.lock().unwrap().iter().filter(|s| s.contains(what)).count()
}

#[test]
fn killed_with_calls_out_it_owes_all_and_repeats_nothing_unsafe() {
    let ((endpoint, calls), (discovery, notices)) = (endpoint(), discovery());
    let mut rig = Rig::new("kill", endpoint, discovery);
    assert_eq!(rig.hand_in("order", "slow-order"), 202);
    assert_eq!(rig.hand_in("status", "slow-status"), 202);
    assert_eq!(rig.hand_in("order", "quick-order"), 202);
    until("all are out", || calls.lock().unwrap().len() == 3);
    rig.kill_and_start();
    until("the unsafe one is ended", || count(&notices, "slow-order") > 0);
    assert!(count(&notices, r#""slow-order","state":"failed""#) > 0);
    until("the safe one goes again", || count(&calls, "slow-status") > 1);
    assert_eq!(count(&calls, "slow-order"), 1);
    // Twice more: what is over stays over.
    rig.kill_and_start();
    rig.kill_and_start();
    until("the safe one goes again", || count(&calls, "slow-status") > 2);
    assert_eq!((count(&calls, "slow-order"), count(&calls, "quick-order")), (1, 1));
    assert_eq!((count(&notices, "slow-order"), count(&notices, "quick-order")), (1, 0));
    assert_eq!(rig.hand_in("status", "slow-status"), 202, "and its id is still known");
}

#[test]
fn sigterm_ends_it_with_its_calls_answered_and_sighup_moves_discovery() {
    let ((endpoint, calls), (first, before)) = (endpoint(), discovery());
    let (second, after) = discovery();
    let mut rig = Rig::new("signals", endpoint, first);
    std::fs::write(rig.dir.join("config.json"), "{\"name\":").unwrap();
    rig.signal(Signal::HUP);
    assert_eq!(rig.hand_in("order", "a"), 202, "half a file changes nothing");
    configure(&rig.dir, rig.listen, endpoint, second);
    rig.signal(Signal::HUP);
    assert_eq!(rig.hand_in("order", "slow-b"), 202);
    until("it is out", || count(&calls, "slow-b") == 1);
    rig.signal(Signal::TERM);
    assert_eq!(rig.hand_in("order", "c"), 202, "it goes on answering");
    until("it ends by itself", || TcpStream::connect(rig.listen).is_err());
    assert!(rig.child.wait().unwrap().success());
    assert_eq!(count(&calls, "c"), 1);
    rig.child = start(&rig.dir);
    rig.ready();
    until("the notice goes to the new address", || count(&after, "slow-b") == 1);
    assert_eq!((count(&before, "slow-b"), count(&calls, "slow-b")), (0, 1));
}

#[test]
fn a_damaged_journal_costs_what_is_damaged_and_no_more() {
    let ((endpoint, calls), (discovery, notices)) = (endpoint(), discovery());
    let mut rig = Rig::new("damage", endpoint, discovery);
    assert_eq!(rig.hand_in("order", "slow-first"), 202);
    assert_eq!(rig.hand_in("order", "slow-second"), 202);
    until("both are out", || calls.lock().unwrap().len() == 2);
    rig.child.kill().unwrap();
    rig.child.wait().unwrap();
    for entry in std::fs::read_dir(rig.dir.join("state")).unwrap() {
        let path = entry.unwrap().path();
        let mut bytes = std::fs::read(&path).unwrap();
        let at = bytes.windows(10).position(|w| w == b"slow-first").expect("its record");
        bytes[at] ^= 1;
        bytes.extend(b"the start of a write that its process did not live to finish");
        std::fs::write(&path, bytes).unwrap();
    }
    rig.child = start(&rig.dir);
    rig.ready();
    until("the second is answered for", || count(&notices, "slow-second") > 0);
    assert_eq!((calls.lock().unwrap().len(), count(&notices, "first")), (2, 0));
    // A folder that cannot be written: an error that names it, and nothing is taken on.
    rig.child.kill().unwrap();
    rig.child.wait().unwrap();
    std::fs::remove_dir_all(rig.dir.join("state")).unwrap();
    std::fs::write(rig.dir.join("state"), "in the way").unwrap();
    rig.child = start(&rig.dir);
    assert_eq!(rig.child.wait().unwrap().code(), Some(1));
}

#[test]
fn a_start_that_cannot_be_names_the_place() {
    let run = |config: &str, state: &str| {
        let out = Command::new(env!("CARGO_BIN_EXE_linnetcart-edge"))
            .arg("platform")
            .env("RELAY_CONFIG", config)
            .env("RELAY_STATE", state)
            .output()
            .unwrap();
        assert_eq!(out.status.code(), Some(1));
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    assert!(run("", "/").contains("RELAY_CONFIG is not set"));
    assert!(run("/nowhere/config.json", "/").contains("/nowhere/config.json cannot be read"));
}
