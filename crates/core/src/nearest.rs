//! The choice of a searcher by what it costs to ask it now.
//!
//! The cost is how long the searcher takes, compared with what is usual, and
//! grows with the own requests in flight there. A searcher in another
//! availability zone costs more, since bytes between zones are paid for; a
//! pause and an ejection do, too. A request thereby leaves its zone when the
//! searcher there is busy, slow, silent or failing. Equal costs are decided
//! by chance.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{name::ZoneName, nearest};
//!
//! let zone = ZoneName::try_new("a")?;
//! assert!(nearest::choose(&[], &[], &zone).is_none());
//! # Ok::<(), endivevale_core::name::NameError>(())
//! ```

use std::{sync::Arc, time::Duration};

use rand::RngExt;

use crate::{name::ZoneName, searcher::Searcher};

/// What another zone costs, in usual durations.
const OTHER_ZONE_COST: f64 = 2.0;

/// What a request in flight costs, as a share of what the searcher takes.
const IN_FLIGHT_COST: f64 = 0.6;

/// What a failure costs, in usual durations.
const FAILURE_COST: f64 = 8.0;

/// What waiting for a place costs, in usual durations.
const NO_PLACE_COST: f64 = 2.0;

/// What a silent searcher costs, in usual durations.
const SILENT_COST: f64 = 100.0;

/// What an ejected searcher costs, in usual durations.
const EJECTED_COST: f64 = 200.0;

/// Costs that differ by less than this are decided by chance.
const CHANCE: f64 = 0.2;

/// A searcher counts as silent after this many times its usual latency.
const SILENT_FACTOR: u32 = 3;

/// The shortest silence with work open that counts as a pause.
const SILENT_MIN: Duration = Duration::from_millis(30);

/// The searcher that costs least among those that take new work and are not
/// among `tried`.
#[must_use]
pub fn choose(
    searchers: &[Arc<Searcher>],
    tried: &[Arc<Searcher>],
    zone: &ZoneName,
) -> Option<Arc<Searcher>> {
    let mut rng = rand::rng();
    let mut best: Option<(f64, &Arc<Searcher>)> = None;
    for searcher in searchers {
        if searcher.is_leaving() || tried.iter().any(|t| Arc::ptr_eq(t, searcher)) {
            continue;
        }
        let cost = cost(searcher, zone) + rng.random_range(0.0..CHANCE);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, searcher));
        }
    }
    best.map(|(_, searcher)| Arc::clone(searcher))
}

/// Whether the searcher answers as usual: neither silent nor ejected.
#[must_use]
pub fn is_sound(searcher: &Searcher) -> bool {
    !searcher.is_ejected() && !searcher.pulse().is_silent(silence_limit(searcher))
}

fn cost(searcher: &Searcher, zone: &ZoneName) -> f64 {
    let in_flight = f64::from(searcher.gate().pressure());
    let standing = searcher.standing();
    let mut cost = standing.slowness() * (1.0 + IN_FLIGHT_COST * in_flight);
    cost += FAILURE_COST * standing.failures();
    if !searcher.gate().has_room() {
        cost += NO_PLACE_COST;
    }
    if searcher.zone() != zone {
        cost += OTHER_ZONE_COST;
    }
    if searcher.pulse().is_silent(silence_limit(searcher)) {
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
