//! Discovery answers notifications slowly, with errors or not at all: each owed notification leaves, whatever becomes
//! of the answers to earlier ones.

use crate::courier::{platform_config, submission, wait_until, CourierProcess};
use crate::peer::GatedListener;
use linnetcart_http::parse_request;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ACKNOWLEDGED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// More than the notifications of one batch of an earlier version.
const OWED: usize = 200;
const MANY_OWED: usize = 2000;
/// When the messages of a burst reach their deadline, from the start of their submission.
const DEADLINE_AFTER: Duration = Duration::from_millis(2500);
/// No more connections than the courier reserves file descriptors for are open at once.
const MAX_CONNECTIONS: usize = 8;

/// What discovery does with a batch of notifications once it has read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Answers each batch after this many milliseconds.
    Slow(u64),
    /// Answers no batch before notifications of all messages have arrived.
    SilentUntilAllArrived,
    /// Answers each batch with this until notifications of all messages have arrived.
    InvalidUntilAllArrived(&'static str),
    /// Closes the connection of each batch without an answer until notifications of all messages have arrived.
    ClosesUntilAllArrived,
}

/// Discovery's stand-in, which reads every notification at once.
struct Agent {
    mode: Mutex<Mode>,
    /// Number of messages of which notifications are owed.
    owed: usize,
    arrived: Mutex<BTreeSet<String>>,
    connections: AtomicUsize,
    most_connections: AtomicUsize,
}

