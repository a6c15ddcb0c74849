//! Kafka requests that a client sends and replies that it reads.

use linnetcart_kafka::client::{self, ProduceReply, ProduceTarget};
use linnetcart_kafka::{Frames, Record};
use std::io::Read;
use std::net::TcpStream;

const PRODUCE_VERSION: i16 = 9;
/// The value of `acks` with which a Produce request is acknowledged once every replica has the records.
const ALL_REPLICAS: i16 = -1;
const PRODUCE_TIMEOUT_MS: i32 = 5000;
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// A Produce request for partition 0 with one record, whose value has this size.
pub fn produce_request(correlation: i32, topic: &str, record_bytes: usize) -> Vec<u8> {
    let record = Record { value: Some(vec![b'v'; record_bytes].into()), ..Record::default() };
    let target = ProduceTarget { topic, partition: 0, records: &[record] };
    let required = client::RequiredAcks { acks: ALL_REPLICAS, timeout_ms: PRODUCE_TIMEOUT_MS };
    client::produce(correlation, "test", PRODUCE_VERSION, required, &[target]).unwrap().to_vec()
}

/// Reads the next reply on a connection. Returns `None` if the connection has ended or nothing arrived in
/// time.
pub fn read_reply(stream: &mut TcpStream, frames: &mut Frames) -> Option<ProduceReply> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(frame) = frames.next_frame().unwrap() {
            return Some(client::read_produced(&frame, PRODUCE_VERSION).unwrap());
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => frames.push(&buffer[..length]),
            _ => return None,
        }
    }
}
