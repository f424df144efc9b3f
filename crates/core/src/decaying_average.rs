//! An exponentially weighted moving average that decays to a baseline while
//! there are no samples.
//!
//! A searcher that is avoided because of its measurements gets no requests, so
//! no sample would ever correct them. The average therefore decays to its
//! baseline with a half-life.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap().block_on(async {
//! use endivevale_core::decaying_average::{DecayingAverage, SampleWeights};
//! use std::time::Duration;
//!
//! let weights = SampleWeights { above: 0.5, below: 0.1 };
//! let mean = DecayingAverage::new(1.0, weights, Duration::from_secs(2));
//! mean.record(9.0);
//! assert_eq!(mean.get(), 5.0);
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// The weights of samples above and below the average, each in `0.0..=1.0`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SampleWeights {
    /// The weight of a sample above the average.
    pub above: f64,
    /// The weight of a sample that is not above the average.
    pub below: f64,
}

/// An exponentially weighted moving average that decays to a baseline.
#[derive(Debug)]
pub struct DecayingAverage {
    /// The value that the average decays to.
    baseline: f64,
    weights: SampleWeights,
    /// The time in which the distance from `baseline` halves without samples.
    half_life: Duration,
    created_at: Instant,
    /// The average at the last sample, as the bits of an `f64`.
    average_bits: AtomicU64,
    /// The time of the last sample, in microseconds since `created_at`.
    updated_us: AtomicU64,
}

impl DecayingAverage {
    /// Returns an average that starts at `baseline` and decays to it.
    #[must_use]
    pub fn new(baseline: f64, weights: SampleWeights, half_life: Duration) -> Self {
        Self {
            baseline,
            weights,
            half_life,
            created_at: Instant::now(),
            average_bits: AtomicU64::new(baseline.to_bits()),
            updated_us: AtomicU64::new(0),
        }
    }

    /// Records one sample.
    pub fn record(&self, sample: f64) {
        let average = self.get();
        let weight = if sample > average { self.weights.above } else { self.weights.below };
        // The update is not one atomic operation: when two threads record at the
        // same time, one of the samples can be lost, which is harmless.
        self.average_bits
            .store((average + weight * (sample - average)).to_bits(), Ordering::Relaxed);
        self.updated_us.store(self.created_at.elapsed().as_micros() as u64, Ordering::Relaxed);
    }

    /// Returns the average, decayed to the current time.
    #[must_use]
    pub fn get(&self) -> f64 {
        let average = f64::from_bits(self.average_bits.load(Ordering::Relaxed));
        let now_us = self.created_at.elapsed().as_micros() as u64;
        let idle_us = now_us.saturating_sub(self.updated_us.load(Ordering::Relaxed));
        let half_lives = idle_us as f64 / self.half_life.as_micros() as f64;
        self.baseline + (average - self.baseline) * 0.5_f64.powf(half_lives)
    }
}
