//! Exponential back-off with jitter and a maximum for failed calls.
//!
//! # Example
//!
//! ```
//! use endivevale_store::backoff::Backoff;
//! use std::time::Duration;
//!
//! let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(2));
//! assert!(backoff.next_delay() <= Duration::from_millis(100));
//! assert!(backoff.next_delay() <= Duration::from_millis(200));
//! backoff.reset();
//! assert!(backoff.next_delay() <= Duration::from_millis(100));
//! ```

use std::time::Duration;

use rand::RngExt;

/// The delays between failed calls.
#[derive(Debug)]
pub struct Backoff {
    initial: Duration,
    /// Invariant: at least `initial`.
    max: Duration,
    /// Upper bound of the next delay.
    upper_bound: Duration,
}

impl Backoff {
    /// Creates a back-off whose first delay is at most `initial`. The upper bound
    /// doubles with each delay, up to `max` or `initial`, whichever is larger.
    #[must_use]
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max: max.max(initial), upper_bound: initial }
    }

    /// Returns the next delay: a random time between a quarter of the upper
    /// bound and the upper bound.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.upper_bound.mul_f64(rand::rng().random_range(0.25..=1.0));
        self.upper_bound = (self.upper_bound * 2).min(self.max);
        delay
    }

    /// Resets the upper bound to `initial`, after a successful call.
    pub const fn reset(&mut self) {
        self.upper_bound = self.initial;
    }
}
