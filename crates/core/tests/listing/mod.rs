//! Records, trackers and heartbeats for the tests of the listing.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use endivevale_core::{
    distribution::StoreRevision,
    distribution::listing_delta::ListingDelta,
    distribution::listing_tracker::ListingTracker,
    distribution::membership::Heartbeat,
    intent::ConfigVersion,
    layout::{InstanceRecord, SearcherRecord, SearcherState},
    name::{InstanceName, SearcherName, ServiceName, ZoneName},
};
use tokio::time::{Instant, advance};

/// Returns the revision with this number in the first epoch.
pub const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

pub fn live_record(name: &str) -> SearcherRecord {
    SearcherRecord {
        name: SearcherName::try_new(name).unwrap(),
        incarnation: 1,
        service: ServiceName::try_new("s").unwrap(),
        zone: ZoneName::try_new("a").unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        state: SearcherState::Live,
        holdings: vec![],
    }
}

pub fn leaving_record(name: &str) -> SearcherRecord {
    SearcherRecord { state: SearcherState::Leaving, ..live_record(name) }
}

pub fn searcher_name(name: &str) -> SearcherName {
    SearcherName::try_new(name).unwrap()
}

pub fn instance_record(name: &str) -> InstanceRecord {
    InstanceRecord {
        name: InstanceName::try_new(name).unwrap(),
        zone: ZoneName::try_new("a").unwrap(),
        sibling: "127.0.0.1:1".parse().unwrap(),
        caller: "127.0.0.1:2".parse().unwrap(),
        admin: "127.0.0.1:3".parse().unwrap(),
        relay: None,
    }
}

pub fn listed_searchers(tracker: &ListingTracker) -> Vec<(String, SearcherState)> {
    let listing = tracker.listing();
    listing.searchers.iter().map(|s| (s.name.to_string(), s.state)).collect()
}

pub fn two_searcher_tracker() -> ListingTracker {
    let mut tracker = ListingTracker::new();
    tracker.apply_full_list(vec![live_record("one"), live_record("two")], at(10), Instant::now());
    tracker
}

/// Returns the heartbeat that an instance with this tracker sends.
pub fn heartbeat(sender: &ListingTracker, delta: ListingDelta) -> Heartbeat {
    Heartbeat {
        sender: InstanceName::try_new("sender").unwrap(),
        incarnation: 1,
        sequence: 1,
        leaving: false,
        config_version: ConfigVersion::NONE,
        listing: sender.versions(),
        store_revision: sender.revision(),
        after_read: true,
        suspects: vec![],
        store_contact: sender.contact().report(Instant::now()),
        delta,
        receives_from: vec![],
        leaving_searchers: vec![],
        in_flight: vec![],
    }
}

/// Applies the state of one tracker to another, as after a pull.
pub fn apply_state_of(tracker: &mut ListingTracker, sibling: &ListingTracker) -> bool {
    let now = Instant::now();
    tracker.apply_sibling_state(Some(&sibling.listing()), &sibling.contact().report(now), now)
}

/// Records a failed call to the store and advances the clock by `duration`,
/// after which the store can be reached again.
pub async fn simulate_outage(tracker: &mut ListingTracker, duration: Duration) {
    tracker.record_store_failure(Instant::now());
    advance(duration).await;
}
