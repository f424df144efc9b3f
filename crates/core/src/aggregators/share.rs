//! This instance's share of what all instances may use of a service together:
//! connections to its searchers, and extra attempts.
//!
//! The aggregators of a shard share nearly all of it equally. The rest is for
//! the other instances, which send sub-requests themselves only if no aggregator
//! answers.
//!
//! # Example
//!
//! ```
//! use endivevale_core::aggregators::share::{Role, TierSize};
//!
//! let undivided = TierSize { instances: 9, aggregators: 9, is_divided: false };
//! assert_eq!(undivided.connections(Role::Aggregator, 31), 2);
//! let divided = TierSize { instances: 195, aggregators: 15, is_divided: true };
//! assert_eq!(divided.connections(Role::Aggregator, 125), 5);
//! assert_eq!(divided.connections(Role::Other, 125), 1);
//! ```

use crate::searcher::connection_share::{HEADROOM_INSTANCES, share_per_instance};

/// The part of a connection limit that is reserved for instances that are not
/// aggregators, as a divisor: 4 gives a quarter.
const RESERVE_DIVISOR: u32 = 4;

/// The part of the extra attempts that the instances which are not aggregators
/// share, all instances included.
pub const FALLBACK_FRACTION: f64 = 0.25;

/// The fewest connections that each aggregator should have, when there are enough
/// for that.
const CONNECTIONS_PER_AGGREGATOR: u32 = 2;

/// The most instances that a group should have. More would each see too little
/// of a searcher.
const MAX_GROUP_SIZE: u32 = 4;

/// Whether this instance is an aggregator of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It sends sub-requests for all instances of its zone.
    Aggregator,
    /// It sends sub-requests only if no aggregator answers.
    Other,
}

/// Returns how many instances each group of a zone should have, for a service
/// whose searchers accept `connections` each, in a tier of `zones` zones.
#[must_use]
pub const fn group_size(connections: u32, zones: u32) -> usize {
    let zones = if zones == 0 { 1 } else { zones };
    let size = connections / (zones * CONNECTIONS_PER_AGGREGATOR);
    (if size == 0 {
        1
    } else if size > MAX_GROUP_SIZE {
        MAX_GROUP_SIZE
    } else {
        size
    }) as usize
}

/// The numbers of instances that share what a service allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TierSize {
    /// All instances, this one included.
    pub instances: u32,
    /// The aggregators of the shard in the zones of its searchers.
    pub aggregators: u32,
    /// Whether some instances are not aggregators.
    pub is_divided: bool,
}

impl TierSize {
    /// Returns the size of a tier in which every instance sends sub-requests.
    #[must_use]
    pub const fn undivided(instances: u32) -> Self {
        Self { instances, aggregators: instances, is_divided: false }
    }

    /// Returns this instance's share of the connections to one searcher, at least
    /// one.
    #[must_use]
    pub const fn connections(self, role: Role, limit: u32) -> u32 {
        if !self.is_divided {
            return share_per_instance(limit, self.instances);
        }
        if matches!(role, Role::Other) {
            return 1;
        }
        let others = self.instances.saturating_sub(self.aggregators);
        let most = limit / RESERVE_DIVISOR;
        let reserve = if others < most { others } else { most };
        let share = (limit - reserve) / (self.aggregators + HEADROOM_INSTANCES);
        if share == 0 { 1 } else { share }
    }

    /// Returns this instance's fraction of the extra attempts that are allowed to
    /// all instances together.
    #[must_use]
    pub fn extra_attempts(self, role: Role) -> f64 {
        let equal_part = 1.0 / f64::from(self.instances.max(1));
        if !self.is_divided {
            return equal_part;
        }
        let fallback = FALLBACK_FRACTION * equal_part;
        match role {
            Role::Aggregator => {
                fallback + (1.0 - FALLBACK_FRACTION) / f64::from(self.aggregators.max(1))
            }
            Role::Other => fallback,
        }
    }
}
