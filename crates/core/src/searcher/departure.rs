//! Whether a searcher gets no more requests, and why.
//!
//! A sign that a searcher is leaving holds for its incarnation, on every instance.
//! That one instance no longer lists it is no such sign, since its entry may come
//! back; the requests of that moment must avoid it all the same.

use std::sync::atomic::{AtomicBool, Ordering};

/// The departure of one incarnation of a searcher, as one instance knows it.
#[derive(Debug, Default)]
pub(super) struct Departure {
    /// Invariant: never cleared.
    is_known: AtomicBool,
    /// Invariant: never cleared.
    is_unlisted: AtomicBool,
}

impl Departure {
    /// Records a sign that the searcher is leaving. Returns whether that was not
    /// known.
    pub(super) fn mark_leaving(&self) -> bool {
        !self.is_known.swap(true, Ordering::AcqRel)
    }

    /// Records that the instance no longer lists the searcher.
    pub(super) fn mark_unlisted(&self) {
        self.is_unlisted.store(true, Ordering::Release);
    }

    /// Returns whether there is a sign that the searcher is leaving.
    pub(super) fn is_known(&self) -> bool {
        self.is_known.load(Ordering::Acquire)
    }

    /// Returns whether the searcher is leaving or no longer listed.
    pub(super) fn has_begun(&self) -> bool {
        self.is_known() || self.is_unlisted.load(Ordering::Acquire)
    }
}
