//! Encoding of the HTTP request that an attempt sends to its endpoint.

use super::clock::MILLISECOND;
use crate::records::Message;
use linnetcart::Time;
use std::net::SocketAddr;

/// Encodes the request that delivers a message to an endpoint. `time_remaining` (nanoseconds) is sent in
/// whole milliseconds, rounded down.
pub fn encode(message: &Message, host: SocketAddr, time_remaining: Time) -> Vec<u8> {
    let mut bytes = format!("POST /receive HTTP/1.1\r\nHost: {host}\r\nX-Txn: ").into_bytes();
    bytes.extend(&message.id);
    if let Some(key) = &message.idempotency_key {
        bytes.extend(b"\r\nIdempotency-Key: ");
        bytes.extend(key);
    }
    let remaining_ms = time_remaining / MILLISECOND;
    let length = message.body.len();
    let rest = format!("\r\nX-Remaining-Ms: {remaining_ms}\r\nContent-Length: {length}\r\n\r\n");
    bytes.extend(rest.into_bytes());
    bytes.extend(&message.body);
    bytes
}
