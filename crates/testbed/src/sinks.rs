//! Endpoints for measurements and tests: they serve whatever comes, at once.

use anyhow::Context;
use linnetcart_kafka::server::{self, Body};
use linnetcart_kafka::Frames;
use linnetcart_net::{Event, Net, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Bytes of a frame at most.
pub const FRAME: usize = 1 << 20;

/// Endpoints that answer at once, on a thread of their own; the first `silent` of them never do.
/// Dropping them ends them.
#[derive(Debug)]
pub struct Sinks {
    /// Their addresses.
    pub addrs: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Sinks {
    /// Starts so many.
    pub fn start(count: usize, silent: usize) -> anyhow::Result<Sinks> {
        let mut listeners = BTreeMap::new();
        let stop = Arc::new(AtomicBool::new(false));
        let (told, addresses) = std::sync::mpsc::channel();
        let flag = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let Ok(mut net) = Net::new(60_000) else { return };
            let mut all = Vec::new();
            for n in 0..count {
                let Ok((token, at)) = net.listen(SocketAddr::from(([127, 0, 0, 1], 0))) else { return };
                listeners.insert(token, n);
                all.push(at);
            }
            let _ = told.send(all);
            let mut conns: BTreeMap<Token, (bool, Frames)> = BTreeMap::new();
            let mut events = Vec::new();
            while !flag.load(Ordering::Relaxed) {
                if net.poll(Duration::from_millis(100), &mut events).is_err() {
                    return;
                }
                for event in events.drain(..) {
                    match event {
                        Event::Accepted { listener, token, .. } => {
                            let quiet = listeners.get(&listener).is_some_and(|&n| n < silent);
                            conns.insert(token, (quiet, Frames::new(FRAME)));
                        }
                        Event::Data(token, bytes) => {
                            let Some((quiet, frames)) = conns.get_mut(&token) else { continue };
                            frames.push(&bytes);
                            while let Ok(Some(frame)) = frames.next_frame() {
                                let Ok(r) = server::read(&frame) else { continue };
                                match r.body {
                                    Body::Produce(_) if *quiet => {}
                                    Body::Produce(p) => {
                                        let ended: Vec<server::PartitionResult> = p
                                            .parts
                                            .into_iter()
                                            .map(|p| server::PartitionResult {
                                                topic: p.topic,
                                                partition: p.partition,
                                                ..Default::default()
                                            })
                                            .collect();
                                        net.send(
                                            token,
                                            &server::produce(r.correlation, r.version, &ended, 0, None),
                                        );
                                    }
                                    _ => net
                                        .send(token, &server::api_versions(r.correlation, r.version, false)),
                                }
                            }
                        }
                        Event::HalfClosed(token) => {
                            net.close(token);
                            conns.remove(&token);
                        }
                        Event::Closed { token, .. } => {
                            conns.remove(&token);
                        }
                        _ => {}
                    }
                }
            }
        });
        let addrs = addresses.recv_timeout(Duration::from_secs(10)).context("endpoints did not come up")?;
        Ok(Sinks { addrs, stop, thread: Some(thread) })
    }
}

impl Drop for Sinks {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
    }
}
