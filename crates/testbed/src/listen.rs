//! A stream of reports, live in the terminal: who is near the limit, where worth arrives late, who is ejected.

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

/// What is listened for, and for how long.
#[derive(Debug)]
pub struct ListenOptions {
    /// Where.
    pub addresses: ListenAddresses,
    /// Each point is written here as a plaintext line.
    pub record: Option<PathBuf>,
    /// Ends after so many seconds; otherwise with a signal.
    pub seconds: Option<f64>,
}

/// Listens and shows; false if a count fell.
pub fn run(options: ListenOptions) -> anyhow::Result<bool> {
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
        let signalled = wait_for_signal(&mut signals, wait)?;
        let time_is_up = remaining.is_some_and(|remaining| remaining <= REFRESH_INTERVAL);
        let no_count_fell = show(&receiver)?;
        if signalled || time_is_up {
            return Ok(no_count_fell);
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

fn wait_for_signal(signals: &mut Net, timeout: Duration) -> anyhow::Result<bool> {
    let wait_until = Instant::now() + timeout;
    let mut events = Vec::new();
    while events.is_empty() && Instant::now() < wait_until {
        signals.poll(wait_until.saturating_duration_since(Instant::now()), &mut events)?;
    }
    Ok(!events.is_empty())
}

/// Prints the table; false if a count fell.
fn show(receiver: &ReportReceiver) -> anyhow::Result<bool> {
    let stream = receiver.stream();
    if std::io::stdout().is_terminal() {
        print!("{CLEAR_SCREEN}");
    }
    println!("{}", table(&stream));
    std::io::stdout().flush()?;
    Ok(stream.regressions.is_empty())
}
