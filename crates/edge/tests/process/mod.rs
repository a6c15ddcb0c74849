//! The real program on the platform's protocol, and stand-ins for discovery, endpoints and clients. Stand-ins
//! that serve by themselves keep records of what crossed the sockets; [`Gate`] does nothing but what the test
//! has it do, so that the order of events is the test's.
#![allow(dead_code, reason = "each test file uses its own part")]

use linnetcart_http::{parse_request, parse_response as answer_head, ParsedResponse};
use linnetcart_net::Reserved;
use rustix::event::{poll, PollFd, PollFlags};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub type Seen = Arc<Mutex<Vec<String>>>;

/// Answers each request by `reply`, which may hold its answer back; requests are in `seen` as id or body.
pub fn serve(reply: fn(&str) -> Option<&'static [u8]>) -> (SocketAddr, Seen) {
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
        while let Ok(Some(r)) = parse_request(&held) {
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

pub fn discovery() -> (SocketAddr, Seen) {
    serve(|what| match what {
        "watch" => Some(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"),
        _ => Some(b"HTTP/1.1 204 No Content\r\n\r\n"),
    })
}

/// Holds its answer back for ids that begin with `slow`.
pub fn endpoint() -> (SocketAddr, Seen) {
    serve(|id| (!id.starts_with("slow")).then_some(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
}

pub struct Rig {
    pub dir: PathBuf,
    pub listen: SocketAddr,
    pub child: Child,
    _port: Reserved,
}

impl Rig {
    pub fn new(name: &str, endpoint: SocketAddr, discovery: SocketAddr) -> Rig {
        Rig::with(name, |listen| file(listen, &[endpoint], discovery))
    }

    /// Starts it on a configuration that is told where clients come.
    pub fn with(name: &str, config: impl FnOnce(SocketAddr) -> Value) -> Rig {
        let dir = std::env::temp_dir().join(format!("linnetcart-platform-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(dir.join("state")).unwrap();
        // The system chooses a port, and gives it to nobody else.
        let port = Reserved::new(Ipv4Addr::LOCALHOST.into()).unwrap();
        let listen = port.addr();
        write(&dir, &config(listen));
        let child = start(&dir);
        let rig = Rig { dir, listen, child, _port: port };
        rig.ready();
        rig
    }

    /// Everything that it was sent before this has had its turn: each answer comes from a turn of its own.
    pub fn settle(&self) {
        (0..3).for_each(|_| self.ready());
    }

    /// How often it has logged this message with these fields, in this life and those before.
    pub fn logged(&self, message: &str, fields: &[(&str, Value)]) -> usize {
        let log = std::fs::read_to_string(self.dir.join("log")).unwrap();
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let is_wanted = |line: &Value| {
            line["message"] == message && fields.iter().all(|(name, value)| line[*name] == *value)
        };
        lines.filter(is_wanted).count()
    }

    pub fn ready(&self) {
        until("it is ready", || self.ask("GET /ready HTTP/1.1\r\n\r\n").is_some_and(|s| s == 200));
    }

    pub fn ask(&self, text: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.listen).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        let mut line = [0; 12];
        stream.read_exact(&mut line).ok()?;
        std::str::from_utf8(&line[9..]).ok()?.parse().ok()
    }

    pub fn hand_in(&self, class: &str, id: &str) -> u16 {
        let text = format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n"
        );
        self.ask(&text).unwrap_or(0)
    }

    pub fn kill_and_start(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = start(&self.dir);
        self.ready();
    }

    pub fn signal(&self, signal: Signal) {
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

pub fn configure(dir: &std::path::Path, listen: SocketAddr, endpoint: SocketAddr, discovery: SocketAddr) {
    write(dir, &file(listen, &[endpoint], discovery));
}

/// An entry of the list, for destination 3.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "bank", "group": 3,
        "status": status, "weight": 50.0, "since_ms": 0})
}

/// A configuration with these endpoints of destination 3.
pub fn file(listen: SocketAddr, endpoints: &[SocketAddr], discovery: SocketAddr) -> Value {
    let class = |name: &str, effect: &str, ordered: bool| {
        json!({"name": name, "idempotency": effect, "worth": 1, "slo_ns": 3_000_000_000u64, "late_worth": 0.5,
            "hard_limit_ns": 30_000_000_000u64, "key_ttl_ns": 60_000_000_000u64, "group": "all",
            "fifo_by_key": ordered})
    };
    let entries = endpoints.iter().zip(1..).map(|(&at, n)| entry(&format!("s-{n}"), at, "active"));
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 1},
        "known": {"index": 1, "snapshot": true, "endpoints": entries.collect::<Vec<_>>()},
        "settings": {"balancers": 1, "kinds": ["bank"], "zones": ["a"], "tick_ns": 5_000_000,
            "services": [class("status", "pure", false), class("order", "side_effect", false),
                class("change", "token", true)],
            "family_info": {"max_calls": 8, "kind_apart": [false]}, "weight_source": "nominal",
            "bounds": {"max_open": 40, "max_attempts": 12, "may_cancel": true, "conn_idle_ns": 10_000_000_000u64,
                "connect_timeout_ns": 1_000_000_000},
            "contract": {"fall_multiple": 2.0, "fall_ns": 2_000_000_000, "cold_from": 0.5,
                "ramp_time_ns": 1_000_000_000}},
    })
}

pub fn write(dir: &std::path::Path, config: &Value) {
    let aside = dir.join("config.new");
    std::fs::write(&aside, config.to_string()).unwrap();
    std::fs::rename(aside, dir.join("config.json")).unwrap();
}

pub fn start(dir: &std::path::Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(dir.join("log")).unwrap();
    Command::new(env!("CARGO_BIN_EXE_linnetcart-edge"))
        .arg("platform")
        .env("RELAY_CONFIG", dir.join("config.json"))
        .env("RELAY_STATE", dir.join("state"))
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

pub fn until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..1500 {
        if done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("half a minute, and not yet: {what}");
}

pub fn count(seen: &Seen, what: &str) -> usize {
    seen.lock().unwrap().iter().filter(|s| s.contains(what)).count()
}

/// A listener that takes a connection when the test says so.
pub struct Gate {
    listener: TcpListener,
    pub at: SocketAddr,
    /// Fills the queue of a late one.
    filler: Option<TcpStream>,
}

impl Gate {
    pub fn new() -> Gate {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Gate { at: listener.local_addr().unwrap(), listener, filler: None }
    }

    /// Connections to it do not come up before [`Gate::open`]; the system tries again for them after 1, 3, 7 s.
    pub fn late() -> Gate {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().unwrap();
        Gate { filler: Some(TcpStream::connect(at).unwrap()), listener, at }
    }

    pub fn open(&mut self) {
        drop((self.listener.accept().unwrap(), self.filler.take()));
    }

    /// Whether nobody waits to be taken.
    pub fn is_still(&self) -> bool {
        self.is_still_for(0)
    }

    /// The same, and for so many milliseconds somebody may come.
    pub fn is_still_for(&self, ms: u64) -> bool {
        let mut fds = [PollFd::new(&self.listener, PollFlags::IN)];
        let span = rustix::time::Timespec { tv_sec: 0, tv_nsec: ms as i64 * 1_000_000 };
        poll(&mut fds, Some(&span)).unwrap() == 0
    }

    pub fn take(&self) -> Wire {
        Wire::new(self.listener.accept().unwrap().0)
    }
}

/// A connection in the test's hand.
pub struct Wire {
    stream: TcpStream,
    held: Vec<u8>,
}

impl Wire {
    pub fn to(at: SocketAddr) -> Wire {
        Wire::new(TcpStream::connect(at).unwrap())
    }

    fn new(stream: TcpStream) -> Wire {
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream.set_nodelay(true).unwrap();
        Wire { stream, held: vec![] }
    }

    pub fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }

    fn more(&mut self) -> bool {
        let mut chunk = [0; 4096];
        let n = self.stream.read(&mut chunk).expect("half a minute, and no byte");
        self.held.extend_from_slice(&chunk[..n]);
        n > 0
    }

    /// The next request: its id, or its body where it has none.
    pub fn request(&mut self) -> String {
        assert!(self.has_request(), "it ended in place of a request");
        let r = parse_request(&self.held).unwrap().unwrap();
        let id = r.field("x-txn").unwrap().unwrap_or(r.body());
        let (what, length) = (String::from_utf8_lossy(id).into_owned(), r.length());
        self.held.drain(..length);
        what
    }

    /// The status of the next answer, and whether the connection is to end with it; 0 if it ended without one.
    pub fn answer(&mut self) -> (u16, bool) {
        loop {
            if let ParsedResponse::Head(head) = answer_head(&self.held) {
                self.held.drain(..head.length + head.body.unwrap_or(0));
                return (head.status, head.last);
            }
            if !self.more() {
                return (0, true);
            }
        }
    }

    /// Whether nothing has come on it; its end is nothing.
    pub fn is_still(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let still = self.held.is_empty() && !matches!(self.stream.peek(&mut [0]), Ok(1..));
        self.stream.set_nonblocking(false).unwrap();
        still
    }

    /// Whether bytes or the end have come.
    pub fn is_ready(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let ready = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_nonblocking(false).unwrap();
        ready
    }

    /// Whether a request is there or comes before the end.
    pub fn has_request(&mut self) -> bool {
        while parse_request(&self.held).unwrap().is_none() {
            if !self.more() {
                return false;
            }
        }
        true
    }

    /// Reads until the other side ends it.
    pub fn ends(&mut self) {
        while self.more() {}
    }

    pub fn half_close(&mut self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }
}

/// A message handed in for destination 3.
pub fn message(class: &str, id: &str, fields: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nIdempotency-Key: t-{id}\r\nX-Remaining-Ms: 30000\r\n\
         X-Route-To: dest=3\r\n{fields}\r\n"
    )
}

pub const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
