//! The faults that a run injects, drawn from its seed.

use crate::random::Random;
use linnetcart_fault_injection::{Fault, FaultControl, Rate, ALWAYS};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Faults that a run may draw, each with its rate. None of them closes a client's connection before its
/// request is read.
const FAULTS: [(Fault, Rate); 23] = [
    (Fault::FileWrite, ALWAYS),
    (Fault::FileWrite, 100),
    (Fault::FileShortWrite, 120),
    (Fault::FileCreate, ALWAYS),
    (Fault::FileTruncate, ALWAYS),
    (Fault::FileRemove, ALWAYS),
    (Fault::FileRead, 200),
    (Fault::DirectoryList, 200),
    (Fault::SendInterrupted, 150),
    (Fault::SendShort, 150),
    (Fault::SendNoBuffers, 120),
    (Fault::ReceiveInterrupted, 150),
    (Fault::ReceiveShort, 150),
    (Fault::ReceiveNoBuffers, 120),
    (Fault::Accept, 150),
    (Fault::Socket, 200),
    (Fault::Connect, 150),
    (Fault::ConnectInterrupted, 200),
    (Fault::SocketStatus, 150),
    (Fault::WaitInterrupted, 150),
    (Fault::RegisterAgain, 60),
    (Fault::Standstill, 1),
    (Fault::LogWrite, 200),
];

/// Faults that may close a client's connection before its request is read.
const CLOSING_FAULTS: [(Fault, Rate); 2] = [(Fault::SocketOption, 60), (Fault::Register, 60)];

/// Faults under which records cannot be written.
const JOURNAL_FAULTS: [Fault; 4] =
    [Fault::FileWrite, Fault::FileShortWrite, Fault::FileCreate, Fault::FileTruncate];

/// The faults that a run may inject.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    faults: Vec<(Fault, Rate)>,
    /// Whether the courier may close a client's connection before it has read the request.
    pub closes_connections_unread: bool,
    /// The longest time for which faults stay on.
    longest: Duration,
    steps_wall_clock: bool,
}

impl FaultPlan {
    pub fn draw(random: &mut Random) -> FaultPlan {
        let mut faults = Vec::new();
        for _ in 0..random.between(1, 5) {
            faults.push(FAULTS[random.below(FAULTS.len() as u64) as usize]);
        }
        let closes_connections_unread = random.chance(20);
        if closes_connections_unread {
            faults.extend(CLOSING_FAULTS);
        }
        let longest = Duration::from_millis(if random.chance(25) { 4000 } else { 700 });
        FaultPlan { faults, closes_connections_unread, longest, steps_wall_clock: random.chance(40) }
    }

    /// Whether the journal cannot be written for a while, so that ends of messages are not recorded.
    pub fn makes_journal_unwritable(&self) -> bool {
        let is_of_journal = |&(fault, _): &(Fault, Rate)| JOURNAL_FAULTS.contains(&fault);
        self.faults.iter().any(is_of_journal)
    }

    /// Turns one or two faults on for a random time and off again, repeatedly until `stop` is set.
    pub fn inject(&self, mut random: Random, control: &FaultControl, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            for _ in 0..random.between(1, 2) {
                let (fault, rate) = self.faults[random.below(self.faults.len() as u64) as usize];
                control.set(fault, rate);
            }
            if self.steps_wall_clock {
                step_wall_clock(&mut random, control);
            }
            let span = random.between(50, self.longest.as_millis() as u64);
            pause(Duration::from_millis(span), stop);
            control.clear();
            pause(Duration::from_millis(random.between(50, 900)), stop);
        }
        control.clear();
    }
}

fn step_wall_clock(random: &mut Random, control: &FaultControl) {
    let step = Duration::from_secs(if random.chance(50) { 3600 } else { random.between(1, 20) });
    if random.chance(50) {
        control.step_wall_clock_forward(step);
    } else {
        control.step_wall_clock_back(step);
    }
}

/// Sleeps for `span`, or until `stop` is set.
pub fn pause(span: Duration, stop: &AtomicBool) {
    const STEP: Duration = Duration::from_millis(20);
    let mut left = span;
    while !left.is_zero() && !stop.load(Ordering::Relaxed) {
        std::thread::sleep(left.min(STEP));
        left = left.saturating_sub(STEP);
    }
}
