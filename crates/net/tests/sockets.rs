//! Sockets of one process against each other over the loopback device.

use linnetcart_net::{Event, Net, Reserved};
use std::net::TcpListener;
use std::time::Duration;

/// Polls until an event satisfies `done`; returns all events up to then.
fn poll_until(net: &mut Net, mut done: impl FnMut(&Event) -> bool) -> Vec<Event> {
    let mut all = Vec::new();
    for _ in 0..200 {
        let mut now = Vec::new();
        net.poll(Duration::from_millis(50), &mut now).unwrap();
        let hit = now.iter().any(&mut done);
        all.extend(now);
        if hit {
            return all;
        }
    }
    panic!("it never came: {all:?}");
}

#[test]
fn connection_reset_by_peer_reports_closed_after_data_both_ways() {
    let mut net = Net::new(10).unwrap();
    let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = net.connect(at);
    let mut server = 0;
    let mut connected = false;
    poll_until(&mut net, |e| {
        match e {
            Event::Accepted { token, .. } => server = *token,
            Event::Connected(t) if *t == client => connected = true,
            _ => {}
        }
        server != 0 && connected
    });
    net.send(client, b"there");
    poll_until(&mut net, |e| matches!(e, Event::Data(t, b) if *t == server && &b[..] == b"there"));
    net.send(server, b"back");
    poll_until(&mut net, |e| matches!(e, Event::Data(t, b) if *t == client && &b[..] == b"back"));
    net.reset(server);
    let all = poll_until(&mut net, |e| matches!(e, Event::Closed { .. } | Event::HalfClosed(_)));
    assert!(all.iter().any(|e| matches!(e, Event::Closed { token, written: 5 } if *token == client)));
}

#[test]
fn connection_refused_or_over_maximum_fails() {
    let mut net = Net::new(3).unwrap();
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let token = net.connect(free);
    poll_until(&mut net, |e| matches!(e, Event::ConnectFailed(t) if *t == token));
    let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let first = net.connect(at);
    poll_until(&mut net, |e| matches!(e, Event::Accepted { .. }));
    let second = net.connect(at);
    // The bound is three: the accepted end of the second is closed as it comes.
    poll_until(
        &mut net,
        |e| matches!(e, Event::HalfClosed(t) | Event::Closed { token: t, .. } if *t == second),
    );
    let third = net.connect(at);
    poll_until(&mut net, |e| matches!(e, Event::ConnectFailed(t) if *t == third));
    assert!(net.connections() <= 3);
    net.close(first);
}

#[test]
fn reserved_port_without_listener_refuses_connections() {
    let mut net = Net::new(10).unwrap();
    let port = Reserved::new("127.0.0.1".parse().unwrap()).unwrap();
    for _ in 0..2 {
        let token = net.connect(port.addr());
        poll_until(&mut net, |e| matches!(e, Event::ConnectFailed(t) if *t == token));
        let (listener, at) = net.listen(port.addr()).unwrap();
        assert_eq!(at, port.addr());
        let token = net.connect(at);
        poll_until(&mut net, |e| matches!(e, Event::Connected(t) if *t == token));
        net.close(token);
        net.stop_listening(listener);
    }
}

#[test]
fn datagrams_sent_in_a_row_arrive_in_order() {
    let mut net = Net::new(10).unwrap();
    let (one, _) = net.bind_datagrams("127.0.0.1:0".parse().unwrap()).unwrap();
    let (other, at) = net.bind_datagrams("127.0.0.1:0".parse().unwrap()).unwrap();
    for n in 0..100u8 {
        assert!(net.send_to(one, at, &[n; 3]));
    }
    let mut next = 0;
    poll_until(&mut net, |e| {
        if let Event::Datagram(t, b) = e {
            assert_eq!((*t, &b[..]), (other, &[next; 3][..]));
            next += 1;
        }
        next == 100
    });
    net.close_datagrams(other);
    assert!(!net.send_to(other, at, b"x"));
}

#[test]
fn paused_connection_resumed_reports_data() {
    let mut net = Net::new(10).unwrap();
    let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = net.connect(at);
    let mut server = 0;
    poll_until(&mut net, |e| matches!(e, Event::Accepted { token, .. } if { server = *token; true }));
    net.set_read_paused(server, true);
    net.send(client, b"x");
    for _ in 0..5 {
        let mut events = Vec::new();
        net.poll(Duration::from_millis(5), &mut events).unwrap();
        assert!(!events.iter().any(|e| matches!(e, Event::Data(..))));
    }
    net.set_read_paused(server, false);
    poll_until(&mut net, |e| matches!(e, Event::Data(t, _) if *t == server));
}

#[test]
fn half_closed_connection_still_receives_data() {
    let mut net = Net::new(10).unwrap();
    let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = net.connect(at);
    let mut server = 0;
    poll_until(&mut net, |e| matches!(e, Event::Accepted { token, .. } if { server = *token; true }));
    net.shutdown_write(client);
    poll_until(&mut net, |e| matches!(e, Event::HalfClosed(t) if *t == server));
    net.send(server, b"late");
    poll_until(&mut net, |e| matches!(e, Event::Data(t, bytes) if *t == client && &bytes[..] == b"late"));
}

#[test]
fn connection_closed_after_flush_sends_what_is_queued_without_an_event() {
    const QUEUED_BYTES: usize = 4 << 20;
    let mut net = Net::new(10).unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = net.connect(address);
    net.send(client, &vec![7; QUEUED_BYTES]);
    assert_eq!(net.unsent_bytes(client), QUEUED_BYTES);
    net.close_after_flush(client);
    net.send(client, b"after the close");
    let mut received = 0;
    let events = poll_until(&mut net, |event| {
        if let Event::Data(_, bytes) = event {
            received += bytes.len();
        }
        matches!(event, Event::HalfClosed(_))
    });
    assert_eq!(received, QUEUED_BYTES);
    let of_client = |event: &Event| matches!(event, Event::Closed { token, .. } if *token == client);
    assert!(!events.iter().any(of_client));
    assert!(!net.has_unsent());
    assert_eq!(net.connections(), 1);
}

#[test]
fn listener_stopped_reports_the_connections_that_waited() {
    let mut net = Net::new(10).unwrap();
    let (listener, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut waiting = std::net::TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut waiting, b"first").unwrap();
    net.stop_listening(listener);
    let mut events = Vec::new();
    net.poll(Duration::ZERO, &mut events).unwrap();
    let accepted = events.iter().find_map(|event| match event {
        Event::Accepted { listener: on, token, .. } if *on == listener => Some(*token),
        _ => None,
    });
    let accepted = accepted.expect("the connection that waited is reported");
    assert!(matches!(&events[1], Event::Data(token, bytes) if *token == accepted && &bytes[..] == b"first"));
    let refused = net.connect(address);
    poll_until(&mut net, |event| matches!(event, Event::ConnectFailed(token) if *token == refused));
}
