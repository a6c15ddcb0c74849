//! Clients that violate the protocol: bytes behind a request, a request while its predecessor is open, and
//! requests that are cut in two by a close.

use crate::random::Random;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The start of the ids of messages that these clients submit.
pub const ID_PREFIX: &str = "intruder-";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends invalid sequences of requests until `stop` is set.
pub fn run(seed: u64, courier: SocketAddr, stop: &AtomicBool) {
    let mut random = Random::new(seed, 200);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(random.between(10, 120)));
        let Ok(mut stream) = TcpStream::connect(courier) else { continue };
        let _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
        let mut next_request = || {
            number += 1;
            request(&format!("{ID_PREFIX}{seed}-{number}."))
        };
        let (first, second) = (next_request(), next_request());
        let cut = random.below(second.len() as u64) as usize;
        let bytes = match random.below(5) {
            // The same request again, behind itself.
            0 => format!("{first}{first}"),
            1 => format!("{first}{second}"),
            2 => format!("{first}{}", &second[..cut]),
            3 => format!("{first}\u{7}noise"),
            _ => second[..cut].to_owned(),
        };
        if stream.write_all(bytes.as_bytes()).is_err() {
            continue;
        }
        if random.chance(30) {
            let _ = stream.shutdown(Shutdown::Write);
        }
        if random.chance(70) {
            let _ = stream.read(&mut [0; 256]);
            // The rest comes after the answer, or crosses it.
            let _ = stream.write_all(&second.as_bytes()[cut..]);
            let _ = stream.read(&mut [0; 256]);
        }
    }
}

fn request(id: &str) -> String {
    format!(
        "POST /order HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 900\r\nX-Route-To: dest=3\r\n\
         Content-Length: 40\r\n\r\n{id:x<40}"
    )
}
