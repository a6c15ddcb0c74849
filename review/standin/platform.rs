//! The platform around one courier: configuration, process, discovery's agent, endpoints.
//! All addresses are loopback addresses on free ports.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};


/// The record of a run: one line an event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn new(path: &Path) -> io::Result<Recorder> {
        Ok(Recorder { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} ms  {text}");
    }
}

/// A request that was read from a connection.
pub struct Request {
    pub line: String,
    fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |value| value)
    }
}

/// Reads one request. Bytes behind it stay in `buffer`. `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = [0; 65536];
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or("").to_owned();
            let pairs = lines.filter_map(|line| line.split_once(':'));
            let fields: HashMap<String, String> =
                pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
            let length = fields.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            let total = end + 4 + length;
            if buffer.len() >= total {
                let body = buffer[end + 4..total].to_vec();
                buffer.drain(..total);
                return Some(Request { line, fields, body });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Serves every connection to a free loopback port in a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
    Ok(address)
}

/// An entry of the endpoint list.
pub fn entry(name: &str, address: SocketAddr, group: u32) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"large-banks","group":{group},"status":"active","weight":500.0,"since_ms":0}}"#
    )
}

/// When a notice on each message arrived first, and its state.
pub type Notices = Arc<Mutex<HashMap<String, (Instant, String)>>>;

/// Discovery's agent: the watch on the list, which never changes here, and notices. It begins each answer `delay()`
/// after it has read the request.
pub fn discovery(
    endpoints: String,
    delay: impl Fn() -> Duration + Send + Sync + 'static,
    notices: Notices,
    recorder: Recorder,
) -> io::Result<SocketAddr> {
    serve(move |mut stream| {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            if !request.line.starts_with("POST /status") {
                thread::sleep(delay());
                let list = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{endpoints}]}}\n");
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if write!(stream, "{head}{:x}\r\n{list}\r\n", list.len()).is_err() {
                    return;
                }
                loop {
                    thread::sleep(Duration::from_secs(2));
                    if stream.write_all(b"1\r\n\n\r\n").is_err() {
                        return;
                    }
                }
            }
            let arrived = Instant::now();
            for line in String::from_utf8_lossy(&request.body).lines() {
                let value = |name: &str| {
                    let from = line.find(&format!("\"{name}\":\"")).map(|at| at + name.len() + 4);
                    from.map_or("", |from| line[from..].split('"').next().unwrap_or("")).to_owned()
                };
                let (id, state) = (value("id"), value("state"));
                recorder.note(&format!("notice {id} {state}"));
                notices.lock().unwrap().entry(id).or_insert((arrived, state));
            }
            thread::sleep(delay());
            if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                return;
            }
        }
    })
}

/// The head of a message that is handed in.
pub fn submission(class: &str, id: &str, destination: u32, remaining_ms: u64, length: usize) -> Vec<u8> {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: {length}\r\nX-Route-To: dest={destination}\r\n\r\n"
    )
    .into_bytes()
}

/// A courier process, started with the command of the deploy file. It is killed when this is dropped.
pub struct Courier {
    pub listen: SocketAddr,
    folder: PathBuf,
    child: Child,
}

impl Courier {
    pub fn start(discovery: SocketAddr, endpoints: &str) -> io::Result<Courier> {
        let run = deploy_command()?;
        let folder = std::env::temp_dir().join(format!("courier-review-{}", std::process::id()));
        fs::create_dir_all(folder.join("state"))?;
        let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let class = |name: &str, effect: &str, ordered: bool, limit_ms: u64| {
            format!(
                r#"{{"group":"all","hard_limit_ns":{limit_ms}000000,"idempotency":"{effect}","key_ttl_ns":8000000000,"late_worth":0.5,"name":"{name}","slo_ns":3000000000,"stream":false,"worth":2.0,"fifo_by_key":{ordered}}}"#
            )
        };
        let services = [
            class("status-update", "pure", false, 12000),
            class("proxy-change", "token", true, 12000),
            class("transfer-order", "side_effect", false, 12000),
        ];
        let settings = format!(
            r#"{{"balancers":1,"me":0,"my_zone":0,"kinds":["large-banks"],"zones":["a"],"tick_ns":5000000,"services":[{}],"family_info":{{"kind_apart":[false],"loses_worth":"linear","max_calls":40,"per_call":[1],"refusal_cost":0.03,"report_x0":"share left","report_x1":"limit","route_fee":[0.0]}},"weight_source":"nominal","registry_mode":"push","bounds":{{"conn_idle_ns":10000000000,"connect_timeout_ns":1000000000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"max_attempts":12,"max_open":153,"max_retry_after_ns":3000000000,"may_cancel":true,"parallel_tries":true,"peers":false,"probing":false,"retry_after":true,"streams_per_conn":1}},"contract":{{"ask_within_ns":10000000000,"cold_from":0.21,"drain_grace_ns":1000000000,"fall_multiple":2.0,"fall_ns":2000000000,"grace_to_answer_ns":20000000,"ramp_time_ns":10000000000,"turn_gap_ns":100000000}}}}"#,
            services.join(",")
        );
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":64,"sockets":256,"disk_mb":3}},"known":{{"index":1,"snapshot":true,"endpoints":[{endpoints}]}},"settings":{settings}}}"#
        );
        fs::write(folder.join("config.json"), config)?;
        let log = File::create(folder.join("log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_STATE", folder.join("state"))
            .env("RELAY_CONFIG", folder.join("config.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut courier = Courier { listen, folder, child };
        courier.wait_until_ready()?;
        Ok(courier)
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            if self.has_ended() {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the courier did not become ready"))
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.listen)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")?;
        let mut status = [0; 12];
        stream.read_exact(&mut status)?;
        Ok(&status[9..] == b"200")
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Reads `run` of the deploy file.
fn deploy_command() -> io::Result<String> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.strip_suffix('"'));
    command.map(str::to_owned).ok_or_else(|| io::Error::other("deploy/balancer.toml has no line run"))
}
