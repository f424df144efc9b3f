//! How a searcher stands: how slow it is, and how often it fails.
//!
//! Both figures are compared with what is usual, so that requests of unlike
//! work count alike. A searcher that takes ten times as long as others, or
//! that refuses every second request, is avoided although it is up.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::standing::Standing;
//! use std::time::Duration;
//!
//! let standing = Standing::new();
//! assert_eq!(standing.slowness(), 1.0);
//! standing.record(Duration::from_millis(200), Duration::from_millis(20));
//! assert!(standing.slowness() > 2.5);
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

use crate::decaying::{Decaying, Weights};

/// The time in which what was learnt loses half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(2500);

/// A slow reply counts a little more than a fast one.
const SLOWNESS_WEIGHTS: Weights = Weights { rise: 0.2, fall: 0.15 };

/// Slow replies within this time count once: a pause makes all that is open
/// late at once, and is over soon.
const RISE_INTERVAL: Duration = Duration::from_millis(150);

/// A single failure is chance.
const FAILURE_WEIGHTS: Weights = Weights { rise: 0.15, fall: 0.1 };

/// The highest ratio that a sample of slowness counts with.
const MAX_RATIO: f64 = 12.0;

/// How one searcher stands.
#[derive(Debug)]
pub struct Standing {
    /// What its requests take, as a ratio of what they usually take.
    slowness: Decaying,
    born: Instant,
    /// When a slow reply last counted, in microseconds since `born`.
    rose_us: AtomicU64,
    /// The share of its requests without a success, in `0.0..=1.0`.
    failures: Decaying,
}

impl Default for Standing {
    fn default() -> Self {
        Self::new()
    }
}

impl Standing {
    /// A searcher of which nothing bad is known.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slowness: Decaying::new(1.0, SLOWNESS_WEIGHTS, HALF_LIFE),
            born: Instant::now(),
            rose_us: AtomicU64::new(0),
            failures: Decaying::new(0.0, FAILURE_WEIGHTS, HALF_LIFE),
        }
    }

    /// Takes in what one request took, and what such requests usually take.
    pub fn record(&self, took: Duration, usual: Duration) {
        let sample = ratio(took, usual);
        if sample <= self.slowness.get() || self.may_rise() {
            self.slowness.record(sample);
        }
    }

    /// Whether a slow reply counts now.
    fn may_rise(&self) -> bool {
        let now = self.born.elapsed().as_micros() as u64;
        let rose = self.rose_us.load(Ordering::Relaxed);
        let is_due = rose == 0 || now.saturating_sub(rose) >= RISE_INTERVAL.as_micros() as u64;
        if is_due {
            self.rose_us.store(now.max(1), Ordering::Relaxed);
        }
        is_due
    }

    /// Takes in that a request was given up after this long. It would have
    /// taken longer, so it counts only if it is above the figure.
    pub fn record_given_up(&self, elapsed: Duration, usual: Duration) {
        let sample = ratio(elapsed, usual);
        if sample > self.slowness.get() && self.may_rise() {
            self.slowness.record(sample);
        }
    }

    /// Takes in whether a request had a success.
    pub fn record_outcome(&self, is_success: bool) {
        self.failures.record(if is_success { 0.0 } else { 1.0 });
    }

    /// What requests take, as a ratio of what they usually take.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.slowness.get()
    }

    /// The share of requests without a success.
    #[must_use]
    pub fn failures(&self) -> f64 {
        self.failures.get()
    }
}

fn ratio(took: Duration, usual: Duration) -> f64 {
    (took.as_secs_f64() / usual.as_secs_f64().max(1e-6)).min(MAX_RATIO)
}
