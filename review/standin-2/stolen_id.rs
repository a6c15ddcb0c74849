//! A bad client sends the id of another client's open request, with a body of its own, on a connection that it has had
//! open for a while. Either all bytes of the other client's request are written before the bad client writes its first
//! one, or the bad client writes while the second half of the other client's body is still on its way.

use crate::common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const LIMITS: &str = r#"{"cores":1.0,"memory_mb":96,"sockets":512,"disk_mb":3}"#;
const CLIENTS: usize = 8;
const MESSAGES: usize = 60;

struct Taken {
    message: Message,
    sent_ms: f64,
    kind: &'static str,
}

pub fn play(folder: &Path, record: &Path, trouble: bool) -> i32 {
    let recorder = Recorder::new();
    let endpoints = Endpoints::new(Duration::from_millis(30), recorder.clone());
    let mut entries = vec![];
    for number in 0..6u8 {
        let name = format!("s-{number}");
        let group = u32::from(number) % 3;
        let address = endpoints.open(&name, 20 + number);
        let zone = ["building-a", "building-b", "building-c"][usize::from(number) % 3].to_string();
        entries.push(Entry { name, address, zone, kind: "large-banks".into(), group });
    }
    let known = list_json(&entries);
    let (platform, discovery) = Platform::open(entries, recorder.clone());
    let mut courier = Courier::new(folder, 2, recorder.clone());
    courier.configure(discovery, LIMITS, &settings_json(), &known);
    if !courier.start() {
        return 2;
    }
    let taken: Mutex<Vec<Taken>> = Mutex::new(vec![]);
    let address = courier.address;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (taken, recorder) = (&taken, &recorder);
            scope.spawn(move || run_client(client, address, trouble, taken, recorder));
        }
    });
    std::thread::sleep(Duration::from_millis(4600));
    let crashed = courier.has_ended();
    let calls = endpoints.calls.lock().unwrap();
    let notices = platform.notices.lock().unwrap();
    let mut lost = BTreeMap::<&str, u32>::new();
    let taken = taken.into_inner().unwrap();
    for Taken { message, sent_ms, kind } in &taken {
        let due_ms = sent_ms + message.remaining_ms as f64 + 350.0;
        let delivered = calls.iter().any(|call| {
            call.id == message.id && call.body == message.body && call.served_ms.is_some_and(|at| at <= due_ms)
        });
        let noticed = notices.get(&message.id).is_some_and(|all| all.iter().any(|at| *at <= due_ms));
        if !delivered && !noticed {
            *lost.entry(kind).or_default() += 1;
            let bodies: Vec<String> = calls
                .iter()
                .filter(|call| call.id == message.id)
                .map(|call| String::from_utf8_lossy(&call.body[..call.body.len().min(40)]).into_owned())
                .collect();
            recorder.note(format!(
                "BROKEN lost: {} was answered 202, and neither its delivery nor a notice came in time (bad client's copy: {kind}); bodies of the calls with its id: {bodies:?}",
                message.id
            ));
        }
    }
    recorder.note(format!("taken on {}, calls {}, lost {lost:?}, crashed {crashed}", taken.len(), calls.len()));
    println!("taken on {}, lost {lost:?}, crashed {crashed}", taken.len());
    recorder.write(record);
    if taken.len() < CLIENTS * MESSAGES / 2 {
        return 2;
    }
    i32::from(!lost.is_empty() || crashed)
}

/// One usual client, and beside it a bad one with a connection of its own that is older than the usual client's.
fn run_client(
    client: usize,
    address: std::net::SocketAddr,
    trouble: bool,
    taken: &Mutex<Vec<Taken>>,
    recorder: &Recorder,
) {
    let mut random = Random(0x9E37_79B9 + client as u64 * 7919);
    let mut bad = open(address);
    for number in 0..MESSAGES {
        let id = random.hex(16);
        let dest = random.below(3) as u32;
        // One request in six has a large body, which comes in two parts, with or without a bad client.
        let is_large = number % 6 == 3;
        let content = random.hex(if is_large { 40_000 } else { 150 });
        let message = Message {
            id: id.clone(),
            class: ["status-update", "transfer-order"][number % 2],
            dest,
            remaining_ms: 3000,
            key: String::new(),
            subject: String::new(),
            body: format!("the message of client {client}, {number}, {content}").into_bytes(),
        };
        let stolen =
            Message { body: format!("the bad client's bytes, {}", random.hex(150)).into_bytes(), ..message.clone() };
        let (request, bad_request) = (message.request(), stolen.request());
        let kind = match number % 6 {
            0 if trouble => "behind the last byte",
            3 if trouble => "between two halves",
            _ => "none",
        };
        let half = request.len() - message.body.len() / 2;
        let Some(stream) = open(address) else { continue };
        if bad.is_none() {
            bad = open(address);
            std::thread::sleep(Duration::from_millis(20));
        }
        let mut sent_ms = recorder.ms();
        let (first, second) = if is_large { request.split_at(half) } else { (&request[..], &request[..0]) };
        if (&stream).write_all(first).is_err() {
            continue;
        }
        if !second.is_empty() {
            std::thread::sleep(Duration::from_millis(30));
        }
        if let ("behind the last byte" | "between two halves", Some(bad)) = (kind, &bad) {
            let _ = (&*bad).write_all(&bad_request);
        }
        if !second.is_empty() {
            std::thread::sleep(Duration::from_millis(30));
            sent_ms = recorder.ms();
            let _ = (&stream).write_all(second);
        }
        recorder.note(format!("client {client} sent {id} to {dest}, bad client's copy: {kind}"));
        let answer = HttpReader::new(stream).next();
        let first_line = answer.map_or("none".into(), |answer| answer.first_line);
        recorder.note(format!("client {client} got {id} {first_line}"));
        if first_line.contains(" 202 ") {
            taken.lock().unwrap().push(Taken { message, sent_ms, kind });
        }
        if kind != "none" {
            let answer = bad.take().and_then(|stream| {
                let answer = HttpReader::new(stream.try_clone().ok()?).next()?;
                Some((answer, stream))
            });
            let first_line = answer.as_ref().map_or("none".into(), |(answer, _)| answer.first_line.clone());
            recorder.note(format!("bad client {client} got {id} {first_line}"));
            bad = answer.filter(|(answer, _)| answer.field("connection") != "close").map(|(_, stream)| stream);
        }
        let until = Instant::now() + Duration::from_millis(60 + random.below(30));
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

fn open(address: std::net::SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(400)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
    Some(stream)
}
