//! What the host's own collectd says of load, links and disks. Packets may be cut, forged or old: they cost their
//! reading and nothing else.

use crate::collectd::{self, ItemHeader, MetricValue, PacketError, PacketItem};
use crate::settings::Listen;
use linnetcart::Time;
use serde::Serialize;
use std::collections::BTreeMap;

/// Series remembered at most; beyond it new ones are passed over.
const MOST: usize = 4096;

/// The host, as its last reports have it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct View {
    /// Host names that reported.
    pub hosts: Vec<String>,
    /// Load over one, five and fifteen minutes.
    pub load: Option<[f64; 3]>,
    /// Bytes a second over each link: received, sent.
    pub links: BTreeMap<String, [f64; 2]>,
    /// Bytes a second of each disk: read, written.
    pub disks: BTreeMap<String, [f64; 2]>,
    /// Seconds since the last good packet.
    pub age_s: Option<f64>,
    /// Packets taken in.
    pub good: u64,
    /// Packets turned down, and why the last one was.
    pub bad: u64,
    /// The last reason.
    pub last_bad: Option<String>,
    /// Values passed over because their time was not after the last or too far from the clock.
    pub old: u64,
    /// Values passed over because too many series reported.
    pub beyond: u64,
}

impl std::fmt::Display for View {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "host")?;
        if let Some([one, five, fifteen]) = self.load {
            write!(f, " load {one:.2} {five:.2} {fifteen:.2}")?;
        }
        for (link, [rx, tx]) in self.links.iter().take(8) {
            write!(f, ", link {link} {rx:.0} B/s in {tx:.0} out")?;
        }
        for (disk, [read, written]) in self.disks.iter().take(8) {
            write!(f, ", disk {disk} {read:.0} B/s read {written:.0} written")?;
        }
        write!(f, ", {} packets turned down", self.bad)
    }
}

#[derive(Clone, Debug)]
struct Last {
    /// In collectd's units.
    time: u64,
    values: Vec<MetricValue>,
}

/// Takes packets in.
#[derive(Clone, Debug)]
pub struct Host {
    set: Listen,
    last: BTreeMap<(String, String, String, String, String), Last>,
    view: View,
    heard: Option<Time>,
}

impl Host {
    /// Nothing heard yet.
    pub fn new(set: Listen) -> Host {
        Host { set, last: BTreeMap::new(), view: View::default(), heard: None }
    }

    /// Other settings from now on; what was heard stays.
    pub fn configure(&mut self, set: Listen) {
        self.set = set;
    }

    /// A packet came. A line for the log if something about it is worth one.
    pub fn packet(&mut self, packet: &[u8], now: Time, wall: u64) -> Option<String> {
        match collectd::read(packet, &self.set.users, self.set.require) {
            Ok(said) => {
                self.view.good += 1;
                self.heard = Some(now);
                let lines: Vec<String> = said.into_iter().filter_map(|s| self.said(s, wall)).collect();
                (!lines.is_empty()).then(|| lines.join("; "))
            }
            Err(bad) => {
                self.view.bad += 1;
                let first = self.view.last_bad.is_none()
                    || matches!(bad, PacketError::NotAuthentic { .. } | PacketError::UnknownUser { .. });
                self.view.last_bad = Some(bad.to_string());
                first.then(|| format!("a packet for the host's figures was turned down: {bad}"))
            }
        }
    }

    fn said(&mut self, said: PacketItem, wall: u64) -> Option<String> {
        match said {
            PacketItem::Notification(about, severity, text) if severity <= 2 => {
                let text: String = text.chars().filter(|c| !c.is_control()).take(200).collect();
                Some(format!("host {}: {text}", about.host))
            }
            PacketItem::Notification(..) => None,
            PacketItem::Values(about, values) => {
                self.values(about, values, wall);
                None
            }
        }
    }

    fn values(&mut self, about: ItemHeader, values: Vec<MetricValue>, wall: u64) {
        let wall = collectd::high_resolution(wall);
        let last_of = (
            about.host.clone(),
            about.plugin.clone(),
            about.plugin_instance.clone(),
            about.type_name.clone(),
            about.type_instance.clone(),
        );
        let before = self.last.get(&last_of);
        if about.time.abs_diff(wall) > self.set.skew_s << 30 || before.is_some_and(|l| l.time >= about.time) {
            self.view.old += 1;
            return;
        }
        if before.is_none() && self.last.len() >= MOST {
            self.view.beyond += 1;
            return;
        }
        let rates = before.map_or(Vec::new(), |l| {
            let seconds = (about.time - l.time) as f64 / (1u64 << 30) as f64;
            let change =
                |(now, was): (&MetricValue, &MetricValue)| (now.as_f64() - was.as_f64()).max(0.0) / seconds;
            values.iter().zip(&l.values).map(change).collect()
        });
        self.show(&about, &values, &rates);
        self.last.insert(last_of, Last { time: about.time, values });
    }

    fn show(&mut self, about: &ItemHeader, values: &[MetricValue], rates: &[f64]) {
        let view = &mut self.view;
        if !view.hosts.contains(&about.host) && view.hosts.len() < 16 {
            view.hosts.push(about.host.clone());
        }
        let pair = || Some([*rates.first()?, *rates.get(1)?]);
        match (about.plugin.as_str(), about.type_name.as_str()) {
            ("load", "load") => {
                if let [a, b, c] = values {
                    view.load = Some([a.as_f64(), b.as_f64(), c.as_f64()]);
                }
            }
            ("interface", "if_octets") => {
                view.links.extend(pair().map(|p| (about.plugin_instance.clone(), p)));
            }
            ("disk", "disk_octets") => {
                view.disks.extend(pair().map(|p| (about.plugin_instance.clone(), p)));
            }
            _ => {}
        }
    }

    /// What it looks like now.
    pub fn view(&self, now: Time) -> View {
        View { age_s: self.heard.map(|at| now.saturating_sub(at) as f64 / 1e9), ..self.view.clone() }
    }

    /// Packets turned down so far.
    pub fn bad(&self) -> u64 {
        self.view.bad
    }
}

#[cfg(test)]
mod tests;
