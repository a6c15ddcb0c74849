//! Stand-ins for the clients, the endpoints and the platform of a courier, and the courier as a child process.
//! Everything is on loopback addresses and in real time; nothing but the standard library is used.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;

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
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"active","weight":500.0,"since_ms":0}}"#,
            self.name, self.address, self.zone, self.kind, self.group
        )
    }
}

/// Returns the whole list in discovery's form.
pub fn list_json(entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{LIST_INDEX},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Discovery and its agent: a list that does not change, watches on it, and the notices.
pub struct Platform {
    pub entries: Vec<Entry>,
    /// When each notice was taken, in milliseconds of the record, by the message's id.
    pub notices: Mutex<BTreeMap<String, Vec<f64>>>,
    recorder: Arc<Recorder>,
}

/// The version of the list.
pub const LIST_INDEX: u64 = 41;

impl Platform {
    /// Opens discovery on a free port and returns its address.
    pub fn open(entries: Vec<Entry>, recorder: Arc<Recorder>) -> (Arc<Platform>, SocketAddr) {
        let platform = Arc::new(Platform { entries, notices: Mutex::default(), recorder });
        let (listener, address) = listen(10);
        let serving = Arc::clone(&platform);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = Arc::clone(&serving);
                std::thread::spawn(move || platform.serve(stream));
            }
        });
        (platform, address)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader::new(stream.try_clone().unwrap());
        while let Some(request) = reader.next() {
            let written = if request.first_line.starts_with("POST /status") {
                self.take_notices(&request.body);
                stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
            } else if request.first_line.contains("follow=1") {
                return self.watch(stream, &request.first_line);
            } else {
                let body = list_json(&self.entries);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                stream.write_all((head + &body).as_bytes())
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn take_notices(&self, body: &[u8]) {
        let at_ms = self.recorder.ms();
        for line in String::from_utf8_lossy(body).lines() {
            let id = json_text(line, "id");
            self.recorder.note(format!("notice {id} {}", json_text(line, "state")));
            self.notices.lock().unwrap().entry(id).or_default().push(at_ms);
        }
    }

    /// Sends the whole list, unless the courier has it, and then an empty line every 2 s.
    fn watch(&self, mut stream: TcpStream, first_line: &str) {
        let has_list = first_line.contains(&format!("since={LIST_INDEX} "));
        let mut text = if has_list { "\n".to_string() } else { list_json(&self.entries) + "\n" };
        let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        while stream.write_all(format!("{head}{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok() {
            (head, text) = ("", "\n".to_string());
            std::thread::sleep(Duration::from_secs(2));
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

#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub body: Vec<u8>,
    /// When the first line with 200 was written, in milliseconds of the record.
    pub served_ms: Option<f64>,
}

/// The endpoints: each answers every call with 200 after a time. Each answer differs from the others.
pub struct Endpoints {
    /// All calls that any endpoint has received.
    pub calls: Mutex<Vec<Call>>,
    answer_after: Duration,
    recorder: Arc<Recorder>,
}

impl Endpoints {
    pub fn new(answer_after: Duration, recorder: Arc<Recorder>) -> Arc<Endpoints> {
        Arc::new(Endpoints { calls: Mutex::default(), answer_after, recorder })
    }

    /// Opens an endpoint on a free port and returns its address.
    pub fn open(self: &Arc<Self>, name: &str, last_byte: u8) -> SocketAddr {
        let (listener, address) = listen(last_byte);
        let (endpoints, name) = (Arc::clone(self), name.to_string());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (endpoints, name) = (Arc::clone(&endpoints), name.clone());
                std::thread::spawn(move || endpoints.serve(stream, &name));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream, name: &str) {
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader::new(stream.try_clone().unwrap());
        while let Some(request) = reader.next() {
            let id = request.field("x-txn").to_string();
            let begin = String::from_utf8_lossy(&request.body[..request.body.len().min(36)]).into_owned();
            self.recorder.note(format!("call {id} at {name}, body {begin:?}"));
            let number = {
                let mut calls = self.calls.lock().unwrap();
                calls.push(Call { id: id.clone(), body: request.body, served_ms: None });
                calls.len() - 1
            };
            std::thread::sleep(self.answer_after);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Serial: {number}\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            self.calls.lock().unwrap()[number].served_ms = Some(self.recorder.ms());
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

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
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

/// Settings of a small deployment: names and figures of the transfer-hub's, with short deadlines.
pub fn settings_json() -> String {
    let (deadline, max_open, max_calls) = (4_000_000_000u64, 300, 120);
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
{{"group":"all","hard_limit_ns":{deadline},"idempotency":"pure","key_ttl_ns":5000000000,"late_worth":0.5,"name":"status-update","slo_ns":1000000000,"stream":false,"worth":2.0}},
{{"fifo_by_key":true,"group":"all","hard_limit_ns":{deadline},"idempotency":"token","key_ttl_ns":2000000000,"late_worth":0.3,"name":"proxy-change","slo_ns":1000000000,"stream":false,"worth":1.0}},
{{"group":"all","hard_limit_ns":{deadline},"idempotency":"side_effect","key_ttl_ns":5000000000,"late_worth":0.5,"name":"transfer-order","slo_ns":1000000000,"stream":false,"worth":4.0}}],
"stats":{{"names":["x0","x1"],"source":"inline"}},"tick_ns":5000000,"tier":0,"tiers":["members"],"weight_source":"nominal","zones":["building-a","building-b","building-c"]}}"#
    )
}
