//! When a hedge is sent: a second attempt while the first is still open.

use std::time::Duration;

use crate::{quantile_estimator::QuantileEstimator, route::Route};

/// The shortest hedge delay, as a fraction of the latency objective.
const MIN_DELAY_FRACTION: f64 = 0.125;

/// The longest hedge delay, as a fraction of the latency objective. A longer
/// one would leave the hedge too little time to reply.
const MAX_DELAY_FRACTION: f64 = 0.4;

/// Whether and when the requests of a route are hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgePlan {
    /// How long after the first attempt a hedge is sent; `None` disables
    /// hedging.
    delay: Option<Duration>,
}

impl HedgePlan {
    /// Returns the plan for a route. `latency` estimates a high quantile of
    /// its attempts' latencies and gives the hedge delay.
    #[must_use]
    pub fn for_route(route: &Route, latency: &QuantileEstimator) -> Self {
        if !route.is_idempotent || route.max_attempts < 2 {
            return Self { delay: None };
        }
        let min_delay = route.latency_objective.mul_f64(MIN_DELAY_FRACTION);
        let max_delay = route.latency_objective.mul_f64(MAX_DELAY_FRACTION);
        Self { delay: Some(latency.get().clamp(min_delay, max_delay)) }
    }

    /// Returns how long after the first attempt a hedge is sent, or `None` if
    /// hedging is disabled.
    #[must_use]
    pub const fn delay(&self) -> Option<Duration> {
        self.delay
    }
}
