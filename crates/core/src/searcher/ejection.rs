//! The time for which a searcher is chosen only if no other replica is available.

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// The maximum duration of an ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(2);

/// The maximum number of times that the duration of an ejection is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// The ejection of one searcher.
#[derive(Debug)]
pub(super) struct Ejection {
    /// The end of the ejection, in milliseconds since `created_at`; 0 if there was
    /// none.
    until_ms: AtomicU64,
    /// The failures counted since the last success. They determine the duration
    /// of the next ejection.
    failures: AtomicU32,
    created_at: Instant,
}

impl Ejection {
    /// Creates the state of a searcher that is not ejected.
    pub(super) fn new() -> Self {
        Self {
            until_ms: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            created_at: Instant::now(),
        }
    }

    /// Ejects for `span`, doubled for each failure since the last success, up to
    /// [`MAX_EJECTION`], and counts a failure.
    pub(super) fn eject_for(&self, span: Duration) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_DOUBLINGS);
        let until = self.created_at.elapsed() + (span * 2_u32.pow(failures)).min(MAX_EJECTION);
        self.until_ms.store(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// Counts a failure, and ejects as [`Ejection::eject_for`] does if it is not
    /// the first one since the last success.
    pub(super) fn eject_on_repeat(&self, span: Duration) {
        if self.failures.load(Ordering::Relaxed) == 0 {
            self.failures.store(1, Ordering::Relaxed);
        } else {
            self.eject_for(span);
        }
    }

    /// Records a success, so that the next ejection is short again.
    pub(super) fn clear_failures(&self) {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
    }

    /// Returns whether the searcher is ejected now.
    pub(super) fn is_ejected(&self) -> bool {
        let until = self.until_ms.load(Ordering::Relaxed);
        until != 0 && (self.created_at.elapsed().as_millis() as u64) < until
    }
}
