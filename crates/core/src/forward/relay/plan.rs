//! Which shards of a query are relayed, and through which siblings.

use std::{collections::HashMap, sync::Arc};

use crate::{
    forward::{Context, ForwardTransport},
    name::ZoneName,
    searcher::choice,
    sibling::{self, Sibling},
    view::ServiceView,
};

/// The fewest shards that are relayed to another zone by an instance that keeps
/// connections to their searchers itself. For a single shard, a relay moves as
/// many bytes between zones as a direct sub-request.
const MIN_SHARDS: usize = 2;

/// The sibling for a relay, and the shards that are requested from it.
#[derive(Debug)]
pub(in crate::forward) struct RelayPlan {
    pub(in crate::forward) sibling: Arc<Sibling>,
    /// The indices of the shards in their set, in the order of the request; none
    /// for a probe, which finds out whether siblings of a zone answer again.
    pub(in crate::forward) shard_indices: Vec<usize>,
}

/// Plans the relays for the shards for which this instance is not an aggregator,
/// or which have no searcher in its zone. A shard that is in no plan gets a direct
/// sub-request: hedging is disabled, or no aggregator is available.
pub(in crate::forward) fn plan_relays<C: ForwardTransport>(
    cx: &Context<'_, C>,
    shards: &[Option<&Arc<ServiceView>>],
) -> Vec<RelayPlan> {
    // Only the hedge delay bounds the wait for a sibling.
    if cx.hedge.delay().is_none() {
        return Vec::new();
    }
    let mut planner = Planner::default();
    let mut distant = Vec::new();
    for (index, shard) in shards.iter().enumerate() {
        let Some(service) = shard else { continue };
        let is_local = has_live_searcher_in(service, cx.zone);
        let is_direct = is_local && service.aggregators().includes_own_instance();
        let is_planned = is_direct || is_local && planner.try_add(cx.zone, index, service);
        if !is_planned {
            distant.push((index, *service));
        }
    }
    plan_distant(cx, &mut planner, distant);
    planner.into_plans(shards)
}

/// Plans the relays of extra attempts for these shards, whose first attempts were
/// relayed to a sibling that is silent.
pub(in crate::forward) fn plan_take_over<C: ForwardTransport>(
    cx: &Context<'_, C>,
    shards: &[Option<&Arc<ServiceView>>],
    indices: &[usize],
) -> Vec<RelayPlan> {
    let mut planner = Planner::default();
    let mut distant = Vec::new();
    for index in indices.iter().copied() {
        let Some(service) = shards[index] else { continue };
        if !service.aggregators().is_divided() {
            continue;
        }
        let is_local = has_live_searcher_in(service, cx.zone);
        if !(is_local && planner.try_add(cx.zone, index, service)) {
            distant.push((index, service));
        }
    }
    plan_distant(cx, &mut planner, distant);
    planner.plans
}

fn has_live_searcher_in(service: &ServiceView, zone: &ZoneName) -> bool {
    service.searchers().iter().any(|s| !s.is_leaving() && s.zone() == zone)
}

/// Plans the shards that have no searcher in the local zone, those zones first
/// that have searchers of the most shards.
fn plan_distant<C: ForwardTransport>(
    cx: &Context<'_, C>,
    planner: &mut Planner,
    mut shards: Vec<(usize, &Arc<ServiceView>)>,
) {
    for zone in zones_by_coverage(cx, &shards) {
        shards.retain(|(index, service)| {
            let has_searcher = usable_zones(service).any(|z| *z == zone);
            !has_searcher || !planner.try_add(&zone, *index, service)
        });
    }
}

/// Returns the zones of responsive searchers that are not leaving.
fn usable_zones(service: &ServiceView) -> impl Iterator<Item = &ZoneName> {
    let usable = service.searchers().iter().filter(|s| !s.is_leaving() && choice::is_responsive(s));
    usable.map(|s| s.zone())
}

/// Returns the other zones with searchers of these shards, the one with the most
/// shards first. Zones with equally many are in random order.
fn zones_by_coverage<C: ForwardTransport>(
    cx: &Context<'_, C>,
    shards: &[(usize, &Arc<ServiceView>)],
) -> Vec<ZoneName> {
    let mut counts: HashMap<&ZoneName, usize> = HashMap::new();
    for (_, service) in shards {
        let mut zones: Vec<_> = usable_zones(service).filter(|zone| *zone != cx.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            *counts.entry(zone).or_default() += 1;
        }
    }
    let mut zones: Vec<_> = counts.into_iter().collect();
    zones.sort_unstable_by_key(|(zone, count)| (*count, rand::random::<u32>(), *zone));
    zones.into_iter().rev().map(|(zone, _)| zone.clone()).collect()
}

/// The plans made so far for one query.
#[derive(Default)]
struct Planner {
    /// Invariant: each has shards.
    plans: Vec<RelayPlan>,
    probes: Vec<RelayPlan>,
}

impl Planner {
    /// Adds a shard to the plan of one of its aggregators in the zone, a sibling
    /// that already has a plan if possible. Returns false if no aggregator there is
    /// available.
    fn try_add(&mut self, zone: &ZoneName, index: usize, service: &ServiceView) -> bool {
        let aggregators = service.aggregators().in_zone(zone);
        let known = self
            .plans
            .iter_mut()
            .find(|plan| aggregators.iter().any(|a| Arc::ptr_eq(a, &plan.sibling)));
        if let Some(plan) = known {
            plan.shard_indices.push(index);
            return true;
        }
        if let Some(sibling) = sibling::choose_available(aggregators) {
            self.plans.push(RelayPlan { sibling, shard_indices: vec![index] });
            return true;
        }
        let probed = sibling::choose_for_probe(aggregators);
        self.probes.extend(probed.map(|sibling| RelayPlan { sibling, shard_indices: vec![] }));
        false
    }

    /// Returns the plans that are worth a relay, and the probes.
    fn into_plans(self, shards: &[Option<&Arc<ServiceView>>]) -> Vec<RelayPlan> {
        let is_direct_as_good = |plan: &RelayPlan| {
            let mut services = plan.shard_indices.iter().filter_map(|index| shards[*index]);
            plan.shard_indices.len() < MIN_SHARDS && services.all(|s| !s.aggregators().is_divided())
        };
        let plans = self.plans.into_iter().filter(|plan| !is_direct_as_good(plan));
        plans.chain(self.probes).collect()
    }
}
