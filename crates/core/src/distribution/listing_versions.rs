//! The versions by which instances compare their listings.
//!
//! A listing has two parts, which are read from the store by separate calls:
//! the searchers and the instances. The version of a part is the revision of
//! the store at which the part last changed, so no instance makes up a version,
//! and a restarted instance cannot give an older content a higher one.
//!
//! # Example
//!
//! ```
//! use endivevale_core::distribution::ListingVersions;
//!
//! let old = ListingVersions { searchers: 7, instances: 2 };
//! let new = ListingVersions { searchers: 7, instances: 9 };
//! assert!(new.has_newer_part_than(old));
//! assert!(!old.has_newer_part_than(new));
//! ```

use serde::{Deserialize, Serialize};

/// The store revisions at which the two parts of a listing last changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListingVersions {
    /// The revision for the searchers; 0 if none have been read.
    pub searchers: u64,
    /// The revision for the instances; 0 if none have been read.
    pub instances: u64,
}

impl ListingVersions {
    /// The versions of an instance that has read neither part.
    pub const NONE: ListingVersions = ListingVersions { searchers: 0, instances: 0 };

    /// Returns whether at least one part is newer than in `other`.
    #[must_use]
    pub const fn has_newer_part_than(self, other: ListingVersions) -> bool {
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
