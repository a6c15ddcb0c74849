use super::decode::read;
use super::encode::PacketEncoder;
use super::security::{encrypt, sign, CHECKSUM_BYTES, IV_BYTES};
use super::*;
use crate::series::{Point, PointValue, SeriesSubject};
use crate::settings::{Require, Security, User};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn alice() -> User {
    User { user: "alice".into(), key: "secret".into() }
}

fn keys(keys: &[&str]) -> BTreeMap<String, Vec<String>> {
    BTreeMap::from([("alice".to_owned(), keys.iter().map(|key| (*key).to_owned()).collect())])
}

fn encoder(security: &Security) -> PacketEncoder<'_> {
    PacketEncoder { host: "h", time: 1_500_000_000, interval: 10_000_000_000, security, max_bytes: 1452 }
}

fn packet(security: &Security) -> Vec<u8> {
    let points = [Point::new(SeriesSubject::Courier, "taken", PointValue::Counter(258))];
    let mut packets = encoder(security).points(&points, &mut || [9; IV_BYTES]);
    assert_eq!(packets.len(), 1);
    packets.remove(0)
}

/// A packet with one counter, derived by hand from the published description of the protocol.
const PLAIN: &[u8] = b"\x00\x00\x00\x06h\x00\
    \x00\x08\x00\x0c\x00\x00\x00\x00\x60\x00\x00\x00\
    \x00\x09\x00\x0c\x00\x00\x00\x02\x80\x00\x00\x00\
    \x00\x02\x00\x0flinnetcart\x00\
    \x00\x03\x00\x0ccourier\x00\
    \x00\x04\x00\x0bderive\x00\
    \x00\x05\x00\x0ataken\x00\
    \x00\x06\x00\x0f\x00\x01\x02\x00\x00\x00\x00\x00\x00\x01\x02";

#[test]
fn plain_packet_encoded_matches_published_bytes() {
    assert_eq!(packet(&Security::None), PLAIN);
    let items = read(PLAIN, &BTreeMap::new(), Require::Nothing).expect("a valid packet");
    let PacketItem::Values { header, values } = &items[0] else { panic!("{items:?}") };
    assert_eq!(
        (header.type_name.as_str(), nanos(header.time), values[0]),
        ("derive", 1_500_000_000, MetricValue::Derive(258))
    );
}

#[test]
fn secured_packets_encoded_have_published_layout() {
    let signed = packet(&Security::Sign(alice()));
    assert_eq!(&signed[..4], b"\x02\x00\x00\x29", "41 bytes: header, code, name");
    assert_eq!(&signed[36..41], b"alice");
    assert_eq!(&signed[41..], PLAIN);
    let sealed = packet(&Security::Encrypt(alice()));
    assert_eq!(&sealed[..2], b"\x02\x10");
    assert_eq!(usize::from(u16::from_be_bytes([sealed[2], sealed[3]])), sealed.len());
    assert_eq!(&sealed[4..11], b"\x00\x05alice");
    assert_eq!(&sealed[11..27], [9; IV_BYTES]);
    assert_eq!(sealed.len(), 27 + CHECKSUM_BYTES + PLAIN.len());
    for packet in [&signed, &sealed] {
        let plain = read(PLAIN, &keys(&[]), Require::Nothing);
        assert_eq!(read(packet, &keys(&["secret"]), Require::Signed), plain);
        assert_eq!(read(packet, &keys(&["new", "secret"]), Require::Signed), plain, "during key rotation");
        assert_eq!(
            read(packet, &keys(&["new"]), Require::Nothing),
            Err(PacketError::NotAuthentic { user: "alice".into() })
        );
        assert_eq!(
            read(packet, &BTreeMap::new(), Require::Nothing),
            Err(PacketError::UnknownUser { user: "alice".into() })
        );
    }
    assert_eq!(read(&signed, &keys(&["secret"]), Require::Encrypted), Err(PacketError::InsufficientSecurity));
    assert_eq!(read(PLAIN, &keys(&["secret"]), Require::Signed), Err(PacketError::InsufficientSecurity));
    let mut forged = signed.clone();
    *forged.last_mut().expect("a byte") ^= 1;
    assert_eq!(
        read(&forged, &keys(&["secret"]), Require::Nothing),
        Err(PacketError::NotAuthentic { user: "alice".into() })
    );
}

