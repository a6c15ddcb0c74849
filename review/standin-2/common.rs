//! Stand-ins for the clients, the endpoints and the platform of a courier, and the courier as a child process.
//! Everything is on loopback addresses and in real time; nothing but the standard library is used.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Times in the record are milliseconds since this instant.
pub struct Recorder {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Recorder {
    pub fn new() -> Arc<Recorder> {
        Arc::new(Recorder { started: Instant::now(), lines: Mutex::new(vec![]) })
    }

    pub fn ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:10.1} {}", self.ms(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().unwrap();
        std::fs::write(path, lines.join("\n") + "\n").unwrap();
    }
}

/// A small generator of pseudo-random numbers.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }

    pub fn hex(&mut self, digits: usize) -> String {
        (0..digits).map(|_| char::from_digit(self.below(16) as u32, 16).unwrap()).collect()
    }
}

/// A head, read up to its empty line, and the body that its Content-Length states.
pub struct HttpMessage {
    pub first_line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |value| value)
    }
}

/// Reads messages from one side of a connection.
pub struct HttpReader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpReader {
    pub fn new(stream: TcpStream) -> HttpReader {
        HttpReader { stream, buffer: vec![] }
    }

    /// Returns the next message, or `None` at the end of the connection, an error or the read timeout.
    pub fn next(&mut self) -> Option<HttpMessage> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let mut lines = head.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_string();
                let mut fields = HashMap::new();
                for line in lines {
                    if let Some((name, value)) = line.split_once(':') {
                        fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
                    }
                }
                let length: usize = fields.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
                if self.buffer.len() >= end + 4 + length {
                    let body = self.buffer[end + 4..end + 4 + length].to_vec();
                    self.buffer.drain(..end + 4 + length);
                    return Some(HttpMessage { first_line, fields, body });
                }
            }
            let mut chunk = [0; 16384];
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

pub fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

/// Returns a listener on a free port of a loopback address.
pub fn listen(last_byte: u8) -> (TcpListener, SocketAddr) {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, last_byte));
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

// ---------------------------------------------------------------------------------------------------- the platform

/// An endpoint as discovery lists it.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{}","weight":500.0,"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.kind, self.group, self.status, self.since_ms
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// A notice that the platform has taken.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at_ms: f64,
    pub state: String,
}

pub struct PlatformState {
    pub index: u64,
    /// The whole list at each version.
    pub entries: Vec<Entry>,
    /// Every change with its version.
    pub changes: Vec<(u64, Entry)>,
    pub notices: BTreeMap<String, Vec<Notice>>,
}

/// Discovery and its agent: the list, watches on it and the notices.
pub struct Platform {
    pub state: Mutex<PlatformState>,
    pub is_silent: AtomicBool,
    recorder: Arc<Recorder>,
}

impl Platform {
    pub fn new(entries: Vec<Entry>, recorder: Arc<Recorder>) -> Arc<Platform> {
        Arc::new(Platform {
            state: Mutex::new(PlatformState { index: 1, entries, changes: vec![], notices: BTreeMap::new() }),
            is_silent: AtomicBool::new(false),
            recorder,
        })
    }

