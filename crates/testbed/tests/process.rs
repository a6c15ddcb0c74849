//! The courier as a process: its control interface, snapshot and shutdown, and its answers to clients while
//! other clients misbehave, file descriptors run out or system calls fail.

#[path = "support/control.rs"]
mod control;
#[path = "support/kafka.rs"]
mod kafka;
#[path = "support/started_courier.rs"]
#[allow(dead_code)]
mod started_courier;
#[path = "support/work_folder.rs"]
mod work_folder;

use kafka::produce_request;
use linnetcart_fault_injection::{Fault, FaultControl};
use linnetcart_kafka::{client, codes, Frames};
use serde_json::json;
use started_courier::{
    endpoint_list, exit_code, ready_line, send_sigterm, settings, Courier, SilentEndpoint, PROGRAM,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use work_folder::work_folder;

/// The limit of the memory of couriers under faults, in megabytes.
const MEMORY_MB: u64 = 64;
/// Size of a record's value, in bytes.
const RECORD_BYTES: usize = 100;
/// Read timeout of a client that waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Upper bound for the bytes that a courier accepts from a client that does not read its answers, before it
/// stops reading from that client (backpressure).
const MAX_UNREAD_BYTES: usize = 64 << 20;

/// Submits a message with correlation id 1.
fn submit(stream: &mut TcpStream, topic: &str) {
    stream.write_all(&produce_request(1, topic, RECORD_BYTES)).unwrap();
}

fn answer(stream: &mut TcpStream) -> client::ProduceReply {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    let mut frames = Frames::new(kafka::MAX_FRAME_BYTES);
    kafka::read_reply(stream, &mut frames).expect("closed instead of answered")
}

/// The Kafka error code of the next answer.
fn answer_code(stream: &mut TcpStream) -> i16 {
    answer(stream).parts[0].code
}

/// A courier recovers settings and endpoint list from its snapshot after SIGKILL. Invalid documents are
/// rejected.
#[test]
fn settings_and_endpoint_list_survive_a_kill() {
    let dir = work_folder("snapshot");
    let endpoint = SilentEndpoint::listen();
    let mut courier = Courier::start(&dir);
    assert_eq!(courier.put_status("/list", &endpoint_list(1, endpoint.address)), 409);
    assert_eq!(courier.put_status("/settings", &json!({"deployment": 3})), 422);
    control::put(courier.control, "/settings", &settings());
    let list = endpoint_list(5, endpoint.address);
    control::put(courier.control, "/list", &list);
    let reply = control::request(courier.control, "PUT", "/list", &list.to_string());
    assert!(reply.status == 422 && reply.body.contains("not above 5"), "{}", reply.body);
    courier.child.kill().unwrap();
    courier.child.wait().unwrap();
    let courier = Courier::start(&dir);
    let list = courier.get("/list");
    assert!(list.contains("\"version\": 5") && list.contains(&endpoint.address.to_string()), "{list}");
    drop(courier);
    // A truncated snapshot is set aside, and the courier starts without settings.
    let snapshot = dir.join("snapshot");
    let bytes = std::fs::read(&snapshot).unwrap();
    std::fs::write(&snapshot, &bytes[..bytes.len() / 2]).unwrap();
    let courier = Courier::start(&dir);
    let status = courier.get("/status");
    assert!(status.contains("set aside") && status.contains("\"courier\": null"), "{status}");
    assert!(dir.join("snapshot.damaged-1").exists());
    drop(courier);
    std::fs::remove_dir_all(dir).unwrap();
}

/// A courier in its graceful shutdown, with a client that waits for the answer to a message.
struct Draining {
    courier: Courier,
    client: TcpStream,
}

impl Draining {
    /// Starts a courier, submits a message that no endpoint answers, and sends the first SIGTERM.
    fn start(dir: &Path, endpoint: &SilentEndpoint) -> Draining {
        let courier = Courier::start(dir);
        courier.configure(endpoint.address);
        let mut client = courier.connect();
        submit(&mut client, "status");
        std::thread::sleep(Duration::from_millis(200));
        send_sigterm(&courier.child);
        Draining { courier, client }
    }

    fn exit_code(&mut self) -> Option<i32> {
        exit_code(&mut self.courier.child, Duration::from_secs(5))
    }
}

#[test]
fn first_signal_drains_and_second_signal_exits_at_once() {
    let dir = work_folder("signals");
    let endpoint = SilentEndpoint::listen();
    let mut draining = Draining::start(&dir.join("first"), &endpoint);
    let code = answer_code(&mut draining.client);
    assert_eq!(code, codes::NOT_ENOUGH_REPLICAS, "an idempotent message is rejected at the drain timeout");
    assert_eq!(draining.exit_code(), Some(0));
    assert!(TcpStream::connect(draining.courier.kafka).is_err());
    let mut draining = Draining::start(&dir.join("second"), &endpoint);
    std::thread::sleep(Duration::from_millis(200));
    send_sigterm(&draining.courier.child);
    assert_eq!(draining.exit_code(), Some(3));
    std::fs::remove_dir_all(dir).unwrap();
}

/// Sends batches of requests without reading the answers, until a write blocks for 300 ms because the courier
/// has stopped reading, or [`MAX_UNREAD_BYTES`] are sent. Returns the bytes of the batches that were sent
/// completely.
fn send_until_blocked(stream: &mut TcpStream) -> usize {
    stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let request = client::metadata(1, "t", 9, None).unwrap();
    let requests = request.repeat(1000);
    let mut sent = 0;
    while sent < MAX_UNREAD_BYTES && stream.write_all(&requests).is_ok() {
        sent += requests.len();
    }
    sent
}

/// One client sends half a request, one never reads its answers, and one sends no Kafka frame. A fourth
/// client is answered in time.
#[test]
fn slow_and_malformed_clients_delay_no_other_client() {
    let dir = work_folder("clients");
    let endpoint = SilentEndpoint::listen();
    let courier = Courier::start(&dir);
    courier.configure(endpoint.address);
    let request = produce_request(1, "status", RECORD_BYTES);
    let mut sends_half = courier.connect();
    sends_half.write_all(&request[..20]).unwrap();
    let mut never_reads = courier.connect();
    assert!(
        send_until_blocked(&mut never_reads) < MAX_UNREAD_BYTES,
        "the courier reads without bound from a client that reads no answers"
    );
    let mut malformed = courier.connect();
    malformed.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    malformed.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(matches!(malformed.read(&mut [0; 10]), Ok(0) | Err(_)), "not closed");
    // Another client is answered in time.
    let started = Instant::now();
    let mut stream = courier.connect();
    submit(&mut stream, "order");
    let code = answer_code(&mut stream);
    assert!(matches!(code, codes::UNKNOWN_SERVER_ERROR | codes::NOT_ENOUGH_REPLICAS), "{code}");
    assert!(started.elapsed() < Duration::from_secs(3));
    sends_half.write_all(&request[20..]).unwrap();
    assert_eq!(answer_code(&mut sends_half), codes::NOT_ENOUGH_REPLICAS);
    std::fs::remove_dir_all(dir).unwrap();
}

/// 60 connections to a courier with 40 file descriptors make `accept` fail with `EMFILE`.
#[test]
fn courier_out_of_file_descriptors_recovers() {
    let dir = work_folder("files");
    let endpoint = SilentEndpoint::listen();
    let courier = Courier::start_with_file_limit(&dir, 40);
    courier.configure(endpoint.address);
    let connections: Vec<TcpStream> = (0..60).map(|_| courier.connect()).collect();
    std::thread::sleep(Duration::from_millis(300));
    drop(connections);
    // The connections are closed, so descriptors are free again.
    let mut stream = courier.connect();
    submit(&mut stream, "order");
    let code = answer_code(&mut stream);
    assert!(matches!(code, codes::UNKNOWN_SERVER_ERROR | codes::NOT_ENOUGH_REPLICAS), "{code}");
    assert_eq!(control::request(courier.control, "GET", "/status", "").status, 200);
    std::fs::remove_dir_all(dir).unwrap();
}

/// The command `up` runs couriers and endpoints that deliver a message, until SIGTERM.
#[test]
fn stack_brought_up_delivers_and_ends_on_a_signal() {
    let mut child = Command::new(PROGRAM)
        .args(["up", "--seed", "3"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let ready = ready_line(&mut child);
    let kafka: SocketAddr = ready["kafka"].as_str().unwrap().parse().unwrap();
    let topic = ready["topics"][0].as_str().unwrap().to_owned();
    assert!(ready["destinations"].as_array().unwrap().len() > 3 && ready["control"].is_string());
    let mut stream = TcpStream::connect(kafka).unwrap();
    stream.write_all(&produce_request(7, &topic, RECORD_BYTES)).unwrap();
    let reply = answer(&mut stream);
    assert_eq!((reply.correlation, reply.parts[0].code), (7, codes::NONE));
    drop(stream);
    send_sigterm(&child);
    assert_eq!(exit_code(&mut child, Duration::from_secs(10)), Some(0));
}

/// Controls the faults of a courier whose files are in `dir`; no fault is set.
fn faults_of(dir: &Path) -> FaultControl {
    std::fs::create_dir_all(dir).unwrap();
    FaultControl::new(&dir.join("faults"), dir, 1).unwrap()
}

/// While system calls on sockets fail, a message is answered; after them, the same connection is still
/// usable.
#[test]
fn messages_are_answered_on_their_connection_despite_socket_faults() {
    let dir = work_folder("socket-faults");
    let faults = faults_of(&dir);
    let endpoint = SilentEndpoint::listen();
    let courier = Courier::start_under(&dir, &faults, MEMORY_MB);
    courier.configure(endpoint.address);
    // Each fault with its rate: the probability that a call fails is rate / 255.
    let fault_sets = [
        [(Fault::SendInterrupted, 200), (Fault::SendShort, 200)],
        [(Fault::SendNoBuffers, 128), (Fault::ReceiveNoBuffers, 128)],
        [(Fault::ReceiveInterrupted, 200), (Fault::ReceiveShort, 200)],
        [(Fault::Socket, 255), (Fault::Connect, 255)],
        [(Fault::ConnectInterrupted, 255), (Fault::SocketStatus, 160)],
    ];
    for fault_set in fault_sets {
        let mut client = courier.connect();
        fault_set.iter().for_each(|&(fault, rate)| faults.set(fault, rate));
        submit(&mut client, "order");
        let code = answer_code(&mut client);
        assert_ne!(code, codes::NONE, "{fault_set:?}: served, though the endpoint never answers");
        faults.clear();
        submit(&mut client, "order");
        assert_ne!(
            answer_code(&mut client),
            codes::NONE,
            "after {fault_set:?}: served, though the endpoint never answers"
        );
    }
}

/// A courier that cannot read its snapshot or open sockets at its start tries again until it can, and does
/// not start without the settings in the snapshot.
#[test]
fn courier_waits_for_its_snapshot_while_calls_fail_at_its_start() {
    let dir = work_folder("start-faults");
    let faults = faults_of(&dir);
    let endpoint = SilentEndpoint::listen();
    let mut courier = Courier::start_under(&dir, &faults, MEMORY_MB);
    courier.configure(endpoint.address);
    courier.child.kill().unwrap();
    courier.child.wait().unwrap();
    let at_start = [Fault::FileRead, Fault::Socket];
    at_start.iter().for_each(|&fault| faults.always(fault));
    let is_cleared = AtomicBool::new(false);
    let courier = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(500));
            is_cleared.store(true, Ordering::SeqCst);
            faults.clear();
        });
        // Not in a scoped thread: the kernel kills a courier when the thread that started it ends
        // (`PR_SET_PDEATHSIG`).
        Courier::start_under(&dir, &faults, MEMORY_MB)
    });
    assert!(is_cleared.load(Ordering::SeqCst), "ready before it could read its snapshot");
    assert!(at_start.iter().any(|&fault| faults.injected(fault) > 0), "no fault was injected");
    assert!(
        courier.get("/list").contains(&endpoint.address.to_string()),
        "the endpoint list of the snapshot is not in force"
    );
}
