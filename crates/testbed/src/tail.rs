//! A stream of reports, live in the terminal: who is near the limit, where worth arrives late, who is out.

use crate::receivers::{Receiver, Where};
use anyhow::{bail, Context};
use linnetcart_telemetry::stream::Stream;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufWriter, IsTerminal, Write};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Rows of the table at most.
const ROWS: usize = 30;
const REFRESH: Duration = Duration::from_secs(2);

/// What is listened for, and for how long.
#[derive(Debug)]
pub struct Tail {
    /// Where.
    pub at: Where,
    /// Each point is written here as a plaintext line.
    pub record: Option<PathBuf>,
    /// Ends after so many seconds; otherwise with a signal.
    pub seconds: Option<f64>,
}

/// One row: a destination of a courier.
#[derive(Clone, Debug, Default, PartialEq)]
struct Row {
    figures: BTreeMap<String, f64>,
}

impl Row {
    fn get(&self, field: &str) -> Option<f64> {
        self.figures.get(field).copied()
    }
}

/// Courier and destination of a series, and its field; for names with paths, with tags, and of collectd.
fn place(name: &str) -> Option<(String, String, String)> {
    if let Some((head, tags)) = name.split_once(';') {
        let tags: BTreeMap<&str, &str> = tags.split(';').filter_map(|t| t.split_once('=')).collect();
        if tags.contains_key("class") || tags.contains_key("route") {
            return None;
        }
        let field = head.rsplit('.').next()?;
        return Some(((*tags.get("edge")?).to_owned(), (*tags.get("dest")?).to_owned(), field.to_owned()));
    }
    let parts: Vec<&str> = name.split('.').collect();
    match parts.as_slice() {
        ["linnetcart", _, "edge", me, "dest", dest, field] => {
            Some(((*me).to_owned(), (*dest).to_owned(), (*field).to_owned()))
        }
        [host, "linnetcart", instance, field] => {
            let dest = instance.strip_prefix("dest-")?;
            let apart = dest.contains("-class-") || dest.contains("-route-");
            let me = host.rsplit('-').next().unwrap_or(host);
            (!apart).then(|| (me.to_owned(), dest.to_owned(), (*field).to_owned()))
        }
        _ => None,
    }
}

fn rows(stream: &Stream) -> BTreeMap<(String, String), Row> {
    let mut rows: BTreeMap<(String, String), Row> = BTreeMap::new();
    for (name, (_, value)) in &stream.last {
        if let Some((me, dest, field)) = place(name) {
            rows.entry((me, dest)).or_default().figures.insert(field, *value);
        }
    }
    rows
}

/// The table: those that are out first, then by the share of the limit used, then by worth late or lost.
pub fn table(stream: &Stream) -> String {
    let rows = rows(stream);
    let mut order: Vec<(&(String, String), &Row)> = rows.iter().collect();
    let bad = |r: &Row| r.get("worth_late_milli").unwrap_or(0.0) + r.get("worth_lost_milli").unwrap_or(0.0);
    let used = |r: &Row| r.get("limit_used_share").or(r.get("limit_own_share")).unwrap_or(0.0);
    order.sort_by(|a, b| {
        let state = |r: &Row| r.get("state").unwrap_or(2.0);
        state(a.1)
            .total_cmp(&state(b.1))
            .then(used(b.1).total_cmp(&used(a.1)))
            .then(bad(b.1).total_cmp(&bad(a.1)))
    });
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<8}{:<28}{:<9}{:>8}{:>9}{:>7}{:>9}{:>9}{:>8}{:>9}{:>8}{:>9}",
        "courier",
        "destination",
        "state",
        "calls/s",
        "limit",
        "used",
        "taken",
        "in aim",
        "late",
        "refused",
        "failed",
        "p99 ms"
    );
    for ((me, dest), r) in order.iter().take(ROWS) {
        let state = match r.get("state") {
            Some(s) if s >= 2.0 => "in",
            Some(s) if s >= 1.0 => "warming",
            Some(_) => "OUT",
            None => "-",
        };
        let number = |field: &str| r.get(field).map_or("-".to_owned(), |x| format!("{x:.0}"));
        let limit = r.get("limit_told").map(|l| format!("{l:.0}")).or_else(|| {
            // What is inferred is marked: it is this courier's part only.
            r.get("limit_inferred").map(|l| format!("~{l:.0}"))
        });
        let _ = writeln!(
            out,
            "{me:<8}{dest:<28.27}{state:<9}{:>8}{:>9}{:>6.0}%{:>9}{:>9}{:>8}{:>9}{:>8}{:>9}",
            r.get("attempts_per_s").map_or("-".to_owned(), |x| format!("{x:.1}")),
            limit.unwrap_or("-".into()),
            100.0 * used(r),
            number("taken"),
            number("in_aim"),
            number("late"),
            number("refused"),
            number("failed"),
            number("latency_p99_ms"),
        );
    }
    if rows.len() > ROWS {
        let _ = writeln!(out, "... and {} others", rows.len() - ROWS);
    }
    let _ = writeln!(
        out,
        "{} series, {} points, {} bytes; {} could not be read{}",
        stream.last.len(),
        stream.points,
        stream.bytes,
        stream.bad,
        stream.last_bad.as_ref().map_or(String::new(), |b| format!(", the last: {b}"))
    );
    for (of, severity, text) in stream.notices.iter().rev().take(5) {
        let _ = writeln!(out, "notification ({severity}) {of}: {text}");
    }
    for fell in stream.fell.iter().take(5) {
        let _ = writeln!(out, "A COUNT FELL: {fell}");
    }
    out
}

