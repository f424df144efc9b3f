//! Whether a searcher answers at the moment.
//!
//! Searchers pause now and then for a fraction of a second. A pause shows as
//! silence while work is open. First attempts then go elsewhere, which costs
//! no extra load; any reply ends the suspicion at once.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::pulse::Pulse;
//! use std::time::Duration;
//!
//! let pulse = Pulse::new();
//! pulse.begin();
//! assert!(!pulse.is_silent(Duration::from_secs(1)));
//! pulse.hear();
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// What was heard of one searcher, and when.
#[derive(Debug)]
pub struct Pulse {
    born: Instant,
    /// Exchanges that are open.
    open: AtomicU32,
    /// Since when nothing was heard although something is open, in
    /// microseconds since `born`.
    quiet_since_us: AtomicU64,
    /// When a reply was last heard, in microseconds since `born`; 0 if never.
    heard_us: AtomicU64,
    /// Until when first attempts go elsewhere, in microseconds since `born`.
    passed_over_until_us: AtomicU64,
}

impl Default for Pulse {
    fn default() -> Self {
        Self::new()
    }
}

impl Pulse {
    /// Nothing is open.
    #[must_use]
    pub fn new() -> Self {
        Self {
            born: Instant::now(),
            open: AtomicU32::new(0),
            quiet_since_us: AtomicU64::new(0),
            heard_us: AtomicU64::new(0),
            passed_over_until_us: AtomicU64::new(0),
        }
    }

    fn now_us(&self) -> u64 {
        self.born.elapsed().as_micros() as u64
    }

    /// An exchange was begun.
    pub fn begin(&self) {
        if self.open.fetch_add(1, Ordering::AcqRel) == 0 {
            self.quiet_since_us.store(self.now_us(), Ordering::Release);
        }
    }

    /// An exchange ended with a reply, whatever it said.
    pub fn hear(&self) {
        let now = self.now_us();
        self.quiet_since_us.store(now, Ordering::Release);
        self.heard_us.store(now, Ordering::Release);
        self.passed_over_until_us.store(0, Ordering::Release);
        self.open.fetch_sub(1, Ordering::AcqRel);
    }

    /// An exchange ended without a reply.
    pub fn give_up(&self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether any reply was heard since this time. A searcher that answers
    /// others does not pause; it only takes long over one request.
    #[must_use]
    pub fn was_heard_since(&self, at: Instant) -> bool {
        let at_us = at.saturating_duration_since(self.born).as_micros() as u64;
        let heard_us = self.heard_us.load(Ordering::Acquire);
        heard_us > 0 && heard_us >= at_us
    }

    /// Sends first attempts elsewhere for `span` or until a reply comes.
    pub fn pass_over(&self, span: Duration) {
        let until = self.now_us() + span.as_micros() as u64;
        self.passed_over_until_us.fetch_max(until, Ordering::AcqRel);
    }

    /// Whether the searcher is passed over, or was silent for longer than
    /// `limit` with work open.
    #[must_use]
    pub fn is_silent(&self, limit: Duration) -> bool {
        let now = self.now_us();
        if now < self.passed_over_until_us.load(Ordering::Acquire) {
            return true;
        }
        let quiet = now.saturating_sub(self.quiet_since_us.load(Ordering::Acquire));
        self.open.load(Ordering::Acquire) > 0 && quiet > limit.as_micros() as u64
    }
}
