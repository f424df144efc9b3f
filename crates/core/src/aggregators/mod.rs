//! Aggregators: the instances through which the sub-requests for a shard are
//! sent.
//!
//! In a tier of hundreds of instances, one instance seldom meets a given
//! searcher. It cannot learn whether the searcher is slow or paused, its
//! connections go cold, and all instances together need more connections than the
//! searcher accepts. The shards are therefore divided into groups, and the
//! instances of each availability zone among these groups. Only the instances of
//! a shard's group, its aggregators, keep connections to the shard's searchers;
//! the others relay their sub-requests to an aggregator.
//!
//! A zone with few instances has a single group, so that every instance is an
//! aggregator of every shard.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{
//!     aggregators::{Aggregators, ZoneGroups},
//!     name::ZoneName,
//! };
//!
//! let zone = ZoneName::try_new("a")?;
//! let aggregators = Aggregators::new([(zone.clone(), ZoneGroups::undivided(vec![], true))], 0);
//! assert!(aggregators.includes_own_instance());
//! assert!(aggregators.in_zone(&zone).is_empty());
//! # Ok::<(), endivevale_core::name::NameError>(())
//! ```

use std::{collections::HashMap, sync::Arc};

use crate::{
    name::{InstanceName, ZoneName},
    sibling::Sibling,
};

pub mod assignment;
pub mod share;

use assignment::{assign_groups, group_count};

/// The instances of one zone, divided among groups of shards.
#[derive(Debug, Clone, Default)]
pub struct ZoneGroups {
    /// The siblings of each group. Invariant: at least one group.
    groups: Vec<Vec<Arc<Sibling>>>,
    /// The group of this instance, if it is in the zone.
    own_group: Option<usize>,
}

impl ZoneGroups {
    /// Divides the instances of a zone, so that each group has at least
    /// `group_size` of them. `own` is the name of this instance if it is in the
    /// zone.
    #[must_use]
    pub fn divide(
        siblings: &[Arc<Sibling>],
        own: Option<&InstanceName>,
        group_size: usize,
    ) -> Self {
        let names: Vec<_> = siblings.iter().map(|s| s.name()).chain(own).collect();
        let count = group_count(names.len(), group_size);
        if count == 1 {
            return Self::undivided(siblings.to_vec(), own.is_some());
        }
        let assigned = assign_groups(&names, count);
        let mut groups = vec![Vec::new(); count];
        for (sibling, group) in siblings.iter().zip(&assigned) {
            groups[*group].push(Arc::clone(sibling));
        }
        let own_group = own.and_then(|_| assigned.last().copied());
        Self { groups, own_group }
    }

    /// Returns a zone with one group, of all its instances. `has_own` says
    /// whether this instance is one of them.
    #[must_use]
    pub fn undivided(siblings: Vec<Arc<Sibling>>, has_own: bool) -> Self {
        Self { groups: vec![siblings], own_group: has_own.then_some(0) }
    }

    fn group_of(&self, shard_position: usize) -> usize {
        shard_position % self.groups.len().max(1)
    }

    /// Returns whether the zone has more than one group.
    #[must_use]
    pub fn is_divided(&self) -> bool {
        self.groups.len() > 1
    }
}

/// The aggregators of one shard.
#[derive(Debug, Clone, Default)]
pub struct Aggregators {
    by_zone: Arc<HashMap<ZoneName, ZoneGroups>>,
    /// The position of the shard in its set, which determines its group.
    shard_position: usize,
}

impl Aggregators {
    /// Returns the aggregators of the shard at this position of its set.
    #[must_use]
    pub fn new(
        zones: impl IntoIterator<Item = (ZoneName, ZoneGroups)>,
        shard_position: usize,
    ) -> Self {
        Self { by_zone: Arc::new(zones.into_iter().collect()), shard_position }
    }

    /// Returns the aggregators of the shard at another position, of the same
    /// zones.
    #[must_use]
    pub fn at_position(&self, shard_position: usize) -> Self {
        Self { by_zone: Arc::clone(&self.by_zone), shard_position }
    }

    /// Returns the siblings in a zone that are aggregators of the shard.
    #[must_use]
    pub fn in_zone(&self, zone: &ZoneName) -> &[Arc<Sibling>] {
        let Some(zone) = self.by_zone.get(zone) else { return &[] };
        zone.groups.get(zone.group_of(self.shard_position)).map_or(&[], Vec::as_slice)
    }

    /// Returns whether this instance is an aggregator of the shard. An instance
    /// that does not know its zone is one.
    #[must_use]
    pub fn includes_own_instance(&self) -> bool {
        let mut own_groups = self.by_zone.values().filter_map(|z| z.own_group.map(|g| (z, g)));
        own_groups.next().is_none_or(|(zone, group)| group == zone.group_of(self.shard_position))
    }

    /// Returns whether some instances are not aggregators of the shard.
    #[must_use]
    pub fn is_divided(&self) -> bool {
        self.by_zone.values().any(ZoneGroups::is_divided)
    }

    /// Returns the number of aggregators in these zones, this instance included.
    #[must_use]
    pub fn count_in<'a>(&self, zones: impl IntoIterator<Item = &'a ZoneName>) -> usize {
        zones.into_iter().map(|zone| self.count_in_zone(zone)).sum()
    }

    fn count_in_zone(&self, zone: &ZoneName) -> usize {
        let Some(groups) = self.by_zone.get(zone) else { return 0 };
        let is_own = groups.own_group == Some(groups.group_of(self.shard_position));
        self.in_zone(zone).len() + usize::from(is_own)
    }
}
