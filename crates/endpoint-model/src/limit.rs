//! One limit: what it turns away, how its queue moves, how it comes back.

use crate::{Kind, LimitKind, RecoveryModel};
use linnetcart_conformance::Time;
use std::collections::VecDeque;

/// Seconds of a plain rate that may come at once.
const BURST: f64 = 0.25;

#[derive(Debug)]
pub(crate) struct Unit {
    /// Calls a second that it takes.
    rate: f64,
    /// Part of the rate that is open just now.
    pub(crate) factor: f64,
    pub(crate) shut_until: Time,
    tokens: f64,
    filled: Time,
    window: Time,
    used: f64,
    /// When what is queued will have been begun.
    busy_until: f64,
    cold_since: Option<Time>,
    pub(crate) fallen: bool,
    recent: VecDeque<Time>,
    report: (Time, f64),
}

impl Unit {
    pub(crate) fn new(rate: f64) -> Self {
        Unit {
            rate,
            factor: 1.0,
            shut_until: 0,
            tokens: (rate * BURST).max(1.0),
            filled: 0,
            window: 0,
            used: 0.0,
            busy_until: 0.0,
            cold_since: None,
            fallen: false,
            recent: VecDeque::new(),
            report: (0, 1.0),
        }
    }

    /// Calls a second that it can serve when it is warm.
    pub(crate) fn capacity(&self, kind: &Kind) -> f64 {
        self.rate * kind.spare
    }

    /// An outage ends then.
    pub(crate) fn cold_from(&mut self, at: Time) {
        self.cold_since = Some(at);
    }

    fn warm(&self, now: Time, returns: &RecoveryModel) -> f64 {
        match self.cold_since {
            Some(since) if now >= since && now < since + returns.slow_start_duration => {
                let share = (now - since) as f64 / returns.slow_start_duration as f64;
                returns.slow_start_ratio + (1.0 - returns.slow_start_ratio) * share
            }
            _ => 1.0,
        }
    }

    /// Notes a call; true if it pushes a cold limit over.
    pub(crate) fn push(&mut self, now: Time, returns: &RecoveryModel, kind: &Kind) -> bool {
        while self.recent.front().is_some_and(|&t| t + returns.overload_window <= now) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        let warm = self.warm(now, returns);
        if warm >= 1.0 || self.fallen {
            return false;
        }
        // What came before it was back does not count against it.
        let since = self.cold_since.unwrap_or(0);
        let count = self.recent.iter().filter(|&&t| t >= since).count() as f64;
        let mean = returns.overload_ratio * warm * self.capacity(kind) * returns.overload_window as f64 / 1e9;
        self.fallen = count > mean + 2.0 * mean.sqrt() + 1.0;
        self.fallen
    }

    fn refill(&mut self, now: Time, kind: &Kind) {
        let rate = self.rate * self.factor;
        match kind.limit {
            LimitKind::None => {}
            LimitKind::Rate => {
                let gained = rate * now.saturating_sub(self.filled) as f64 / 1e9;
                self.tokens = (self.tokens + gained).min((rate * BURST).max(1.0));
                self.filled = now;
            }
            LimitKind::Window { ms } => {
                let number = now / (ms * 1_000_000).max(1);
                if number != self.window {
                    (self.window, self.used) = (number, 0.0);
                }
            }
        }
    }

    fn count(&self, ms: u64) -> f64 {
        (self.rate * self.factor * ms as f64 / 1e3).max(1.0)
    }

    /// Takes a call that means so much work: when it begins, or the wait that is told. `draws`: two random
    /// numbers, whether a wait is told and how long.
    pub(crate) fn take(
        &mut self,
        now: Time,
        work: f64,
        kind: &Kind,
        returns: &RecoveryModel,
        draws: (f64, f64),
    ) -> Result<Time, Time> {
        self.refill(now, kind);
        let tells = draws.0 < kind.tells_wait;
        let told = |wait: Time| Err(if tells { wait.max(1) } else { 0 });
        if now < self.shut_until {
            return told(self.shut_until - now);
        }
        match kind.limit {
            LimitKind::Rate if self.tokens < 1.0 => {
                if kind.refused_count {
                    self.tokens = (self.tokens - 1.0).max(-1.0);
                }
                let (least, most) = kind.wait;
                return told(least + (draws.1 * (most - least) as f64) as Time);
            }
            LimitKind::Rate => self.tokens -= 1.0,
            LimitKind::Window { ms } if self.used + 1.0 > self.count(ms) => {
                self.used += f64::from(u8::from(kind.refused_count));
                let span = ms * 1_000_000;
                return told(span - now % span);
            }
            LimitKind::Window { .. } => self.used += 1.0,
            LimitKind::None => {}
        }
        let begin = self.busy_until.max(now as f64);
        if begin - now as f64 > kind.depth as f64 {
            return told(kind.depth);
        }
        self.busy_until = begin + work * 1e9 / (self.capacity(kind) * self.warm(now, returns)).max(1e-3);
        Ok(begin as Time)
    }

    /// What is told of the limit, as it stood at the last report.
    pub(crate) fn load(&mut self, now: Time, kind: &Kind) -> Option<(f64, f64)> {
        if kind.report_every == 0 {
            return None;
        }
        self.refill(now, kind);
        let left = match kind.limit {
            LimitKind::None => return Some((0.0, 0.0)),
            LimitKind::Rate => self.tokens / (self.rate * self.factor * BURST).max(1.0),
            LimitKind::Window { ms } => 1.0 - self.used / self.count(ms),
        };
        if now >= self.report.0 + kind.report_every {
            self.report = (now, left.clamp(0.0, 1.0));
        }
        Some((self.report.1, self.rate * self.factor))
    }
}
