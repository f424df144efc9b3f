//! A searcher's latency relative to the typical one, and the fraction of its
//! requests that fail.
//!
//! Latencies are divided by the typical latency of the same kind of request, so
//! that requests with different amounts of work are comparable. A searcher that
//! takes ten times as long as others, or that rejects every second request, is
//! avoided although it is reachable.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::searcher::health::SearcherHealth;
//! use std::time::Duration;
//!
//! let health = SearcherHealth::new();
//! assert_eq!(health.relative_latency(), 1.0);
//! health.record_latency(Duration::from_millis(200), Duration::from_millis(20));
//! assert!(health.relative_latency() > 2.5);
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

use crate::decaying_average::{DecayingAverage, SampleWeights};

/// The time in which the deviation from the initial values halves without new
/// samples.
const HALF_LIFE: Duration = Duration::from_millis(2500);

/// A slow reply has slightly more weight than a fast one.
const LATENCY_WEIGHTS: SampleWeights = SampleWeights { above: 0.2, below: 0.15 };

/// The minimum time between two slow replies that are recorded. A pause delays
/// all open requests at once and is over soon, so they count as one sample.
const RISE_INTERVAL: Duration = Duration::from_millis(150);

/// A failure weighs little, since a single one may be coincidental.
const FAILURE_WEIGHTS: SampleWeights = SampleWeights { above: 0.15, below: 0.1 };

/// The maximum ratio that is recorded for one sample.
const MAX_RATIO: f64 = 12.0;

/// The relative latency and the failure rate of one searcher.
#[derive(Debug)]
pub struct SearcherHealth {
    /// The decaying mean of the latency divided by the typical latency.
    relative_latency: DecayingAverage,
    created_at: Instant,
    /// The time when a slow reply was last recorded, in microseconds since
    /// `created_at`; 0 if none was.
    last_rise_us: AtomicU64,
    /// The decaying fraction of requests that failed or were rejected, in
    /// `0.0..=1.0`.
    failure_rate: DecayingAverage,
}

impl Default for SearcherHealth {
    fn default() -> Self {
        Self::new()
    }
}

impl SearcherHealth {
    /// Creates the state of a searcher with the typical latency and no failures.
    #[must_use]
    pub fn new() -> Self {
        Self {
            relative_latency: DecayingAverage::new(1.0, LATENCY_WEIGHTS, HALF_LIFE),
            created_at: Instant::now(),
            last_rise_us: AtomicU64::new(0),
            failure_rate: DecayingAverage::new(0.0, FAILURE_WEIGHTS, HALF_LIFE),
        }
    }

    /// Records the latency of one request and the typical latency of such
    /// requests.
    pub fn record_latency(&self, latency: Duration, typical: Duration) {
        let sample = ratio(latency, typical);
        if sample <= self.relative_latency.get() || self.try_begin_rise() {
            self.relative_latency.record(sample);
        }
    }

    /// Whether a slow reply may be recorded now. Starts a new interval if so.
    fn try_begin_rise(&self) -> bool {
        let now = self.created_at.elapsed().as_micros() as u64;
        let last_rise = self.last_rise_us.load(Ordering::Relaxed);
        let is_due =
            last_rise == 0 || now.saturating_sub(last_rise) >= RISE_INTERVAL.as_micros() as u64;
        if is_due {
            self.last_rise_us.store(now.max(1), Ordering::Relaxed);
        }
        is_due
    }

    /// Records a request that was abandoned after `elapsed`. The reply would
    /// have taken longer, so the sample is used only if it is above the mean.
    pub fn record_abandoned_latency(&self, elapsed: Duration, typical: Duration) {
        let sample = ratio(elapsed, typical);
        if sample > self.relative_latency.get() && self.try_begin_rise() {
            self.relative_latency.record(sample);
        }
    }

    /// Records whether a request succeeded.
    pub fn record_outcome(&self, is_success: bool) {
        self.failure_rate.record(if is_success { 0.0 } else { 1.0 });
    }

    /// Returns the decaying mean of the latency divided by the typical latency.
    #[must_use]
    pub fn relative_latency(&self) -> f64 {
        self.relative_latency.get()
    }

    /// Returns the decaying fraction of requests that failed or were rejected.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate.get()
    }
}

fn ratio(latency: Duration, typical: Duration) -> f64 {
    (latency.as_secs_f64() / typical.as_secs_f64().max(1e-6)).min(MAX_RATIO)
}
