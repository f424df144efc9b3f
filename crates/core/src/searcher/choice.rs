//! The choice of the searcher with the lowest estimated cost of a request.
//!
//! The cost is the searcher's latency relative to the typical latency, and grows
//! with the number of this instance's requests in flight there. A searcher in
//! another availability zone costs more, since traffic between zones is billed.
//! Failures, a full concurrency limit, silence and an ejection also add to the
//! cost. A request therefore leaves its zone when the searchers there are busy,
//! slow, silent or failing. A random amount is added to each cost, so that
//! nearly equal costs are decided at random.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{name::ZoneName, searcher::choice};
//!
//! let zone = ZoneName::try_new("a")?;
//! assert!(choice::choose_searcher(&[], &[], &zone).is_none());
//! # Ok::<(), endivevale_core::name::NameError>(())
//! ```

use std::{sync::Arc, time::Duration};

use rand::RngExt;

use crate::{name::ZoneName, searcher::Searcher};

/// The cost of a searcher in another zone, in multiples of the typical latency.
const OTHER_ZONE_COST: f64 = 2.0;

/// The cost of each of this instance's requests that are in flight to the
/// searcher or waiting for it, as a fraction of its relative latency.
const IN_FLIGHT_COST: f64 = 0.6;

/// The cost of a failure rate of 100 %, in multiples of the typical latency.
const FAILURE_COST: f64 = 8.0;

/// The cost of waiting for a permit, in multiples of the typical latency.
const NO_PERMIT_COST: f64 = 2.0;

/// The cost of a silent searcher, in multiples of the typical latency.
const SILENT_COST: f64 = 100.0;

/// The cost of an ejected searcher, in multiples of the typical latency.
const EJECTED_COST: f64 = 200.0;

/// The upper bound of the random amount added to each cost, in multiples of the
/// typical latency. Costs that differ by less are decided at random.
const RANDOM_COST_MAX: f64 = 0.2;

/// The time without a reply after which a searcher counts as silent, in
/// multiples of its mean latency.
const SILENT_FACTOR: u32 = 3;

/// The minimum time without a reply, while requests are open, after which a
/// searcher counts as silent.
const SILENT_MIN: Duration = Duration::from_millis(30);

/// Returns the searcher with the lowest cost among those that are neither
/// leaving nor in `tried`, and that take requests by their own statements: the
/// limit that they name leaves this instance room, and no pause was asked for.
#[must_use]
pub fn choose_searcher(
    searchers: &[Arc<Searcher>],
    tried: &[Arc<Searcher>],
    zone: &ZoneName,
) -> Option<Arc<Searcher>> {
    let mut rng = rand::rng();
    let mut best: Option<(f64, &Arc<Searcher>)> = None;
    for searcher in searchers {
        let is_usable = !searcher.is_leaving() && searcher.time_to_room().is_zero();
        if !is_usable || tried.iter().any(|t| Arc::ptr_eq(t, searcher)) {
            continue;
        }
        let cost = cost(searcher, zone) + rng.random_range(0.0..RANDOM_COST_MAX);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, searcher));
        }
    }
    best.map(|(_, searcher)| Arc::clone(searcher))
}

/// Whether the searcher is neither silent nor ejected.
#[must_use]
pub fn is_responsive(searcher: &Searcher) -> bool {
    !searcher.is_ejected() && !searcher.responsiveness().is_silent(silence_limit(searcher))
}

fn cost(searcher: &Searcher, zone: &ZoneName) -> f64 {
    let in_flight = f64::from(searcher.limiter().in_flight_and_waiting());
    let health = searcher.health();
    let mut cost = health.relative_latency() * (1.0 + IN_FLIGHT_COST * in_flight);
    cost += FAILURE_COST * health.failure_rate();
    if !searcher.limiter().has_available_permit() {
        cost += NO_PERMIT_COST;
    }
    if searcher.zone() != zone {
        cost += OTHER_ZONE_COST;
    }
    if searcher.responsiveness().is_silent(silence_limit(searcher)) {
        cost += SILENT_COST;
    }
    if searcher.is_ejected() {
        cost += EJECTED_COST;
    }
    cost
}

fn silence_limit(searcher: &Searcher) -> Duration {
    (searcher.latency() * SILENT_FACTOR).max(SILENT_MIN)
}
