//! A producer whose requests the test writes itself, and endpoints that record the values they are sent.

use linnetcart_kafka::client::{self, ProduceTarget, RequiredAcks};
use linnetcart_kafka::server::{self, Body, PartitionResult};
use linnetcart_kafka::{codes, Frames, Record};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PRODUCE_VERSION: i16 = 9;
const MAX_FRAME_BYTES: usize = 1 << 20;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Whether an endpoint answers its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    Served,
    Nothing,
    /// Each call after 100 ms, but none with a value that ends in `-0.`.
    SlowlyButTheFirst,
}

/// An endpoint, and the values of the records in its calls.
pub struct Endpoint {
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

impl Endpoint {
    pub fn start(answers: Answers) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let log = Arc::new(Mutex::new(vec![]));
        let shared = Arc::clone(&log);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = Arc::clone(&shared);
                std::thread::spawn(move || serve(stream, answers, &log));
            }
        });
        Endpoint { address, log }
    }

    pub fn calls(&self) -> Vec<String> {
        self.log.lock().expect("no thread panics").clone()
    }
}

fn serve(mut stream: TcpStream, answers: Answers, log: &Mutex<Vec<String>>) {
    let mut frames = Frames::new(MAX_FRAME_BYTES);
    let mut buffer = [0; 65536];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        frames.push(&buffer[..length]);
        while let Ok(Some(frame)) = frames.next_frame() {
            let request = server::read(&frame).expect("a request");
            let Body::Produce(produce) = request.body else {
                let versions = server::api_versions(request.correlation, request.version);
                let _ = stream.write_all(&versions);
                continue;
            };
            let part = &produce.parts[0];
            let values: Vec<String> = part
                .records
                .iter()
                .flatten()
                .filter_map(|record| record.value.as_deref())
                .map(|value| String::from_utf8_lossy(value).into_owned())
                .collect();
            let is_first = values.iter().any(|value| value.ends_with("-0."));
            log.lock().expect("no thread panics").extend(values);
            if answers == Answers::SlowlyButTheFirst {
                std::thread::sleep(Duration::from_millis(100));
            }
            if answers == Answers::Nothing || (answers == Answers::SlowlyButTheFirst && is_first) {
                continue;
            }
            let result = PartitionResult {
                topic: part.topic.clone(),
                partition: part.partition,
                code: codes::NONE,
                ..PartitionResult::default()
            };
            let response = server::produce(request.correlation, request.version, &[result], 0, None);
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }
}

/// A request that submits one message with this value to destination 0.
pub fn produce_request(correlation: i32, topic: &str, value: &str) -> Vec<u8> {
    let record = Record { value: Some(value.to_owned().into_bytes().into()), ..Record::default() };
    let target = ProduceTarget { topic, partition: 0, records: &[record] };
    let required = RequiredAcks { acks: -1, timeout_ms: 5000 };
    client::produce(correlation, "peers", PRODUCE_VERSION, required, &[target]).expect("valid").to_vec()
}

/// A connection to the courier on which one request follows another.
pub struct Producer {
    pub stream: TcpStream,
    frames: Frames,
}

impl Producer {
    pub fn connect(kafka: SocketAddr) -> Producer {
        let stream = TcpStream::connect(kafka).expect("the courier listens");
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a timeout");
        stream.set_nodelay(true).expect("an option");
        Producer { stream, frames: Frames::new(MAX_FRAME_BYTES) }
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Returns the error code of the next reply; `None` if the connection ends.
    pub fn read_code(&mut self) -> Option<i16> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(frame) = self.frames.next_frame().expect("a frame") {
                return Some(client::read_produced(&frame, PRODUCE_VERSION).expect("a reply").parts[0].code);
            }
            match self.stream.read(&mut buffer) {
                Ok(length @ 1..) => self.frames.push(&buffer[..length]),
                _ => return None,
            }
        }
    }

    /// Submits one message and returns the error code of its answer.
    pub fn submit(&mut self, correlation: i32, value: &str) -> Option<i16> {
        self.send(&produce_request(correlation, "order", value)).then(|| self.read_code()).flatten()
    }
}
