//! The digest by which a change names the text that it applies to.

use serde::{Deserialize, Serialize};

/// A digest of a text. Two texts with the same digest count as the same text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TextDigest(u64);

impl TextDigest {
    /// The digest that stands for no text.
    pub const NONE: TextDigest = TextDigest(0);

    /// Computes the digest of a text.
    #[must_use]
    pub fn of(text: &str) -> Self {
        Self::of_bytes(text.as_bytes())
    }

    /// Computes the digest of bytes.
    #[must_use]
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(bytes).max(1))
    }
}