    /// Opens an address. Returns it and a flag that ends it: it takes no new connection, and the open ones are closed.
    pub fn open(self: &Arc<Self>, last_byte: u8) -> (SocketAddr, Arc<AtomicBool>) {
        let (listener, address) = listen(last_byte);
        let closed = Arc::new(AtomicBool::new(false));
        let (platform, flag) = (Arc::clone(self), Arc::clone(&closed));
        listener.set_nonblocking(true).unwrap();
        std::thread::spawn(move || {
            while !flag.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (platform, flag) = (Arc::clone(&platform), Arc::clone(&flag));
                        std::thread::spawn(move || platform.serve(stream, flag));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        (address, closed)
    }

    pub fn change(&self, entry: Entry) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        self.recorder.note(format!("list {} {} {}", index, entry.name, entry.status));
        state.entries.retain(|other| other.name != entry.name);
        if entry.status != "left" {
            state.entries.push(entry.clone());
        }
        state.changes.push((index, entry));
    }

    fn serve(&self, stream: TcpStream, closed: Arc<AtomicBool>) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader::new(stream.try_clone().unwrap());
        while let Some(request) = reader.next() {
            if request.first_line.starts_with("POST /status") {
                self.take_notices(&request.body);
                if (&stream).write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
            } else if request.first_line.contains("follow=1") {
                return self.watch(stream, &request.first_line, closed);
            } else {
                let state = self.state.lock().unwrap();
                let body = list_json(state.index, true, &state.entries);
                drop(state);
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                if (&stream).write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        }
    }

    fn take_notices(&self, body: &[u8]) {
        let at_ms = self.recorder.ms();
        let mut state = self.state.lock().unwrap();
        for line in String::from_utf8_lossy(body).lines() {
            let (id, notice) = (json_text(line, "id"), json_text(line, "state"));
            self.recorder.note(format!("notice {id} {notice}"));
            state.notices.entry(id).or_default().push(Notice { at_ms, state: notice });
        }
    }

    fn watch(&self, stream: TcpStream, first_line: &str, closed: Arc<AtomicBool>) {
        let since = first_line.split("since=").nth(1).unwrap_or("0");
        let since: u64 = since.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("0").parse().unwrap_or(0);
        let mut stream = stream;
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let mut told = since;
        let mut last_line = Instant::now() - Duration::from_secs(5);
        let mut closing: Option<Instant> = None;
        loop {
            if closed.load(Ordering::Relaxed) {
                let at = *closing.get_or_insert(Instant::now() + Duration::from_millis(1500));
                if at <= Instant::now() {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
            if !self.is_silent.load(Ordering::Relaxed) {
                let state = self.state.lock().unwrap();
                let line = if told == 0 {
                    Some(list_json(state.index, true, &state.entries))
                } else if told < state.index {
                    let changed: Vec<Entry> =
                        state.changes.iter().filter(|(index, _)| *index > told).map(|(_, e)| e.clone()).collect();
                    Some(list_json(state.index, false, &changed))
                } else {
                    None
                };
                told = state.index;
                drop(state);
                let text = match line {
                    Some(line) => line + "\n",
                    None if last_line.elapsed() >= Duration::from_secs(2) => "\n".to_string(),
                    None => String::new(),
                };
                if !text.is_empty() {
                    last_line = Instant::now();
                    if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                        return;
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(3));
        }
    }
}

/// Returns the text of a field in a flat JSON object.
pub fn json_text(line: &str, name: &str) -> String {
    let start = format!("\"{name}\":\"");
    let Some(at) = line.find(&start) else { return String::new() };
    line[at + start.len()..].split('"').next().unwrap_or("").to_string()
}

// ---------------------------------------------------------------------------------------------------- the endpoints

/// How an endpoint handles a call.
#[derive(Clone, Debug)]
pub enum Plan {
    /// Answer after a time, with a status, further fields and whether the call has run.
    Answer { after: Duration, status: u16, fields: String },
    /// Never answer.
    Silent,
    /// Close the connection with a reset or an end after a time, without an answer.
    Break { after: Duration },
    /// These bytes, as they are.
    Raw { after: Duration, bytes: Vec<u8> },
}

#[derive(Clone, Debug)]
pub struct Call {
    pub endpoint: String,
    pub group: u32,
    pub id: String,
    pub key: String,
    pub body: Vec<u8>,
    pub received_ms: f64,
    /// When the first line with 200 was written.
    pub served_ms: Option<f64>,
    /// Whether the plan says that the call never ran.
    pub never_ran: bool,
}

pub type Planner = dyn Fn(&str, &HttpMessage) -> Plan + Send + Sync;

/// All calls that any endpoint has received.
pub struct Endpoints {
    pub calls: Mutex<Vec<Call>>,
    pub planner: Box<Planner>,
    pub recorder: Arc<Recorder>,
    answers: AtomicU64,
}

impl Endpoints {
    pub fn new(recorder: Arc<Recorder>, planner: Box<Planner>) -> Arc<Endpoints> {
        Arc::new(Endpoints { calls: Mutex::new(vec![]), planner, recorder, answers: AtomicU64::new(0) })
    }

    pub fn open(self: &Arc<Self>, name: &str, group: u32, last_byte: u8) -> SocketAddr {
        let (listener, address) = listen(last_byte);
        let (endpoints, name) = (Arc::clone(self), name.to_string());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (endpoints, name) = (Arc::clone(&endpoints), name.clone());
                std::thread::spawn(move || endpoints.serve(stream, &name, group));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream, name: &str, group: u32) {
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader::new(stream.try_clone().unwrap());
        while let Some(request) = reader.next() {
            let received_ms = self.recorder.ms();
            let plan = (self.planner)(name, &request);
            let never_ran = matches!(plan, Plan::Answer { status: 429 | 503 | 504 | 410, .. });
            let id = request.field("x-txn").to_string();
            let call = Call {
                endpoint: name.to_string(),
                group,
                id: id.clone(),
                key: request.field("idempotency-key").to_string(),
                body: request.body.clone(),
                received_ms,
                served_ms: None,
                never_ran,
            };
            let number = {
                let mut calls = self.calls.lock().unwrap();
                calls.push(call);
                calls.len() - 1
            };
            let begin = String::from_utf8_lossy(&request.body[..request.body.len().min(36)]).into_owned();
            self.recorder.note(format!("call {id} at {name}, body {begin:?}, plan {plan:?}"));
            match plan {
                Plan::Answer { after, status, fields } => {
                    std::thread::sleep(after);
                    // Each answer differs from the one before, as one with a load report does.
                    let serial = self.answers.fetch_add(1, Ordering::Relaxed);
                    let answer =
                        format!("HTTP/1.1 {status} Answer\r\nContent-Length: 0\r\nX-Serial: {serial}\r\n{fields}\r\n");
                    if status == 200 {
                        self.calls.lock().unwrap()[number].served_ms = Some(self.recorder.ms());
                    }
                    if (&stream).write_all(answer.as_bytes()).is_err() {
                        self.calls.lock().unwrap()[number].served_ms = None;
                        return;
                    }
                }
                Plan::Silent => {
                    let mut rest = [0; 64];
                    while matches!((&stream).read(&mut rest), Ok(count) if count > 0) {}
                    std::thread::sleep(Duration::from_secs(60));
                    return;
                }
                Plan::Break { after } => {
                    std::thread::sleep(after);
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                Plan::Raw { after, bytes } => {
                    std::thread::sleep(after);
                    if find(&bytes, b"HTTP/1.1 200 ").is_some() {
                        self.calls.lock().unwrap()[number].served_ms = Some(self.recorder.ms());
                    }
                    let _ = (&stream).write_all(&bytes);
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------------- the courier

/// The process of the courier that runs now; 0 for none.
static COURIER_PROCESS: AtomicI32 = AtomicI32::new(0);

/// Ends the courier and this program if a case takes longer than it may.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        let process = COURIER_PROCESS.load(Ordering::SeqCst);
        if process > 0 {
            unsafe { kill(process, SIGKILL) };
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

pub struct Courier {
    pub child: Option<Child>,
    pub address: SocketAddr,
    pub folder: PathBuf,
    pub recorder: Arc<Recorder>,
    starts: u32,
    discovery: Mutex<String>,
}

impl Courier {
    pub fn new(folder: &Path, last_byte: u8, recorder: Arc<Recorder>) -> Courier {
        let (listener, address) = listen(last_byte);
        drop(listener);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        Courier { child: None, address, folder: folder.to_path_buf(), recorder, starts: 0, discovery: Mutex::default() }
    }

    /// Writes the configuration; a file of another name is renamed, so that nobody reads a half of it.
    pub fn configure(&self, discovery: SocketAddr, limits: &str, settings: &str, known: &str) {
        *self.discovery.lock().unwrap() = discovery.to_string();
        let text = format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{discovery}","seed":"8c1f30d27a5be{:03x}","limits":{limits},"known":{known},"settings":{settings}}}"#,
            self.address, self.starts
        );
        std::fs::write(self.folder.join("config.new"), text).unwrap();
        std::fs::rename(self.folder.join("config.new"), self.folder.join("config.json")).unwrap();
    }

    /// Starts the program with the deploy file's command, from the root of the repository, and waits until it is ready.
    pub fn start(&mut self) -> bool {
        if !self.spawn() {
            return false;
        }
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if get_ready(self.address) {
                self.recorder.note("courier ready");
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Starts the program and does not wait.
    pub fn spawn(&mut self) -> bool {
        self.starts += 1;
        let run = run_command();
        let path = self.folder.join("courier.log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(path).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", self.address.to_string())
            .env("RELAY_DISCOVERY", self.discovery.lock().unwrap().as_str())
            .env("RELAY_STATE", self.folder.join("state"))
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let Ok(child) = child else { return false };
        self.recorder.note(format!("courier started, process {}", child.id()));
        COURIER_PROCESS.store(child.id() as i32, Ordering::SeqCst);
        self.child = Some(child);
        true
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.recorder.note(format!("signal {signal}"));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            COURIER_PROCESS.store(0, Ordering::SeqCst);
            let _ = child.wait();
        }
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            COURIER_PROCESS.store(0, Ordering::SeqCst);
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the `run` line of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("started from the root of the repository");
    let line = text.lines().find(|line| line.starts_with("run ")).unwrap();
    line.split('"').nth(1).unwrap().to_string()
}

pub fn get_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(800)));
    let _ = (&stream).write_all(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
    HttpReader::new(stream).next().is_some_and(|answer| answer.first_line.contains(" 200 "))
}

// ---------------------------------------------------------------------------------------------------- the clients

/// A message as a client hands it in.
#[derive(Clone, Debug)]
pub struct Message {
    pub id: String,
    pub class: &'static str,
    pub dest: u32,
    pub remaining_ms: u64,
    pub key: String,
    pub subject: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn request(&self) -> Vec<u8> {
        let mut head = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {}\r\nCookie: subject={}\r\nX-Remaining-Ms: {}\r\n",
            self.class, self.id, self.subject, self.remaining_ms
        );
        if !self.key.is_empty() {
            head += &format!("Idempotency-Key: {}\r\n", self.key);
        }
        head += &format!("Content-Length: {}\r\nX-Route-To: dest={}\r\n\r\n", self.body.len(), self.dest);
        [head.as_bytes(), &self.body].concat()
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Settings of a small deployment.
pub struct SettingsOptions {
    pub deadlines_ms: [u64; 3],
    pub key_ttl_ms: u64,
    pub group: &'static str,
    pub max_open: u32,
    pub max_calls: u32,
}

pub fn settings_json(options: &SettingsOptions) -> String {
    let [status, change, order] = options.deadlines_ms.map(|ms| ms * 1_000_000);
    let ttl = options.key_ttl_ms * 1_000_000;
    let SettingsOptions { group, max_open, max_calls, .. } = options;
    format!(
        r#"{{"accounts":[],"balancers":3,"blend":{{"whole":0.5,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.3}},
"bounds":{{"conn_idle_ns":10000000000,"connect_timeout_ns":1000000000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"max_attempts":12,"max_open":{max_open},"max_retry_after_ns":3000000000,"may_cancel":true,"parallel_tries":true,"peers":false,"probing":false,"retry_after":true,"streams_per_conn":1}},
"clients":{{"marks_retry":true}},
"contract":{{"ask_within_ns":10000000000,"cold_from":0.21,"drain_grace_ns":1000000000,"fall_multiple":2.0,"fall_ns":2000000000,"grace_to_answer_ns":20000000,"ramp_time_ns":10000000000,"turn_gap_ns":100000000}},
"counted_by":"request","family":"deliver",
"family_info":{{"kind_apart":[false,true],"loses_worth":"linear","max_calls":{max_calls},"notes":"","per_call":[1,1],"refusal_cost":0.03,"report_x0":"","report_x1":"","route_fee":[0.0,0.05,0.02]}},
"kinds":["large-banks","small-members"],"me":0,"my_zone":0,"over_share_worth":0.1,
"prices":{{"connection":0.0,"cross_zone":0.0,"handshake":0.02,"late_fail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"registry_mode":0.0,"waste":0.03}},
"registry_mode":"push",
"services":[
{{"group":"all","hard_limit_ns":{status},"idempotency":"pure","key_ttl_ns":5000000000,"late_worth":0.5,"name":"status-update","slo_ns":1000000000,"stream":false,"worth":2.0}},
{{"fifo_by_key":true,"group":"{group}","hard_limit_ns":{change},"idempotency":"token","key_ttl_ns":{ttl},"late_worth":0.3,"name":"proxy-change","slo_ns":1000000000,"stream":false,"worth":1.0}},
{{"group":"all","hard_limit_ns":{order},"idempotency":"side_effect","key_ttl_ns":5000000000,"late_worth":0.5,"name":"transfer-order","slo_ns":1000000000,"stream":false,"worth":4.0}}],
"stats":{{"names":["x0","x1"],"source":"inline"}},"tick_ns":5000000,"tier":0,"tiers":["members"],"weight_source":"nominal","zones":["building-a","building-b","building-c"]}}"#
    )
}
