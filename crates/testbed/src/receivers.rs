//! Stand-ins for Graphite and collectd: they take reports in, keep the last value of each series, and know whether a
//! count fell.

use anyhow::Context;
use linnetcart_net::{Event, Net, Reserved, Token};
use linnetcart_telemetry::collectd::{self, PacketItem};
use linnetcart_telemetry::settings::Require;
use linnetcart_telemetry::stream::Stream;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How a receiver behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Ways {
    /// Takes all.
    Reads,
    /// Takes connections and never reads.
    Deaf,
    /// Resets each connection when something comes.
    Resets,
    /// Is not there.
    Gone,
}

/// Where it listens.
#[derive(Clone, Debug, Default)]
pub struct Where {
    /// For Graphite's forms, told apart by their first byte.
    pub graphite: Option<SocketAddr>,
    /// For collectd's packets.
    pub collectd: Option<SocketAddr>,
    /// Keys of collectd's users.
    pub users: BTreeMap<String, Vec<String>>,
    /// What packets must be.
    pub require: Require,
}

/// A receiver on a thread of its own; dropping it ends it.
#[derive(Debug)]
pub struct Receiver {
    /// Where Graphite's forms come in.
    pub graphite: Option<SocketAddr>,
    /// Where collectd's packets come in.
    pub collectd: Option<SocketAddr>,
    stream: Arc<Mutex<Stream>>,
    ways: Arc<AtomicU8>,
    thread: Option<std::thread::JoinHandle<()>>,
}

const END: u8 = 255;

impl Receiver {
    /// Starts one; with a record, each point is written to it as a plaintext line.
    pub fn start(at: Where, record: Option<Box<dyn Write + Send>>) -> anyhow::Result<Receiver> {
        let (stream, ways) = (Arc::new(Mutex::new(Stream::default())), Arc::new(AtomicU8::new(0)));
        let (told, addresses) = std::sync::mpsc::channel();
        let (shared, way) = (Arc::clone(&stream), Arc::clone(&ways));
        let thread = std::thread::spawn(move || {
            let begun = Loop::new(at, shared, way, record);
            match begun {
                Ok((mut all, graphite, collectd)) => {
                    let _ = told.send(Ok((graphite, collectd)));
                    all.run();
                }
                Err(e) => {
                    let _ = told.send(Err(e));
                }
            }
        });
        let (graphite, collectd) =
            addresses.recv_timeout(Duration::from_secs(10)).context("the receiver did not come up")??;
        Ok(Receiver { graphite, collectd, stream, ways, thread: Some(thread) })
    }

