//! Reads the settings object of a deployment, as the bench's wire and the platform's configuration both give
//! it.
//!
//! An absent figure reads as zero, as the wire's page says. Unknown fields are ignored: deployments differ in
//! what they have. Nothing is decided here, and no value is checked against another.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod error;
mod json;
mod settings;

pub use error::SettingsError;

use json::{list, text, texts};
use linnetcart::Settings;
use serde_json::Value;

/// Name of the load report's value that holds the share of the limit that is left.
pub const CAPACITY_LEFT_FIELD: &str = "x0";
/// Name of the load report's value that holds the limit in calls a second.
pub const RATE_LIMIT_FIELD: &str = "x1";

/// Name of the field that lists the classes of message.
const SERVICES: &str = "services";
/// Name of the field that lists the kinds of destination.
const KINDS: &str = "kinds";

/// What a deployment says of itself.
#[derive(Clone, Debug, Default)]
pub struct DeploymentSettings {
    /// The settings of the decision library.
    pub settings: Settings,
    /// Names of the classes, by number.
    pub class_names: Vec<String>,
    /// Names of the kinds of destination, by number.
    pub kind_names: Vec<String>,
    /// Names of the zones, by number.
    pub zone_names: Vec<String>,
    /// Names of the values in a load report that comes with an answer, in the order of the report.
    pub load_report_fields: Vec<String>,
}

impl DeploymentSettings {
    /// Reads the object.
    pub fn read(object: &Value) -> Result<DeploymentSettings, SettingsError> {
        let class_name = |service: &Value| text(&service["name"]);
        Ok(DeploymentSettings {
            settings: settings::read(object)?,
            class_names: list(&object[SERVICES]).iter().map(class_name).collect(),
            kind_names: texts(&object[KINDS]),
            zone_names: texts(&object["zones"]),
            load_report_fields: texts(&object["stats"]["names"]),
        })
    }

    /// Where a value stands in a load report, if the deployment's reports have it.
    pub fn load_report_index(&self, name: &str) -> Option<usize> {
        self.load_report_fields.iter().position(|field| field == name)
    }
}
