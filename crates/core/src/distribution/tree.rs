//! The tree along which the state reaches the instances of one zone.

use std::net::SocketAddr;

use crate::layout::InstanceRecord;

/// The number of instances that fetch from one instance of their zone.
pub const MAX_CHILDREN: usize = 4;

/// The instances from which one instance fetches, nearest first.
///
/// The instances of a zone are ordered by a hash of their names and form a
/// complete tree with [`MAX_CHILDREN`] children each. Its root fetches from the
/// instance that has read the store, whatever its zone. Every instance computes
/// the tree from its own listing. Where two listings differ, an instance may
/// ask one that waits for it in turn; both then ask the next one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DistributionTree {
    ancestors: Vec<SocketAddr>,
}

impl DistributionTree {
    /// Computes the ancestors of `own` among all instances of the tier.
    #[must_use]
    pub fn new(own: &InstanceRecord, instances: &[InstanceRecord]) -> Self {
        let in_zone = instances.iter().filter(|i| i.zone == own.zone && i.name != own.name);
        let mut order: Vec<(u64, SocketAddr)> =
            in_zone.map(|i| (i.name.stable_hash(), i.sibling)).collect();
        let own_key = (own.name.stable_hash(), own.sibling);
        order.push(own_key);
        order.sort_unstable();
        let mut position = order.partition_point(|key| *key < own_key);
        let mut ancestors = Vec::new();
        while position > 0 {
            position = (position - 1) / MAX_CHILDREN;
            ancestors.push(order[position].1);
        }
        Self { ancestors }
    }

    /// Returns the ancestors, the parent first and the root of the zone last.
    #[must_use]
    pub fn ancestors(&self) -> &[SocketAddr] {
        &self.ancestors
    }
}
