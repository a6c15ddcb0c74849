//! A courier that is started from a shell, as an operator does, and an endpoint for it.

use super::control;
use linnetcart_fault_injection::FaultControl;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_linnetcart-testbed");
const COURIER_ARGUMENTS: &str =
    "edge --kafka 127.0.0.1:0 --control 127.0.0.1:0 --drain-ms 1500 --log json --state-dir";
/// Time between two checks whether a process has exited.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A courier process; dropping it kills it with SIGKILL.
pub struct Courier {
    pub child: Child,
    pub kafka: SocketAddr,
    pub control: SocketAddr,
}

impl Drop for Courier {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Courier {
    /// Starts a courier with the limit of file descriptors that the test process has.
    pub fn start(dir: &Path) -> Courier {
        Courier::start_by_shell(dir, "")
    }

    /// Starts a courier with this limit of file descriptors (`RLIMIT_NOFILE`).
    pub fn start_with_file_limit(dir: &Path, files: u32) -> Courier {
        Courier::start_by_shell(dir, &format!("ulimit -n {files}; "))
    }

    /// Starts a courier with this limit of memory, in megabytes.
    pub fn start_with_memory_limit(dir: &Path, megabytes: u64) -> Courier {
        Courier::start_command(limited_command(dir, megabytes))
    }

    /// Returns the peak of the process's resident memory, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let value = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        value.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    /// Starts a courier with this limit of memory, in megabytes, under the fault injection shim, which makes system calls
    /// fail as `faults` says.
    pub fn start_under(dir: &Path, faults: &FaultControl, megabytes: u64) -> Courier {
        let mut command = limited_command(dir, megabytes);
        command.envs(faults.environment());
        Courier::start_command(command)
    }

    fn start_by_shell(dir: &Path, preparation: &str) -> Courier {
        Courier::start_command(courier_command(dir, preparation))
    }

    fn start_command(mut command: Command) -> Courier {
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
        let ready = ready_line(&mut child);
        let address = |name: &str| ready[name].as_str().unwrap().parse().unwrap();
        Courier { kafka: address("kafka"), control: address("control"), child }
    }

    /// Gives the courier settings, and an endpoint list with one endpoint.
    pub fn configure(&self, endpoint: SocketAddr) {
        control::put(self.control, "/settings", &settings());
        control::put(self.control, "/list", &endpoint_list(1, endpoint));
    }

    /// Sends a document to the control interface with PUT and returns the status code of the reply.
    pub fn put_status(&self, path: &str, document: &Value) -> u16 {
        control::request(self.control, "PUT", path, &document.to_string()).status
    }

    /// The body of the control interface's reply to GET of a path, whatever the status.
    pub fn get(&self, path: &str) -> String {
        control::request(self.control, "GET", path, "").body
    }

    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.kafka).unwrap()
    }
}

/// The command of a courier. A shell runs `preparation` and is then replaced by the courier (`exec`).
fn courier_command(dir: &Path, preparation: &str) -> Command {
    let mut command = Command::new("sh");
    command.arg("-c").arg(format!("{preparation}exec {PROGRAM} {COURIER_ARGUMENTS} {}", dir.display()));
    command
}

/// The command of a courier with this limit of memory, in megabytes.
fn limited_command(dir: &Path, megabytes: u64) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(COURIER_ARGUMENTS.split(' ')).arg(dir);
    command.args(["--connections", "2000", "--memory-mb", &megabytes.to_string()]);
    command
}

/// Reads the line of JSON that a program prints when it is ready.
pub fn ready_line(child: &mut Child) -> Value {
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap()
}

pub fn settings() -> Value {
    json!({
        "deployment": "test", "courier": {"me": 0, "of": 1, "zone": "a"}, "zones": ["a"],
        "classes": [
            {"name": "status", "aim_ms": 1000, "deadline_ms": 5000, "worth": 1, "repeat": "safe"},
            {"name": "order", "aim_ms": 500, "deadline_ms": 1000, "worth": 1, "repeat": "unsafe"}],
        "kinds": [{"name": "k"}],
        "limits": {"slots": 8, "held": 100, "attempts": 4},
        "rules": {
            "answer_slack_ms": 50, "cold_share": 0.2, "warm_after_ms": 1000,
            "fall_multiple": 2.0, "fall_span_ms": 1000
        }
    })
}

pub fn endpoint_list(version: u64, endpoint: SocketAddr) -> Value {
    json!({"version": version, "whole": true, "entries": [{
        "id": 1, "destination": 0, "kind": "k", "zone": "a", "state": "ready", "address": endpoint.to_string()
    }]})
}

/// An endpoint that never answers: the kernel completes connections to the listener, but nothing accepts
/// them or reads from them.
pub struct SilentEndpoint {
    _listener: TcpListener,
    pub address: SocketAddr,
}

impl SilentEndpoint {
    pub fn listen() -> SilentEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        SilentEndpoint { _listener: listener, address }
    }
}

pub fn send_sigterm(child: &Child) {
    let status = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(status.success());
}

/// Waits until a process exits and returns its exit code, or `None` if a signal killed it. Panics after the
/// timeout.
pub fn exit_code(child: &mut Child, timeout: Duration) -> Option<i32> {
    let wait_until = Instant::now() + timeout;
    while Instant::now() < wait_until {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        std::thread::sleep(EXIT_POLL);
    }
    panic!("the process did not exit within {timeout:?}");
}
