//! Shows received metrics live in the terminal. For each destination: the used share of its limit, the
//! numbers of its messages that were late, rejected or failed, and whether it is ejected.

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

/// Time between two updates of the table.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// ANSI escape sequences that erase the screen and move the cursor to its top left corner.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Where metrics are received, and for how long.
#[derive(Debug)]
pub struct ListenOptions {
    /// The addresses to listen on.
    pub addresses: ListenAddresses,
    /// A file that each data point is written to as a line of Graphite plaintext, if any.
    pub record: Option<PathBuf>,
    /// How long metrics are received, in seconds; `None`: until SIGINT or SIGTERM arrives.
    pub seconds: Option<f64>,
}

/// Whether a counter decreased or a timestamp went back since the receiver was started. Neither may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterCheck {
    /// No counter decreased, and no timestamp went back.
    Monotonic,
    /// At least one counter decreased, or a timestamp went back.
    Decreased,
}

/// Receives metrics and prints their table every two seconds, until the time is up or SIGINT or SIGTERM
/// arrives.
///
/// # Errors
/// Fails if no address is given, an address cannot be bound, or the file for the record cannot be created.
pub fn run(options: ListenOptions) -> anyhow::Result<CounterCheck> {
    if options.addresses.graphite.is_none() && options.addresses.collectd.is_none() {
        bail!("no address to listen on; give --graphite ADDR, --collectd ADDR or both");
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

/// Prints the table of the metrics received so far, on a cleared screen if the output is a terminal.
fn show(receiver: &ReportReceiver) -> anyhow::Result<CounterCheck> {
    let stream = receiver.stream();
    if std::io::stdout().is_terminal() {
        print!("{CLEAR_SCREEN}");
    }
    println!("{}", table(&stream));
    std::io::stdout().flush()?;
    Ok(if stream.regressions.is_empty() { CounterCheck::Monotonic } else { CounterCheck::Decreased })
}
