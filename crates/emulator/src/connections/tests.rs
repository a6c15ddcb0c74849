use super::*;
use bytes::Bytes;
use rand::SeedableRng;

const FIXED_DELAY: DelayDistribution = DelayDistribution { minimum: 10, mean_extra: 0 };

fn data(text: &'static str) -> Segment {
    Segment::Data(Bytes::from_static(text.as_bytes()))
}

fn program_of(courier: u32) -> CourierIncarnation {
    CourierIncarnation { courier, incarnation: 0 }
}

fn table_with_connection() -> (ConnectionTable, Token) {
    let mut connections = ConnectionTable::default();
    let token = connections.open_to_endpoint(0, program_of(0), 1, 7);
    (connections, token)
}

#[test]
fn segments_with_any_delay_arrive_in_order() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut connections, token) = table_with_connection();
    let varying_delay = DelayDistribution { minimum: 10, mean_extra: 1000 };
    let mut last = 0;
    for now in 0..200 {
        let segment = data("x");
        let direction = Direction::FromCourier;
        let transmission = Transmission { now, token, direction, segment: &segment, kind: SendKind::First };
        let at = connections.send(transmission, &varying_delay, &mut rng).unwrap();
        assert!(at >= last && at >= now + 10);
        last = at;
    }
}

#[test]
fn partition_of_one_direction_queues_its_segments_and_releases_them_in_order() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut connections, token) = table_with_connection();
    let other = connections.open_to_endpoint(0, program_of(1), 2, 7);
    let incoming =
        Block { courier: 0, clients: false, endpoints: true, to_courier: true, from_courier: false };
    connections.begin_partition(3, vec![incoming]);
    let mut send = |connections: &mut ConnectionTable, token, direction, text| {
        let segment = data(text);
        let kind = SendKind::First;
        let transmission = Transmission { now: 5, token, direction, segment: &segment, kind };
        connections.send(transmission, &FIXED_DELAY, &mut rng)
    };
    let outgoing = send(&mut connections, token, Direction::FromCourier, "a");
    assert_eq!(outgoing, Some(15), "the other direction is not blocked");
    assert_eq!(
        send(&mut connections, other, Direction::ToCourier, "b"),
        Some(15),
        "other couriers are not blocked"
    );
    assert_eq!(send(&mut connections, token, Direction::ToCourier, "c"), None);
    assert_eq!(send(&mut connections, token, Direction::ToCourier, "d"), None);
    let blocked = StreamId { token, direction: Direction::ToCourier };
    assert_eq!(connections.end_partition(3), [blocked]);
    let released = connections.release(blocked).into_iter();
    let segments: Vec<Segment> = released.map(|queued| queued.segment).collect();
    assert_eq!(segments, [data("c"), data("d")]);
}

#[test]
fn socket_buffer_accepts_no_more_than_its_size_while_nothing_arrives() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut connections, token) = table_with_connection();
    let everything =
        Block { courier: 0, clients: true, endpoints: true, to_courier: true, from_courier: true };
    connections.begin_partition(1, vec![everything]);
    let segment = Segment::Data(Bytes::from(vec![0; SOCKET_BUFFER_BYTES as usize + 100]));
    let direction = Direction::FromCourier;
    let transmission = Transmission { now: 0, token, direction, segment: &segment, kind: SendKind::First };
    connections.send(transmission, &FIXED_DELAY, &mut rng);
    assert_eq!((connections.bytes_accepted(token), connections.backlog(token)), (SOCKET_BUFFER_BYTES, 100));
    assert!(connections.close_end(token, Side::Courier), "the other side must be notified");
    let released = connections.release(StreamId { token, direction });
    assert!(released.is_empty(), "queued data does not arrive");
}
