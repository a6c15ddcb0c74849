//! Scenario documents: fleet, traffic and faults as data, read from TOML.
//!
//! Field names are the keys of the documents. Spans are in seconds or milliseconds, as their names say.

mod built_in;
mod defaults;
mod faults;
mod sections;
mod speed;
mod validation;

pub use built_in::{BuiltInScenario, BUILT_IN};
pub use faults::{FaultKind, FaultSpec};
pub use sections::{
    Class, Clients, CourierBounds, EndpointListDelivery, IdempotencyKind, Kind, Rules, Traffic,
};

use crate::error::ScenarioError;
use serde::{Deserialize, Serialize};

/// A scenario: what a run is made of, except for its seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    /// How long messages are submitted.
    pub seconds: f64,
    /// Couriers.
    pub couriers: u32,
    /// Zones by name.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// Traffic.
    #[serde(default)]
    pub traffic: Traffic,
    /// Clients.
    #[serde(default)]
    pub clients: Clients,
    /// The courier's bounds.
    #[serde(default)]
    pub courier: CourierBounds,
    /// Figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// How the endpoint list reaches couriers.
    #[serde(default)]
    pub list: EndpointListDelivery,
    /// Classes.
    #[serde(default = "defaults::classes")]
    pub class: Vec<Class>,
    /// Kinds of destination.
    #[serde(default = "defaults::kinds")]
    pub kind: Vec<Kind>,
    /// Faults.
    #[serde(default)]
    pub trouble: Vec<FaultSpec>,
}

impl Scenario {
    /// A built-in scenario by name, or one from a file.
    pub fn find(name: &str) -> Result<Scenario, ScenarioError> {
        if let Some(built_in) = built_in::find(name) {
            let in_built_in = |source| ScenarioError::BuiltIn { name: name.to_owned(), source };
            return Scenario::parse(built_in.text).map_err(Box::new).map_err(in_built_in);
        }
        let unknown =
            |source| ScenarioError::Unknown { name: name.to_owned(), known: built_in::names(), source };
        let text = std::fs::read_to_string(name).map_err(unknown)?;
        let in_file = |source| ScenarioError::File { path: name.to_owned(), source };
        Scenario::parse(&text).map_err(Box::new).map_err(in_file)
    }

    /// Reads a document and checks it.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Faults that sockets cannot play.
    pub fn emulated_only(&self) -> Vec<FaultKind> {
        let kinds = self.trouble.iter().map(|fault| fault.what);
        kinds.filter(|kind| kind.emulated_only()).collect()
    }

    /// The scenario with so many couriers, so many times as fast.
    pub fn with(mut self, couriers: Option<u32>, speed: f64) -> Result<Scenario, ScenarioError> {
        if !(speed > 0.0 && speed <= 100.0) {
            return Err(ScenarioError::invalid("speed", "more than 0 and at most 100"));
        }
        self.couriers = couriers.unwrap_or(self.couriers);
        self.check()?;
        Ok(self.faster(speed))
    }
}