    /// What came in so far.
    pub fn stream(&self) -> MutexGuard<'_, Stream> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on it behaves so.
    pub fn behave(&self, ways: Ways) {
        self.ways.store(ways as u8, Ordering::Relaxed);
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.ways.store(END, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Loop {
    net: Net,
    at: Where,
    listener: Option<(Token, SocketAddr)>,
    /// Nobody else gets the port while nothing listens there.
    _reserved: Option<Reserved>,
    conns: BTreeMap<Token, Vec<u8>>,
    stream: Arc<Mutex<Stream>>,
    ways: Arc<AtomicU8>,
    record: Option<Box<dyn Write + Send>>,
}

type Begun = (Loop, Option<SocketAddr>, Option<SocketAddr>);

impl Loop {
    fn new(
        at: Where,
        stream: Arc<Mutex<Stream>>,
        ways: Arc<AtomicU8>,
        record: Option<Box<dyn Write + Send>>,
    ) -> anyhow::Result<Begun> {
        let mut net = Net::new(10_000)?;
        let any = at.graphite.filter(|a| a.port() == 0);
        let reserved = any.map(|a| Reserved::new(a.ip())).transpose()?;
        let graphite = reserved.as_ref().map(Reserved::addr).or(at.graphite);
        let listener = graphite.map(|a| net.listen(a).with_context(|| a.to_string())).transpose()?;
        let collectd =
            at.collectd.map(|a| net.bind_datagrams(a).with_context(|| a.to_string())).transpose()?;
        let all =
            Loop { net, at, listener, _reserved: reserved, conns: BTreeMap::new(), stream, ways, record };
        Ok((all, listener.map(|l| l.1), collectd.map(|c| c.1)))
    }

    fn run(&mut self) {
        let mut events = Vec::new();
        let mut before = Ways::Reads as u8;
        loop {
            let way = self.ways.load(Ordering::Relaxed);
            if way == END || self.net.poll(Duration::from_millis(20), &mut events).is_err() {
                return;
            }
            if way != before {
                self.change(way);
                before = way;
            }
            for event in events.drain(..) {
                self.event(event, way);
            }
        }
    }

    fn change(&mut self, way: u8) {
        let Some((token, addr)) = self.listener else { return };
        if way == Ways::Gone as u8 {
            self.net.stop_listening(token);
            let open: Vec<Token> = std::mem::take(&mut self.conns).into_keys().collect();
            open.into_iter().for_each(|t| self.net.reset(t));
        } else {
            self.net.stop_listening(token);
            if let Ok((token, _)) = self.net.listen(addr) {
                self.listener = Some((token, addr));
            }
        }
        for &token in self.conns.keys() {
            self.net.set_read_paused(token, way == Ways::Deaf as u8);
        }
    }

    fn event(&mut self, event: Event, way: u8) {
        match event {
            Event::Accepted { token, .. } => {
                self.conns.insert(token, Vec::new());
                self.net.set_read_paused(token, way == Ways::Deaf as u8);
            }
            Event::Data(token, _) if way == Ways::Resets as u8 => {
                self.conns.remove(&token);
                self.net.reset(token);
            }
            Event::Data(token, bytes) => {
                let Some(mut held) = self.conns.remove(&token) else { return };
                held.extend(&bytes);
                if self.take(&mut held, bytes.len()) {
                    self.conns.insert(token, held);
                } else {
                    self.net.close(token);
                }
            }
            Event::Datagram(_, packet) => self.packet(&packet),
            Event::HalfClosed(token) => {
                self.conns.remove(&token);
                self.net.close(token);
            }
            Event::Closed { token, .. } => {
                self.conns.remove(&token);
            }
            _ => {}
        }
    }

    /// What a connection holds; false when it makes no sense.
    fn take(&mut self, held: &mut Vec<u8>, came: usize) -> bool {
        let mut stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner);
        stream.bytes += came as u64;
        let record = &mut self.record;
        stream.take(held, |name, value, at| write_down(record, name, value, at))
    }

    fn packet(&mut self, packet: &[u8]) {
        let mut stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner);
        stream.bytes += packet.len() as u64;
        match collectd::read(packet, &self.at.users, self.at.require) {
            Ok(said) => {
                for s in said {
                    match s {
                        PacketItem::Values(about, values) => {
                            let name = format!(
                                "{}.{}.{}.{}",
                                about.host, about.plugin, about.plugin_instance, about.type_instance
                            );
                            let value = values.first().map_or(0.0, |v| v.as_f64());
                            let at = collectd::nanos(about.time) / 1_000_000_000;
                            stream.point(&name, value, at);
                            write_down(&mut self.record, &name, value, at);
                        }
                        PacketItem::Notification(about, severity, text) if stream.notices.len() < 10_000 => {
                            stream.notices.push((about.plugin_instance, severity, text));
                        }
                        PacketItem::Notification(..) => {}
                    }
                }
            }
            Err(bad) => stream.bad(bad),
        }
    }
}

/// A point in the record, which ends when it cannot be written.
fn write_down(record: &mut Option<Box<dyn Write + Send>>, name: &str, value: f64, at: u64) {
    if record.as_mut().is_some_and(|r| writeln!(r, "{name} {value} {at}").is_err()) {
        *record = None;
    }
}
