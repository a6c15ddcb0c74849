//! Reads the settings object of a deployment, in the form that the bench's wire protocol and the platform's
//! configuration share.
//!
//! An absent value reads as zero, as the wire protocol specifies. Unknown fields are ignored, because
//! deployments differ in what they have. This crate decides nothing and never checks one value against
//! another.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod error;
mod json;
mod settings;

pub use error::SettingsError;

use json::{list, text, texts};
use linnetcart::Settings;
use serde_json::Value;

/// Name of the load report's value for the fraction of the limit that is still available.
pub const CAPACITY_LEFT_FIELD: &str = "x0";
/// Name of the load report's value for the limit, in calls per second.
pub const RATE_LIMIT_FIELD: &str = "x1";

/// Name of the field that lists the classes of messages.
const SERVICES: &str = "services";
/// Name of the field that lists the kinds of destination.
const KINDS: &str = "kinds";

/// The settings of a deployment.
#[derive(Clone, Debug, Default)]
pub struct DeploymentSettings {
    /// Settings of the decision library.
    pub settings: Settings,
    /// Names of the classes of messages, by index.
    pub class_names: Vec<String>,
    /// Names of the kinds of destination, by index.
    pub kind_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Names of the values in an answer's load report, in the order of the report.
    pub load_report_fields: Vec<String>,
}

impl DeploymentSettings {
    /// Reads a settings object.
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

    /// Returns the position of a value in the load reports, or `None` if they do not contain it.
    pub fn load_report_index(&self, name: &str) -> Option<usize> {
        self.load_report_fields.iter().position(|field| field == name)
    }
}
