//! Which versions of which APIs are offered.

use kafka_protocol::messages::ApiKey;

/// First and last version of Produce that is offered.
pub const PRODUCE: (i16, i16) = (3, 12);
/// First and last version of Metadata that is offered.
pub const METADATA: (i16, i16) = (0, 12);
/// The version of Fetch that is offered. librdkafka writes record batches only to brokers that offer it; every
/// request is answered with an error, as nothing can be read here.
pub const FETCH: (i16, i16) = (4, 4);
/// First and last version of ApiVersions that is offered.
pub const API_VERSIONS: (i16, i16) = (0, 3);

/// An API that is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferedApi {
    Produce,
    Fetch,
    Metadata,
    ApiVersions,
}

impl OfferedApi {
    /// All, in the order in which ApiVersions lists them.
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

    pub(crate) fn first_version(self) -> i16 {
        self.versions().0
    }

    pub(crate) fn last_version(self) -> i16 {
        self.versions().1
    }

    pub(crate) fn offers(self, version: i16) -> bool {
        (self.first_version()..=self.last_version()).contains(&version)
    }

    fn versions(self) -> (i16, i16) {
        match self {
            OfferedApi::Produce => PRODUCE,
            OfferedApi::Fetch => FETCH,
            OfferedApi::Metadata => METADATA,
            OfferedApi::ApiVersions => API_VERSIONS,
        }
    }
}
