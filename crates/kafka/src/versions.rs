//! The APIs that the server side offers, and their versions.

use kafka_protocol::messages::ApiKey;

/// The versions of an API from the first to the last, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionRange {
    /// The oldest version.
    pub first: i16,
    /// The newest version.
    pub last: i16,
}

impl VersionRange {
    /// Returns whether the range includes this version.
    pub fn contains(self, version: i16) -> bool {
        (self.first..=self.last).contains(&version)
    }
}

/// The offered versions of Produce.
pub const PRODUCE: VersionRange = VersionRange { first: 3, last: 12 };
/// The offered versions of Metadata.
pub const METADATA: VersionRange = VersionRange { first: 0, last: 12 };
/// The only offered version of Fetch. It is offered because librdkafka sends record batches (magic 2) only to
/// brokers that offer it. Every Fetch request is answered with an error, because the server stores no
/// records.
pub const FETCH: VersionRange = VersionRange { first: 4, last: 4 };
/// The offered versions of ApiVersions.
pub const API_VERSIONS: VersionRange = VersionRange { first: 0, last: 3 };

/// An offered API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferedApi {
    Produce,
    Fetch,
    Metadata,
    ApiVersions,
}

impl OfferedApi {
    /// All offered APIs, in the order in which ApiVersions lists them.
    pub(crate) const ALL: [OfferedApi; 4] =
        [OfferedApi::Produce, OfferedApi::Fetch, OfferedApi::Metadata, OfferedApi::ApiVersions];

    pub(crate) fn from_code(code: i16) -> Option<OfferedApi> {
        OfferedApi::ALL.into_iter().find(|api| api.key() as i16 == code)
    }

    pub(crate) fn key(self) -> ApiKey {
        match self {
            OfferedApi::Produce => ApiKey::Produce,
            OfferedApi::Fetch => ApiKey::Fetch,
            OfferedApi::Metadata => ApiKey::Metadata,
            OfferedApi::ApiVersions => ApiKey::ApiVersions,
        }
    }

    pub(crate) fn versions(self) -> VersionRange {
        match self {
            OfferedApi::Produce => PRODUCE,
            OfferedApi::Fetch => FETCH,
            OfferedApi::Metadata => METADATA,
            OfferedApi::ApiVersions => API_VERSIONS,
        }
    }
}
