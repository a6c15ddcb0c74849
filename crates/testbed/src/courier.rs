//! A courier in a process of its own.

use anyhow::{anyhow, bail, Context};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A running courier; dropping it kills it.
#[derive(Debug)]
pub struct Courier {
    child: Child,
    /// Where it takes messages.
    pub kafka: SocketAddr,
    /// Where it takes settings.
    pub control: SocketAddr,
}

/// How a courier is started.
#[derive(Clone, Debug)]
pub struct Start<'a> {
    /// The program whose `edge` command is a courier.
    pub program: &'a Path,
    /// Its folder.
    pub dir: &'a Path,
    /// Its seed.
    pub seed: u64,
    /// Who decides: `library`, or a baseline.
    pub policy: &'a str,
    /// How long it works on after SIGTERM.
    pub drain: Duration,
}

impl Courier {
    /// Starts a process and waits until it listens.
    pub fn start(how: &Start) -> anyhow::Result<Courier> {
        Courier::start_pinned(how, None)
    }

    /// The same on one core.
    pub fn start_pinned(how: &Start, core: Option<usize>) -> anyhow::Result<Courier> {
        let mut command = Command::new(how.program);
        command
            .args(["edge", "--policy", how.policy, "--kafka", "127.0.0.1:0", "--control", "127.0.0.1:0"])
            .arg("--state-dir")
            .arg(how.dir)
            .args(["--seed", &how.seed.to_string(), "--drain-ms", &how.drain.as_millis().to_string()])
            .args(["--log", "plain"]);
        Courier::spawn(command, how.dir, core)
    }

    /// A relay to these endpoints, in a process of its own.
    pub fn start_relay(
        program: &Path,
        dir: &Path,
        endpoints: &[String],
        core: Option<usize>,
    ) -> anyhow::Result<Courier> {
        let mut command = Command::new(program);
        command.arg("relay").args(endpoints);
        Courier::spawn(command, dir, core)
    }

    fn spawn(mut command: Command, dir: &Path, core: Option<usize>) -> anyhow::Result<Courier> {
        std::fs::create_dir_all(dir)?;
        let log = File::options().create(true).append(true).open(dir.join("log"))?;
        if let Some(core) = core {
            command.env("LINNETCART_LAB_CORE", core.to_string());
        }
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .context("a courier could not be started")?;
        let out = child.stdout.take().ok_or_else(|| anyhow!("no standard output"))?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let said = serde_json::from_str::<Value>(&line);
        let addr = |name: &str| said.as_ref().ok()?.get(name)?.as_str()?.parse().ok();
        let (Some(kafka), Some(control)) = (addr("kafka"), addr("control")) else {
            let _ = child.kill();
            let _ = child.wait();
            let log = std::fs::read_to_string(dir.join("log")).unwrap_or_default();
            return Err(anyhow!("the courier did not come up; its log says: {}", log.trim()));
        };
        Ok(Courier { child, kafka, control })
    }

    /// Puts a document to its control interface.
    pub fn put(&self, path: &str, body: &Value) -> anyhow::Result<()> {
        match ask(self.control, "PUT", path, &body.to_string())? {
            (200, _) => Ok(()),
            (status, text) => bail!("PUT {path}: {status} {text}"),
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Stops it where it stands.
    pub fn stall(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to end.
    pub fn end(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until it has ended; its exit code.
    pub fn wait(&mut self, most: Duration) -> Option<i32> {
        let until = Instant::now() + most;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.code(),
                Ok(None) if Instant::now() < until => std::thread::sleep(Duration::from_millis(5)),
                _ => return None,
            }
        }
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Asks a control interface; status and body of its answer.
pub fn ask(at: SocketAddr, method: &str, path: &str, body: &str) -> anyhow::Result<(u16, String)> {
    let mut s = TcpStream::connect(at)?;
    s.set_read_timeout(Some(Duration::from_secs(10)))?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
    s.write_all(head.as_bytes())?;
    s.write_all(body.as_bytes())?;
    let mut text = String::new();
    s.read_to_string(&mut text)?;
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).context("an answer without a status")?;
    Ok((status, text.split_once("\r\n\r\n").map_or(String::new(), |t| t.1.to_owned())))
}
