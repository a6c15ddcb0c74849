//! Faults that a scenario injects.

use super::defaults;
use serde::{Deserialize, Serialize};

/// A fault that a scenario injects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// The kind of fault.
    pub what: FaultKind,
    /// When the fault begins, in seconds after the start of the run.
    pub at: f64,
    /// How long the fault lasts, in seconds.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// The affected fraction, 0 to 1. A fault of destinations affects destinations whose rate limits add up
    /// to this fraction of the sum of all; a fault of couriers affects this fraction of the couriers.
    #[serde(default = "defaults::fault_part")]
    pub part: f64,
    /// The size of the fault; the meaning and the unit depend on the kind, see [`FaultKind`].
    #[serde(default)]
    pub size: f64,
    /// A second parameter; the meaning and the unit depend on the kind, see [`FaultKind`].
    #[serde(default)]
    pub extra: f64,
    /// Selects a variant of the kinds `idle-dropped`, `class-fails` and `partition`, see [`FaultKind`]; other
    /// kinds ignore it.
    #[serde(default)]
    pub hard: bool,
}

/// The kinds of faults, with the meaning of `size`, `extra` and `hard` for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Calls are answered quickly with an error; size: the fraction of the calls.
    Errors,
    /// Destinations reject every call.
    Shut,
    /// Endpoints accept calls and answer none.
    Silent,
    /// Endpoints are slower; size: the factor by which their service times are multiplied.
    Slow,
    /// All endpoints are slower, whatever `part` is; size: the factor by which their service times are
    /// multiplied.
    SharedSlow,
    /// Calls are executed but not answered; size: the fraction of the calls.
    AnswersLost,
    /// The rates of limits are lowered; size: the fraction of the rate that remains.
    Throttle,
    /// Endpoints are drained and replaced in batches; size: the fraction of the endpoints in a batch; extra:
    /// seconds from the publication of the drain to the removal of the endpoint.
    Drains,
    /// Endpoints answer nothing, not even connection attempts.
    Vanish,
    /// Endpoints refuse connections and reset existing ones.
    Down,
    /// Endpoints pause repeatedly; size: milliseconds of a pause; extra: period of the pauses in seconds.
    Pauses,
    /// Clients submit more messages outside of bursts; size: the factor.
    SuddenLoad,
    /// The destinations with the most traffic receive more messages; size: the fraction of the messages
    /// outside of bursts that goes to them in addition; extra: the number of these destinations.
    HotDestinations,
    /// One courier receives more messages; size: the fraction of the messages without ordering key that goes
    /// to it in addition.
    UnevenCouriers,
    /// Couriers are killed once; size: seconds until they restart.
    CouriersKilled,
    /// Rolling restart: couriers are killed one after the other; size: seconds until each restarts.
    CouriersRolled,
    /// Courier processes are suspended repeatedly; size: milliseconds of a stall; extra: period of each
    /// courier's stalls in seconds.
    CouriersStall,
    /// Changes of the endpoint list are published later; size: additional seconds.
    ListLate,
    /// Changes of the endpoint list are not published until the fault ends.
    ListOut,
    /// Endpoints drop idle connections without notice and ignore what arrives on them; size: idle timeout in
    /// seconds; hard: the connection is reset at the next call instead.
    IdleDropped,
    /// Messages of one class fail at one endpoint of each destination that has several; size: the fraction
    /// that fails; extra: the class number; hard: failing messages are not answered.
    ClassFails,
    /// Endpoints accept connections later; size: milliseconds.
    SlowConnect,
    /// Couriers are cut off: the network holds data back until the fault ends; extra: 0 from endpoints, 1
    /// from clients, 2 from both; hard: only in the direction to the couriers. Emulated only.
    Partition,
    /// Connections of couriers break repeatedly, with data in flight; size: the fraction of the
    /// connections; extra: period in seconds. Emulated only.
    LinksCut,
    /// Data from and to couriers takes longer; size: additional milliseconds each way. Emulated only.
    LinksSlow,
    /// Couriers are killed and their snapshots are truncated; size: seconds until they restart; extra: the
    /// fraction of the snapshot that remains. Emulated only.
    DiskDamaged,
}

impl FaultKind {
    /// Returns whether only the emulator can inject the kind, not a run on sockets.
    pub fn emulated_only(self) -> bool {
        matches!(
            self,
            FaultKind::Partition | FaultKind::LinksCut | FaultKind::LinksSlow | FaultKind::DiskDamaged
        )
    }
}
