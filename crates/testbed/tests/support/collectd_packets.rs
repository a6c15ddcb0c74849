//! Packets of collectd's binary protocol, as the collectd of a host sends them.

use hmac::Mac;
use linnetcart_telemetry::collectd::high_resolution;
use std::time::{SystemTime, UNIX_EPOCH};

const PART_HEADER_BYTES: usize = 4;
const HOST_PART: u16 = 0;
const PLUGIN_PART: u16 = 2;
const TYPE_PART: u16 = 4;
const VALUES_PART: u16 = 6;
const HIGH_RESOLUTION_TIME_PART: u16 = 8;
/// The start of a values part: the number of values, 3, then the type of each, 1 for a gauge.
const THREE_GAUGES: [u8; 5] = [0, 3, 1, 1, 1];
/// The type of a signature part, 0x0200, and its length in bytes: 4 for this header, 32 for the HMAC-SHA-256
/// and 5 for the user name.
const SIGNATURE_HEADER: [u8; 4] = [0x02, 0x00, 0x00, 0x29];
const USER: &[u8] = b"alice";

/// A part: type and length of the whole part, both big-endian, then the body.
fn part(kind: u16, body: &[u8]) -> Vec<u8> {
    let length = (body.len() + PART_HEADER_BYTES) as u16;
    [&kind.to_be_bytes()[..], &length.to_be_bytes(), body].concat()
}

/// A packet with the load averages of a host over 1, 5 and 15 minutes, at the current time.
pub fn load_packet(load: [f64; 3]) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let time = high_resolution(now).to_be_bytes();
    let gauges: Vec<u8> = load.iter().flat_map(|value| value.to_le_bytes()).collect();
    [
        part(HOST_PART, b"host-1\0"),
        part(HIGH_RESOLUTION_TIME_PART, &time),
        part(PLUGIN_PART, b"load\0"),
        part(TYPE_PART, b"load\0"),
        part(VALUES_PART, &[&THREE_GAUGES[..], &gauges].concat()),
    ]
    .concat()
}

/// A packet signed by the user `alice`: the HMAC-SHA-256, under `key`, of the user name and the packet.
pub fn signed_by_alice(packet: &[u8], key: &str) -> Vec<u8> {
    let mut mac = <hmac::Hmac<sha2::Sha256> as Mac>::new_from_slice(key.as_bytes()).unwrap();
    mac.update(USER);
    mac.update(packet);
    let signature = mac.finalize().into_bytes();
    [&SIGNATURE_HEADER[..], &signature, USER, packet].concat()
}
