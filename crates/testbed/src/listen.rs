//! Shows a stream of reports live in the terminal: which destinations are near their limit, where messages
//! are late or lost, and which endpoints are ejected.

mod series;
mod table;
#[cfg(test)]
mod tests;

use crate::report_receiver::{ListenAddresses, PointRecord, ReportReceiver};
use anyhow::{bail, Context};
use calloop::signals::Signal;
use linnetcart_net::Net;
use std::io::{BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
pub use table::table;

const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Where reports are received, and for how long.
#[derive(Debug)]
pub struct ListenOptions {
    /// The addresses to listen on.
    pub addresses: ListenAddresses,
    /// A file that each point is written to as a plaintext line, if any.
    pub record: Option<PathBuf>,
    /// Stops after this many seconds, or on a signal if `None`.
    pub seconds: Option<f64>,
}

/// Whether a counter has decreased since the receiver was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterCheck {
    /// No counter decreased.
    NoneFell,
    /// At least one counter decreased.
    Fell,
}

/// Receives reports and shows them until the time is up or a signal arrives.
///
/// # Errors
/// Fails if no address is given, an address cannot be listened on, or the record cannot be created.
pub fn run(options: ListenOptions) -> anyhow::Result<CounterCheck> {
    if options.addresses.graphite.is_none() && options.addresses.collectd.is_none() {
        bail!("nothing to listen for; give --graphite ADDR, --collectd ADDR or both");
    }
    let record = options.record.as_deref().map(create_record).transpose()?;
    let receiver = ReportReceiver::start(options.addresses, record)?;
    print_addresses(&receiver);
    let mut signals = Net::new(1)?;
    signals.watch_signals(&[Signal::SIGINT, Signal::SIGTERM])?;
    let started = Instant::now();
    loop {
        let remaining =
            options.seconds.map(|seconds| Duration::from_secs_f64(seconds).saturating_sub(started.elapsed()));
        let wait = remaining.map_or(REFRESH_INTERVAL, |remaining| remaining.min(REFRESH_INTERVAL));
        let signalled = wait_for_signal(&mut signals, wait);
        let time_is_up = remaining.is_some_and(|remaining| remaining <= REFRESH_INTERVAL);
        let counter_check = show(&receiver)?;
        if signalled || time_is_up {
            return Ok(counter_check);
        }
    }
}

fn create_record(path: &Path) -> anyhow::Result<PointRecord> {
    let file = std::fs::File::create(path).with_context(|| path.display().to_string())?;
    Ok(Box::new(BufWriter::new(file)))
}

fn print_addresses(receiver: &ReportReceiver) {
    if let Some(address) = receiver.graphite {
        eprintln!("Graphite, plaintext and pickle: {address}");
    }
    if let Some(address) = receiver.collectd {
        eprintln!("collectd: {address}");
    }
}

/// Waits until a signal arrives, at most for the timeout; returns whether one arrived.
fn wait_for_signal(signals: &mut Net, timeout: Duration) -> bool {
    let wait_until = Instant::now() + timeout;
    let mut events = Vec::new();
    while events.is_empty() && Instant::now() < wait_until {
        signals.poll(wait_until.saturating_duration_since(Instant::now()), &mut events);
    }
    !events.is_empty()
}

/// Prints the table of what has been received so far.
fn show(receiver: &ReportReceiver) -> anyhow::Result<CounterCheck> {
    let stream = receiver.stream();
    if std::io::stdout().is_terminal() {
        print!("{CLEAR_SCREEN}");
    }
    println!("{}", table(&stream));
    std::io::stdout().flush()?;
    Ok(if stream.regressions.is_empty() { CounterCheck::NoneFell } else { CounterCheck::Fell })
}
