//! Building and publishing views.

use std::{collections::HashSet, net::SocketAddr, sync::atomic::Ordering};

use endivevale_core::{
    distribution::StoreRevision,
    layout::{Listing, SearcherRecord, SearcherState},
    name::InstanceName,
    searcher::SearcherKey,
    searcher::named_limit::TierInstances,
};
use endivevale_store::registry::ServiceRegistry;
use tokio::time::Instant;

use super::{ControlTask, ViewInputs};

impl<R: ServiceRegistry> ControlTask<R> {
    /// Builds and publishes a new view if its inputs have changed, and starts
    /// serving once a view has a configuration. `source` names the origin of
    /// the change in logs.
    pub(super) fn update_view(&mut self, source: &str) {
        if self.tracker.version().is_none() {
            return;
        }
        self.follow_epoch(source);
        let instances = self.update_instances();
        self.register_if_unlisted();
        let inputs = ViewInputs {
            config: self.sink.config.version(),
            listing: (self.tracker.version(), self.tracker.step()),
            instances,
        };
        if self.last_inputs == Some(inputs) {
            self.publish_versions();
            return;
        }
        let listing = self.tracker.listing();
        log_listing_change(&listing, self.tracker.revision(), source, instances);
        let siblings = listing.instances.iter().filter(|i| i.name != self.own_record.name);
        self.view_builder.set_siblings(siblings.clone());
        self.view_builder.set_tier(TierInstances {
            own: Some((self.own_record.name.clone(), self.own_record.zone.clone())),
            others: siblings.map(|i| (i.name.clone(), i.zone.clone())).collect(),
            ..TierInstances::default()
        });
        self.sink.apply_listing(&listing);
        self.publish(&self.tracker.usable_searchers(), instances);
        self.last_inputs = Some(inputs);
    }

    /// Publishes the listing if only its versions have changed: equal instances that
    /// were read later have a newer version, which siblings wait for.
    fn publish_versions(&self) {
        if self.sink.listing.versions() != self.tracker.versions() {
            self.sink.apply_listing(&self.tracker.listing());
        }
    }

    fn publish(&mut self, searchers: &[SearcherRecord], instances: u32) {
        // A searcher that said so itself stays leaving when its entry is removed
        // and comes back.
        self.view_builder.record_leaving_searchers();
        let view = self.view_builder.build(self.sink.config.current(), searchers, instances);
        let used = view.searchers().filter(|s| s.keeps_connections());
        let used_keys: HashSet<SearcherKey> = used.map(|s| s.key()).collect();
        let can_serve = view.config().is_some();
        self.views.store(view);
        self.idle_connections.retain(|key| used_keys.contains(&key));
        if can_serve {
            self.lifecycle.serve();
        }
    }

    /// Passes the instances of the tier on to the heartbeat socket and the
    /// read schedule. Returns the number of instances that share connections
    /// and budgets.
    fn update_instances(&mut self) -> u32 {
        let instances = self.tracker.instances();
        let names: Vec<InstanceName> = instances.iter().map(|i| i.name.clone()).collect();
        let others = instances.iter().filter(|i| i.name != self.own_record.name);
        let addrs: HashSet<SocketAddr> =
            others.map(|i| i.sibling).chain(self.settings.borrow().seeds.clone()).collect();
        let addrs = addrs.into_iter().filter(|addr| *addr != self.own_record.sibling).collect();
        if *self.socket.sibling_addrs().addrs() != addrs {
            self.socket.sibling_addrs().replace(addrs);
        }
        self.schedule.set_instances(&self.names_in_order());
        self.pull_plan.set_instances(&self.own_record, instances);
        let count = self.instance_count.observe(names.len().max(1) as u32, Instant::now());
        self.instances_seen.store(count, Ordering::Relaxed);
        count
    }
}

/// Logs the version and size of the listing, and where the change came from.
fn log_listing_change(listing: &Listing, revision: StoreRevision, source: &str, instances: u32) {
    let leaving = listing.searchers.iter().filter(|s| s.state == SearcherState::Leaving).count();
    log::info!(
        target: "platform",
        "View inputs changed: listing={} step={} revision={revision} searchers={} leaving={leaving} instances={instances} source={source:?}.",
        listing.version,
        listing.step,
        listing.searchers.len(),
    );
}
