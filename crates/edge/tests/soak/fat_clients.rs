//! Clients that make the courier hold memory: large requests that come slowly or stop half way, heads without an end, and
//! large requests that are invalid. None of their messages is accepted.

use crate::faults::pause;
use crate::random::Random;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Number of connections at a time: more than the courier has for clients.
const CONNECTIONS: u64 = 150;
const BODY_BYTES: usize = 60_000;
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);

/// Opens connections, writes to them and closes some until `stop` is set.
pub fn run(seed: u64, courier: SocketAddr, stop: &AtomicBool) {
    let mut random = Random::new(seed, 300);
    let mut connections: Vec<TcpStream> = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        pause(Duration::from_millis(random.between(1, 30)), stop);
        if connections.len() as u64 >= CONNECTIONS {
            let closed = random.below(CONNECTIONS / 4) as usize;
            connections.drain(..closed);
        }
        number += 1;
        if let Ok(mut stream) = TcpStream::connect(courier) {
            let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
            let _ = stream.set_read_timeout(Some(WRITE_TIMEOUT));
            let _ =
                stream.write_all(start_of_request(&format!("fat-{seed}-{number}."), &mut random).as_bytes());
            connections.push(stream);
        }
        // Some go on with theirs, some read what they were answered.
        for stream in connections.iter_mut().rev().take(5) {
            if random.chance(30) {
                let _ = stream.write_all(&[b'x'; 50]);
            } else if random.chance(5) {
                let _ = stream.read(&mut [0; 256]);
            }
        }
    }
}

fn start_of_request(id: &str, random: &mut Random) -> String {
    // There is no such destination: a request that is complete is answered 404.
    let head = format!(
        "POST /order HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 900\r\nX-Route-To: dest=99\r\n\
         Content-Length: {BODY_BYTES}\r\n"
    );
    let body = "x".repeat(random.below(BODY_BYTES as u64 + 1) as usize);
    match random.below(4) {
        0 => head + &"a:1\r\n".repeat(random.below(3000) as usize),
        1 => format!("{head}\r\n{}", "x".repeat(BODY_BYTES)),
        _ => format!("{head}\r\n{body}"),
    }
}
