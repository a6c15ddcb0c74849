//! Sockets of one process connected to each other over the loopback device.

use linnetcart_net::{Event, Net, ReadLimits, Reserved, Token};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const MAX_POLLS: usize = 200;
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const ANY_PORT: SocketAddr = SocketAddr::new(LOOPBACK, 0);

/// Polls until an event satisfies `is_expected`; returns all events up to and including that poll.
fn poll_until(net: &mut Net, mut is_expected: impl FnMut(&Event) -> bool) -> Vec<Event> {
    let mut all = Vec::new();
    for _ in 0..MAX_POLLS {
        let mut polled = Vec::new();
        net.poll(Duration::from_millis(50), &mut polled);
        let found = polled.iter().any(&mut is_expected);
        all.extend(polled);
        if found {
            return all;
        }
    }
    panic!("the expected event was not reported: {all:?}");
}

/// Polls until a listener accepts a connection; returns the accepted connection.
fn poll_until_accepted(net: &mut Net) -> Token {
    let mut accepted = None;
    poll_until(net, |event| {
        if let Event::Accepted { token, .. } = event {
            accepted.get_or_insert(*token);
        }
        accepted.is_some()
    });
    accepted.expect("the poll ended with an accepted connection")
}

/// A connection of which both ends belong to the same event loop.
struct ConnectedPair {
    net: Net,
    /// The end that connected.
    client: Token,
    /// The end that was accepted.
    server: Token,
}

fn connected_pair() -> ConnectedPair {
    let mut net = Net::new(10).unwrap();
    let address = net.listen(ANY_PORT).unwrap().address;
    let client = net.connect(address);
    let server = poll_until_accepted(&mut net);
    ConnectedPair { net, client, server }
}

fn poll_until_data(net: &mut Net, connection: Token, expected: &[u8]) {
    poll_until(
        net,
        |event| matches!(event, Event::Data { token, bytes, .. } if *token == connection && bytes == expected),
    );
}

fn poll_until_connect_failed(net: &mut Net, connection: Token) {
    poll_until(net, |event| matches!(event, Event::ConnectFailed { token, .. } if *token == connection));
}

#[test]
fn connection_reset_by_peer_reports_closed_after_data_both_ways() {
    let mut net = Net::new(10).unwrap();
    let address = net.listen(ANY_PORT).unwrap().address;
    let client = net.connect(address);
    let mut server = 0;
    let mut connected = false;
    poll_until(&mut net, |event| {
        match event {
            Event::Accepted { token, .. } => server = *token,
            Event::Connected(token) if *token == client => connected = true,
            _ => {}
        }
        server != 0 && connected
    });
    net.send(client, b"there");
    poll_until_data(&mut net, server, b"there");
    net.send(server, b"back");
    poll_until_data(&mut net, client, b"back");
    net.reset(server);
    let events = poll_until(&mut net, |event| matches!(event, Event::Closed { .. } | Event::HalfClosed(_)));
    let is_client_loss =
        |event: &Event| matches!(event, Event::Closed { token, written: 5 } if *token == client);
    assert!(events.iter().any(is_client_loss));
}

#[test]
fn connection_refused_or_over_maximum_fails() {
    let mut net = Net::new(3).unwrap();
    let unused_address = TcpListener::bind(ANY_PORT).unwrap().local_addr().unwrap();
    let refused = net.connect(unused_address);
    poll_until_connect_failed(&mut net, refused);
    let address = net.listen(ANY_PORT).unwrap().address;
    let first = net.connect(address);
    poll_until_accepted(&mut net);
    let second = net.connect(address);
    // The maximum is three: the accepted end of the second connection is closed at once.
    poll_until(
        &mut net,
        |event| matches!(event, Event::HalfClosed(token) | Event::Closed { token, .. } if *token == second),
    );
    let third = net.connect(address);
    poll_until_connect_failed(&mut net, third);
    assert!(net.connections() <= 3);
    net.close(first);
}

#[test]
fn reserved_port_without_listener_refuses_connections() {
    let mut net = Net::new(10).unwrap();
    let port = Reserved::new(LOOPBACK).unwrap();
    for _ in 0..2 {
        let refused = net.connect(port.addr());
        poll_until_connect_failed(&mut net, refused);
        let listener = net.listen(port.addr()).unwrap();
        assert_eq!(listener.address, port.addr());
        let established = net.connect(listener.address);
        poll_until(&mut net, |event| matches!(event, Event::Connected(token) if *token == established));
        net.close(established);
        net.stop_listening(listener.token);
    }
}

#[test]
fn datagrams_sent_in_a_row_arrive_in_order() {
    const DATAGRAMS: u8 = 100;
    let mut net = Net::new(10).unwrap();
    let sender = net.bind_datagrams(ANY_PORT).unwrap();
    let receiver = net.bind_datagrams(ANY_PORT).unwrap();
    for number in 0..DATAGRAMS {
        assert!(net.send_to(sender.token, receiver.address, &[number; 3]));
    }
    let mut received = 0;
    poll_until(&mut net, |event| {
        if let Event::Datagram(token, bytes) = event {
            assert_eq!((*token, &bytes[..]), (receiver.token, &[received; 3][..]));
            received += 1;
        }
        received == DATAGRAMS
    });
    net.close_datagrams(receiver.token);
    assert!(!net.send_to(receiver.token, receiver.address, b"x"));
}

