//! A client that submits messages and counts their answers.

use super::kafka::{self, produce_request, read_reply};
use linnetcart_kafka::{codes, Frames};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Size of a record's value, in bytes.
const RECORD_BYTES: usize = 50;
/// Read timeout of a client that waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The topics, and so the classes, of the messages that [`AnswerCounts::deliver`] submits, in round-robin
/// order.
const TOPICS: [&str; 2] = ["order", "query"];

/// A client that submits messages on one connection.
pub struct Client {
    stream: TcpStream,
    last_correlation: i32,
    frames: Frames,
}

impl Client {
    pub fn new(courier: SocketAddr) -> Client {
        let stream = TcpStream::connect(courier).unwrap();
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        Client { stream, last_correlation: 0, frames: Frames::new(kafka::MAX_FRAME_BYTES) }
    }

    pub fn submit(&mut self, topic: &str) {
        self.last_correlation += 1;
        let request = produce_request(self.last_correlation, topic, RECORD_BYTES);
        self.stream.write_all(&request).unwrap();
    }

    /// The Kafka error code of the next answer. `None` if the connection has ended or nothing arrived in
    /// time.
    pub fn next_answer(&mut self) -> Option<i16> {
        let reply = read_reply(&mut self.stream, &mut self.frames)?;
        Some(reply.parts[0].code)
    }
}

/// Counts of clients' messages, by the answer.
#[derive(Debug, Default)]
pub struct AnswerCounts {
    /// Number of submitted messages.
    pub submitted: u64,
    /// Number of messages whose answer says that the message was served (error code 0).
    pub served: u64,
    /// Number of messages whose answer has an error code: the message was rejected or failed.
    pub other: u64,
}

impl AnswerCounts {
    /// Submits messages on a new connection, each after the last is answered, and counts the answers.
    pub fn deliver(&mut self, courier: SocketAddr, messages: usize) {
        let mut client = Client::new(courier);
        for number in 0..messages {
            client.submit(TOPICS[number % TOPICS.len()]);
            self.submitted += 1;
            match client.next_answer() {
                Some(codes::NONE) => self.served += 1,
                Some(_) => self.other += 1,
                None => panic!("a message was not answered"),
            }
        }
    }
}
