//! Discovery's agent answers notices slowly while some endpoints hang, so that their messages end by a notice.

use crate::platform::{discovery, entry, read_request, serve, submission, Courier, Notices, Recorder};
use crate::Verdict;
use std::collections::{HashMap, HashSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the agent takes to answer a notice that it has read.
const SLOW_ANSWER: Duration = Duration::from_millis(250);
/// Destinations 1 to 5 have two endpoints each; those of 4 and 5 hang.
const DESTINATIONS: u32 = 5;
const FIRST_HANGING: u32 = 4;
const MESSAGES: u32 = 250;
const MESSAGE_INTERVAL: Duration = Duration::from_millis(25);
const MIN_REMAINING_MS: u64 = 2000;
const MAX_REMAINING_MS: u64 = 5000;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// "300 ms after its time is up", and "every time limit is 50 ms longer".
const NOTICE_LIMIT: Duration = Duration::from_millis(350);

/// Ids of the messages that an endpoint has delivered.
type Delivered = Arc<Mutex<HashSet<String>>>;

pub fn run(recorder: &Recorder, trouble: bool) -> io::Result<Verdict> {
    let delivered: Delivered = Arc::default();
    let mut list = Vec::new();
    for destination in 1..=DESTINATIONS {
        for number in 1..=2 {
            let address = endpoint(destination >= FIRST_HANGING, Arc::clone(&delivered))?;
            list.push(entry(&format!("s-{destination}-{number}"), address, destination));
        }
    }
    let list = list.join(",");
    let notices: Notices = Arc::default();
    let delay = if trouble { SLOW_ANSWER } else { Duration::ZERO };
    let agent = discovery(list.clone(), move || delay, Arc::clone(&notices), recorder.clone())?;
    let mut courier = Courier::start(agent, &list)?;
    recorder.note(&format!("courier ready; trouble: {trouble}"));

    let mut due = HashMap::new();
    for number in 0..MESSAGES {
        let id = format!("{:016x}", 0xb0000 + number);
        let destination = number % DESTINATIONS + 1;
        let span = MAX_REMAINING_MS - MIN_REMAINING_MS;
        let remaining_ms = MIN_REMAINING_MS + u64::from(number) * 773 % span;
        let sent = Instant::now();
        let answer = hand_in(courier.listen, &id, destination, remaining_ms);
        recorder.note(&format!("message {id} for {destination}, {remaining_ms} ms remaining: {answer:?}"));
        if matches!(answer, Ok(200 | 202)) {
            due.insert(id, sent + Duration::from_millis(remaining_ms));
        }
        thread::sleep(MESSAGE_INTERVAL);
    }
    thread::sleep(Duration::from_millis(MAX_REMAINING_MS) + Duration::from_secs(3));

    let crashed = courier.has_ended();
    let delivered = delivered.lock().unwrap();
    let notices = notices.lock().unwrap();
    let mut lost = 0;
    let mut noticed = 0;
    for (id, due) in &due {
        if delivered.contains(id) {
            continue;
        }
        let after = notices.get(id).map(|(arrived, _)| arrived.saturating_duration_since(*due));
        noticed += usize::from(after.is_some());
        if after.is_none_or(|after| after > NOTICE_LIMIT) {
            lost += 1;
            let after = after.map_or("never".to_owned(), |after| format!("{} ms", after.as_millis()));
            recorder.note(&format!("LOST {id}: not delivered, notice after its time: {after}"));
        }
    }
    let accepted = due.len();
    let summary = format!(
        "{accepted} messages taken on, {} delivered, {noticed} ended by a notice, {lost} lost (notice later than \
         350 ms after the message's time, or never)",
        delivered.len()
    );
    recorder.note(&format!("summary: {summary}; courier ended: {crashed}"));
    println!("{summary}");
    if lost > 0 || crashed {
        Ok(Verdict::Broken)
    } else if noticed == 0 {
        Ok(Verdict::Void)
    } else {
        Ok(Verdict::Held)
    }
}

/// An endpoint that delivers every call after 20 ms, or reads calls and never answers.
fn endpoint(hangs: bool, delivered: Delivered) -> io::Result<SocketAddr> {
    serve(move |mut stream| {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            if hangs {
                continue;
            }
            thread::sleep(Duration::from_millis(20));
            let id = request.field("x-txn").to_owned();
            let tail = u64::from_str_radix(&id, 16).unwrap_or(0) % 4000;
            let share_left = 0.5 + tail as f64 / 10_000.0;
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
            if write!(stream, "{head}X-Pressure: x0={share_left},x1=500\r\n\r\n").is_err() {
                return;
            }
            delivered.lock().unwrap().insert(id);
        }
    })
}

/// Hands a message in on a new connection. Returns the status of the answer.
fn hand_in(listen: SocketAddr, id: &str, destination: u32, remaining_ms: u64) -> io::Result<u16> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let head = submission("transfer-order", id, destination, remaining_ms, 200);
    stream.write_all(&[head, vec![b'm'; 200]].concat())?;
    let mut status = [0; 12];
    stream.read_exact(&mut status)?;
    std::str::from_utf8(&status[9..]).ok().and_then(|code| code.parse().ok()).ok_or_else(|| io::Error::other("no status"))
}
