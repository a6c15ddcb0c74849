//! The Kafka front: after the final answer of a message nothing is sent for it.

#[path = "support/control.rs"]
mod control;
#[path = "support/started_courier.rs"]
#[allow(dead_code)]
mod started_courier;
#[path = "support/work_folder.rs"]
mod work_folder;

use linnetcart_fault_injection::{Fault, FaultControl, ALWAYS};
use linnetcart_kafka::client::{self, ProduceTarget, RequiredAcks};
use linnetcart_kafka::server::{self, Body, PartitionResult};
use linnetcart_kafka::{codes, Frames, Record};
use started_courier::Courier;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The limit of the courier's memory, in megabytes.
const MEMORY_MB: u64 = 64;
const PRODUCE_VERSION: i16 = 9;
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Longer than the deadline of the class `order`, after which its messages have their final answer.
const AFTER_DEADLINE: Duration = Duration::from_millis(1500);
/// How long the test waits for a call that must not come.
const NO_CALL: Duration = Duration::from_millis(500);

/// Enough for a connection that is kept for later calls.
const WARM_UP_MESSAGES: i32 = 4;

type CallLog = Arc<Mutex<Vec<String>>>;

/// Starts an endpoint that serves every call, and records the value of its first record.
fn serving_endpoint() -> (SocketAddr, CallLog) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let log = CallLog::default();
    let shared = Arc::clone(&log);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let log = Arc::clone(&shared);
            std::thread::spawn(move || serve(stream, &log));
        }
    });
    (address, log)
}

fn serve(mut stream: TcpStream, log: &CallLog) {
    let mut frames = Frames::new(MAX_FRAME_BYTES);
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        frames.push(&buffer[..length]);
        while let Ok(Some(frame)) = frames.next_frame() {
            let request = server::read(&frame).expect("a request");
            let response = match request.body {
                Body::Produce(produce) => {
                    let part = &produce.parts[0];
                    let records = part.records.as_ref().expect("records");
                    let value = records[0].value.clone().expect("a value");
                    log.lock().expect("no thread panics").push(String::from_utf8_lossy(&value).into_owned());
                    let result = PartitionResult {
                        topic: part.topic.clone(),
                        partition: part.partition,
                        code: codes::NONE,
                        ..PartitionResult::default()
                    };
                    server::produce(request.correlation, request.version, &[result], 0, None)
                }
                _ => server::api_versions(request.correlation, request.version),
            };
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }
}

fn submit(stream: &mut TcpStream, correlation: i32, id: &str) {
    let record = Record { value: Some(id.to_owned().into_bytes().into()), ..Record::default() };
    let target = ProduceTarget { topic: "order", partition: 0, records: &[record] };
    let required = RequiredAcks { acks: -1, timeout_ms: 5000 };
    let request = client::produce(correlation, "test", PRODUCE_VERSION, required, &[target]).expect("valid");
    stream.write_all(&request).expect("the courier reads");
}

fn read_code(stream: &mut TcpStream) -> i16 {
    let mut frames = Frames::new(MAX_FRAME_BYTES);
    let mut buffer = [0; 4096];
    loop {
        if let Some(frame) = frames.next_frame().expect("a frame") {
            return client::read_produced(&frame, PRODUCE_VERSION).expect("a reply").parts[0].code;
        }
        let length = stream.read(&mut buffer).expect("a reply in time");
        assert!(length > 0, "the connection ended without a reply");
        frames.push(&buffer[..length]);
    }
}

/// A call that `send` does not take (`ENOBUFS`) must not wait in the send queue until its message has been answered.
#[test]
fn call_not_taken_by_system_is_not_sent_after_final_answer() {
    let dir = work_folder::work_folder("kafka-unwritten");
    std::fs::create_dir_all(&dir).expect("a folder");
    let faults = FaultControl::new(&dir.join("faults"), &dir, 1).expect("a control file");
    let courier = Courier::start_under(&dir, &faults, MEMORY_MB);
    let (endpoint, calls) = serving_endpoint();
    courier.configure(endpoint);
    let mut stream = courier.connect();
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    for correlation in 0..WARM_UP_MESSAGES {
        submit(&mut stream, correlation, "warm");
        assert_eq!(read_code(&mut stream), codes::NONE);
    }
    let before = calls.lock().expect("no thread panics").len();
    faults.set(Fault::SendNoBuffers, ALWAYS);
    submit(&mut stream, WARM_UP_MESSAGES, "late");
    std::thread::sleep(AFTER_DEADLINE);
    faults.clear();
    assert_eq!(read_code(&mut stream), codes::NOT_ENOUGH_REPLICAS, "no byte of it was sent");
    std::thread::sleep(NO_CALL);
    assert_eq!(calls.lock().expect("no thread panics").len(), before, "sent after its final answer");
    drop(courier);
    let _ = std::fs::remove_dir_all(dir);
}
