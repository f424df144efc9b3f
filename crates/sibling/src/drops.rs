//! Counts of what came in on the siblings' port and was dropped.
//!
//! # Example
//!
//! ```
//! use endivevale_sibling::{drops::Drops, wire::WireError};
//!
//! let drops = Drops::default();
//! drops.count(WireError::OtherCodec);
//! assert_eq!(drops.get(WireError::OtherCodec), 1);
//! ```

use endivevale_core::stats::Counter;
use strum::EnumCount;

use crate::wire::WireError;

/// One count for each reason.
#[derive(Debug, Default)]
pub struct Drops([Counter; WireError::COUNT]);

impl Drops {
    /// Counts one message that was dropped.
    pub fn count(&self, why: WireError) {
        self.0[why as usize].inc();
    }

    /// The messages dropped for this reason.
    #[must_use]
    pub fn get(&self, why: WireError) -> u64 {
        self.0[why as usize].get()
    }
}
