//! Speeding up a scenario: durations are divided and rates multiplied by the same factor, so that the number
//! of messages stays about the same. The connect timeout, the grace for answers, the time between
//! decision cycles and the clock differences keep their values.

use super::{Class, Clients, CourierBounds, FaultKind, FaultSpec, Kind, Rules, Scenario};
use linnetcart_endpoint_model::LimitKind;

/// Shortest window of a limit, in milliseconds.
const MIN_WINDOW_MS: u64 = 10;

impl Scenario {
    /// Returns the scenario sped up by this factor: it takes `seconds / speed`.
    pub fn faster(mut self, speed: f64) -> Scenario {
        self.seconds /= speed;
        self.list.delay_s /= speed;
        self.traffic.burst_s /= speed;
        self.clients.speed_up(speed);
        self.courier.speed_up(speed);
        self.rules.speed_up(speed);
        for class in &mut self.class {
            class.speed_up(speed);
        }
        for kind in &mut self.kind {
            kind.speed_up(speed);
        }
        for fault in &mut self.faults {
            fault.speed_up(speed);
        }
        self
    }
}

impl Clients {
    fn speed_up(&mut self, speed: f64) {
        for bound in &mut self.retry_delay_ms {
            *bound /= speed;
        }
        self.answer_timeout_s /= speed;
    }
}

impl CourierBounds {
    fn speed_up(&mut self, speed: f64) {
        self.in_flight_s /= speed;
        self.idle_timeout_s /= speed;
    }
}

impl Rules {
    fn speed_up(&mut self, speed: f64) {
        self.drain_grace_ms /= speed;
        self.slow_start_duration_s /= speed;
        self.overload_window_s /= speed;
        self.key_cooldown_ms /= speed;
    }
}

impl Class {
    fn speed_up(&mut self, speed: f64) {
        self.service_ms /= speed;
        self.latency_objective_s /= speed;
        self.deadline_s /= speed;
        self.dedup_window_s /= speed;
    }
}

impl Kind {
    fn speed_up(&mut self, speed: f64) {
        for rate in &mut self.rate {
            *rate *= speed;
        }
        for bound in &mut self.retry_after_ms {
            *bound /= speed;
        }
        self.longest_queue_ms /= speed;
        self.load_report_interval_ms /= speed;
        if let LimitKind::Window { ms } = &mut self.limit {
            *ms = ((*ms as f64 / speed) as u64).max(MIN_WINDOW_MS);
        }
    }
}

impl FaultSpec {
    fn speed_up(&mut self, speed: f64) {
        self.at /= speed;
        self.lasts /= speed;
        match self.what {
            FaultKind::Pauses | FaultKind::CouriersStall => {
                self.size /= speed;
                self.extra /= speed;
            }
            FaultKind::CouriersKilled
            | FaultKind::CouriersRolled
            | FaultKind::ListLate
            | FaultKind::IdleDropped
            | FaultKind::SlowConnect
            | FaultKind::LinksSlow
            | FaultKind::DiskDamaged => self.size /= speed,
            FaultKind::Drains | FaultKind::LinksCut => self.extra /= speed,
            FaultKind::Errors
            | FaultKind::Shut
            | FaultKind::Silent
            | FaultKind::Slow
            | FaultKind::SharedSlow
            | FaultKind::AnswersLost
            | FaultKind::Throttle
            | FaultKind::Vanish
            | FaultKind::Down
            | FaultKind::SuddenLoad
            | FaultKind::HotDestinations
            | FaultKind::UnevenCouriers
            | FaultKind::ListOut
            | FaultKind::ClassFails
            | FaultKind::Partition => {}
        }
    }
}
