use super::*;
use crate::settings::Require;

const SECOND: u64 = 1_000_000_000;

fn part(part_type: u16, content: &[u8]) -> Vec<u8> {
    let length = (content.len() + 4) as u16;
    [&part_type.to_be_bytes()[..], &length.to_be_bytes(), content].concat()
}

/// Encodes a packet with the numbers of octets that a network interface has received and sent.
fn octets(time: u64, received: i64, sent: i64) -> Vec<u8> {
    let values = [&b"\x00\x02\x02\x02"[..], &received.to_be_bytes(), &sent.to_be_bytes()].concat();
    [
        part(0, b"h\0"),
        part(8, &collectd::high_resolution(time).to_be_bytes()),
        part(2, b"interface\0"),
        part(3, b"eth0\0"),
        part(4, b"if_octets\0"),
        part(6, &values),
    ]
    .concat()
}

fn monitor() -> HostMonitor {
    let address = "127.0.0.1:1".parse().expect("an address");
    HostMonitor::new(Listen { address, require: Require::Nothing, users: BTreeMap::new(), skew_s: 300 })
}

#[test]
fn rates_come_from_two_reports_and_replay_changes_nothing() {
    let mut monitor = monitor();
    let wall = 1_700_000_000 * SECOND;
    monitor.packet_received(&octets(wall, 1000, 500), 0, wall);
    monitor.packet_received(&octets(wall + 10 * SECOND, 21_000, 10_500), 0, wall + 10 * SECOND);
    assert_eq!(monitor.status(0).links["eth0"], LinkRates { received: 2000.0, sent: 1000.0 });
    let before = monitor.status(0);
    monitor.packet_received(&octets(wall, 1000, 500), 0, wall + 11 * SECOND);
    monitor.packet_received(&octets(wall + 10 * SECOND, 0, 0), 0, wall + 11 * SECOND);
    monitor.packet_received(&octets(wall + 4000 * SECOND, 9, 9), 0, wall + 12 * SECOND);
    let after = monitor.status(0);
    assert_eq!((after.values_outdated, &after.links), (3, &before.links));
}

#[test]
fn invalid_packets_are_counted_and_series_are_limited() {
    let mut monitor = monitor();
    assert!(monitor.packet_received(b"\x00\x00\x00\x00", 0, 0).is_some(), "the first rejection is logged");
    for _ in 0..100 {
        assert!(
            monitor.packet_received(b"\x00\x00\x00\x00", 0, 0).is_none(),
            "repeated rejections are not logged"
        );
    }
    assert_eq!(monitor.status(0).packets_rejected, 101);
    for link in 0..MAX_SERIES + 50 {
        let name = [format!("eth{link}").as_bytes(), b"\0"].concat();
        let values = [&b"\x00\x01\x01"[..], &1f64.to_le_bytes()].concat();
        monitor.packet_received(&[part(2, b"interface\0"), part(3, &name), part(6, &values)].concat(), 0, 0);
    }
    assert_eq!(monitor.status(0).values_beyond_limit, 50);
}

#[test]
fn status_serialized_keeps_documented_names_and_lists() {
    let mut status = HostStatus { hosts: vec!["h".into()], packets_accepted: 1, ..HostStatus::default() };
    status.load = Some(LoadAverages { one_minute: 0.5, five_minutes: 1.5, fifteen_minutes: 2.5 });
    status.links.insert("eth0".into(), LinkRates { received: 1.0, sent: 2.0 });
    status.disks.insert("sda".into(), DiskRates { read: 3.0, written: 4.0 });
    let wanted = concat!(
        r#"{"hosts":["h"],"load":[0.5,1.5,2.5],"links":{"eth0":[1.0,2.0]},"disks":{"sda":[3.0,4.0]},"#,
        r#""age_s":null,"good":1,"bad":0,"last_bad":null,"old":0,"beyond":0}"#,
    );
    assert_eq!(serde_json::to_string(&status).expect("serializable"), wanted);
}
