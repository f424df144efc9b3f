//! The listing as the store sends it: the JSON document of `/v1/instances`.
//!
//! Its version is a number that only increases, since this store never goes back to
//! an older copy.

use endivevale_core::{
    distribution::StoreRevision,
    layout::{InstanceRecord, Listing, SearcherRecord},
};
use serde::{Deserialize, Serialize};

/// The listing as the store sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListingDocument {
    /// The version. Increases with each change.
    version: u64,
    /// The searchers.
    searchers: Vec<SearcherRecord>,
    /// The instances of the tier.
    instances: Vec<InstanceRecord>,
}

impl From<ListingDocument> for Listing {
    fn from(document: ListingDocument) -> Self {
        Self {
            version: StoreRevision::new(0, document.version),
            step: 0,
            instances_version: StoreRevision::NONE,
            searchers: document.searchers,
            instances: document.instances,
        }
    }
}

impl From<&Listing> for ListingDocument {
    fn from(listing: &Listing) -> Self {
        Self {
            version: listing.version.number(),
            searchers: listing.searchers.clone(),
            instances: listing.instances.clone(),
        }
    }
}
