//! The settings and the endpoint list: the documents that the control interface accepts, their validation,
//! and their conversion for the decision library.
//!
//! The documents keep the field names of the operators' files. Where the name in the code differs, it is
//! mapped with `#[serde(rename)]`. An error names the field by its name in the document.

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

/// Parses a JSON document.
///
/// # Errors
/// Fails if the text is not JSON of the type `T`. The error gives the path of the field that does not fit its
/// type, or `document` if the text as a whole is at fault.
pub fn parse_document<T: DeserializeOwned>(body: &[u8]) -> Result<T, InvalidDocument> {
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
