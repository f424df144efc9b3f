//! A rate limiter that allows bursts.
//!
//! It uses the generic cell rate algorithm (GCRA): one atomic holds the
//! theoretical arrival time, at which the whole burst is available again.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::rate_limiter::RateLimiter;
//! use std::time::Duration;
//!
//! let limiter = RateLimiter::new(10.0, Duration::from_secs(1), 2.0);
//! assert!(limiter.try_acquire());
//! assert!(limiter.try_acquire());
//! assert!(!limiter.try_acquire());
//! # });
//! ```

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tokio::time::Instant;

/// Allows a sustained rate of events, given as a count per window, and bursts.
#[derive(Debug)]
pub struct RateLimiter {
    created_at: Instant,
    /// The interval between events at the sustained rate, in nanoseconds.
    interval_nanos: AtomicU64,
    /// How far the theoretical arrival time may be ahead of now, in nanoseconds.
    burst_nanos: AtomicU64,
    /// The theoretical arrival time, in nanoseconds since `created_at`.
    arrival_nanos: AtomicU64,
}

impl RateLimiter {
    /// Returns a limiter that allows `count` events per `window`, with bursts of
    /// up to `burst` events.
    #[must_use]
    pub fn new(count: f64, window: Duration, burst: f64) -> Self {
        let limiter = Self {
            created_at: Instant::now(),
            interval_nanos: AtomicU64::new(0),
            burst_nanos: AtomicU64::new(0),
            arrival_nanos: AtomicU64::new(0),
        };
        limiter.set_rate(count, window, burst);
        limiter
    }

    /// Changes the rate and the burst. A count of zero or below allows no event.
    pub fn set_rate(&self, count: f64, window: Duration, burst: f64) {
        let (interval, burst) = if count > 0.0 {
            let interval = window.as_nanos() as f64 / count;
            (interval as u64, (interval * burst) as u64)
        } else {
            (u64::MAX / 2, 0)
        };
        self.interval_nanos.store(interval, Ordering::Release);
        self.burst_nanos.store(burst, Ordering::Release);
    }

    /// Counts as many events as are allowed now.
    pub fn use_up(&self) {
        let now = self.created_at.elapsed().as_nanos() as u64;
        let burst = self.burst_nanos.load(Ordering::Acquire);
        self.arrival_nanos.fetch_max(now.saturating_add(burst), Ordering::AcqRel);
    }

    /// Returns how long it takes until an event is allowed; zero if one is
    /// allowed now.
    #[must_use]
    pub fn time_to_next(&self) -> Duration {
        let now = self.created_at.elapsed().as_nanos() as u64;
        let interval = self.interval_nanos.load(Ordering::Acquire);
        let burst = self.burst_nanos.load(Ordering::Acquire);
        let next = self.arrival_nanos.load(Ordering::Acquire).max(now).saturating_add(interval);
        Duration::from_nanos(next.saturating_sub(now.saturating_add(burst)))
    }

    /// Counts one event if it is allowed now. Returns whether it is.
    pub fn try_acquire(&self) -> bool {
        let now = self.created_at.elapsed().as_nanos() as u64;
        let interval = self.interval_nanos.load(Ordering::Acquire);
        let burst = self.burst_nanos.load(Ordering::Acquire);
        self.arrival_nanos
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |arrival| {
                let next = arrival.max(now).saturating_add(interval);
                (next <= now.saturating_add(burst)).then_some(next)
            })
            .is_ok()
    }
}
