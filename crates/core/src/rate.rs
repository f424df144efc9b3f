//! A bound on how often something may happen.
//!
//! This is the generic cell rate algorithm: one atomic holds the time at
//! which the allowance is full again.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::rate::Allowance;
//! use std::time::Duration;
//!
//! let allowance = Allowance::new(10.0, Duration::from_secs(1), 2.0);
//! assert!(allowance.try_spend());
//! assert!(allowance.try_spend());
//! assert!(!allowance.try_spend());
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// Allows a number of events in each window, with bursts.
#[derive(Debug)]
pub struct Allowance {
    born: Instant,
    /// The time that one event takes up, in nanoseconds.
    event_nanos: AtomicU64,
    /// How far ahead of now the allowance may be spent, in nanoseconds.
    burst_nanos: AtomicU64,
    /// When the allowance is full again, in nanoseconds since `born`.
    full_at_nanos: AtomicU64,
}

impl Allowance {
    /// An allowance of `count` events in each `window`, with bursts of up to
    /// `burst` events.
    #[must_use]
    pub fn new(count: f64, window: Duration, burst: f64) -> Self {
        let allowance = Self {
            born: Instant::now(),
            event_nanos: AtomicU64::new(0),
            burst_nanos: AtomicU64::new(0),
            full_at_nanos: AtomicU64::new(0),
        };
        allowance.set(count, window, burst);
        allowance
    }

    /// Changes the allowance. A count of zero or below allows nothing.
    pub fn set(&self, count: f64, window: Duration, burst: f64) {
        let (event, burst) = if count > 0.0 {
            let event = window.as_nanos() as f64 / count;
            (event as u64, (event * burst) as u64)
        } else {
            (u64::MAX / 2, 0)
        };
        self.event_nanos.store(event, Ordering::Release);
        self.burst_nanos.store(burst, Ordering::Release);
    }

    /// Spends one event if the allowance has one.
    pub fn try_spend(&self) -> bool {
        let now = self.born.elapsed().as_nanos() as u64;
        let event = self.event_nanos.load(Ordering::Acquire);
        let burst = self.burst_nanos.load(Ordering::Acquire);
        self.full_at_nanos
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |full_at| {
                let next = full_at.max(now).saturating_add(event);
                (next <= now.saturating_add(burst)).then_some(next)
            })
            .is_ok()
    }
}
