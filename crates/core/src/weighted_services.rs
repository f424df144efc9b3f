//! Services that share the requests of a route by weight.
//!
//! A weight is a proportion: any finite number of at least 0. Each service
//! takes a range of the 2^64 positions whose length is its share, so that shares
//! keep their proportions from 1e-7 beside 1e10 to the largest numbers. A
//! service of weight 0 takes no position.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{
//!     name::ServiceName,
//!     weighted_services::{Weight, WeightedServices},
//! };
//!
//! let weighted = |name, weight| {
//!     (ServiceName::try_new(name).unwrap(), Weight::try_new(weight).unwrap())
//! };
//! let services = WeightedServices::try_new(vec![weighted("a", 0.95), weighted("b", 0.05)]);
//! assert_eq!(services.unwrap().at(0).as_str(), "b");
//! assert!(WeightedServices::try_new(vec![weighted("a", 0.0)]).is_none());
//! ```

use crate::name::ServiceName;

/// The number of positions, 2^64, as a floating-point number.
const POSITIONS: f64 = 18_446_744_073_709_551_616.0;

/// The share of a service, in proportion to those of the others.
///
/// Invariant: finite and at least 0.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Weight {
    /// Returns the weight, or `None` if the number is negative or not finite.
    #[must_use]
    pub fn try_new(number: f64) -> Option<Self> {
        (number.is_finite() && number >= 0.0).then_some(Self(number))
    }

    /// Returns the weight as a number.
    #[must_use]
    pub const fn number(self) -> f64 {
        self.0
    }
}

/// Services that share the requests of a route by weight.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedServices {
    /// The services as they were declared. Invariant: at least one has a weight
    /// above zero.
    declared: Vec<(ServiceName, Weight)>,
    /// The index of each service with a weight above zero, and the position after
    /// its range. Invariant: not empty, positions in ascending order. The range of
    /// the last one reaches to the last position, whatever its entry says.
    ranges: Vec<(usize, u64)>,
}

impl WeightedServices {
    /// Returns services that share requests by weight, or `None` if no weight is
    /// above zero.
    #[must_use]
    pub fn try_new(declared: Vec<(ServiceName, Weight)>) -> Option<Self> {
        let ranges = position_ranges(&declared);
        (!ranges.is_empty()).then_some(Self { declared, ranges })
    }

    /// Returns the service at a position. Each service takes a range of positions
    /// in proportion to its weight.
    #[must_use]
    pub fn at(&self, position: u64) -> &ServiceName {
        let found = self.ranges.iter().find(|(_, end)| position < *end);
        let (index, _) = found.unwrap_or(&self.ranges[self.ranges.len() - 1]);
        &self.declared[*index].0
    }

    /// Returns the services with their weights, in the order of declaration.
    #[must_use]
    pub fn declared(&self) -> &[(ServiceName, Weight)] {
        &self.declared
    }
}

/// Returns the range of each service with a weight above zero.
///
/// Weights are divided by the largest one, so that their sum does not overflow,
/// and added up from the smallest, so that none is lost beside a large one.
fn position_ranges(declared: &[(ServiceName, Weight)]) -> Vec<(usize, u64)> {
    let largest = declared.iter().map(|(_, weight)| weight.0).fold(0.0, f64::max);
    let mut shares: Vec<(usize, f64)> = declared
        .iter()
        .enumerate()
        .filter(|(_, (_, weight))| weight.0 > 0.0)
        .map(|(index, (_, weight))| (index, weight.0 / largest))
        .collect();
    shares.sort_by(|(_, a), (_, b)| a.total_cmp(b));
    let total: f64 = shares.iter().map(|(_, share)| share).sum();
    let mut sum = 0.0;
    shares
        .into_iter()
        .map(|(index, share)| {
            sum += share;
            // The cast saturates, so the end of the last range is the last position.
            (index, (sum / total * POSITIONS) as u64)
        })
        .collect()
}
