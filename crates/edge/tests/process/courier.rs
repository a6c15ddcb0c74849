//! Runs the program in a temporary directory, writes its configuration and sends requests to it.

use linnetcart_fault_injection::FaultControl;
use linnetcart_net::Reserved;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How long [`wait_until`] sleeps between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of checks after which [`wait_until`] panics: 1500 * 20 ms = 30 s.
const MAX_CHECKS: usize = 1500;
/// How long [`CourierProcess::request`] waits for the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The platform counts the size of a file in whole blocks of this many bytes.
const BLOCK_BYTES: u64 = 512;
/// Seed that determines which calls fail when a fault is injected into only a fraction of them.
const FAULT_SEED: u64 = 1;
const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\n\r\n";

/// A courier process with its configuration, state and log in a temporary directory. Dropping it kills the
/// process and, unless the test failed, removes the directory.
pub struct CourierProcess {
    pub dir: PathBuf,
    pub listen: SocketAddr,
    pub child: Child,
    /// Controls which faults are injected into the process; none at first.
    pub faults: FaultControl,
    /// Whether the directory stays when the process is dropped.
    pub keeps_files: bool,
    _port: Reserved,
}

impl CourierProcess {
    /// Starts the program with one endpoint of destination 3. `name` must be unique among the tests, as it
    /// names the directory.
    pub fn new(name: &str, endpoint: SocketAddr, discovery: SocketAddr) -> CourierProcess {
        CourierProcess::with_config(name, |listen| platform_config(listen, &[endpoint], discovery))
    }

