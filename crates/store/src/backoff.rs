//! Pauses between failed calls: doubling, bounded and with full jitter.
//!
//! # Example
//!
//! ```
//! use endivevale_store::backoff::Backoff;
//! use std::time::Duration;
//!
//! let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(2));
//! assert!(backoff.next_pause() <= Duration::from_millis(100));
//! assert!(backoff.next_pause() <= Duration::from_millis(200));
//! backoff.reset();
//! assert!(backoff.next_pause() <= Duration::from_millis(100));
//! ```

use std::time::Duration;

use rand::RngExt;

/// Pauses between failed calls.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    /// Invariant: at least `first`.
    longest: Duration,
    /// The longest that the next pause may be.
    bound: Duration,
}

impl Backoff {
    /// Pauses of up to `first` at first and up to `longest` at last.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest: longest.max(first), bound: first }
    }

    /// The next pause, between a quarter of its bound and the whole.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.bound.mul_f64(rand::rng().random_range(0.25..=1.0));
        self.bound = (self.bound * 2).min(self.longest);
        pause
    }

    /// Begins anew after a call that succeeded.
    pub const fn reset(&mut self) {
        self.bound = self.first;
    }
}
