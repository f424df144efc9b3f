//! A running mean that drifts back to a resting value without samples.
//!
//! What is learnt of a searcher must not hold for ever: one that is avoided
//! gives no sample that would clear it. The mean therefore returns to its
//! resting value by a half-life.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::decaying::{Decaying, Weights};
//! use std::time::Duration;
//!
//! let weights = Weights { rise: 0.5, fall: 0.1 };
//! let mean = Decaying::new(1.0, weights, Duration::from_secs(2));
//! mean.record(9.0);
//! assert_eq!(mean.get(), 5.0);
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// The weights of samples above and below the mean, each in `0.0..=1.0`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// The weight of a sample above the mean.
    pub rise: f64,
    /// The weight of a sample below the mean.
    pub fall: f64,
}

/// A running mean that drifts back to a resting value.
#[derive(Debug)]
pub struct Decaying {
    rest: f64,
    weights: Weights,
    /// The time in which the distance from `rest` halves without samples.
    half_life: Duration,
    born: Instant,
    /// The mean when it was last changed, as the bits of an `f64`.
    mean: AtomicU64,
    /// When that was, in microseconds since `born`.
    changed_us: AtomicU64,
}

impl Decaying {
    /// A mean that starts at `rest` and drifts back to it.
    #[must_use]
    pub fn new(rest: f64, weights: Weights, half_life: Duration) -> Self {
        Self {
            rest,
            weights,
            half_life,
            born: Instant::now(),
            mean: AtomicU64::new(rest.to_bits()),
            changed_us: AtomicU64::new(0),
        }
    }

    /// Takes in one sample.
    pub fn record(&self, sample: f64) {
        let mean = self.get();
        let weight = if sample > mean { self.weights.rise } else { self.weights.fall };
        // A lost update between two threads only drops one sample.
        self.mean.store((mean + weight * (sample - mean)).to_bits(), Ordering::Relaxed);
        self.changed_us.store(self.born.elapsed().as_micros() as u64, Ordering::Relaxed);
    }

    /// The mean now.
    #[must_use]
    pub fn get(&self) -> f64 {
        let mean = f64::from_bits(self.mean.load(Ordering::Relaxed));
        let now_us = self.born.elapsed().as_micros() as u64;
        let idle_us = now_us.saturating_sub(self.changed_us.load(Ordering::Relaxed));
        let halvings = idle_us as f64 / self.half_life.as_micros() as f64;
        self.rest + (mean - self.rest) * 0.5_f64.powf(halvings)
    }
}