#[test]
fn paused_connection_resumed_reports_data() {
    let ConnectedPair { mut net, client, server } = connected_pair();
    net.pause_reads(server);
    net.send(client, b"x");
    for _ in 0..5 {
        let mut events = Vec::new();
        net.poll(Duration::from_millis(5), &mut events);
        assert!(!events.iter().any(|event| matches!(event, Event::Data { .. })));
    }
    net.resume_reads(server);
    poll_until_data(&mut net, server, b"x");
}

#[test]
fn half_closed_connection_still_receives_data() {
    let ConnectedPair { mut net, client, server } = connected_pair();
    net.shutdown_write(client);
    poll_until(&mut net, |event| matches!(event, Event::HalfClosed(token) if *token == server));
    net.send(server, b"late");
    poll_until_data(&mut net, client, b"late");
}

#[test]
fn connection_closed_after_flush_sends_what_is_queued_without_an_event() {
    const QUEUED_BYTES: usize = 4 << 20;
    let mut net = Net::new(10).unwrap();
    let address = net.listen(ANY_PORT).unwrap().address;
    let client = net.connect(address);
    net.send(client, &vec![7; QUEUED_BYTES]);
    assert_eq!(net.unsent_bytes(client), QUEUED_BYTES);
    net.close_after_flush(client);
    net.send(client, b"after the close");
    let mut received = 0;
    let events = poll_until(&mut net, |event| {
        if let Event::Data { bytes, .. } = event {
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
fn listener_stopped_reports_queued_connections() {
    let mut net = Net::new(10).unwrap();
    let listener = net.listen(ANY_PORT).unwrap();
    let mut queued = TcpStream::connect(listener.address).unwrap();
    std::io::Write::write_all(&mut queued, b"first").unwrap();
    net.stop_listening(listener.token);
    let mut events = Vec::new();
    net.poll(Duration::ZERO, &mut events);
    let accepted = events.iter().find_map(|event| match event {
        Event::Accepted { listener: source, token, .. } if *source == listener.token => Some(*token),
        _ => None,
    });
    let accepted = accepted.expect("the queued connection is reported");
    assert!(
        matches!(&events[1], Event::Data { token, bytes, .. } if *token == accepted && &bytes[..] == b"first")
    );
    let refused = net.connect(listener.address);
    poll_until_connect_failed(&mut net, refused);
}

/// Input that arrives before a request is written is reported before the request leaves.
#[test]
fn connection_that_reads_before_writes_reports_input_first() {
    let listener = TcpListener::bind(ANY_PORT).unwrap();
    let mut net = Net::new(10).unwrap();
    let client = net.connect(listener.local_addr().unwrap());
    net.read_before_write(client);
    poll_until(&mut net, |event| matches!(event, Event::Connected(token) if *token == client));
    let mut peer = listener.accept().unwrap().0;
    peer.write_all(b"early").unwrap();
    // Nothing of it is written while input is unread, so that it can be taken back.
    net.send(client, b"first");
    net.flush();
    assert_eq!((net.written_bytes(client), net.take_back_last(client)), (0, Some(5)));
    net.send(client, b"second");
    let events = poll_until(&mut net, |event| matches!(event, Event::Data { .. }));
    let early = events.iter().find_map(|event| match event {
        Event::Data { bytes, written, .. } => Some((bytes.to_vec(), *written)),
        _ => None,
    });
    assert_eq!(early, Some((b"early".to_vec(), 0)));
    net.flush();
    assert_eq!(net.written_bytes(client), 6);
    peer.write_all(b"late").unwrap();
    poll_until(&mut net, |event| matches!(event, Event::Data { written: 6, bytes, .. } if bytes == "late"));
}

/// What [`Net::close_lingering`] has to get across: the last bytes, although the peer sends more behind them.
#[test]
fn bytes_before_lingering_close_arrive_although_the_peer_still_sends() {
    let mut net = Net::new(10).unwrap();
    let address = net.listen(ANY_PORT).unwrap().address;
    let mut peer = TcpStream::connect(address).unwrap();
    let server = poll_until_accepted(&mut net);
    peer.write_all(b"begin").unwrap();
    poll_until_data(&mut net, server, b"begin");
    net.send(server, b"refused");
    net.close_lingering(server);
    for _ in 0..5 {
        net.poll(Duration::from_millis(1), &mut vec![]);
        peer.write_all(b"the rest").unwrap();
    }
    assert_eq!(net.connections(), 1, "it waits for the peer");
    let mut received = Vec::new();
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    peer.read_to_end(&mut received).unwrap();
    assert_eq!(received, b"refused");
    for _ in 0..MAX_POLLS {
        net.poll(Duration::from_millis(1), &mut vec![]);
    }
    assert_eq!(net.connections(), 0, "the peer has closed its side");
}

/// A connection that only waits for its peer takes no place from a new one.
#[test]
fn lingering_connection_makes_room_for_a_new_one() {
    let mut net = Net::new(1).unwrap();
    let address = net.listen(ANY_PORT).unwrap().address;
    let _first = TcpStream::connect(address).unwrap();
    let server = poll_until_accepted(&mut net);
    net.close_lingering(server);
    net.poll(Duration::ZERO, &mut vec![]);
    let _second = TcpStream::connect(address).unwrap();
    poll_until_accepted(&mut net);
    assert_eq!(net.connections(), 1);
}

/// Input beyond a batch waits for [`Net::read_more`], or for the next poll.
#[test]
fn poll_reports_at_most_a_batch_at_a_time() {
    const PEERS: usize = 6;
    let mut net = Net::new(10).unwrap();
    net.set_read_limits(ReadLimits { buffer_bytes: 1024, reads_per_poll: 2, batch_bytes: 2048 });
    let address = net.listen(ANY_PORT).unwrap().address;
    let mut peers: Vec<_> = (0..PEERS).map(|_| TcpStream::connect(address).unwrap()).collect();
    for _ in 0..PEERS {
        net.poll(Duration::from_millis(1), &mut vec![]);
    }
    for peer in &mut peers {
        peer.write_all(&[b'x'; 1024]).unwrap();
    }
    let mut batches = Vec::new();
    let mut total = 0;
    for _ in 0..MAX_POLLS {
        let mut events = Vec::new();
        if net.has_unread() {
            net.read_more(&mut events);
        } else {
            net.poll(Duration::from_millis(1), &mut events);
        }
        let lengths =
            events.iter().map(|event| if let Event::Data { bytes, .. } = event { bytes.len() } else { 0 });
        let batch: usize = lengths.sum();
        total += batch;
        batches.push(batch);
    }
    assert_eq!(total, PEERS * 1024);
    assert!(batches.iter().all(|&batch| batch <= 2048), "{batches:?}");
}

/// What a peer has sent and then reset is unread and stays so: its requests are not processed for nobody.
#[test]
fn input_of_a_peer_that_has_reset_its_connection_is_dropped() {
    let mut net = Net::new(10).unwrap();
    let address = net.listen(ANY_PORT).unwrap().address;
    let mut peer = TcpStream::connect(address).unwrap();
    let server = poll_until_accepted(&mut net);
    net.pause_reads(server);
    peer.write_all(b"unread").unwrap();
    for _ in 0..5 {
        net.poll(Duration::from_millis(1), &mut vec![]);
    }
    socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    drop(peer);
    let events = poll_until(&mut net, |event| matches!(event, Event::Closed { .. }));
    assert!(events.iter().all(|event| !matches!(event, Event::Data { .. })), "{events:?}");
    assert_eq!(net.connections(), 0);
}

/// Connections to a listener, and the bytes that were read from them, in the order of the events.
struct Arrivals {
    net: Net,
    address: SocketAddr,
}

impl Arrivals {
    fn new() -> Arrivals {
        let mut net = Net::new(10).unwrap();
        let address = net.listen(ANY_PORT).unwrap().address;
        Arrivals { net, address }
    }

    /// Connects, and waits until the connection is accepted.
    fn connect(&mut self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        poll_until_accepted(&mut self.net);
        stream
    }

    /// Returns the next texts that are read.
    fn read(&mut self, count: usize) -> Vec<String> {
        let mut texts = Vec::new();
        poll_until(&mut self.net, |event| {
            if let Event::Data { bytes, .. } = event {
                texts.push(String::from_utf8(bytes.to_vec()).unwrap());
            }
            texts.len() == count
        });
        texts
    }
}

/// Guards against the older connection being read first, whatever arrived first: its client could take another's id.
#[test]
fn connections_that_are_ready_together_are_read_in_order_of_arrival() {
    let mut arrivals = Arrivals::new();
    let (mut older, mut newer) = (arrivals.connect(), arrivals.connect());
    newer.write_all(b"newer").unwrap();
    older.write_all(b"older").unwrap();
    assert_eq!(arrivals.read(2), ["newer", "older"]);
    older.write_all(b"older").unwrap();
    newer.write_all(b"newer").unwrap();
    assert_eq!(arrivals.read(2), ["older", "newer"]);
}

/// A connection that is not accepted yet arrived when it was established.
#[test]
fn connection_not_accepted_yet_is_read_in_order_of_arrival() {
    let mut arrivals = Arrivals::new();
    let mut open = arrivals.connect();
    open.write_all(b"open").unwrap();
    let mut new = TcpStream::connect(arrivals.address).unwrap();
    new.write_all(b"new").unwrap();
    assert_eq!(arrivals.read(2), ["open", "new"]);
    let mut new = TcpStream::connect(arrivals.address).unwrap();
    new.write_all(b"new").unwrap();
    open.write_all(b"open").unwrap();
    assert_eq!(arrivals.read(2), ["new", "open"]);
}
