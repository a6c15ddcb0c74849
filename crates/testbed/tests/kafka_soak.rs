//! Soak of the Kafka front: the real courier with endpoints whose responses come twice, out of order or with a
//! wrong correlation id, clients that violate the protocol, and system calls that fail.
//!
//! Each seed determines the random choices of one run. Checked are: a message is answered as served only if it
//! was executed; one that is not idempotent is answered as not persisted only if it was not executed, and is
//! executed at most once; every request is answered once, in order; nothing is sent for a message after its answer; the
//! process does not end by itself, and the peak of its memory stays under its limit beside producers of large frames.
//!
//! Other seeds: `SOAK_SEEDS=100..150 SOAK_SECONDS=6 cargo test --release -p linnetcart-testbed --test kafka_soak`.

#[path = "support/control.rs"]
mod control;
#[path = "kafka_soak/endpoint.rs"]
mod endpoint;
#[path = "support/started_courier.rs"]
#[allow(dead_code)]
mod started_courier;
#[path = "support/work_folder.rs"]
mod work_folder;

use endpoint::{CallLog, EndpointPlan};
use linnetcart_fault_injection::{soak, Fault, FaultControl, Rate};
use linnetcart_kafka::client::{self, ProduceTarget, RequiredAcks};
use linnetcart_kafka::{codes, Frames, Record};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use started_courier::{settings, Courier};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const DEFAULT_SEEDS: Range<u64> = 1..5;
const DEFAULT_DURATION: Duration = Duration::from_secs(4);
const CLIENTS: u64 = 6;
const ENDPOINTS: u64 = 3;
const PRODUCE_VERSION: i16 = 9;
const ALL_REPLICAS: i16 = -1;
/// The limit of the couriers' memory, in megabytes.
const MEMORY_MB: u64 = 64;
const LARGE_PRODUCERS: usize = 60;
const LARGE_VALUE_BYTES: usize = 900_000;
const MAX_FRAME_BYTES: usize = 1 << 20;
/// How long a client waits for an answer: longer than any deadline of the settings.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// How long after the answer a call may still arrive: bytes of which the system took a part are written later.
const SENDING_TOLERANCE: Duration = Duration::from_millis(400);
/// The start of the ids of messages of clients that violate the protocol.
const INTRUDER: &str = "intruder-";
/// Faults of system calls that a run may draw, with their rates.
const FAULTS: [(Fault, Rate); 7] = [
    (Fault::SendShort, 150),
    (Fault::SendInterrupted, 150),
    (Fault::SendNoBuffers, 100),
    (Fault::ReceiveShort, 150),
    (Fault::ReceiveNoBuffers, 100),
    (Fault::ConnectInterrupted, 200),
    (Fault::WaitInterrupted, 150),
];

/// The answer to a message.
struct Answer {
    id: String,
    topic: &'static str,
    /// `None` if the connection ended, or nothing arrived in time.
    code: Option<i16>,
    answered_at: Instant,
}

fn produce_request(correlation: i32, topic: &str, id: &str) -> Vec<u8> {
    let record = Record { value: Some(id.to_owned().into_bytes().into()), ..Record::default() };
    let target = ProduceTarget { topic, partition: 0, records: &[record] };
    let required = RequiredAcks { acks: ALL_REPLICAS, timeout_ms: 5000 };
    client::produce(correlation, "soak", PRODUCE_VERSION, required, &[target]).expect("valid").to_vec()
}

/// Submits messages one after another until `stop` is set, and checks that each reply names its request.
fn run_client(seed: u64, client: u64, kafka: SocketAddr, stop: &AtomicBool) -> Vec<Answer> {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1000 + client);
    let mut answers = Vec::new();
    let mut connection: Option<(TcpStream, Frames)> = None;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(random.random_range(0..25)));
        let (mut stream, mut frames) = connection.take().unwrap_or_else(|| {
            let stream = TcpStream::connect(kafka).expect("the courier listens");
            stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a timeout");
            (stream, Frames::new(MAX_FRAME_BYTES))
        });
        let topic = if random.random_bool(0.6) { "order" } else { "status" };
        let correlation = answers.len() as i32;
        let id = format!("{seed}-{client}-{correlation}.");
        let sent = stream.write_all(&produce_request(correlation, topic, &id));
        let reply = sent.ok().and_then(|()| read_reply(&mut stream, &mut frames));
        if let Some(reply) = &reply {
            assert_eq!(reply.correlation, correlation, "seed {seed}: a reply to another request");
            connection = Some((stream, frames));
        }
        let code = reply.map(|reply| reply.parts[0].code);
        answers.push(Answer { id, topic, code, answered_at: Instant::now() });
    }
    answers
}

