//! HTTP requests to the control interface of a courier.

use linnetcart_testbed::courier_process::{http_request, HttpReply};
use serde_json::Value;
use std::net::SocketAddr;

/// Sends a request and returns the reply, whatever its status.
pub fn request(control: SocketAddr, method: &str, path: &str, body: &str) -> HttpReply {
    http_request(control, method, path, body).unwrap()
}

/// Sends a document with PUT and asserts that the courier accepts it.
pub fn put(control: SocketAddr, path: &str, document: &Value) {
    let reply = request(control, "PUT", path, &document.to_string());
    assert_eq!(reply.status, 200, "PUT {path}: {}", reply.body);
}
