//! A stand-in for Graphite and collectd: it takes reports in, keeps the last value of each series, and knows whether
//! a count fell.

use anyhow::Context;
use linnetcart_net::{Event, Net, Reserved, Token};
use linnetcart_telemetry::collectd::{self, PacketItem};
use linnetcart_telemetry::settings::Require;
use linnetcart_telemetry::stream::{ReceivedNotification, Stream};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_CONNECTIONS: usize = 10_000;
const MAX_NOTIFICATIONS: usize = 10_000;
const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;

/// Where points are recorded, a plaintext line each.
pub type PointRecord = Box<dyn Write + Send>;

/// How a receiver behaves towards connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Reads everything.
    Reads,
    /// Accepts connections and never reads.
    NeverReads,
    /// Resets each connection when data comes.
    Resets,
    /// Does not listen.
    Absent,
}

/// What the thread of a receiver is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Run(Behaviour),
    Stop,
}

/// Where a receiver listens, and what it accepts.
#[derive(Clone, Debug, Default)]
pub struct ListenAddresses {
    /// For Graphite's forms, which are recognized by their first byte.
    pub graphite: Option<SocketAddr>,
    /// For collectd's packets.
    pub collectd: Option<SocketAddr>,
    /// Keys of collectd's users.
    pub users: BTreeMap<String, Vec<String>>,
    /// How packets must be secured.
    pub require: Require,
}

/// A receiver on a thread of its own; dropping it ends it.
#[derive(Debug)]
pub struct ReportReceiver {
    /// Where Graphite's forms come in.
    pub graphite: Option<SocketAddr>,
    /// Where collectd's packets come in.
    pub collectd: Option<SocketAddr>,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// What a receiver's thread shares with its owner.
#[derive(Debug)]
struct Shared {
    stream: Mutex<Stream>,
    mode: Mutex<Mode>,
}

impl Shared {
    fn stream(&self) -> MutexGuard<'_, Stream> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }
}

impl ReportReceiver {
    /// Starts a receiver. With a record, each point is written to it.
    pub fn start(addresses: ListenAddresses, record: Option<PointRecord>) -> anyhow::Result<ReportReceiver> {
        let shared =
            Arc::new(Shared { stream: Mutex::default(), mode: Mutex::new(Mode::Run(Behaviour::Reads)) });
        let thread_shared = Arc::clone(&shared);
        let (ready_sender, ready_receiver) = std::sync::mpsc::channel();
        let thread =
            std::thread::spawn(move || match ReceiverLoop::listen(addresses, thread_shared, record) {
                Ok((mut receiver, bound)) => {
                    let _ = ready_sender.send(Ok(bound));
                    receiver.run();
                }
                Err(error) => {
                    let _ = ready_sender.send(Err(error));
                }
            });
        let bound =
            ready_receiver.recv_timeout(STARTUP_TIMEOUT).context("the receiver did not come up")??;
        let BoundAddresses { graphite, collectd } = bound;
        Ok(ReportReceiver { graphite, collectd, shared, thread: Some(thread) })
    }

    /// What came in so far.
    pub fn stream(&self) -> MutexGuard<'_, Stream> {
        self.shared.stream()
    }

    /// Changes the behaviour from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        self.shared.set_mode(Mode::Run(behaviour));
    }
}

impl Drop for ReportReceiver {
    fn drop(&mut self) {
        self.shared.set_mode(Mode::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct BoundAddresses {
    graphite: Option<SocketAddr>,
    collectd: Option<SocketAddr>,
}

struct GraphiteListener {
    token: Token,
    address: SocketAddr,
}

struct ReceiverLoop {
    net: Net,
    users: BTreeMap<String, Vec<String>>,
    require: Require,
    graphite: Option<GraphiteListener>,
    /// Nobody else gets the port while nothing listens there.
    _reserved: Option<Reserved>,
    /// Connections, with what was received and not yet read as points.
    connections: BTreeMap<Token, Vec<u8>>,
    shared: Arc<Shared>,
    record: Option<PointRecord>,
}

impl ReceiverLoop {
    fn listen(
        addresses: ListenAddresses,
        shared: Arc<Shared>,
        record: Option<PointRecord>,
    ) -> anyhow::Result<(ReceiverLoop, BoundAddresses)> {
        let mut net = Net::new(MAX_CONNECTIONS)?;
        let any_port = addresses.graphite.filter(|address| address.port() == 0);
        let reserved = any_port.map(|address| Reserved::new(address.ip())).transpose()?;
        let requested = reserved.as_ref().map(Reserved::addr).or(addresses.graphite);
        let mut graphite = None;
        if let Some(requested) = requested {
            let bound = net.listen(requested).with_context(|| requested.to_string())?;
            graphite = Some(GraphiteListener { token: bound.token, address: bound.address });
        }
        let mut collectd = None;
        if let Some(requested) = addresses.collectd {
            let bound = net.bind_datagrams(requested).with_context(|| requested.to_string())?;
            collectd = Some(bound.address);
        }
        let bound = BoundAddresses { graphite: graphite.as_ref().map(|listener| listener.address), collectd };
        let receiver = ReceiverLoop {
            net,
            users: addresses.users,
            require: addresses.require,
            graphite,
            _reserved: reserved,
            connections: BTreeMap::new(),
            shared,
            record,
        };
        Ok((receiver, bound))
    }

    fn run(&mut self) {
        let mut events = Vec::new();
        let mut current = Behaviour::Reads;
        while let Mode::Run(behaviour) = self.shared.mode() {
            if self.net.poll(POLL_INTERVAL, &mut events).is_err() {
                return;
            }
            if behaviour != current {
                self.change_behaviour(behaviour);
                current = behaviour;
            }
            for event in events.drain(..) {
                self.process(event, behaviour);
            }
        }
    }

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
            Event::Data(token, _) if behaviour == Behaviour::Resets => {
                self.connections.remove(&token);
                self.net.reset(token);
            }
            Event::Data(token, bytes) => self.receive(token, &bytes),
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

    /// Reads the points that are complete; a connection that makes no sense is closed.
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

/// Stops reading from a connection while the receiver simulates one that never reads.
fn apply_read_behaviour(net: &mut Net, token: Token, behaviour: Behaviour) {
    if behaviour == Behaviour::NeverReads {
        net.pause_reads(token);
    } else {
        net.resume_reads(token);
    }
}

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

/// Adds a point to the record, which ends when it cannot be written.
fn write_point(record: &mut Option<PointRecord>, name: &str, value: f64, at: u64) {
    let Some(file) = record else { return };
    if writeln!(file, "{name} {value} {at}").is_err() {
        *record = None;
    }
}
