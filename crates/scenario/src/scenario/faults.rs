//! Faults that a scenario injects.

use super::defaults;
use serde::{Deserialize, Serialize};

/// A fault that a scenario injects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Its kind.
    pub what: FaultKind,
    /// When it begins.
    pub at: f64,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// Share of the traffic, or of the couriers, that is affected.
    #[serde(default = "defaults::fault_part")]
    pub part: f64,
    /// How hard, as its kind says.
    #[serde(default)]
    pub size: f64,
    /// A second figure, as its kind says.
    #[serde(default)]
    pub extra: f64,
    /// Failing calls are left unanswered, or connections are reset, instead of the milder form.
    #[serde(default)]
    pub hard: bool,
}

/// Kinds of fault. `size` and `extra` mean what stands here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Calls fail quickly; size: the share that does.
    Errors,
    /// Destinations reject everything.
    Shut,
    /// Endpoints take calls and answer none.
    Silent,
    /// Endpoints are slower; size: the factor.
    Slow,
    /// All calls are slower; size: the factor.
    SharedSlow,
    /// Calls are carried out and not answered; size: the share.
    AnswersLost,
    /// Limits are lowered; size: the part that is left.
    Throttle,
    /// Endpoints are drained and replaced; size: share a batch; extra: seconds from drain to end.
    Drains,
    /// Endpoints answer nothing at all.
    Vanish,
    /// Endpoints refuse connections and break those they have.
    Down,
    /// Endpoints stand still; size: for so many ms; extra: every so many seconds.
    Pauses,
    /// More messages; size: the factor.
    SuddenLoad,
    /// A few destinations draw more messages; size: their share of all; extra: how many.
    HotDestinations,
    /// One courier gets more messages; size: its share of all.
    UnevenCouriers,
    /// Couriers are killed, part of them; size: seconds until they are back.
    CouriersKilled,
    /// Couriers are restarted one after the other, part of them; size: seconds down.
    CouriersRolled,
    /// Couriers do not run, part of them; size: for so many ms; extra: every so many seconds.
    CouriersStall,
    /// The endpoint list comes later; size: by so many seconds.
    ListLate,
    /// The endpoint list does not come.
    ListOut,
    /// Connections idle for longer are dropped without a word; size: seconds idle; hard: reset at the next
    /// call.
    IdleDropped,
    /// One class fails at one endpoint of several; size: the share; extra: the class; hard: unanswered.
    ClassFails,
    /// New connections take longer; size: by so many ms.
    SlowConnect,
    /// Couriers are cut off, part of them; extra: 0 from endpoints, 1 from clients, 2 from both; hard: in one
    /// direction, so that nothing reaches them. Emulated only.
    Partition,
    /// Connections of couriers break, part of them, in the middle of what travels; size: the share that does;
    /// extra: every so many seconds. Emulated only.
    LinksCut,
    /// What couriers send and are sent takes longer, part of them; size: by so many ms. Emulated only.
    LinksSlow,
    /// Couriers are killed, part of them, and their snapshot is cut; size: seconds until they are back;
    /// extra: the share of it that is left. Emulated only.
    DiskDamaged,
}

impl FaultKind {
    /// Sockets of one machine cannot play it.
    pub fn emulated_only(self) -> bool {
        matches!(
            self,
            FaultKind::Partition | FaultKind::LinksCut | FaultKind::LinksSlow | FaultKind::DiskDamaged
        )
    }
}
