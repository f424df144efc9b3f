//! The time for which a searcher has asked this instance to send it nothing.
//!
//! A searcher that rejects a request may say for how long it takes no others. The
//! work goes to another replica meanwhile. Instances that were asked at the same
//! moment return one after the other.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::searcher::requested_pause::RequestedPause;
//! use std::time::Duration;
//!
//! let pause = RequestedPause::new();
//! assert!(!pause.is_paused());
//! pause.record(Duration::from_secs(2));
//! assert!(pause.is_paused() && pause.remaining() >= Duration::from_secs(2));
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rand::RngExt;
use tokio::time::Instant;

/// The longest pause that a searcher can ask for.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);

/// The time over which instances return after a pause, as a fraction of it.
const RETURN_SPREAD: f64 = 0.2;

/// The pause that one searcher has asked for.
#[derive(Debug)]
pub struct RequestedPause {
    created_at: Instant,
    /// When the pause ends, in microseconds since `created_at`; 0 if none was asked
    /// for.
    until_us: AtomicU64,
}

impl Default for RequestedPause {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestedPause {
    /// Creates the state of a searcher that has asked for no pause.
    #[must_use]
    pub fn new() -> Self {
        Self { created_at: Instant::now(), until_us: AtomicU64::new(0) }
    }

    fn now_us(&self) -> u64 {
        self.created_at.elapsed().as_micros() as u64
    }

    /// Records that the searcher asked for a pause from now on. One of more than
    /// [`MAX_PAUSE`] counts as that. A shorter one does not end a longer one.
    pub fn record(&self, pause: Duration) {
        let spread = 1.0 + rand::rng().random_range(0.0..RETURN_SPREAD);
        let pause = pause.min(MAX_PAUSE).mul_f64(spread);
        self.until_us.fetch_max(self.now_us() + pause.as_micros() as u64, Ordering::AcqRel);
    }

    /// Returns the time until the pause ends; zero if there is none.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        let until = self.until_us.load(Ordering::Acquire);
        match until {
            0 => Duration::ZERO,
            until => Duration::from_micros(until.saturating_sub(self.now_us())),
        }
    }

    /// Returns whether nothing may be sent to the searcher now.
    #[must_use]
    pub fn is_paused(&self) -> bool {
        !self.remaining().is_zero()
    }
}
