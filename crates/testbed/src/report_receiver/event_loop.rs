//! The event loop of a report receiver: listens, applies the requested behaviour, and stores the received
//! points and notifications.

use super::{Behaviour, ListenAddresses, Mode, PointRecord, Shared};
use anyhow::Context;
use linnetcart_net::{Event, Net, Reserved, Token};
use linnetcart_telemetry::collectd::{self, PacketItem};
use linnetcart_telemetry::settings::Require;
use linnetcart_telemetry::stream::{ReceivedNotification, Stream};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum wait of one poll, and so the delay until a requested behaviour is applied.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_CONNECTIONS: usize = 10_000;
/// Maximum number of stored notifications; further ones are dropped.
const MAX_NOTIFICATIONS: usize = 10_000;
const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;

/// The addresses that a receiver is bound to, with the ports that the system chose.
pub(super) struct BoundAddresses {
    pub(super) graphite: Option<SocketAddr>,
    pub(super) collectd: Option<SocketAddr>,
}

/// A receiver whose sockets are bound, before its loop runs.
pub(super) struct ListeningReceiver {
    pub(super) receiver: ReceiverLoop,
    pub(super) bound: BoundAddresses,
}

struct GraphiteListener {
    token: Token,
    address: SocketAddr,
}

/// The event loop of a receiver, with its sockets.
pub(super) struct ReceiverLoop {
    net: Net,
    /// The keys that are accepted from each collectd user.
    users: BTreeMap<String, Vec<String>>,
    /// The signature or encryption that collectd's packets must have.
    require: Require,
    graphite: Option<GraphiteListener>,
    /// Keeps the Graphite port reserved while the receiver does not listen, so that no other process is given
    /// it.
    _reserved: Option<Reserved>,
    /// Open connections, each with the received bytes that do not form a complete point yet.
    connections: BTreeMap<Token, Vec<u8>>,
    shared: Arc<Shared>,
    record: Option<PointRecord>,
}

impl ReceiverLoop {
    /// Binds a TCP socket for Graphite and a UDP socket for collectd, each if its address is given.
    pub(super) fn listen(
        addresses: ListenAddresses,
        shared: Arc<Shared>,
        record: Option<PointRecord>,
    ) -> anyhow::Result<ListeningReceiver> {
        let ListenAddresses { graphite, collectd, users, require } = addresses;
        let mut net = Net::new(MAX_CONNECTIONS)?;
        let reserved = graphite.map(reserve_port).transpose()?.flatten();
        let graphite = reserved.as_ref().map(Reserved::addr).or(graphite);
        let graphite = graphite.map(|address| listen_for_graphite(&mut net, address)).transpose()?;
        let collectd = collectd.map(|address| bind_for_collectd(&mut net, address)).transpose()?;
        let bound = BoundAddresses { graphite: graphite.as_ref().map(|listener| listener.address), collectd };
        let receiver = ReceiverLoop {
            net,
            users,
            require,
            graphite,
            _reserved: reserved,
            connections: BTreeMap::new(),
            shared,
            record,
        };
        Ok(ListeningReceiver { receiver, bound })
    }

    /// Processes events until the owner stops the receiver.
    pub(super) fn run(&mut self) {
        let mut events = Vec::new();
        let mut current = Behaviour::Reads;
        while let Mode::Run(behaviour) = self.shared.mode() {
            self.net.poll(POLL_INTERVAL, &mut events);
            if behaviour != current {
                self.change_behaviour(behaviour);
                current = behaviour;
            }
            for event in events.drain(..) {
                self.process(event, behaviour);
            }
        }
    }

    /// Applies a new behaviour to the Graphite listener and its connections. `Absent` closes the listener and
    /// resets the connections; the others open the listener again and pause or resume reads.
    fn change_behaviour(&mut self, behaviour: Behaviour) {
        let Some(listener) = &mut self.graphite else { return };
        self.net.stop_listening(listener.token);
        if behaviour == Behaviour::Absent {
            for token in std::mem::take(&mut self.connections).into_keys() {
                self.net.reset(token);
            }
        } else if let Ok(bound) = self.net.listen(listener.address) {
            listener.token = bound.token;
        }
        for &token in self.connections.keys() {
            apply_read_behaviour(&mut self.net, token, behaviour);
        }
    }

