//! Faults that a scenario injects.

use super::defaults;
use serde::{Deserialize, Serialize};

/// A fault that a scenario injects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// The kind of fault.
    pub what: FaultKind,
    /// When the fault begins, in seconds.
    pub at: f64,
    /// How long the fault lasts, in seconds.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// The fraction of the traffic, or of the couriers, that is affected.
    #[serde(default = "defaults::fault_part")]
    pub part: f64,
    /// The size of the fault; its meaning depends on the kind.
    #[serde(default)]
    pub size: f64,
    /// A second parameter; its meaning depends on the kind.
    #[serde(default)]
    pub extra: f64,
    /// Selects the harder form of a kind, for example unanswered calls instead of errors.
    #[serde(default)]
    pub hard: bool,
}

/// The kinds of faults, with the meaning of `size`, `extra` and `hard` for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Calls fail quickly; size: the fraction that fails.
    Errors,
    /// Destinations reject everything.
    Shut,
    /// Endpoints accept calls and answer none.
    Silent,
    /// Endpoints are slower; size: the factor.
    Slow,
    /// All calls are slower; size: the factor.
    SharedSlow,
    /// Calls are executed but not answered; size: the fraction.
    AnswersLost,
    /// Limits are lowered; size: the fraction that remains.
    Throttle,
    /// Endpoints are drained and replaced in batches; size: the fraction per batch; extra: seconds of
    /// draining.
    Drains,
    /// Endpoints answer nothing, not even connection attempts.
    Vanish,
    /// Endpoints refuse connections and break existing ones.
    Down,
    /// Endpoints pause repeatedly; size: milliseconds of a pause; extra: period of the pauses in seconds.
    Pauses,
    /// Clients submit more messages; size: the factor.
    SuddenLoad,
    /// A few destinations receive more messages; size: their fraction of all messages; extra: their number.
    HotDestinations,
    /// One courier receives more messages; size: its fraction of all messages.
    UnevenCouriers,
    /// Couriers are killed; size: seconds until they restart.
    CouriersKilled,
    /// Couriers are restarted one after the other; size: seconds of downtime.
    CouriersRolled,
    /// Couriers are suspended repeatedly; size: milliseconds of a stall; extra: period of a courier's stalls
    /// in seconds.
    CouriersStall,
    /// The endpoint list is delayed; size: additional seconds.
    ListLate,
    /// The endpoint list is not published.
    ListOut,
    /// Connections that were idle are dropped silently; size: seconds of idleness; hard: they are reset at
    /// the next call instead.
    IdleDropped,
    /// One class fails at one of several endpoints; size: the fraction; extra: the class; hard: its messages
    /// are not answered.
    ClassFails,
    /// New connections take longer; size: milliseconds.
    SlowConnect,
    /// Couriers are cut off; extra: 0 from endpoints, 1 from clients, 2 from both; hard: only in the
    /// direction to the couriers. Emulated only.
    Partition,
    /// Connections of couriers break repeatedly, with data under way; size: the fraction that breaks; extra:
    /// period in seconds. Emulated only.
    LinksCut,
    /// Data from and to couriers takes longer; size: additional milliseconds each way. Emulated only.
    LinksSlow,
    /// Couriers are killed and their snapshots are truncated; size: seconds until they restart; extra: the
    /// fraction of the snapshot that remains. Emulated only.
    DiskDamaged,
}

impl FaultKind {
    /// Returns whether the kind can only be emulated, not injected on sockets.
    pub fn emulated_only(self) -> bool {
        matches!(
            self,
            FaultKind::Partition | FaultKind::LinksCut | FaultKind::LinksSlow | FaultKind::DiskDamaged
        )
    }
}
