//! Idle clients fill the descriptors while ordinary clients hand in messages over a link on which the bytes of a
//! request arrive in two parts.

use crate::platform::{discovery, entry, read_request, serve, submission, Courier, Notices, Recorder};
use crate::Verdict;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients a second that ask once and then hold their connection.
const IDLE_CLIENTS_PER_SECOND: u64 = 40;
/// How long they come before the first message is handed in, so that they fill the descriptors.
const FILLING: Duration = Duration::from_secs(5);
const MESSAGES: usize = 80;
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between the two parts of a request on the link: a round trip between buildings at 15 ms one way.
const PART_INTERVAL: Duration = Duration::from_millis(30);
const FIRST_PART_BYTES: usize = 12_000;
const BODY_BYTES: usize = 40_000;
/// How long a client waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// "A connection with no open request may be closed after 2 s".
const CLOSABLE_AFTER: Duration = Duration::from_secs(2);
const SIOCOUTQ: u64 = 0x5411;

extern "C" {
    fn ioctl(fd: i32, request: u64, ...) -> i32;
}

/// How a request ended on one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ended {
    Answered(u16),
    /// The courier closed the connection without an answer, after it had read all that had reached it: the
    /// connection ended with an end of stream, and not with the reset that a close over unread bytes causes.
    ClosedAfterReading,
    /// The courier closed or refused the connection, and may have read nothing of it.
    ClosedUnread,
    TimedOut,
}

/// The connections that idle clients hold, with the time of their answer.
type Held = Arc<Mutex<Vec<(Instant, TcpStream)>>>;

pub fn run(recorder: &Recorder, trouble: bool) -> io::Result<Verdict> {
    let calls = Arc::new(AtomicUsize::new(0));
    let mut list = Vec::new();
    for number in 1..=2 {
        let address = endpoint(Arc::clone(&calls))?;
        list.push(entry(&format!("s-{number}"), address, 3));
    }
    let list = list.join(",");
    let notices: Notices = Arc::default();
    let agent = discovery(list.clone(), || Duration::ZERO, notices, recorder.clone())?;
    let mut courier = Courier::start(agent, &list)?;
    recorder.note(&format!("courier ready; trouble: {trouble}"));

    let stop = Arc::new(AtomicBool::new(false));
    let held: Held = Arc::default();
    let idle_clients = trouble.then(|| idle_clients(courier.listen, Arc::clone(&held), Arc::clone(&stop)));
    thread::sleep(FILLING);

    let ends = Ends::default();
    let link = link(courier.listen, Arc::clone(&ends), Arc::clone(&held), recorder.clone())?;
    let mut clients = Vec::new();
    for number in 0..MESSAGES {
        clients.push(thread::spawn(move || hand_in(link, &format!("{:016x}", 0xa000 + number)).unwrap_or(false)));
        thread::sleep(MESSAGE_INTERVAL);
    }
    let answered = clients.into_iter().filter_map(|client| client.join().ok()).filter(|answered| *answered).count();
    stop.store(true, Ordering::Relaxed);
    if let Some(idle_clients) = idle_clients {
        let _ = idle_clients.join();
    }
    let crashed = courier.has_ended();

    let ends = ends.lock().unwrap();
    let read_and_closed = |all: &Vec<Ended>| {
        all.len() == 2 && all.iter().all(|end| *end == Ended::ClosedAfterReading)
    };
    let closed_once = ends.values().filter(|all| all.contains(&Ended::ClosedAfterReading)).count();
    let lost = ends.values().filter(|all| read_and_closed(all)).count();
    recorder.note(&format!(
        "summary: {MESSAGES} messages, {answered} answered, {closed_once} with a connection closed without an \
         answer after it was read, {lost} of them on the second connection too; {} calls at endpoints; courier \
         ended: {crashed}",
        calls.load(Ordering::Relaxed)
    ));
    println!("{MESSAGES} messages, {answered} answered, {closed_once} read and closed without an answer once, {lost} lost");
    if lost > 0 || crashed {
        Ok(Verdict::Broken)
    } else if answered == 0 {
        Ok(Verdict::Void)
    } else {
        Ok(Verdict::Held)
    }
}

/// An endpoint that delivers every call after 20 ms.
fn endpoint(calls: Arc<AtomicUsize>) -> io::Result<SocketAddr> {
    serve(move |mut stream| {
        let mut buffer = Vec::new();
        while read_request(&mut stream, &mut buffer).is_some() {
            let number = calls.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(20));
            let share_left = 0.5 + (number % 4000) as f64 / 10_000.0;
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
            if write!(stream, "{head}X-Pressure: x0={share_left},x1=500\r\n\r\n").is_err() {
                return;
            }
        }
    })
}

