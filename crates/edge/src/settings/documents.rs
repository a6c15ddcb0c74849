//! The settings document as operators write it.
//!
//! Error texts of the control interface contain the names of these types ("expected struct ClassDoc with 7
//! elements"). The types keep their names for that reason, also where the code has another term.

mod classes;
mod limits;
mod rules;
mod weights;

pub use classes::{ClassDoc, KindDoc, RepeatDoc, TenantDoc};
pub use limits::{Allow, ClocksDoc, Connections, Limits};
pub use rules::{RatesDoc, Rules};
pub use weights::{Prices, Worth};

use serde::{Deserialize, Serialize};

/// The settings of a courier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the deployment, for logs and metrics.
    pub deployment: String,
    /// This courier among those of the deployment.
    pub courier: CourierNumber,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The classes of messages. Each is a topic.
    pub classes: Vec<ClassDoc>,
    /// The kinds of destinations.
    pub kinds: Vec<KindDoc>,
    /// The tenants. There may be none.
    #[serde(default)]
    pub tenants: Vec<TenantDoc>,
    /// The limits of the courier.
    pub limits: Limits,
    /// What the courier is permitted to do.
    #[serde(default, rename = "allow")]
    pub permissions: Allow,
    /// Connections to endpoints.
    #[serde(default)]
    pub connections: Connections,
    /// Clocks of clients.
    #[serde(default)]
    pub clocks: ClocksDoc,
    /// The parameters of the delivery rules.
    pub rules: Rules,
    /// How accurate the rates in the endpoint list are.
    #[serde(default)]
    pub rates: RatesDoc,
    /// How the priority weight of a message decreases.
    #[serde(default, rename = "worth")]
    pub weights: Worth,
    /// Prices, as fractions of a message's priority weight.
    #[serde(default)]
    pub prices: Prices,
    /// The shortest time between two decision cycles, in microseconds.
    #[serde(default = "default_tick_us")]
    pub tick_us: u64,
}

fn default_tick_us() -> u64 {
    1000
}

/// The number and the zone of this courier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CourierNumber {
    /// Its number, from 0.
    #[serde(rename = "me")]
    pub index: u32,
    /// How many couriers send to the same destinations, including this one.
    #[serde(rename = "of")]
    pub count: u32,
    /// The name of its zone.
    pub zone: String,
}
