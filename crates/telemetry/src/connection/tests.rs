use super::*;

fn connection() -> ReceiverConnection {
    ReceiverConnection::new("127.0.0.1:2003".parse().expect("an address"), 1000, 30 * SECOND, 1)
}

/// A chunk of 10 points and 100 bytes, every byte of which is `content`.
fn chunk(content: u8) -> Vec<Chunk> {
    vec![Chunk { bytes: vec![content; 100], points: 10 }]
}

/// Returns the first byte of each chunk that is to be written.
fn written(actions: &[ConnectionAction]) -> Vec<u8> {
    let mut contents = Vec::new();
    for action in actions {
        if let ConnectionAction::Write(bytes) = action {
            contents.push(bytes[0]);
        }
    }
    contents
}

#[test]
fn buffer_over_limit_drops_oldest_and_counts_them() {
    let mut connection = connection();
    for content in 0..25 {
        connection.send(chunk(content));
    }
    assert_eq!((connection.buffered_bytes(), connection.losses().points_dropped), (1000, 150));
    assert_eq!(connection.poll(0), [ConnectionAction::Connect(connection.address)]);
    connection.connected(5);
    assert_eq!(
        written(&connection.poll(5)),
        (15..25).collect::<Vec<u8>>(),
        "the newest chunks remain, in order"
    );
    connection.written(6, 1000);
    assert_eq!((connection.buffered_bytes(), connection.next_wakeup()), (0, None));
}

#[test]
fn chunk_partly_written_is_resent_and_backoff_grows() {
    let mut connection = connection();
    (0..3).for_each(|content| connection.send(chunk(content)));
    connection.poll(0);
    connection.connected(0);
    assert_eq!(written(&connection.poll(0)), [0, 1, 2]);
    connection.written(1, 150);
    connection.disconnected(2);
    let mut now = 2;
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        let at = connection.next_wakeup().expect("a reconnection is scheduled");
        assert!(connection.poll(at - 1).is_empty());
        backoffs.push(at - now);
        assert_eq!(connection.poll(at), [ConnectionAction::Connect(connection.address)]);
        now = at + 1;
        connection.disconnected(now);
    }
    assert!(backoffs[0] <= 3 * SECOND / 2, "{backoffs:?}");
    assert!(backoffs[7] >= 30 * SECOND && backoffs[7] <= 90 * SECOND, "{backoffs:?}");
    let at = connection.next_wakeup().expect("a reconnection is scheduled");
    connection.poll(at);
    connection.connected(at);
    assert_eq!(written(&connection.poll(at)), [1, 2], "the partly written chunk is resent from its start");
}

#[test]
fn receiver_not_reading_is_disconnected_and_buffer_stays_bounded() {
    let mut connection = connection();
    let mut closes = 0;
    for second in 0..2000u64 {
        connection.send(chunk((second % 200) as u8));
        let now = second * SECOND;
        for action in connection.poll(now) {
            match action {
                ConnectionAction::Connect(_) => connection.connected(now),
                ConnectionAction::Close => closes += 1,
                ConnectionAction::Write(_) => {}
            }
        }
        assert!(connection.buffered_bytes() <= 1000);
    }
    assert!(closes > 10, "{closes}");
    assert!(connection.losses().points_dropped > 19_000);
}
