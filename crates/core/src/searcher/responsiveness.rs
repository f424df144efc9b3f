//! Detection of searchers that are temporarily silent.
//!
//! Searchers occasionally pause for a fraction of a second. A pause shows as
//! the absence of replies while exchanges are open. First attempts then go to
//! other searchers, which adds no load; after any reply the searcher no longer
//! counts as silent.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::searcher::responsiveness::Responsiveness;
//! use std::time::Duration;
//!
//! let responsiveness = Responsiveness::new();
//! responsiveness.record_start();
//! assert!(!responsiveness.is_silent(Duration::from_secs(1)));
//! responsiveness.record_reply();
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// The open exchanges with one searcher and the time of its last reply.
#[derive(Debug)]
pub struct Responsiveness {
    created_at: Instant,
    /// The number of open exchanges.
    open: AtomicU32,
    /// The start of the current time without a reply, in microseconds since
    /// `created_at`: the last reply, or the start of an exchange while no other was
    /// open if that was later.
    silent_since_us: AtomicU64,
    /// The time of the last reply, in microseconds since `created_at`; 0 if there was
    /// none.
    last_reply_us: AtomicU64,
    /// The time until which first attempts go to other searchers, in
    /// microseconds since `created_at`.
    avoided_until_us: AtomicU64,
}

impl Default for Responsiveness {
    fn default() -> Self {
        Self::new()
    }
}

impl Responsiveness {
    /// Creates the state of a searcher with no open exchanges.
    #[must_use]
    pub fn new() -> Self {
        Self {
            created_at: Instant::now(),
            open: AtomicU32::new(0),
            silent_since_us: AtomicU64::new(0),
            last_reply_us: AtomicU64::new(0),
            avoided_until_us: AtomicU64::new(0),
        }
    }

    fn now_us(&self) -> u64 {
        self.created_at.elapsed().as_micros() as u64
    }

    /// Records the start of an exchange.
    pub fn record_start(&self) {
        if self.open.fetch_add(1, Ordering::AcqRel) == 0 {
            self.silent_since_us.store(self.now_us(), Ordering::Release);
        }
    }

    /// Records that an exchange ended with a reply of any kind.
    pub fn record_reply(&self) {
        let now = self.now_us();
        self.silent_since_us.store(now, Ordering::Release);
        self.last_reply_us.store(now, Ordering::Release);
        self.avoided_until_us.store(0, Ordering::Release);
        self.open.fetch_sub(1, Ordering::AcqRel);
    }

    /// Records that an exchange ended without a reply.
    pub fn record_no_reply(&self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether any reply was received at or after `at`. A searcher that replies
    /// to other requests is not paused; it is only slow on one request.
    #[must_use]
    pub fn has_replied_since(&self, at: Instant) -> bool {
        let at_us = at.saturating_duration_since(self.created_at).as_micros() as u64;
        let last_reply_us = self.last_reply_us.load(Ordering::Acquire);
        last_reply_us > 0 && last_reply_us >= at_us
    }

    /// Directs first attempts to other searchers for `span`, or until a reply
    /// is received.
    pub fn avoid_for(&self, span: Duration) {
        let until = self.now_us() + span.as_micros() as u64;
        self.avoided_until_us.fetch_max(until, Ordering::AcqRel);
    }

    /// Whether first attempts are directed to other searchers, or no reply came
    /// for longer than `limit` while exchanges were open.
    #[must_use]
    pub fn is_silent(&self, limit: Duration) -> bool {
        let now = self.now_us();
        if now < self.avoided_until_us.load(Ordering::Acquire) {
            return true;
        }
        let silence = now.saturating_sub(self.silent_since_us.load(Ordering::Acquire));
        self.open.load(Ordering::Acquire) > 0 && silence > limit.as_micros() as u64
    }
}
