//! The revisions of the store by which instances order what they have read.
//!
//! A store that comes back from an older copy of its content loses its latest
//! revisions and gives their numbers out a second time. It then begins a new epoch.
//! A number alone therefore orders nothing: a revision is a number within an epoch,
//! and every revision of an epoch is newer than all of the epochs before.
//!
//! A platform whose store names no epoch has only one, number 0.
//!
//! # Example
//!
//! ```
//! use endivevale_core::distribution::StoreRevision;
//!
//! let lost = StoreRevision::new(1, 196);
//! let restored = StoreRevision::new(2, 190);
//! assert!(restored > lost);
//! assert!(StoreRevision::NONE < lost);
//! ```

use std::fmt;

use serde::{Deserialize, Serialize};

/// A revision of the store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    // The derived order compares the epoch first.
    epoch: u64,
    number: u64,
}

impl StoreRevision {
    /// The revision before the store was read.
    pub const NONE: StoreRevision = StoreRevision { epoch: 0, number: 0 };

    /// Creates the revision with this number in this epoch.
    #[must_use]
    pub const fn new(epoch: u64, number: u64) -> Self {
        Self { epoch, number }
    }

    /// Returns the epoch.
    #[must_use]
    pub const fn epoch(self) -> u64 {
        self.epoch
    }

    /// Returns the number within the epoch.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Returns whether this is [`NONE`](Self::NONE).
    #[must_use]
    pub const fn is_none(self) -> bool {
        self.epoch == 0 && self.number == 0
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}