    fn process(&mut self, event: Event, behaviour: Behaviour) {
        match event {
            Event::Accepted { token, .. } => {
                self.connections.insert(token, Vec::new());
                apply_read_behaviour(&mut self.net, token, behaviour);
            }
            Event::Data { token, .. } if behaviour == Behaviour::Resets => {
                self.connections.remove(&token);
                self.net.reset(token);
            }
            Event::Data { token, bytes, .. } => self.receive(token, &bytes),
            Event::Datagram(_, packet) => self.receive_packet(&packet),
            Event::HalfClosed(token) => {
                self.connections.remove(&token);
                self.net.close(token);
            }
            Event::Closed { token, .. } => {
                self.connections.remove(&token);
            }
            _ => {}
        }
    }

    /// Stores the complete points among the bytes that a Graphite connection has sent. The connection is
    /// closed if nothing more can be decoded.
    fn receive(&mut self, token: Token, bytes: &[u8]) {
        let Some(mut unread) = self.connections.remove(&token) else { return };
        unread.extend(bytes);
        let mut stream = self.shared.stream();
        stream.bytes += bytes.len() as u64;
        let record = &mut self.record;
        let is_valid =
            stream.consume(&mut unread, |point| write_point(record, &point.name, point.value, point.time_s));
        if is_valid {
            self.connections.insert(token, unread);
        } else {
            self.net.close(token);
        }
    }

    /// Stores the values and notifications of a collectd packet. A packet that cannot be decoded or lacks the
    /// required signature or encryption is only counted.
    fn receive_packet(&mut self, packet: &[u8]) {
        let mut stream = self.shared.stream();
        stream.bytes += packet.len() as u64;
        match collectd::read(packet, &self.users, self.require) {
            Ok(items) => {
                for item in items {
                    add_packet_item(&mut stream, &mut self.record, item);
                }
            }
            Err(error) => stream.record_invalid(error),
        }
    }
}

/// Reserves a free port if the address has port 0.
fn reserve_port(address: SocketAddr) -> std::io::Result<Option<Reserved>> {
    if address.port() != 0 {
        return Ok(None);
    }
    Reserved::new(address.ip()).map(Some)
}

fn listen_for_graphite(net: &mut Net, requested: SocketAddr) -> anyhow::Result<GraphiteListener> {
    let bound = net.listen(requested).with_context(|| requested.to_string())?;
    Ok(GraphiteListener { token: bound.token, address: bound.address })
}

fn bind_for_collectd(net: &mut Net, requested: SocketAddr) -> anyhow::Result<SocketAddr> {
    let bound = net.bind_datagrams(requested).with_context(|| requested.to_string())?;
    Ok(bound.address)
}

/// Pauses reads from a connection if the behaviour is `NeverReads`, otherwise resumes them.
fn apply_read_behaviour(net: &mut Net, token: Token, behaviour: Behaviour) {
    if behaviour == Behaviour::NeverReads {
        net.pause_reads(token);
    } else {
        net.resume_reads(token);
    }
}

/// Stores the first value of a list as a point named HOST.PLUGIN.PLUGIN_INSTANCE.TYPE_INSTANCE, or stores a
/// notification unless there are [`MAX_NOTIFICATIONS`].
fn add_packet_item(stream: &mut Stream, record: &mut Option<PointRecord>, item: PacketItem) {
    match item {
        PacketItem::Values { header, values } => {
            let name = format!(
                "{}.{}.{}.{}",
                header.host, header.plugin, header.plugin_instance, header.type_instance
            );
            let value = values.first().map_or(0.0, |value| value.as_f64());
            let at = collectd::nanos(header.time) / NANOSECONDS_PER_SECOND;
            stream.record_point(&name, value, at);
            write_point(record, &name, value, at);
        }
        PacketItem::Notification { header, severity, text } => {
            if stream.notifications.len() < MAX_NOTIFICATIONS {
                let subject = header.plugin_instance;
                stream.notifications.push(ReceivedNotification { subject, severity, text });
            }
        }
    }
}

/// Writes a point to the record, if there is one. After a write error the receiver continues without the
/// record.
fn write_point(record: &mut Option<PointRecord>, name: &str, value: f64, at: u64) {
    let Some(file) = record else { return };
    if writeln!(file, "{name} {value} {at}").is_err() {
        *record = None;
    }
}
