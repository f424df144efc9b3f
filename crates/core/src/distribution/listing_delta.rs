//! The changes between two versions of the listing, as siblings send them and
//! as the store reports them.
//!
//! A delta names the searchers that it applies to by their digest, so that an
//! instance with other searchers does not apply it.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{
//!     distribution::{StoreRevision, listing_delta::ListingDelta}, layout::Listing,
//! };
//!
//! let old = Listing { version: StoreRevision::new(1, 3), ..Listing::default() };
//! let new = Listing { version: StoreRevision::new(1, 4), ..Listing::default() };
//! assert!(ListingDelta::between(&old, &new).changes.is_empty());
//! ```

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::{
    distribution::{ContentDigest, StoreRevision},
    layout::{Listing, SearcherRecord, SearcherState},
    name::SearcherName,
};

/// One change of the searcher entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An entry was written.
    Written(SearcherRecord),
    /// An entry was removed.
    Removed(SearcherName),
    /// Only the state of an entry changed.
    StateChanged(SearcherName, SearcherState),
    /// An entry was written that describes no usable searcher.
    Unusable(SearcherName),
}

/// The changes between two versions of the listing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingDelta {
    /// The version that the changes apply to; [`StoreRevision::NONE`] if the delta is
    /// absent.
    pub base_version: StoreRevision,
    /// The digest of the searchers that the changes apply to, without lapsed ones.
    /// Two instances may have different searchers under one version, for example
    /// after an odd entry of which only one has known a newer incarnation.
    pub base_digest: ContentDigest,
    /// The changes, at most one per searcher.
    pub changes: Vec<Change>,
}

impl Change {
    /// Returns the name of the searcher.
    #[must_use]
    pub const fn name(&self) -> &SearcherName {
        match self {
            Change::Written(record) => &record.name,
            Change::Removed(name) | Change::StateChanged(name, _) | Change::Unusable(name) => name,
        }
    }
}

impl ListingDelta {
    /// Computes the changes from `old` to `new`, of searchers that the store has:
    /// each instance decides by itself which others have lapsed. The delta is
    /// absent if `old` has version 0, or if the instances differ, since a delta
    /// covers searchers only.
    #[must_use]
    pub fn between(old: &Listing, new: &Listing) -> Self {
        if old.version.is_none() || old.instances != new.instances {
            return Self::default();
        }
        let old_records: HashMap<_, _> = old.stored_searchers().map(|r| (&r.name, r)).collect();
        let new_names: HashSet<_> = new.stored_searchers().map(|r| &r.name).collect();
        let written = new.stored_searchers().filter(|r| old_records.get(&r.name) != Some(r));
        let removed = old.stored_searchers().filter(|r| !new_names.contains(&r.name));
        let changes = written
            .map(|r| change_between(old_records.get(&r.name).copied(), r))
            .chain(removed.map(|r| Change::Removed(r.name.clone())));
        Self {
            base_version: old.version,
            base_digest: ContentDigest::of_list(old.stored_searchers()),
            changes: changes.collect(),
        }
    }
}

/// Returns the change from one record to another: of the state alone if
/// nothing else differs, else of the whole record.
fn change_between(old: Option<&SearcherRecord>, new: &SearcherRecord) -> Change {
    let differs_in_state_only =
        old.is_some_and(|old| SearcherRecord { state: new.state, ..old.clone() } == *new);
    if differs_in_state_only {
        Change::StateChanged(new.name.clone(), new.state)
    } else {
        Change::Written(new.clone())
    }
}
