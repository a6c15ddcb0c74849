use super::*;
use crate::settings::Require;

const S: u64 = 1_000_000_000;

fn part(kind: u16, body: &[u8]) -> Vec<u8> {
    let length = (body.len() + 4) as u16;
    [&kind.to_be_bytes()[..], &length.to_be_bytes(), body].concat()
}

fn octets(at: u64, rx: i64, tx: i64) -> Vec<u8> {
    let values = [&b"\x00\x02\x02\x02"[..], &rx.to_be_bytes(), &tx.to_be_bytes()].concat();
    [
        part(0, b"h\0"),
        part(8, &collectd::high_resolution(at).to_be_bytes()),
        part(2, b"interface\0"),
        part(3, b"eth0\0"),
        part(4, b"if_octets\0"),
        part(6, &values),
    ]
    .concat()
}

fn host() -> Host {
    let address = "127.0.0.1:1".parse().expect("an address");
    Host::new(Listen { address, require: Require::Nothing, users: BTreeMap::new(), skew_s: 300 })
}

#[test]
fn rates_come_from_two_reports_and_replay_changes_nothing() {
    let mut host = host();
    let wall = 1_700_000_000 * S;
    host.packet(&octets(wall, 1000, 500), 0, wall);
    host.packet(&octets(wall + 10 * S, 21_000, 10_500), 0, wall + 10 * S);
    assert_eq!(host.view(0).links["eth0"], [2000.0, 1000.0]);
    let before = host.view(0);
    host.packet(&octets(wall, 1000, 500), 0, wall + 11 * S);
    host.packet(&octets(wall + 10 * S, 0, 0), 0, wall + 11 * S);
    host.packet(&octets(wall + 4000 * S, 9, 9), 0, wall + 12 * S);
    let after = host.view(0);
    assert_eq!((after.old, &after.links), (3, &before.links));
}

#[test]
fn invalid_packets_are_counted_and_series_are_limited() {
    let mut host = host();
    assert!(host.packet(b"\x00\x00\x00\x00", 0, 0).is_some(), "the first is told");
    for _ in 0..100 {
        assert!(host.packet(b"\x00\x00\x00\x00", 0, 0).is_none(), "and no flood follows");
    }
    assert_eq!(host.view(0).bad, 101);
    for n in 0..MOST + 50 {
        let name = [format!("eth{n}").as_bytes(), b"\0"].concat();
        let values = [&b"\x00\x01\x01"[..], &1f64.to_le_bytes()].concat();
        host.packet(&[part(2, b"interface\0"), part(3, &name), part(6, &values)].concat(), 0, 0);
    }
    assert_eq!(host.view(0).beyond, 50);
}
