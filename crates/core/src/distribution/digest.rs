//! The digest by which a change names the content that it applies to.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

/// A digest of a text or a list. Two contents with the same digest count as the
/// same.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentDigest(u64);

impl ContentDigest {
    /// The digest that stands for no content.
    pub const NONE: ContentDigest = ContentDigest(0);

    /// Computes the digest of a text.
    #[must_use]
    pub fn of(text: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(text.as_bytes()).max(1))
    }

    /// Computes the digest of the elements of a list, in order.
    #[must_use]
    pub fn of_list<T: Hash>(elements: impl IntoIterator<Item = T>) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for element in elements {
            element.hash(&mut hasher);
        }
        Self(hasher.finish().max(1))
    }
}