#[test]
fn packet_with_wrong_length_or_nesting_is_rejected() {
    let none = BTreeMap::new();
    assert_eq!(
        read(b"\x00\x00\x00\x00h", &none, Require::Nothing),
        Err(PacketError::InvalidLength { offset: 0 }),
        "length zero"
    );
    assert_eq!(
        read(&PLAIN[..PLAIN.len() - 1], &none, Require::Nothing),
        Err(PacketError::InvalidLength { offset: 78 })
    );
    let twice = sign(&sign(PLAIN, &alice()), &alice());
    assert_eq!(
        read(&twice, &keys(&["secret"]), Require::Nothing),
        Err(PacketError::MisplacedSecurity { offset: 41 })
    );
    let inner = encrypt(&encrypt(PLAIN, &alice(), [1; IV_BYTES]), &alice(), [2; IV_BYTES]);
    assert_eq!(
        read(&inner, &keys(&["secret"]), Require::Nothing),
        Err(PacketError::MisplacedSecurity { offset: 0 })
    );
    let late = [PLAIN, &sign(PLAIN, &alice())[..]].concat();
    assert_eq!(
        read(&late, &keys(&["secret"]), Require::Nothing),
        Err(PacketError::MisplacedSecurity { offset: PLAIN.len() })
    );
}

#[test]
fn packets_of_many_points_fill_the_limit_and_decode_alone() {
    for security in [Security::None, Security::Sign(alice()), Security::Encrypt(alice())] {
        let mut points = Vec::new();
        let mut expected = Vec::new();
        for count in 0..400 {
            let destination = format!("d{}", count / 7);
            expected.push((format!("dest-{destination}"), count as f64));
            let subject = SeriesSubject::Destination(destination);
            points.push(Point::new(subject, "taken", PointValue::Counter(count)));
        }
        let packets = encoder(&security).points(&points, &mut || [7; IV_BYTES]);
        assert!(packets.iter().all(|packet| packet.len() <= 1452));
        assert!(packets[..packets.len() - 1].iter().all(|packet| packet.len() > 1300), "filled");
        let mut decoded = Vec::new();
        for packet in &packets {
            for item in read(packet, &keys(&["secret"]), Require::Nothing).expect("a valid packet") {
                let PacketItem::Values { header, values } = item else { panic!("{item:?}") };
                decoded.push((header.plugin_instance, values[0].as_f64()));
            }
        }
        assert_eq!(decoded, expected);
    }
}

#[test]
fn notification_encoded_carries_subject_and_severity() {
    let packet =
        encoder(&Security::None).notification("dest-x", Severity::Failure, "out", &mut || [0; IV_BYTES]);
    let items = read(&packet, &BTreeMap::new(), Require::Nothing).expect("a valid packet");
    assert!(matches!(
        &items[0],
        PacketItem::Notification { header, severity: 1, text }
            if header.plugin_instance == "dest-x" && text == "out"
    ));
}

proptest! {
    #[test]
    fn packet_mutated_is_rejected_without_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300), position in 0usize..200, flip in 1u8..,
    ) {
        let keys = keys(&["secret"]);
        let _ = read(&bytes, &keys, Require::Nothing);
        for security in [Security::None, Security::Sign(alice()), Security::Encrypt(alice())] {
            let mut changed = packet(&security);
            let position = position % changed.len();
            changed[position] ^= flip;
            let decoded = read(&changed, &keys, Require::Signed);
            prop_assert!(decoded.is_err(), "{:?}", decoded);
            let _ = read(&changed[..position], &keys, Require::Nothing);
        }
    }

    #[test]
    fn time_converted_and_back_differs_by_at_most_a_nanosecond(time in 0u64..u64::MAX / 8) {
        prop_assert!(nanos(high_resolution(time)).abs_diff(time) <= 1);
    }
}