/// Listens and shows; false if a count fell.
pub fn run(tail: Tail) -> anyhow::Result<bool> {
    if tail.at.graphite.is_none() && tail.at.collectd.is_none() {
        bail!("nothing to listen for; give --graphite ADDR, --collectd ADDR or both");
    }
    let record: Option<Box<dyn Write + Send>> = match &tail.record {
        Some(path) => {
            let file = std::fs::File::create(path).with_context(|| path.display().to_string())?;
            Some(Box::new(BufWriter::new(file)))
        }
        None => None,
    };
    let receiver = Receiver::start(tail.at, record)?;
    receiver.graphite.iter().for_each(|at| eprintln!("Graphite, plaintext and pickle: {at}"));
    receiver.collectd.iter().for_each(|at| eprintln!("collectd: {at}"));
    let mut signals = linnetcart_net::Net::new(1)?;
    signals.watch_signals(&[calloop::signals::Signal::SIGINT, calloop::signals::Signal::SIGTERM])?;
    let (begun, terminal) = (Instant::now(), std::io::stdout().is_terminal());
    loop {
        let left = tail.seconds.map(|s| Duration::from_secs_f64(s).saturating_sub(begun.elapsed()));
        let mut events = Vec::new();
        let until = Instant::now() + left.unwrap_or(REFRESH).min(REFRESH);
        while events.is_empty() && Instant::now() < until {
            signals.poll(until.saturating_duration_since(Instant::now()), &mut events)?;
        }
        let over = !events.is_empty() || left.is_some_and(|l| l <= REFRESH);
        let stream = receiver.stream();
        if terminal {
            print!("\x1b[2J\x1b[H");
        }
        println!("{}", table(&stream));
        std::io::stdout().flush()?;
        if over {
            return Ok(stream.fell.is_empty());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_of_all_three_kinds_meet_in_one_row() {
        for name in [
            "linnetcart.bank.edge.3.dest.kolo.taken",
            "linnetcart.edge.taken;deployment=bank;edge=3;dest=kolo",
            "linnetcart-bank-3.linnetcart.dest-kolo.taken",
        ] {
            assert_eq!(place(name), Some(("3".into(), "kolo".into(), "taken".into())), "{name}");
        }
        for name in [
            "linnetcart.bank.edge.3.dest.kolo.class.order.taken",
            "linnetcart.edge.taken;deployment=bank;edge=3;dest=kolo;class=order",
            "linnetcart-bank-3.linnetcart.dest-kolo-class-order.taken",
            "linnetcart.bank.edge.3.courier.taken",
        ] {
            assert_eq!(place(name), None, "{name}");
        }
    }

    #[test]
    fn those_that_are_out_come_first_and_a_fall_is_shown() {
        let mut s = Stream::default();
        for (dest, state, used) in [("a", 2.0, 0.2), ("b", 2.0, 0.9), ("c", 0.0, 0.1)] {
            let name = |field: &str| format!("linnetcart.bank.edge.3.dest.{dest}.{field}");
            s.point(&name("state"), state, 5);
            s.point(&name("limit_used_share"), used, 5);
            s.point(&name("taken"), 9.0, 5);
        }
        s.point("linnetcart.bank.edge.3.dest.a.taken", 8.0, 6);
        let text = table(&s);
        let at = |row: &str| text.find(row).unwrap_or_else(|| panic!("{row} in {text}"));
        assert!(at("3       c ") < at("3       b ") && at("3       b ") < at("3       a "), "{text}");
        assert!(text.contains("OUT") && text.contains("A COUNT FELL"), "{text}");
    }
}
