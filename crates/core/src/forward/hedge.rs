//! When a second attempt is sent while the first is still open.

use std::time::Duration;

use crate::{quantile::Quantile, route::Route};

/// A second attempt waits at least this part of the latency objective.
const MIN_PART: f64 = 0.125;

/// A second attempt waits at most this part of the latency objective, so that
/// it has time to answer.
const MAX_PART: f64 = 0.4;

/// The delays of second attempts on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgePlan {
    /// After this long a second attempt is sent; `None` forbids it.
    delay: Option<Duration>,
}

impl HedgePlan {
    /// The plan for a route whose attempts took as long as `latency` says.
    #[must_use]
    pub fn for_route(route: &Route, latency: &Quantile) -> Self {
        if !route.is_idempotent || route.max_attempts < 2 {
            return Self { delay: None };
        }
        let least = route.objective.mul_f64(MIN_PART);
        let most = route.objective.mul_f64(MAX_PART);
        Self { delay: Some(latency.get().clamp(least, most)) }
    }

    /// The plan that never sends a second attempt.
    #[must_use]
    pub const fn none() -> Self {
        Self { delay: None }
    }

    /// After how long a second attempt is sent, if ever.
    #[must_use]
    pub const fn delay(&self) -> Option<Duration> {
        self.delay
    }
}
