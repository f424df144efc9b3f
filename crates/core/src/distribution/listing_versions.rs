//! The versions by which instances compare their listings.
//!
//! A listing has two parts, which are read from the store by separate calls:
//! the searchers and the instances. The version of a part is the revision of
//! the store at which the part last changed, so no instance makes up a version,
//! and a restarted instance cannot give an older content a higher one. What was
//! read after the store came back from an older copy is newer than all before, since
//! its revisions are of a later epoch.
//!
//! # Example
//!
//! ```
//! use endivevale_core::distribution::{ListingVersions, StoreRevision};
//!
//! let [two, seven, nine] = [2, 7, 9].map(|number| StoreRevision::new(1, number));
//! let old = ListingVersions { searchers: seven, instances: two };
//! let new = ListingVersions { searchers: seven, instances: nine };
//! assert!(new.has_newer_part_than(old));
//! assert!(!old.has_newer_part_than(new));
//! ```

use serde::{Deserialize, Serialize};

use super::StoreRevision;

/// The store revisions at which the two parts of a listing last changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListingVersions {
    /// The revision for the searchers; [`StoreRevision::NONE`] if none have been read.
    pub searchers: StoreRevision,
    /// The revision for the instances; [`StoreRevision::NONE`] if none have been read.
    pub instances: StoreRevision,
}

impl ListingVersions {
    /// The versions of an instance that has read neither part.
    pub const NONE: ListingVersions =
        ListingVersions { searchers: StoreRevision::NONE, instances: StoreRevision::NONE };

    /// Returns whether at least one part is newer than in `other`.
    #[must_use]
    pub fn has_newer_part_than(self, other: ListingVersions) -> bool {
        self.searchers > other.searchers || self.instances > other.instances
    }

    /// Returns the newer version of each part.
    #[must_use]
    pub fn newest_of_each(self, other: ListingVersions) -> Self {
        Self {
            searchers: self.searchers.max(other.searchers),
            instances: self.instances.max(other.instances),
        }
    }
}
