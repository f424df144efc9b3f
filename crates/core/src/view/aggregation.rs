//! Which instances send the sub-requests for each service of a view, and what
//! that means for this instance's shares.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use super::builder::ViewBuilder;
use crate::{
    aggregators::{
        Aggregators, ZoneGroups,
        share::{Role, TierSize, group_size},
    },
    intent::{Intent, ServiceIntent},
    name::{ServiceName, ZoneName},
    route::Target,
    searcher::named_limit::TierInstances,
    sibling::Sibling,
};

impl ViewBuilder {
    /// Returns the aggregators of each shard that a route names. Other services
    /// have none: every instance sends to them.
    pub(super) fn find_aggregators(&self, intent: &Intent) -> HashMap<ServiceName, Aggregators> {
        let mut by_service = HashMap::new();
        let mut by_group_size: HashMap<usize, Aggregators> = HashMap::new();
        let zones = self.siblings_by_zone();
        for route in intent.routes.iter() {
            let Target::Shards(set) = &route.target else { continue };
            for (position, shard) in hash_ordered(&set.shards).into_iter().enumerate() {
                let Some(service) = intent.services.get(shard) else { continue };
                let size = group_size(service.connections, zones.len() as u32);
                let divided = by_group_size
                    .entry(size)
                    .or_insert_with(|| Aggregators::new(self.divide_zones(&zones, size), 0));
                by_service.entry(shard.clone()).or_insert_with(|| divided.at_position(position));
            }
        }
        by_service
    }

    /// Returns the siblings of each zone, this instance's zone included.
    fn siblings_by_zone(&self) -> HashMap<ZoneName, Vec<Arc<Sibling>>> {
        let mut zones: HashMap<ZoneName, Vec<Arc<Sibling>>> = HashMap::new();
        if let Some((_, own_zone)) = &self.tier.own {
            zones.entry(own_zone.clone()).or_default();
        }
        for sibling in &self.siblings {
            zones.entry(sibling.zone().clone()).or_default().push(Arc::clone(sibling));
        }
        zones
    }

    fn divide_zones(
        &self,
        zones: &HashMap<ZoneName, Vec<Arc<Sibling>>>,
        group_size: usize,
    ) -> Vec<(ZoneName, ZoneGroups)> {
        let divide = |zone: &ZoneName, siblings: &[Arc<Sibling>]| {
            let own = self.tier.own.as_ref().filter(|(_, own_zone)| own_zone == zone);
            ZoneGroups::divide(siblings, own.map(|(name, _)| name), group_size)
        };
        zones.iter().map(|(zone, siblings)| (zone.clone(), divide(zone, siblings))).collect()
    }

    /// Returns how many instances share what a service allows. `instances` is the
    /// number of instances seen lately, which may be above the number listed.
    pub(super) fn tier_size(
        &self,
        aggregators: &Aggregators,
        searcher_zones: &BTreeSet<&ZoneName>,
        instances: u32,
    ) -> TierSize {
        let listed = aggregators.count_in(searcher_zones.iter().copied()) as u32;
        if !aggregators.is_divided() || listed == 0 {
            return TierSize::undivided(instances);
        }
        let all_listed = self.siblings.len() as u32 + 1;
        let unlisted = instances.saturating_sub(all_listed);
        // Instances that are not listed any more may still use their shares.
        let unlisted_aggregators = (unlisted * listed).div_ceil(all_listed);
        TierSize { instances, aggregators: listed + unlisted_aggregators, is_divided: true }
    }

    /// Returns whether this instance is one of the aggregators that are in a zone
    /// with a searcher.
    pub(super) fn own_role(
        &self,
        aggregators: &Aggregators,
        searcher_zones: &BTreeSet<&ZoneName>,
    ) -> Role {
        let own_zone = self.tier.own.as_ref().map(|(_, zone)| zone);
        let is_near = own_zone.is_none_or(|zone| searcher_zones.contains(zone));
        match aggregators.includes_own_instance() && is_near {
            true => Role::Aggregator,
            false => Role::Other,
        }
    }

    /// Returns the instances among which a limit that a searcher of the service
    /// names is divided.
    pub(super) fn limit_tier(
        &mut self,
        intent: &ServiceIntent,
        aggregators: &Aggregators,
        searcher_zones: &BTreeSet<&ZoneName>,
        role: Role,
    ) -> Arc<TierInstances> {
        if !aggregators.is_divided() {
            return Arc::clone(&self.tier);
        }
        let siblings = searcher_zones.iter().flat_map(|zone| aggregators.in_zone(zone));
        let tier = TierInstances {
            own: self.tier.own.clone(),
            has_own_share: role == Role::Aggregator,
            others: siblings.map(|s| (s.name().clone(), s.zone().clone())).collect(),
            instance_count: self.tier.count(),
        };
        let known = self.aggregator_tiers.entry(intent.name.clone()).or_default();
        if **known != tier {
            *known = Arc::new(tier);
        }
        Arc::clone(known)
    }
}

/// Returns the shards in an order that does not depend on the numbering of shards,
/// by which their searchers may be distributed among zones.
fn hash_ordered(shards: &[ServiceName]) -> Vec<&ServiceName> {
    let mut ordered: Vec<_> = shards.iter().collect();
    ordered.sort_by_key(|shard| (shard.stable_hash(), *shard));
    ordered
}
