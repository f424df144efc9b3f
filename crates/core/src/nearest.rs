//! The choice of a searcher by what it costs to ask it now.
//!
//! A searcher in the own availability zone is preferred, since bytes between
//! zones are paid for. Own requests in flight, a pause and an ejection each
//! add to the cost, so that a request leaves its zone when the searcher there
//! is busy, silent or failing. Equal costs are decided by chance.
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

/// What another zone costs, in requests in flight.
const OTHER_ZONE_COST: f64 = 2.5;

/// What a silent searcher costs, in requests in flight.
const SILENT_COST: f64 = 100.0;

/// What an ejected searcher costs, in requests in flight.
const EJECTED_COST: f64 = 200.0;

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
        let cost = cost(searcher, zone) + rng.random_range(0.0..0.5);
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
    let mut cost = f64::from(searcher.gate().pressure());
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
