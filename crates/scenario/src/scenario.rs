//! Scenario documents: fleet, traffic and faults as data, read from TOML.
//!
//! The keys of the documents are a stable format, so a renamed field keeps its key by `serde(rename)`.
//! Durations are in seconds or milliseconds, as the suffix of the name says.

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

/// A scenario: everything that defines a run, except for its seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: String,
    /// The purpose of the scenario, in one sentence.
    pub about: String,
    /// How long clients submit messages, in seconds.
    pub seconds: f64,
    /// Number of couriers.
    pub couriers: u32,
    /// The names of the zones.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// How many messages clients submit, and for which destinations.
    #[serde(default)]
    pub traffic: Traffic,
    /// How clients connect and retry.
    #[serde(default)]
    pub clients: Clients,
    /// The limits and timeouts of each courier.
    #[serde(default)]
    pub courier: CourierBounds,
    /// Parameters of the rules that the conformance checks verify.
    #[serde(default)]
    pub rules: Rules,
    /// How the endpoint list is delivered to couriers.
    #[serde(default)]
    pub list: EndpointListDelivery,
    /// The message classes.
    #[serde(default = "defaults::classes")]
    pub class: Vec<Class>,
    /// Groups of destinations with the same parameters, such as rate limit, capacity and number of endpoints.
    #[serde(default = "defaults::kinds")]
    pub kind: Vec<Kind>,
    /// The faults that are injected.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<FaultSpec>,
}

impl Scenario {
    /// Returns the built-in scenario of this name, or else reads the scenario from the file of this path.
    ///
    /// # Errors
    /// Fails if `name` is neither a built-in scenario nor a readable file, or the document is invalid.
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

    /// Parses and validates a TOML document.
    ///
    /// # Errors
    /// Fails if the text is no scenario document or a value is out of its range.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Returns the kinds of the scenario's faults that only the emulator can inject, not a run on sockets.
    pub fn emulated_only(&self) -> Vec<FaultKind> {
        let kinds = self.faults.iter().map(|fault| fault.what);
        kinds.filter(|kind| kind.emulated_only()).collect()
    }

    /// Returns the scenario with this number of couriers, if given, and sped up by the factor `speed`.
    ///
    /// # Errors
    /// Fails if `speed` is not more than 0 and at most 100, or the number of couriers is invalid.
    pub fn with(mut self, couriers: Option<u32>, speed: f64) -> Result<Scenario, ScenarioError> {
        if !(speed > 0.0 && speed <= 100.0) {
            return Err(ScenarioError::invalid("speed", "more than 0 and at most 100"));
        }
        self.couriers = couriers.unwrap_or(self.couriers);
        self.check()?;
        Ok(self.faster(speed))
    }
}
