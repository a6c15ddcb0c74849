//! A receiver that takes the place of Graphite and collectd: it receives the reports of couriers, stores the
//! last value of each series, and detects counters that decrease.
//!
//! A [`ReportReceiver`] owns a thread with an event loop. [`ReportReceiver::behave`] has it stop reading,
//! reset connections or stop listening. The receiver never sends data to the couriers.

mod event_loop;

use anyhow::Context;
use event_loop::{BoundAddresses, ListeningReceiver, ReceiverLoop};
use linnetcart_telemetry::settings::Require;
use linnetcart_telemetry::stream::Stream;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Maximum time until the thread listens.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// A writer to which each received point is written as a line of Graphite's plaintext protocol: name, value
/// and seconds since 1970.
pub type PointRecord = Box<dyn Write + Send>;

/// How a receiver treats its Graphite connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Accepts connections and reads everything that is sent.
    Reads,
    /// Accepts connections and never reads from them, so that the sender's TCP window closes.
    NeverReads,
    /// Accepts connections and resets each one (TCP RST) when data arrives on it.
    Resets,
    /// Does not listen, so that connecting is refused; open connections are reset.
    Absent,
}

/// What the owner of a receiver asks its thread to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Run(Behaviour),
    Stop,
}

/// The addresses that a receiver listens on, and the packets that it accepts.
#[derive(Clone, Debug, Default)]
pub struct ListenAddresses {
    /// TCP address for Graphite's plaintext and pickle protocols. The first byte of a line or frame tells
    /// which of them it is, since a frame begins with a zero byte.
    pub graphite: Option<SocketAddr>,
    /// UDP address for packets of collectd's binary protocol.
    pub collectd: Option<SocketAddr>,
    /// The keys that are accepted from each collectd user.
    pub users: BTreeMap<String, Vec<String>>,
    /// The signature or encryption that collectd's packets must have.
    pub require: Require,
}

/// A receiver on a thread of its own. Dropping it stops the thread.
#[derive(Debug)]
pub struct ReportReceiver {
    /// The TCP address bound for Graphite's protocols; `None` if none was requested.
    pub graphite: Option<SocketAddr>,
    /// The UDP address bound for collectd's packets; `None` if none was requested.
    pub collectd: Option<SocketAddr>,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// State that a receiver's thread shares with its owner.
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
    /// Starts a receiver and waits until it listens. Every point is also written to `record`, if given.
    ///
    /// # Errors
    /// Fails if an address cannot be listened on, or if the thread is not ready within ten seconds.
    pub fn start(addresses: ListenAddresses, record: Option<PointRecord>) -> anyhow::Result<ReportReceiver> {
        let initial_mode = Mode::Run(Behaviour::Reads);
        let shared = Arc::new(Shared { stream: Mutex::default(), mode: Mutex::new(initial_mode) });
        let thread_shared = Arc::clone(&shared);
        let (ready_sender, ready_receiver) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let (ready, receiver) = match ReceiverLoop::listen(addresses, thread_shared, record) {
                Ok(ListeningReceiver { receiver, bound }) => (Ok(bound), Some(receiver)),
                Err(error) => (Err(error), None),
            };
            let _ = ready_sender.send(ready);
            if let Some(mut receiver) = receiver {
                receiver.run();
            }
        });
        let ready = ready_receiver.recv_timeout(STARTUP_TIMEOUT);
        let BoundAddresses { graphite, collectd } =
            ready.context("the report receiver does not listen after 10 s")??;
        Ok(ReportReceiver { graphite, collectd, shared, thread: Some(thread) })
    }

    /// Locks and returns everything that has been received so far. The receiver's thread blocks while the
    /// guard is held.
    pub fn stream(&self) -> MutexGuard<'_, Stream> {
        self.shared.stream()
    }

    /// Changes the behaviour. The thread applies it within 20 ms, its poll interval.
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