impl Agent {
    fn start(mode: Mode, owed: usize, listener: TcpListener) -> Arc<Agent> {
        let agent = Arc::new(Agent {
            mode: Mutex::new(mode),
            owed,
            arrived: Mutex::default(),
            connections: AtomicUsize::new(0),
            most_connections: AtomicUsize::new(0),
        });
        let serving = Arc::clone(&agent);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = Arc::clone(&serving);
                std::thread::spawn(move || {
                    let open = agent.connections.fetch_add(1, Ordering::Relaxed) + 1;
                    agent.most_connections.fetch_max(open, Ordering::Relaxed);
                    agent.serve(stream);
                    agent.connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        agent
    }

    fn has_all(&self) -> bool {
        self.arrived.lock().unwrap().len() >= self.owed
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut received = Vec::new();
        let mut chunk = [0; 65536];
        while let Ok(length @ 1..) = stream.read(&mut chunk) {
            received.extend_from_slice(&chunk[..length]);
            let Ok(Some(request)) = parse_request(&received) else { continue };
            if request.method() == b"GET" {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                received.clear();
                continue;
            }
            let ids = ids_of(request.body());
            self.arrived.lock().unwrap().extend(ids);
            if self.answer(&mut stream).is_err() {
                return;
            }
            received.clear();
        }
    }

    /// Answers a batch. An error ends the connection.
    fn answer(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let mode = *self.mode.lock().unwrap();
        match mode {
            Mode::Slow(milliseconds) => std::thread::sleep(Duration::from_millis(milliseconds)),
            Mode::SilentUntilAllArrived => {
                while !self.has_all() && !is_closed(stream) {
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            Mode::InvalidUntilAllArrived(answer) if !self.has_all() => {
                return stream.write_all(answer.as_bytes())
            }
            Mode::ClosesUntilAllArrived if !self.has_all() => {
                return Err(std::io::ErrorKind::ConnectionReset.into())
            }
            Mode::InvalidUntilAllArrived(_) | Mode::ClosesUntilAllArrived => {}
        }
        stream.write_all(ACKNOWLEDGED.as_bytes())
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let closed = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).unwrap();
    closed
}

fn ids_of(body: &[u8]) -> Vec<String> {
    let lines = std::str::from_utf8(body).unwrap().lines();
    lines
        .map(|line| serde_json::from_str::<Value>(line).unwrap()["id"].as_str().unwrap().to_owned())
        .collect()
}

/// Starts a courier that can hold `owed` messages, with one endpoint.
fn courier(name: &str, endpoint: SocketAddr, discovery: SocketAddr, owed: usize) -> CourierProcess {
    CourierProcess::with_config(name, |listen| {
        let mut config = platform_config(listen, &[endpoint], discovery);
        config["settings"]["bounds"]["max_open"] = (2 * owed).into();
        config["limits"]["disk_mb"] = 32.into();
        config
    })
}

/// Submits `count` messages that reach their deadline together and are not delivered. `key` returns the ordering key
/// of a message.
fn submit_burst(courier: &CourierProcess, count: usize, key: impl Fn(usize) -> Option<usize>) {
    let deadline = Instant::now() + DEADLINE_AFTER;
    let mut accepted = 0;
    for number in 0..count {
        let fields = key(number).map(|key| format!("Cookie: subject=k{key}\r\n")).unwrap_or_default();
        let class = if fields.is_empty() { "order" } else { "change" };
        let remaining = deadline.saturating_duration_since(Instant::now()).as_millis();
        let request = submission(class, &format!("m{number}."), &fields);
        let request = request.replace("-Ms: 30000", &format!("-Ms: {remaining}"));
        accepted += usize::from(courier.request(&request) == Some(202));
    }
    assert_eq!(accepted, count, "all messages are accepted");
}

/// Lets `owed` messages fail while discovery is in this mode, and waits until all their notifications have arrived and
/// are acknowledged.
fn check_owed_notifications_arrive(name: &str, mode: Mode, owed: usize) {
    let endpoint = GatedListener::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let agent = Agent::start(mode, owed, listener);
    let courier = courier(name, endpoint.address, address, owed);
    submit_burst(&courier, owed, |_| None);
    wait_until("all notifications arrive", || agent.has_all());
    wait_until("all are acknowledged", || courier.count_logged("notification acknowledged", &[]) == owed);
    let most = agent.most_connections.load(Ordering::Relaxed);
    // The watch has a connection as well, and a closed one may not be noticed yet.
    assert!(most <= 2 * (MAX_CONNECTIONS + 1), "{most} connections at once");
}

#[test]
fn owed_notifications_arrive_while_discovery_is_silent() {
    check_owed_notifications_arrive("owed-silent", Mode::SilentUntilAllArrived, OWED);
}

#[test]
fn many_owed_notifications_arrive_while_discovery_is_silent() {
    check_owed_notifications_arrive("owed-many", Mode::SilentUntilAllArrived, MANY_OWED);
}

#[test]
fn owed_notifications_arrive_and_are_acknowledged_however_slow_discovery_is() {
    for milliseconds in [0, 150, 250, 400, 1000] {
        check_owed_notifications_arrive(&format!("owed-{milliseconds}"), Mode::Slow(milliseconds), OWED);
    }
}

#[test]
fn owed_notifications_arrive_while_discovery_answers_with_errors() {
    for (name, answer) in [
        ("503", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        ("garbage", "\u{1}\u{2}garbage\r\n\r\n"),
        ("endless", "HTTP/1.1 200 OK\r\n\r\nendless"),
    ] {
        check_owed_notifications_arrive(&format!("owed-{name}"), Mode::InvalidUntilAllArrived(answer), OWED);
    }
}

#[test]
fn owed_notifications_arrive_while_discovery_closes_connections() {
    check_owed_notifications_arrive("owed-closes", Mode::ClosesUntilAllArrived, OWED);
}

/// Discovery's queue of connections is full while the notifications fall due, then it is emptied.
#[test]
fn owed_notifications_arrive_once_discovery_accepts_connections() {
    let endpoint = GatedListener::new();
    let mut crowded = GatedListener::not_accepting();
    let courier = courier("owed-crowded", endpoint.address, crowded.address, OWED);
    submit_burst(&courier, OWED, |_| None);
    wait_until("all messages have ended", || courier.count_logged("message completed", &[]) == OWED);
    crowded.open();
    let agent = Agent::start(Mode::Slow(250), OWED, crowded.into_listener());
    wait_until("all notifications arrive", || agent.has_all());
    wait_until("all are acknowledged", || courier.count_logged("notification acknowledged", &[]) == OWED);
}

/// Messages of ordering keys whose predecessors failed are delivered once their endpoint answers again.
#[test]
fn courier_recovers_from_burst_of_owed_notifications_behind_slow_discovery() {
    const KEYS: usize = 20;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let agent = Agent::start(Mode::Slow(250), OWED, listener);
    let endpoint = GatedListener::new();
    let courier = courier("owed-keys", endpoint.address, address, OWED);
    submit_burst(&courier, OWED, |number| Some(number % KEYS));
    wait_until("all notifications arrive", || agent.has_all());
    for key in 0..KEYS {
        let cookie = format!("Cookie: subject=k{key}\r\n");
        let fresh = submission("change", &format!("fresh{key}."), &cookie);
        assert_eq!(courier.request(&fresh), Some(202), "key {key}");
    }
    let server = std::thread::spawn(move || serve_fresh(&endpoint, KEYS));
    wait_until("the fresh messages are delivered", || {
        courier.count_logged("message completed", &[("outcome", "Delivered".into())]) == KEYS
    });
    server.join().unwrap();
}

/// Serves every request until this many messages whose id begins with `fresh` were served.
fn serve_fresh(endpoint: &GatedListener, count: usize) {
    let mut peers = Vec::new();
    let mut served = BTreeSet::new();
    while served.len() < count {
        if !endpoint.is_silent_for(5) {
            peers.push(endpoint.accept());
        }
        for peer in &mut peers {
            if peer.has_ended() || !peer.has_input() || !peer.wait_for_request() {
                continue;
            }
            let id = peer.read_request();
            peer.send_if_open(crate::stubs::SERVED);
            if id.starts_with("fresh") {
                served.insert(id);
            }
        }
        peers.retain(|peer| !peer.has_ended());
    }
}