fn read_reply(stream: &mut TcpStream, frames: &mut Frames) -> Option<client::ProduceReply> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(frame) = frames.next_frame().expect("a frame") {
            return Some(client::read_produced(&frame, PRODUCE_VERSION).expect("a reply"));
        }
        match stream.read(&mut buffer) {
            Ok(length @ 1..) => frames.push(&buffer[..length]),
            _ => return None,
        }
    }
}

/// Sends requests that are cut by a close, have bytes behind them, or repeat a correlation id.
fn run_intruder(seed: u64, kafka: SocketAddr, stop: &AtomicBool) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1000 + 500);
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        std::thread::sleep(Duration::from_millis(random.random_range(10..120)));
        let Ok(mut stream) = TcpStream::connect(kafka) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let request = |part: &str| produce_request(7, "order", &format!("{INTRUDER}{seed}-{number}{part}."));
        let (first, second) = (request("a"), request("b"));
        let cut = random.random_range(0..second.len());
        let bytes = match random.random_range(0..4) {
            0 => [&first[..], &second].concat(),
            1 => [&first[..], &second[..cut]].concat(),
            2 => [&first[..], b"\x7f\xff\xff\xffnoise"].concat(),
            _ => second[..cut].to_vec(),
        };
        if stream.write_all(&bytes).is_ok() && random.random_bool(0.5) {
            let _ = stream.read(&mut [0; 256]);
        }
    }
}

/// Opens connections with large frames that stop half way or go on slowly, and closes some.
fn run_large_producers(seed: u64, kafka: SocketAddr, stop: &AtomicBool) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1000 + 700);
    let request = produce_request(9, "status", &"x".repeat(LARGE_VALUE_BYTES));
    let mut connections: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(random.random_range(5..40)));
        if connections.len() >= LARGE_PRODUCERS {
            connections.drain(..random.random_range(0..LARGE_PRODUCERS / 4));
        }
        if let Ok(mut stream) = TcpStream::connect(kafka) {
            let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
            let _ = stream.write_all(&request[..random.random_range(0..request.len())]);
            connections.push(stream);
        }
        for stream in connections.iter_mut().rev().take(5) {
            let _ = stream.write_all(b"more of it");
        }
    }
}

/// Lists a successor of another destination at the address of one endpoint after another, and gives the addresses back
/// to endpoints with new numbers.
fn change_list(seed: u64, control: SocketAddr, endpoints: &[SocketAddr], stop: &AtomicBool) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1000 + 800);
    for version in 2.. {
        std::thread::sleep(Duration::from_millis(random.random_range(200..600)));
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let address = endpoints[version as usize % endpoints.len()];
        let destination = u64::from(random.random_bool(0.5));
        let entry = json!({"id": 100 + version, "destination": destination, "kind": "k", "zone": "a",
            "state": "ready", "address": address.to_string()});
        control::put(control, "/list", &json!({"version": version, "whole": false, "entries": [entry]}));
    }
}

fn inject_faults(seed: u64, faults: &FaultControl, stop: &AtomicBool) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1000 + 600);
    while !stop.load(Ordering::Relaxed) {
        let (fault, rate) = FAULTS[random.random_range(0..FAULTS.len())];
        faults.set(fault, rate);
        std::thread::sleep(Duration::from_millis(random.random_range(50..400)));
        faults.clear();
        std::thread::sleep(Duration::from_millis(random.random_range(50..600)));
    }
}

fn list(endpoints: &[SocketAddr]) -> Value {
    let entry = |(number, address): (usize, &SocketAddr)| {
        json!({"id": number + 1, "destination": 0, "kind": "k", "zone": "a", "state": "ready",
            "address": address.to_string()})
    };
    let entries: Vec<Value> = endpoints.iter().enumerate().map(entry).collect();
    json!({"version": 1, "whole": true, "entries": entries})
}

