//! The texts of recent configurations, to which a newer one can be sent as a
//! change.

use std::{collections::VecDeque, sync::Arc};

use super::ContentDigest;

/// The maximum number of texts that are kept.
const MAX_TEXTS: usize = 16;

/// The maximum size of all kept texts together, in bytes.
const MAX_TOTAL_BYTES: usize = 4 * 1024 * 1024;

/// The texts of recent configurations with their digests, the newest last.
#[derive(Debug, Clone, Default)]
pub struct RecentTexts {
    /// Invariant: at most [`MAX_TEXTS`], and at most [`MAX_TOTAL_BYTES`] unless
    /// there is only one.
    texts: VecDeque<(ContentDigest, Arc<str>)>,
}

impl RecentTexts {
    /// Adds a text as the newest, and drops the oldest ones over the limits.
    pub fn push(&mut self, digest: ContentDigest, text: Arc<str>) {
        self.texts.push_back((digest, text));
        while self.texts.len() > 1 && self.is_over_limits() {
            self.texts.pop_front();
        }
    }

    /// Returns the text with this digest, if it is kept.
    #[must_use]
    pub fn get(&self, digest: ContentDigest) -> Option<&Arc<str>> {
        self.texts.iter().find(|(kept, _)| *kept == digest).map(|(_, text)| text)
    }

    fn is_over_limits(&self) -> bool {
        let total_bytes: usize = self.texts.iter().map(|(_, text)| text.len()).sum();
        self.texts.len() > MAX_TEXTS || total_bytes > MAX_TOTAL_BYTES
    }
}
