use super::*;

fn outlet() -> Outlet {
    Outlet::new("127.0.0.1:2003".parse().expect("an address"), 1000, 30 * SECOND, 1)
}

fn piece(n: u8) -> Vec<Chunk> {
    vec![Chunk { bytes: vec![n; 100], points: 10 }]
}

fn written(todo: &[Do]) -> Vec<u8> {
    todo.iter().filter_map(|d| if let Do::Write(b) = d { Some(b[0]) } else { None }).collect()
}

#[test]
fn buffer_over_limit_drops_oldest_and_counts_them() {
    let mut o = outlet();
    for n in 0..25 {
        o.push(piece(n));
    }
    assert_eq!((o.held(), o.losses().0), (1000, 150));
    assert_eq!(o.turn(0), [Do::Connect(o.address)]);
    o.connected(5);
    assert_eq!(written(&o.turn(5)), (15..25).collect::<Vec<u8>>(), "the newest are there, in order");
    o.taken(6, 1000);
    assert_eq!((o.held(), o.next()), (0, None));
}

#[test]
fn chunk_partly_written_is_resent_and_backoff_grows() {
    let mut o = outlet();
    (0..3).for_each(|n| o.push(piece(n)));
    o.turn(0);
    o.connected(0);
    assert_eq!(written(&o.turn(0)), [0, 1, 2]);
    o.taken(1, 150);
    o.lost(2);
    let mut now = 2;
    let mut waits = Vec::new();
    for _ in 0..8 {
        let at = o.next().expect("it comes back");
        assert!(o.turn(at - 1).is_empty());
        waits.push(at - now);
        assert_eq!(o.turn(at), [Do::Connect(o.address)]);
        now = at + 1;
        o.lost(now);
    }
    assert!(waits[0] <= 3 * SECOND / 2 && waits[7] >= 30 * SECOND && waits[7] <= 90 * SECOND, "{waits:?}");
    let at = o.next().expect("it comes back");
    o.turn(at);
    o.connected(at);
    assert_eq!(written(&o.turn(at)), [1, 2], "the one cut in two goes again whole");
}

#[test]
fn receiver_not_reading_is_disconnected_and_buffer_stays_bounded() {
    let mut o = outlet();
    let mut closes = 0;
    for n in 0..2000u64 {
        o.push(piece((n % 200) as u8));
        let now = n * SECOND;
        for d in o.turn(now) {
            match d {
                Do::Connect(_) => o.connected(now),
                Do::Close => closes += 1,
                Do::Write(_) => {}
            }
        }
        assert!(o.held() <= 1000);
    }
    assert!(closes > 10, "{closes}");
    assert!(o.losses().0 > 19_000);
}