/// Plays one run and returns the violations.
fn run(seed: u64, duration: Duration) -> Vec<String> {
    let dir = work_folder::work_folder(&format!("kafka-soak-{seed}"));
    std::fs::create_dir_all(&dir).expect("a folder");
    let faults = FaultControl::new(&dir.join("faults"), &dir, seed).expect("a control file");
    let mut courier = Courier::start_under(&dir, &faults, MEMORY_MB);
    let calls = CallLog::default();
    let endpoints: Vec<SocketAddr> = (0..ENDPOINTS)
        .map(|number| endpoint::start(EndpointPlan { seed, number }, Arc::clone(&calls)))
        .collect();
    let mut settings = settings();
    settings["connections"] = json!({"calls": 1 + seed % 4});
    control::put(courier.control, "/settings", &settings);
    control::put(courier.control, "/list", &list(&endpoints));
    let stop = AtomicBool::new(false);
    let kafka = courier.kafka;
    let mut answers = Vec::new();
    std::thread::scope(|scope| {
        let stop = &stop;
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || run_client(seed, client, kafka, stop))).collect();
        scope.spawn(move || run_intruder(seed, kafka, stop));
        scope.spawn(move || run_large_producers(seed, kafka, stop));
        if seed.is_multiple_of(2) {
            let control = courier.control;
            let endpoints = &endpoints;
            scope.spawn(move || change_list(seed, control, endpoints, stop));
        }
        scope.spawn(|| inject_faults(seed, &faults, stop));
        std::thread::sleep(duration);
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            answers.extend(client.join().expect("a client ends"));
        }
    });
    let mut violations = check(seed, &answers, &calls);
    if courier.child.try_wait().expect("a child").is_some() {
        violations.push(format!("seed {seed}: the process has ended by itself"));
    } else if courier.peak_memory_bytes() > MEMORY_MB * 1_000_000 {
        violations.push(format!("seed {seed}: peak memory of {} bytes", courier.peak_memory_bytes()));
    }
    let peak = courier.peak_memory_bytes() / 1000;
    drop(courier);
    let _ = std::fs::remove_dir_all(dir);
    let served = answers.iter().filter(|answer| answer.code == Some(codes::NONE)).count();
    let count = violations.len();
    println!("seed {seed}: {} answers, {served} served, peak {peak} KB, {count} violations", answers.len());
    violations
}

fn check(seed: u64, answers: &[Answer], calls: &CallLog) -> Vec<String> {
    let mut executions: BTreeMap<String, usize> = BTreeMap::new();
    for call in calls.lock().expect("no test thread panics").iter() {
        *executions.entry(call.id.clone()).or_default() += usize::from(call.is_executed);
    }
    let mut violations = Vec::new();
    for Answer { id, answered_at, .. } in answers {
        let all = calls.lock().expect("no test thread panics");
        let mut arrivals = all.iter().filter(|call| call.id == *id).filter_map(|call| call.arrived_at);
        if let Some(late) = arrivals.find(|&at| at > *answered_at + SENDING_TOLERANCE) {
            let after = (late - *answered_at).as_millis();
            violations.push(format!("seed {seed}: {id} was sent {after} ms after its answer"));
        }
    }
    for Answer { id, topic, code, .. } in answers {
        let count = executions.get(id).copied().unwrap_or(0);
        match code {
            None => violations.push(format!("seed {seed}: {id} got no answer")),
            Some(codes::NONE) if count == 0 => {
                violations.push(format!("seed {seed}: {id} answered as served, but not executed"));
            }
            // Repeating a message that is idempotent is harmless, whether or not it was executed.
            Some(codes::NOT_ENOUGH_REPLICAS) if count > 0 && *topic == "order" => {
                violations.push(format!("seed {seed}: {id} answered as not persisted, but executed"));
            }
            Some(_) => {}
        }
        if *topic == "order" && count > 1 {
            violations.push(format!("seed {seed}: {id} executed {count} times"));
        }
    }
    for (id, count) in executions {
        if id.starts_with(INTRUDER) && count > 1 {
            violations.push(format!("seed {seed}: {id} executed {count} times"));
        }
    }
    violations
}

#[test]
fn kafka_front_believes_only_its_own_responses_under_faults() {
    let duration = soak::duration(DEFAULT_DURATION);
    let violations: Vec<String> = soak::seeds(DEFAULT_SEEDS).flat_map(|seed| run(seed, duration)).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
