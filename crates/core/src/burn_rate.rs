//! Burn rates of service-level objectives.
//!
//! An objective allows a share of requests to miss it (its error budget). The
//! burn rate is the share that missed it, divided by the share that may.
//! At a rate of 1 the error budget lasts exactly for the period of the
//! objective, at 10 for a tenth of it. A high rate over a short window shows
//! that a problem exists now; a high rate over a long window shows that it is
//! significant.
//!
//! # Example
//!
//! ```
//! use endivevale_core::burn_rate::{Objective, RequestCounts, ObjectiveTargets};
//!
//! let targets = ObjectiveTargets { in_time: 0.99, whole: 0.999, refused: 0.001 };
//! let counts = RequestCounts { asked: 1000, in_time: 970, whole: 1000, refused: 0 };
//! let rate = targets.burn_rate(Objective::InTime, counts).unwrap();
//! assert!((rate - 3.0).abs() < 1e-9);
//! ```

use serde::{Deserialize, Serialize};

use crate::{intent::ServiceObjectives, stats::RankStats};

/// The lower bound of the allowed share of failures. It keeps the burn rate of
/// an objective that allows no failures finite.
const MIN_ALLOWED_FAILURE_SHARE: f64 = 1e-6;

/// Counts of requests by outcome. Each count only increases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that ended, whatever their outcome.
    pub asked: u64,
    /// Complete answers within the latency objective.
    pub in_time: u64,
    /// Complete answers, which cover every shard.
    pub whole: u64,
    /// Requests that were refused without being run.
    pub refused: u64,
}

impl RequestCounts {
    /// Reads the current counts from the counters of a caller rank.
    #[must_use]
    pub fn from_stats(stats: &RankStats) -> Self {
        let (whole, refused) = (stats.whole.get(), stats.refused.get());
        let asked = whole + stats.partial.get() + refused + stats.unknown.get();
        Self { asked, in_time: stats.in_time.get(), whole, refused }
    }

    /// Returns the increase of each count since `earlier`, which was read from the
    /// same counters.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            asked: self.asked.saturating_sub(earlier.asked),
            in_time: self.in_time.saturating_sub(earlier.in_time),
            whole: self.whole.saturating_sub(earlier.whole),
            refused: self.refused.saturating_sub(earlier.refused),
        }
    }

    /// Returns the sum of each count and the same count of `other`.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            in_time: self.in_time + other.in_time,
            whole: self.whole + other.whole,
            refused: self.refused + other.refused,
        }
    }
}

/// The objectives for which a burn rate is computed.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Objective {
    /// The share of complete answers within the latency objective.
    InTime,
    /// The share of complete answers.
    Whole,
    /// The share of refused requests.
    Refused,
}

/// The shares of requests that the objectives require or allow.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveTargets {
    /// The minimum share of complete answers in time.
    pub in_time: f64,
    /// The minimum share of complete answers.
    pub whole: f64,
    /// The maximum share of refused requests.
    pub refused: f64,
}

impl ObjectiveTargets {
    /// The targets of every route, since routes declare none.
    pub const ROUTE_DEFAULTS: ObjectiveTargets =
        ObjectiveTargets { in_time: 0.99, whole: 0.99, refused: 0.01 };

    /// Returns the targets of a service's objectives.
    #[must_use]
    pub const fn from_objectives(objectives: &ServiceObjectives) -> Self {
        let ServiceObjectives { in_time, whole, refused, .. } = *objectives;
        Self { in_time, whole, refused }
    }

    /// Computes the burn rate of an objective; `None` if there were no
    /// requests.
    #[must_use]
    pub fn burn_rate(&self, objective: Objective, counts: RequestCounts) -> Option<f64> {
        if counts.asked == 0 {
            return None;
        }
        let (failed, allowed_share) = match objective {
            Objective::InTime => {
                (counts.asked - counts.in_time.min(counts.asked), 1.0 - self.in_time)
            }
            Objective::Whole => (counts.asked - counts.whole.min(counts.asked), 1.0 - self.whole),
            Objective::Refused => (counts.refused, self.refused),
        };
        let failed_share = failed as f64 / counts.asked as f64;
        Some(failed_share / allowed_share.max(MIN_ALLOWED_FAILURE_SHARE))
    }
}