    /// Starts the program with the configuration that `config` returns for its listen address, and waits
    /// until it is ready.
    pub fn with_config(name: &str, config: impl FnOnce(SocketAddr) -> Value) -> CourierProcess {
        let dir = std::env::temp_dir().join(format!("linnetcart-platform-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(dir.join("state")).unwrap();
        // The operating system chooses a port, which stays reserved across restarts of the process.
        let port = Reserved::new(Ipv4Addr::LOCALHOST.into()).unwrap();
        let listen = port.addr();
        write_config_file(&dir, &config(listen));
        let faults = FaultControl::new(&dir.join("faults"), &dir.join("state"), FAULT_SEED).unwrap();
        let child = spawn_courier(&dir, &faults);
        let courier = CourierProcess { dir, listen, child, faults, keeps_files: false, _port: port };
        courier.wait_until_ready();
        courier
    }

    // ---- The process

    /// Starts the program again without waiting until it is ready.
    pub fn start(&mut self) {
        self.child = spawn_courier(&self.dir, &self.faults);
    }

    /// Starts the program again and waits until it is ready.
    pub fn restart(&mut self) {
        self.start();
        self.wait_until_ready();
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn kill_and_restart(&mut self) {
        self.kill();
        self.restart();
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Stops the process with SIGSTOP and returns once it is stopped. Everything sent to it from then until
    /// [`CourierProcess::resume`] is read in one iteration of its event loop.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
        wait_until("the process is stopped", || self.status_field("State:").starts_with('T'));
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Returns whether the process blocks SIGHUP, as it does once it reads signals through its event loop.
    pub fn blocks_sighup(&self) -> bool {
        let blocked = u64::from_str_radix(&self.status_field("SigBlk:"), 16).unwrap();
        blocked & 1 != 0
    }

    /// Returns the peak of the process's resident memory, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let kilobytes = self.status_field("VmHWM:");
        kilobytes.trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    fn status_field(&self, name: &str) -> String {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let value = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        value.trim().to_owned()
    }

    pub fn wait_until_ready(&self) {
        wait_until("the courier is ready", || self.request(READY_REQUEST) == Some(200));
    }

    /// Waits until the courier has processed everything that was sent to it before this call: it answers
    /// three requests one after another, each in a later iteration of its event loop.
    pub fn wait_until_input_processed(&self) {
        (0..3).for_each(|_| self.wait_until_ready());
    }

    // ---- Files of the process

    /// Returns how often this log message was written with these fields, by the current process and its
    /// predecessors.
    pub fn count_logged(&self, message: &str, fields: &[(&str, Value)]) -> usize {
        let log = fs::read_to_string(self.dir.join("log")).unwrap();
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let is_wanted = |line: &Value| {
            line["message"] == message && fields.iter().all(|(name, value)| line[*name] == *value)
        };
        lines.filter(is_wanted).count()
    }

    /// Returns a counter in the last statistics of the log.
    pub fn last_counter(&self, name: &str) -> usize {
        let log = fs::read_to_string(self.dir.join("log")).unwrap();
        let mut lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let statistics = lines.rfind(|line| line["message"] == "statistics").unwrap();
        let counters = statistics["counters"].as_str().unwrap();
        let (_, value) = counters.split_once(&format!("{name}: ")).unwrap();
        value.split(',').next().unwrap().parse().unwrap()
    }

    /// Returns the log lines whose field `id` is this message id, in order.
    pub fn log_lines_of(&self, id: &str) -> Vec<Value> {
        let log = fs::read_to_string(self.dir.join("log")).unwrap();
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["id"] == id).collect()
    }

    /// Returns the names of the files in the state directory.
    pub fn state_files(&self) -> Vec<OsString> {
        let entries = fs::read_dir(self.dir.join("state")).unwrap();
        entries.map(|entry| entry.unwrap().file_name()).collect()
    }

    /// Returns the total size of the files in the state directory in bytes, each rounded up to whole blocks.
    pub fn state_bytes(&self) -> u64 {
        let entries = fs::read_dir(self.dir.join("state")).unwrap();
        let sizes = entries.flatten().filter_map(|entry| entry.metadata().ok()).map(|file| file.len());
        sizes.map(|bytes| bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES).sum()
    }

    pub fn read_config(&self) -> Value {
        serde_json::from_str(&fs::read_to_string(self.dir.join("config.json")).unwrap()).unwrap()
    }

    /// Replaces the configuration atomically.
    pub fn write_config(&self, config: &Value) {
        write_config_file(&self.dir, config);
    }

    /// Overwrites the configuration in place with this text, which may be incomplete.
    pub fn overwrite_config(&self, text: &str) {
        fs::write(self.dir.join("config.json"), text).unwrap();
    }

    // ---- Requests

    /// Sends a request on a new connection. Returns the status of the response, or `None` if there is none
    /// within [`REQUEST_TIMEOUT`].
    pub fn request(&self, text: &str) -> Option<u16> {
        self.request_within(text, REQUEST_TIMEOUT)
    }

    /// Like [`CourierProcess::request`], but waits this long for the response.
    pub fn request_within(&self, text: &str, timeout: Duration) -> Option<u16> {
        let mut stream = TcpStream::connect(self.listen).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        let mut status_line = [0; 12];
        stream.read_exact(&mut status_line).ok()?;
        std::str::from_utf8(&status_line[9..]).ok()?.parse().ok()
    }

    /// Submits a message for destination 3 with 9 s to its deadline. Returns the status of the response, or
    /// 0 if there is none.
    pub fn submit(&self, class: &str, id: &str) -> u16 {
        let text = format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n"
        );
        self.request(&text).unwrap_or(0)
    }

    /// Submits messages, each with an id of its own, until one is accepted. Returns its id.
    pub fn wait_until_accepting(&self, class: &str, prefix: &str) -> String {
        for number in 0..MAX_CHECKS {
            let id = format!("{prefix}-{number}");
            if self.submit(class, &id) == 202 {
                return id;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        panic!("timed out after 30 s waiting until messages are accepted");
    }
}

impl Drop for CourierProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if self.keeps_files || std::thread::panicking() {
            eprintln!("the courier's configuration, state and log are kept in {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn spawn_courier(dir: &Path, faults: &FaultControl) -> Child {
    let log = File::options().create(true).append(true).open(dir.join("log")).unwrap();
    courier_command()
        .env("RELAY_CONFIG", dir.join("config.json"))
        .env("RELAY_STATE", dir.join("state"))
        .envs(faults.environment())
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

/// Environment variable with the path of another build of the program, to play a test to an earlier version.
const PROGRAM_VARIABLE: &str = "COURIER_PROGRAM";

/// Returns the command that runs the program with the platform's protocol, logging at the level in service.
pub fn courier_command() -> Command {
    let built = || env!("CARGO_BIN_EXE_linnetcart-edge").into();
    let mut command = Command::new(std::env::var_os(PROGRAM_VARIABLE).unwrap_or_else(built));
    command.arg("platform");
    command
}

fn write_config_file(dir: &Path, config: &Value) {
    let new_path = dir.join("config.new");
    fs::write(&new_path, config.to_string()).unwrap();
    fs::rename(new_path, dir.join("config.json")).unwrap();
}

/// Returns an entry of the endpoint list for an endpoint of destination 3.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "bank", "group": 3,
        "status": status, "weight": 50.0, "since_ms": 0})
}

/// Returns the configuration file's content, with these endpoints of destination 3 and three classes:
/// `status` is idempotent, `order` is not, and `change` has an idempotency key and is ordered by key.
pub fn platform_config(listen: SocketAddr, endpoints: &[SocketAddr], discovery: SocketAddr) -> Value {
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
            "bounds": {"max_open": 40, "max_attempts": 12, "may_cancel": true,
                "conn_idle_ns": 10_000_000_000u64, "connect_timeout_ns": 1_000_000_000},
            "contract": {"fall_multiple": 2.0, "fall_ns": 2_000_000_000, "cold_from": 0.5,
                "ramp_time_ns": 1_000_000_000}},
    })
}

/// Waits until `done` returns `true`, for 30 s at most. `what` names the condition in the panic message.
pub fn wait_until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..MAX_CHECKS {
        if done() {
            return;
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    panic!("timed out after 30 s waiting until {what}");
}

/// Returns a request that submits a message for destination 3 with 30 s to its deadline and these
/// additional header fields.
pub fn submission(class: &str, id: &str, fields: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nIdempotency-Key: t-{id}\r\nX-Remaining-Ms: 30000\r\n\
         X-Route-To: dest=3\r\n{fields}\r\n"
    )
}
