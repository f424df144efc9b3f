//! A circuit breaker: stops requests to a set of peers after repeated failures,
//! until a probe shows that the peers answer again.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::circuit_breaker::CircuitBreaker;
//!
//! let breaker = CircuitBreaker::new();
//! (0..4).for_each(|_| breaker.record_failure());
//! assert!(breaker.is_open());
//! breaker.record_success();
//! assert!(!breaker.is_open());
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// The number of failures without a success in between that open the breaker.
const MAX_FAILURES: u32 = 4;

/// The time between two probes while the breaker is open.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A circuit breaker. It is open once four requests have failed without a success in
/// between, until the next success.
#[derive(Debug)]
pub struct CircuitBreaker {
    created_at: Instant,
    /// The failures since the last success.
    failures: AtomicU32,
    /// When the next probe is due while the breaker is open, in microseconds since
    /// `created_at`.
    next_probe_us: AtomicU64,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::new()
    }
}

impl CircuitBreaker {
    /// Creates a breaker that is closed.
    #[must_use]
    pub fn new() -> Self {
        Self {
            created_at: Instant::now(),
            failures: AtomicU32::new(0),
            next_probe_us: AtomicU64::new(0),
        }
    }

    fn now_us(&self) -> u64 {
        self.created_at.elapsed().as_micros() as u64
    }

    /// Returns whether the breaker is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.failures.load(Ordering::Acquire) >= MAX_FAILURES
    }

    /// Returns whether the caller should send a probe now. While the breaker is open,
    /// one caller should every half second.
    #[must_use]
    pub fn try_begin_probe(&self) -> bool {
        let (now, due) = (self.now_us(), self.next_probe_us.load(Ordering::Acquire));
        let next = now + PROBE_INTERVAL.as_micros() as u64;
        self.is_open()
            && now >= due
            && self
                .next_probe_us
                .compare_exchange(due, next, Ordering::AcqRel, Ordering::Acquire)
                .is_ok()
    }

    /// Records a request that failed or was not answered in time.
    pub fn record_failure(&self) {
        let failures = self.failures.fetch_add(1, Ordering::AcqRel) + 1;
        if failures == MAX_FAILURES {
            let next = self.now_us() + PROBE_INTERVAL.as_micros() as u64;
            self.next_probe_us.store(next, Ordering::Release);
        }
    }

    /// Records a request that was answered in time, which closes the breaker.
    pub fn record_success(&self) {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Release);
        }
    }
}
