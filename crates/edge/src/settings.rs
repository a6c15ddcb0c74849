//! Settings and endpoint list as documents: what the control interface accepts, checked as a whole, and the
//! conversion for the decision library.
//!
//! The fields of the documents keep the names that operators' files have; where the code's name differs, it
//! is mapped with `#[serde(rename)]`. An error names the field by its outer name.

mod documents;
mod endpoint_list;
mod error;
mod library;
mod validation;

pub use documents::{
    Allow, ClassDoc, ClocksDoc, Connections, CourierNumber, KindDoc, Limits, Prices, RatesDoc, RepeatDoc,
    Rules, Settings, TenantDoc, Worth,
};
pub use endpoint_list::{
    EndpointEntry, EndpointList, EndpointListUpdate, EntryState, UpdatedList, MAX_ENDPOINTS,
};
pub use error::InvalidDocument;

use serde::de::DeserializeOwned;

/// Reads a document; an error names the field.
pub fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, InvalidDocument> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let field = if path == "." { "document".to_owned() } else { path };
        InvalidDocument { field, reason: error.inner().to_string() }
    })?;
    json.end().map_err(|error| InvalidDocument { field: "document".into(), reason: error.to_string() })?;
    Ok(value)
}

#[cfg(test)]
pub(crate) mod tests;
