//! Discovery's agent answers notices slowly for a while; a keyed message waits for its second attempt meanwhile.

use crate::platform::{discovery, entry, read_request, serve, submission, Courier, Notices, Recorder};
use crate::Verdict;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the agent takes to answer a notice while it is slow, and how long it is slow from the start.
const SLOW_ANSWER: Duration = Duration::from_millis(250);
const SLOW_FOR: Duration = Duration::from_secs(10);
/// How long endpoints remember an idempotency key: `key_ttl_ns` of the class.
const WINDOW: Duration = Duration::from_secs(8);
/// "Every time limit is 50 ms longer."
const SLACK: Duration = Duration::from_millis(50);
/// Number of ordering keys. Each has two messages: the first runs and its connection is reset, the second has little
/// time left.
const KEYS: u32 = 10;
/// When an endpoint resets the connection of a first call, which it has run.
const RESET_AFTER: Duration = Duration::from_secs(2);
const FIRST_REMAINING_MS: u64 = 12_000;
const SECOND_REMAINING_MS: u64 = 600;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Each key has a destination of its own, with one endpoint.
fn destination_of(key: u32) -> u32 {
    key + 1
}

/// When each message took effect, by idempotency key.
type Effects = Arc<Mutex<HashMap<String, Vec<Instant>>>>;

pub fn run(recorder: &Recorder, trouble: bool) -> io::Result<Verdict> {
    let effects: Effects = Arc::default();
    let mut list = Vec::new();
    for key in 0..KEYS {
        let address = endpoint(Arc::clone(&effects), recorder.clone())?;
        list.push(entry(&format!("s-{key}"), address, destination_of(key)));
    }
    let list = list.join(",");
    let notices: Notices = Arc::default();
    let slow_until = Instant::now() + SLOW_FOR;
    let delay = move || if trouble && Instant::now() < slow_until { SLOW_ANSWER } else { Duration::ZERO };
    let agent = discovery(list.clone(), delay, notices, recorder.clone())?;
    let mut courier = Courier::start(agent, &list)?;
    recorder.note(&format!("courier ready; trouble: {trouble}"));

    let mut accepted = 0;
    for key in 0..KEYS {
        for (number, remaining_ms) in [(0, FIRST_REMAINING_MS), (1, SECOND_REMAINING_MS)] {
            let id = format!("{:016x}", 0xd0000 + 16 * key + number);
            let answer = hand_in(courier.listen, &id, key, remaining_ms);
            recorder.note(&format!("message {id} of key {key}, {remaining_ms} ms remaining: {answer:?}"));
            accepted += u32::from(matches!(answer, Ok(200 | 202)));
            thread::sleep(Duration::from_millis(50));
        }
    }
    thread::sleep(Duration::from_millis(FIRST_REMAINING_MS) + Duration::from_secs(1));

    let crashed = courier.has_ended();
    let effects = effects.lock().unwrap();
    let mut twice = 0;
    for (key, times) in effects.iter() {
        if let [first, second, ..] = times[..] {
            twice += 1;
            let after = second.duration_since(first).as_millis();
            recorder.note(&format!("TWICE {key}: took effect again after {after} ms"));
        }
    }
    let summary = format!("{accepted} messages taken on, {} took effect, {twice} of them twice", effects.len());
    recorder.note(&format!("summary: {summary}; courier ended: {crashed}"));
    println!("{summary}");
    if twice > 0 || crashed {
        Ok(Verdict::Broken)
    } else if effects.is_empty() {
        Ok(Verdict::Void)
    } else {
        Ok(Verdict::Held)
    }
}

/// An endpoint. The first call with an idempotency key takes effect and gets no answer: the connection is reset after
/// a while. A call with a key that is remembered is dropped as a repeat and answered as delivered; a call with one that
/// was forgotten takes effect again.
fn endpoint(effects: Effects, recorder: Recorder) -> io::Result<SocketAddr> {
    serve(move |mut stream| {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let (id, key) = (request.field("x-txn").to_owned(), request.field("idempotency-key").to_owned());
            let arrived = Instant::now();
            let is_first = {
                let mut effects = effects.lock().unwrap();
                let times = effects.entry(key).or_default();
                let remembered = times.first().is_some_and(|first| arrived.duration_since(*first) <= WINDOW + SLACK);
                let verdict = if remembered { "dropped as a repeat" } else { "takes effect" };
                recorder.note(&format!("call for {id}: {verdict}"));
                if !remembered {
                    times.push(arrived);
                }
                times.len() == 1 && !remembered
            };
            if is_first {
                // The courier still waits, or has given the call up; bytes left unread reset the connection.
                thread::sleep(RESET_AFTER);
                recorder.note(&format!("call for {id}: connection reset"));
                reset(&stream);
                return;
            }
            let share_left = arrived.elapsed().subsec_nanos() as f64 / 1e9;
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
            if write!(stream, "{head}X-Pressure: x0={share_left},x1=500\r\n\r\n").is_err() {
                return;
            }
        }
    })
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
    }
    let linger = [1, 0];
    // SAFETY: the value is a `struct linger`, two ints, which lives through the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// Hands a message of an ordering key in on a new connection. Returns the status of the answer.
fn hand_in(listen: SocketAddr, id: &str, key: u32, remaining_ms: u64) -> io::Result<u16> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let head = String::from_utf8(submission("proxy-change", id, destination_of(key), remaining_ms, 100)).expect("an ASCII head");
    let head = head.replacen("X-Txn:", &format!("Cookie: subject=subject-{key}\r\nX-Txn:"), 1);
    stream.write_all(&[head.into_bytes(), vec![b'p'; 100]].concat())?;
    let mut status = [0; 12];
    stream.read_exact(&mut status)?;
    let code = std::str::from_utf8(&status[9..]).ok().and_then(|code| code.parse().ok());
    code.ok_or_else(|| io::Error::other("no status"))
}
