//! The settings document of `PUT /settings`, in the form in which operators write it.
//!
//! Error texts of the control interface contain the Rust names of these types ("expected struct ClassDoc with
//! 7 elements"), so renaming a type would change texts that operators know.

mod classes;
mod limits;
mod rules;
mod weights;

pub use classes::{ClassDoc, KindDoc, RepeatDoc, TenantDoc};
pub use limits::{Allow, ClocksDoc, Connections, Limits};
pub use rules::{RatesDoc, Rules};
pub use weights::{Prices, Worth};

use serde::{Deserialize, Serialize};

/// The complete settings document of a courier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the deployment, which is part of the names of its metrics.
    pub deployment: String,
    /// Number, count and zone: the position of this courier among those of the deployment.
    pub courier: CourierNumber,
    /// Names of the zones; the position of a name is the number of its zone.
    pub zones: Vec<String>,
    /// Classes of messages. Each class is a Kafka topic.
    pub classes: Vec<ClassDoc>,
    /// Kinds of destinations. Each entry of the endpoint list names one.
    pub kinds: Vec<KindDoc>,
    /// Tenants with a quota.
    #[serde(default)]
    pub tenants: Vec<TenantDoc>,
    /// Capacity limits of this courier.
    pub limits: Limits,
    /// Optional mechanisms of delivery, such as hedging, and whether the courier may use them.
    #[serde(default, rename = "allow")]
    pub permissions: Allow,
    /// Use of connections to endpoints.
    #[serde(default)]
    pub connections: Connections,
    /// How far clocks of clients are trusted.
    #[serde(default)]
    pub clocks: ClocksDoc,
    /// Parameters of ordering, slow start and overload.
    pub rules: Rules,
    /// Accuracy of the rates in the endpoint list.
    #[serde(default)]
    pub rates: RatesDoc,
    /// How the priority weight of a message decreases with its age.
    #[serde(default, rename = "worth")]
    pub weights: Worth,
    /// Prices of resources, as fractions of a message's priority weight.
    #[serde(default)]
    pub prices: Prices,
    /// Minimum interval between two decision cycles, in microseconds.
    #[serde(default = "default_tick_us")]
    pub tick_us: u64,
}

fn default_tick_us() -> u64 {
    1000
}

/// The position of this courier among those that send to the same destinations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CourierNumber {
    /// Number of this courier, from 0 to `count - 1`.
    #[serde(rename = "me")]
    pub index: u32,
    /// Number of couriers that send to the same destinations, including this one.
    #[serde(rename = "of")]
    pub count: u32,
    /// Name of the zone that this courier is in.
    pub zone: String,
}