/// Clients that hand in one small message each, and then hold their connection until the courier closes it.
fn idle_clients(listen: SocketAddr, held: Held, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let held = Arc::clone(&held);
            thread::spawn(move || {
                let Ok(mut stream) = TcpStream::connect(listen) else { return };
                let id = format!("{:016x}", 0xc0000 + number);
                let request = [submission("status-update", &id, 3, 12_000, 100), vec![b'x'; 100]].concat();
                let _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
                let mut answer = [0; 512];
                if stream.write_all(&request).is_ok() && matches!(stream.read(&mut answer), Ok(1..)) {
                    held.lock().unwrap().push((Instant::now(), stream));
                }
            });
            thread::sleep(Duration::from_millis(1000 / IDLE_CLIENTS_PER_SECOND));
        }
    })
}

/// Number of held connections that are still open, and of those that the courier may close at any time.
fn count_open(held: &Held) -> (usize, usize) {
    let mut held = held.lock().unwrap();
    held.retain(|(_, stream)| {
        let _ = stream.set_nonblocking(true);
        matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    });
    let closable = held.iter().filter(|(since, _)| since.elapsed() > CLOSABLE_AFTER).count();
    (held.len(), closable)
}

/// What became of each request on the link, in the order of its connections, by id.
type Ends = Arc<Mutex<HashMap<String, Vec<Ended>>>>;

/// The link between the ordinary clients and the courier: takes a whole request, passes it on in two parts on a
/// connection of its own, and returns the answer or the close.
fn link(courier: SocketAddr, ends: Ends, held: Held, recorder: Recorder) -> io::Result<SocketAddr> {
    serve(move |mut client| {
        let mut received = Vec::new();
        let Some(request) = read_request(&mut client, &mut received) else { return };
        let id = request.field("x-txn").to_owned();
        let bytes = [submission("transfer-order", &id, 3, 12_000, request.body.len()), request.body].concat();
        let mut answer = Vec::new();
        let end = send(courier, &bytes, &mut answer).unwrap_or(Ended::ClosedUnread);
        let (open, closable) = count_open(&held);
        recorder.note(&format!(
            "message {id}: {end:?}; {open} idle connections open, {closable} of them for over 2 s"
        ));
        ends.lock().unwrap().entry(id).or_default().push(end);
        let _ = client.write_all(&answer);
    })
}

/// Hands a message in: writes the whole request and awaits the answer. If the connection ends without one, the client
/// sends the request once more on a new connection. Returns whether an answer came.
fn hand_in(link: SocketAddr, id: &str) -> io::Result<bool> {
    let head = submission("transfer-order", id, 3, 12_000, BODY_BYTES);
    let request = [head, vec![b'm'; BODY_BYTES]].concat();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(link)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(&request)?;
        match stream.read(&mut [0; 512]) {
            Ok(0) => {}
            Ok(_) => return Ok(true),
            Err(_) => return Ok(false),
        }
    }
    Ok(false)
}

/// Sends a request in two parts on a new connection and awaits the answer.
fn send(listen: SocketAddr, request: &[u8], answered: &mut Vec<u8>) -> io::Result<Ended> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    let (first, rest) = request.split_at(FIRST_PART_BYTES);
    stream.write_all(first)?;
    let sent = Instant::now();
    // The courier's system confirms that all bytes sent so far have reached it, on an open connection.
    while unconfirmed_bytes(&stream) > 0 && sent.elapsed() < PART_INTERVAL {
        thread::sleep(Duration::from_micros(100));
    }
    let reached_open = unconfirmed_bytes(&stream) == 0 && is_open(&stream);
    while sent.elapsed() < PART_INTERVAL {
        if !is_open(&stream) {
            break;
        }
        thread::sleep(Duration::from_millis(1));
    }
    let mut answer = [0; 512];
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    if is_open(&stream) {
        stream.write_all(rest)?;
    }
    match stream.read(&mut answer) {
        Ok(0) if reached_open => Ok(Ended::ClosedAfterReading),
        Ok(0) => Ok(Ended::ClosedUnread),
        Ok(count) => {
            answered.extend_from_slice(&answer[..count]);
            Ok(Ended::Answered(status(answered)))
        }
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(Ended::TimedOut),
        Err(_) => Ok(Ended::ClosedUnread),
    }
}

fn status(answer: &[u8]) -> u16 {
    answer.get(9..12).and_then(|code| std::str::from_utf8(code).ok()).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Whether nothing has arrived on the connection: no byte, no end of stream, no reset.
fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let open = matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    let _ = stream.set_nonblocking(false);
    open
}

/// Number of sent bytes that the other system has not confirmed.
fn unconfirmed_bytes(stream: &TcpStream) -> i32 {
    let mut count = 0;
    // SAFETY: SIOCOUTQ writes one int, to which the pointer is valid.
    let result = unsafe { ioctl(stream.as_raw_fd(), SIOCOUTQ, &mut count as *mut i32) };
    if result == 0 {
        count
    } else {
        i32::MAX
    }
}
