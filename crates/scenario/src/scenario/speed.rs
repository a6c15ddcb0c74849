//! The same scenario in less time: spans shrink and rates grow by one factor.

use super::{Class, Clients, CourierBounds, FaultKind, FaultSpec, Kind, Rules, Scenario};
use linnetcart_endpoint_model::LimitKind;

/// Windows of a limit do not get shorter, in milliseconds.
const MIN_WINDOW_MS: u64 = 10;

impl Scenario {
    /// The same scenario so many times as fast.
    pub fn faster(mut self, speed: f64) -> Scenario {
        self.seconds /= speed;
        self.list.late_s /= speed;
        self.traffic.clump_s /= speed;
        self.clients.shrink(speed);
        self.courier.shrink(speed);
        self.rules.shrink(speed);
        for class in &mut self.class {
            class.shrink(speed);
        }
        for kind in &mut self.kind {
            kind.shrink(speed);
        }
        for fault in &mut self.trouble {
            fault.shrink(speed);
        }
        self
    }
}

impl Clients {
    fn shrink(&mut self, speed: f64) {
        for limit in &mut self.again_ms {
            *limit /= speed;
        }
        self.patience_s /= speed;
    }
}

impl CourierBounds {
    fn shrink(&mut self, speed: f64) {
        self.hold_s /= speed;
        self.idle_s /= speed;
    }
}

impl Rules {
    fn shrink(&mut self, speed: f64) {
        self.drain_grace_ms /= speed;
        self.warm_after_s /= speed;
        self.fall_span_s /= speed;
        self.key_rest_ms /= speed;
    }
}

impl Class {
    fn shrink(&mut self, speed: f64) {
        self.service_ms /= speed;
        self.aim_s /= speed;
        self.deadline_s /= speed;
        self.window_s /= speed;
    }
}

impl Kind {
    fn shrink(&mut self, speed: f64) {
        for rate in &mut self.rate {
            *rate *= speed;
        }
        for limit in &mut self.wait_ms {
            *limit /= speed;
        }
        self.depth_ms /= speed;
        self.report_ms /= speed;
        if let LimitKind::Window { ms } = &mut self.limit {
            *ms = ((*ms as f64 / speed) as u64).max(MIN_WINDOW_MS);
        }
    }
}

impl FaultSpec {
    fn shrink(&mut self, speed: f64) {
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
