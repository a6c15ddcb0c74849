//! One run: a courier, its endpoints, discovery and clients, faults and signals, and the checks afterwards.

use crate::agent::{self, NotificationLog};
use crate::checks::{self, Observations, Report};
use crate::clients::{self, Submission};
use crate::courier::{config_file, CourierProcess};
use crate::endpoint::{self, CallLog};
use crate::faults::{pause, FaultPlan};
use crate::random::Random;
use linnetcart_fault_injection::{Fault, FaultControl};
use rustix::process::Signal;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const ENDPOINTS: u64 = 3;
const CLIENTS: u64 = 6;
/// Idle connections of a crowd: more than the courier has descriptors for clients.
const CROWD: usize = 140;
/// The platform kills a process this long after SIGTERM at the earliest.
const KILL_DELAY: Duration = Duration::from_millis(3700);
/// What a run waits for at its end, at most.
const END_TIMEOUT: Duration = Duration::from_secs(30);

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    pub seed: u64,
    pub span: Duration,
    pub faults: FaultPlan,
    /// Many idle clients occupy the descriptors.
    pub crowd: bool,
}

impl RunSettings {
    pub fn draw(seed: u64, seconds: u64) -> RunSettings {
        let mut random = Random::new(seed, 1);
        let faults = FaultPlan::draw(&mut random);
        RunSettings { seed, span: Duration::from_secs(seconds), faults, crowd: random.chance(20) }
    }
}

/// A time in which the process was being ended or not there.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub from: Instant,
    pub until: Instant,
}

pub fn run(settings: RunSettings) -> Report {
    let seed = settings.seed;
    let calls = CallLog::default();
    let notifications = NotificationLog::default();
    let discovery = agent::start(Arc::clone(&notifications));
    let endpoints: Vec<_> =
        (0..ENDPOINTS).map(|number| endpoint::start(seed, number, Arc::clone(&calls))).collect();
    let mut courier = CourierProcess::with_config(&format!("soak-{seed}"), |listen| {
        let mut config = config_file(listen, &endpoints, discovery);
        config["settings"]["contract"]["turn_gap_ns"] = 50_000_000u64.into();
        config
    });
    let stop = AtomicBool::new(false);
    let address = courier.listen;
    let crowd: Vec<TcpStream> = (0..if settings.crowd { CROWD } else { 0 })
        .filter_map(|_| TcpStream::connect(address).ok())
        .collect();
    let control =
        FaultControl::open(&courier.dir.join("faults"), &courier.dir.join("state")).expect("it exists");
    let mut submissions: Vec<Submission> = Vec::new();
    let mut outages = Vec::new();
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                scope.spawn({
                    let stop = &stop;
                    move || clients::run(seed, client, address, stop)
                })
            })
            .collect();
        let injector = scope.spawn(|| settings.faults.inject(Random::new(seed, 2), &control, &stop));
        // Also if a restart fails: the clients would go on for ever.
        let stopper = StopOnDrop(&stop);
        disturb(&mut courier, &settings, &stop, &mut outages);
        drop(stopper);
        injector.join().expect("the injector ends");
        for client in clients {
            submissions.extend(client.join().expect("a client ends"));
        }
    });
    drop(crowd);
    let exited_unasked = courier.child.try_wait().expect("a child").is_some();
    if exited_unasked {
        courier.restart();
    }
    let observations = Observations { submissions, calls, notifications, outages, exited_unasked };
    checks::wait_for_ends(&observations, END_TIMEOUT);
    checks::check(&settings, &observations)
}

/// Ends the clients and the faults of a run when it is dropped.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Signals, kills and restarts the courier until the run is over.
fn disturb(
    courier: &mut CourierProcess,
    settings: &RunSettings,
    stop: &AtomicBool,
    outages: &mut Vec<Outage>,
) {
    let mut random = Random::new(settings.seed, 3);
    let until = Instant::now() + settings.span;
    while Instant::now() < until {
        pause(Duration::from_millis(random.between(200, 1500)), stop);
        match random.below(6) {
            0 => {
                let from = Instant::now();
                courier.kill();
                restart(courier, from, outages);
            }
            1 => {
                let from = Instant::now();
                courier.signal(Signal::TERM);
                wait_for_exit(courier, from + KILL_DELAY);
                restart(courier, from, outages);
            }
            2 => (0..random.between(1, 5)).for_each(|_| courier.signal(Signal::HUP)),
            3 => {
                courier.signal(Signal::STOP);
                std::thread::sleep(Duration::from_millis(random.below(120)));
                courier.signal(Signal::CONT);
            }
            4 => {
                // Killed in a write, if one comes soon.
                let from = Instant::now();
                courier.faults.set(Fault::KillInFileWrite, 60);
                wait_for_exit(courier, from + Duration::from_millis(300));
                courier.faults.set(Fault::KillInFileWrite, 0);
                restart(courier, from, outages);
            }
            _ => {}
        }
    }
}

/// Waits until the process has exited, and kills it at `at`.
fn wait_for_exit(courier: &mut CourierProcess, at: Instant) {
    while Instant::now() < at {
        if courier.child.try_wait().expect("a child").is_some() {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    courier.kill();
}

fn restart(courier: &mut CourierProcess, from: Instant, outages: &mut Vec<Outage>) {
    courier.restart();
    outages.push(Outage { from, until: Instant::now() });
}
