//! Parses the settings object of a deployment: JSON, in the format that the bench's wire protocol and the
//! platform's configuration share.
//!
//! An absent value reads as zero, as the wire protocol specifies. Unknown fields are ignored, because
//! deployments differ in the fields that they have. Values are not checked against each other.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod error;
mod json;
mod settings;

pub use error::SettingsError;

use json::{list, text, texts};
use linnetcart::Settings;
use serde_json::Value;

/// Name of the value in a load report that is the unused fraction of the limit, 0 to 1.
pub const CAPACITY_LEFT_FIELD: &str = "x0";
/// Name of the value in a load report that is the limit, in calls a second over all couriers.
pub const RATE_LIMIT_FIELD: &str = "x1";

/// Name of the field with the list of message classes.
const SERVICES: &str = "services";
/// Name of the field with the list of destination kinds.
const KINDS: &str = "kinds";

/// The settings of a deployment.
#[derive(Clone, Debug, Default)]
pub struct DeploymentSettings {
    /// Settings of the decision library.
    pub settings: Settings,
    /// Names of the message classes; a class is identified by its index.
    pub class_names: Vec<String>,
    /// Names of the destination kinds; a kind is identified by its index.
    pub kind_names: Vec<String>,
    /// Names of the zones; a zone is identified by its index.
    pub zone_names: Vec<String>,
    /// Names of the values in the load report of an answer, in the order in which the report has them.
    pub load_report_fields: Vec<String>,
}

impl DeploymentSettings {
    /// Parses a settings object.
    ///
    /// # Errors
    ///
    /// [`SettingsError::UnknownIdempotency`] if the idempotency of a message class is missing or unknown.
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

    /// Returns the index of a named value in the load reports, or `None` if they do not contain it.
    pub fn load_report_index(&self, name: &str) -> Option<usize> {
        self.load_report_fields.iter().position(|field| field == name)
    }
}
