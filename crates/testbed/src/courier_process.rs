//! Starts, signals and stops a courier or relay that runs as a child process.

use anyhow::{anyhow, bail, Context};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The environment variable with the number of the CPU core that a child process pins itself to, by its CPU
/// affinity mask.
pub const CORE_VARIABLE: &str = "LINNETCART_TESTBED_CORE";
/// Read timeout of a connection to a control interface.
const HTTP_READ_TIMEOUT: Duration = Duration::from_secs(10);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
const STATUS_OK: u16 = 200;

/// A child process that is a courier or a relay. Dropping it kills the process with SIGKILL and reaps it.
#[derive(Debug)]
pub struct CourierProcess {
    child: Child,
    /// The address on which the process accepts messages, over the Kafka protocol.
    pub kafka: SocketAddr,
    /// The address of the courier's HTTP control interface; for a relay, which has none, its Kafka address.
    pub control: SocketAddr,
}

/// How a courier is started.
#[derive(Clone, Debug)]
pub struct CourierOptions<'a> {
    /// The program whose `edge` command runs a courier.
    pub program: &'a Path,
    /// The folder for the courier's state and log.
    pub dir: &'a Path,
    /// The seed of the random numbers in the courier's decisions.
    pub seed: u64,
    /// The name of the courier's decision policy: `library` for the decision library, the name of a baseline
    /// policy, or [`POLICY_PREFIX`](crate::decision_record::POLICY_PREFIX) and a folder for decision records.
    pub policy: &'a str,
    /// How long the courier continues to deliver the messages in flight after SIGTERM, before it exits.
    pub drain_timeout: Duration,
}

/// The line of JSON that a courier or relay prints on its standard output once it listens.
struct ReadyLine {
    kafka: SocketAddr,
    control: SocketAddr,
}

impl ReadyLine {
    /// Parses the line; `None` if it is not JSON or lacks a valid address.
    fn parse(line: &str) -> Option<ReadyLine> {
        let document: Value = serde_json::from_str(line).ok()?;
        let address = |name: &str| document.get(name)?.as_str()?.parse().ok();
        Some(ReadyLine { kafka: address("kafka")?, control: address("control")? })
    }
}

impl CourierProcess {
    /// Starts a courier and waits for its ready line.
    ///
    /// # Errors
    /// Fails if the process cannot be started, or ends or prints something else instead of a ready line.
    pub fn start(options: &CourierOptions) -> anyhow::Result<CourierProcess> {
        CourierProcess::spawn(options.command(), options.dir)
    }

    /// Starts a courier that is pinned to one CPU core, and waits for its ready line.
    ///
    /// # Errors
    /// As [`CourierProcess::start`].
    pub fn start_pinned(options: &CourierOptions, core: usize) -> anyhow::Result<CourierProcess> {
        let mut command = options.command();
        command.env(CORE_VARIABLE, core.to_string());
        CourierProcess::spawn(command, options.dir)
    }

    /// Starts a relay to these endpoints that is pinned to one CPU core, and waits for its ready line. The
    /// relay's log is in `dir`.
    ///
    /// # Errors
    /// As [`CourierProcess::start`].
    pub fn start_relay_pinned(
        program: &Path,
        dir: &Path,
        endpoints: &[String],
        core: usize,
    ) -> anyhow::Result<CourierProcess> {
        let mut command = Command::new(program);
        command.arg("relay").args(endpoints).env(CORE_VARIABLE, core.to_string());
        CourierProcess::spawn(command, dir)
    }

    /// Starts the process with its standard error appended to the file `log` in the folder, and waits for its
    /// ready line.
    fn spawn(mut command: Command, dir: &Path) -> anyhow::Result<CourierProcess> {
        std::fs::create_dir_all(dir)?;
        let log_path = dir.join("log");
        let log = File::options().create(true).append(true).open(&log_path)?;
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn().context("cannot start the process of a courier or relay")?;
        let stdout =
            child.stdout.take().ok_or_else(|| anyhow!("the child process has no standard output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let Some(ReadyLine { kafka, control }) = ReadyLine::parse(&line) else {
            let _ = child.kill();
            let _ = child.wait();
            let log = std::fs::read_to_string(&log_path).unwrap_or_default();
            bail!("the process ended or printed no valid ready line; its log: {}", log.trim());
        };
        Ok(CourierProcess { child, kafka, control })
    }

    /// Sends a JSON document to the control interface with an HTTP PUT.
    ///
    /// # Errors
    /// Fails if there is no reply or its status is not 200.
    pub fn put(&self, path: &str, body: &Value) -> anyhow::Result<()> {
        let reply = http_request(self.control, "PUT", path, &body.to_string())?;
        if reply.status != STATUS_OK {
            bail!("PUT {path}: {} {}", reply.status, reply.body);
        }
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Suspends the process with SIGSTOP.
    pub fn stall(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Begins the graceful shutdown of a courier with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process exits and returns its exit code. Returns `None` if it is still running after
    /// the timeout or was killed by a signal.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let wait_until = Instant::now() + timeout;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.code(),
                Ok(None) if Instant::now() < wait_until => std::thread::sleep(EXIT_POLL_INTERVAL),
                _ => return None,
            }
        }
    }
}

impl CourierOptions<'_> {
    fn command(&self) -> Command {
        let seed = self.seed.to_string();
        let drain_ms = self.drain_timeout.as_millis().to_string();
        let mut command = Command::new(self.program);
        command
            .args(["edge", "--policy", self.policy, "--kafka", "127.0.0.1:0", "--control", "127.0.0.1:0"])
            .arg("--state-dir")
            .arg(self.dir)
            .args(["--seed", &seed, "--drain-ms", &drain_ms])
            .args(["--log", "plain"]);
        command
    }
}

impl Drop for CourierProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An HTTP reply of a control interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Sends an HTTP request to a control interface on a new connection and reads the reply until the connection
/// is closed.
///
/// # Errors
/// Fails if the connection fails, nothing arrives for ten seconds, or the reply has no status code.
pub fn http_request(address: SocketAddr, method: &str, path: &str, body: &str) -> anyhow::Result<HttpReply> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(HTTP_READ_TIMEOUT))?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status_field = text.split(' ').nth(1);
    let status =
        status_field.and_then(|status| status.parse().ok()).context("HTTP reply without a status code")?;
    let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default();
    Ok(HttpReply { status, body })
}
