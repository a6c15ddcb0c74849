//! The real program on the platform's protocol, and stand-ins for discovery, endpoints and clients: [`stubs`]
//! serve by themselves, [`peer`] does nothing but what the test has it do.
#![allow(dead_code, reason = "each test file uses its own part")]

pub mod peer;
pub mod stubs;

use linnetcart_net::Reserved;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The program in a directory of its own.
pub struct CourierProcess {
    pub dir: PathBuf,
    pub listen: SocketAddr,
    pub child: Child,
    _port: Reserved,
}

impl CourierProcess {
    pub fn new(name: &str, endpoint: SocketAddr, discovery: SocketAddr) -> CourierProcess {
        CourierProcess::with(name, |listen| config_file(listen, &[endpoint], discovery))
    }

    /// Starts it on a configuration that is told where clients come.
    pub fn with(name: &str, config: impl FnOnce(SocketAddr) -> Value) -> CourierProcess {
        let dir = std::env::temp_dir().join(format!("linnetcart-platform-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(dir.join("state")).unwrap();
        // The system chooses a port, and gives it to nobody else.
        let port = Reserved::new(Ipv4Addr::LOCALHOST.into()).unwrap();
        let listen = port.addr();
        write_config(&dir, &config(listen));
        let child = start_courier(&dir);
        let courier = CourierProcess { dir, listen, child, _port: port };
        courier.wait_until_ready();
        courier
    }

    /// Everything that it was sent before this has been processed: each answer comes from an iteration of its
    /// own.
    pub fn settle(&self) {
        (0..3).for_each(|_| self.wait_until_ready());
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

    pub fn wait_until_ready(&self) {
        wait_until("it is ready", || self.request("GET /ready HTTP/1.1\r\n\r\n").is_some_and(|s| s == 200));
    }

    pub fn request(&self, text: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.listen).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        let mut line = [0; 12];
        stream.read_exact(&mut line).ok()?;
        std::str::from_utf8(&line[9..]).ok()?.parse().ok()
    }

    pub fn submit(&self, class: &str, id: &str) -> u16 {
        let text = format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n"
        );
        self.request(&text).unwrap_or(0)
    }

    pub fn kill_and_restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = start_courier(&self.dir);
        self.wait_until_ready();
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for CourierProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub fn configure(dir: &std::path::Path, listen: SocketAddr, endpoint: SocketAddr, discovery: SocketAddr) {
    write_config(dir, &config_file(listen, &[endpoint], discovery));
}

/// An entry of the list, for destination 3.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "bank", "group": 3,
        "status": status, "weight": 50.0, "since_ms": 0})
}

/// A configuration with these endpoints of destination 3.
pub fn config_file(listen: SocketAddr, endpoints: &[SocketAddr], discovery: SocketAddr) -> Value {
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

pub fn write_config(dir: &std::path::Path, config: &Value) {
    let aside = dir.join("config.new");
    std::fs::write(&aside, config.to_string()).unwrap();
    std::fs::rename(aside, dir.join("config.json")).unwrap();
}

pub fn start_courier(dir: &std::path::Path) -> Child {
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

pub fn wait_until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..1500 {
        if done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("half a minute, and not yet: {what}");
}

/// A request that submits a message for destination 3.
pub fn submission(class: &str, id: &str, fields: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nIdempotency-Key: t-{id}\r\nX-Remaining-Ms: 30000\r\n\
         X-Route-To: dest=3\r\n{fields}\r\n"
    )
}
