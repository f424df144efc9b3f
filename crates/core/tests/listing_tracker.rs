//! How entries of the store and their removal change the listing.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod listing;

use std::time::Duration;

use endivevale_core::{
    distribution::StoreRevision,
    distribution::listing_delta::{Change, ListingDelta},
    distribution::listing_tracker::{LAPSED_ENTRY_GRACE, ListingTracker},
    distribution::membership::Heartbeat,
    distribution::store_contact::STORE_OUTAGE_THRESHOLD,
    layout::{SearcherRecord, SearcherState},
};
use tokio::time::{Instant, advance};

use listing::{
    apply_state_of, at, heartbeat, instance_record, leaving_record, listed_searchers, live_record,
    searcher_name, simulate_outage, two_searcher_tracker,
};

#[tokio::test(start_paused = true)]
async fn removed_entry_is_dropped_at_once_while_the_store_is_reachable() {
    let mut tracker = two_searcher_tracker();
    advance(Duration::from_secs(1)).await;
    assert!(tracker.apply_changes(
        vec![Change::Removed(searcher_name("one"))],
        at(11),
        Instant::now()
    ));
    assert_eq!(listed_searchers(&tracker), [("two".to_owned(), SearcherState::Live)]);
    assert_eq!(tracker.version(), at(11));
}

#[tokio::test(start_paused = true)]
async fn late_read_without_a_failure_is_not_an_outage() {
    let mut tracker = two_searcher_tracker();
    advance(STORE_OUTAGE_THRESHOLD * 2).await;
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], at(11), Instant::now());
    assert_eq!(listed_searchers(&tracker).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn entry_expired_in_an_outage_is_kept_for_the_grace_period() {
    let mut tracker = two_searcher_tracker();
    simulate_outage(&mut tracker, Duration::from_secs(5)).await;
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], at(11), Instant::now());
    assert_eq!(listed_searchers(&tracker)[0], ("one".to_owned(), SearcherState::Lapsed));
    advance(LAPSED_ENTRY_GRACE - Duration::from_millis(1)).await;
    assert!(!tracker.remove_expired(Instant::now()));
    advance(Duration::from_millis(1)).await;
    assert!(tracker.remove_expired(Instant::now()));
    assert_eq!(listed_searchers(&tracker).len(), 1);
}

// Guards against a change that every instance misses: a lapsed entry that
// expired moved the revision from which the store is watched above the store's
// own, and the store's next change was not in the reply to that watch.
#[tokio::test(start_paused = true)]
async fn local_expiry_does_not_move_the_revision_of_the_store() {
    let mut tracker = two_searcher_tracker();
    simulate_outage(&mut tracker, Duration::from_secs(5)).await;
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], at(11), Instant::now());
    let before = tracker.listing();
    advance(LAPSED_ENTRY_GRACE).await;
    assert!(tracker.remove_expired(Instant::now()));
    assert_eq!((tracker.revision(), tracker.version()), (at(11), at(11)));
    // The two contents are still told apart.
    assert!(tracker.listing().is_newer_than(&before));
}

// Guards against the same fault by two other local changes: the instances of
// the tier, and two changes of the store that are read at one revision.
#[tokio::test(start_paused = true)]
async fn no_change_moves_the_revision_above_that_of_the_store() {
    let mut tracker = two_searcher_tracker();
    let mut previous = tracker.listing();
    let mut check = |tracker: &ListingTracker| {
        assert_eq!((tracker.revision(), tracker.version()), (at(10), at(10)));
        let listing = tracker.listing();
        assert!(listing.is_newer_than(&previous));
        previous = listing;
    };
    assert!(tracker.set_instances(vec![instance_record("e")], at(12)));
    check(&tracker);
    assert!(tracker.apply_changes(
        vec![Change::Written(leaving_record("one"))],
        at(10),
        Instant::now()
    ));
    check(&tracker);
    assert!(tracker.apply_full_list(vec![live_record("two")], at(10), Instant::now()));
    check(&tracker);
}

// Guards against missed changes after a pull: the listing of a sibling that lags
// behind what was announced was stored under the announced revision.
#[tokio::test(start_paused = true)]
async fn pulled_listing_is_current_only_up_to_its_own_version() {
    let mut tracker = ListingTracker::new();
    assert!(apply_state_of(&mut tracker, &two_searcher_tracker()));
    tracker.record_sibling_revision(at(12), at(15));
    assert_eq!((tracker.revision(), tracker.version()), (at(10), at(10)));
    tracker.record_sibling_revision(at(10), at(14));
    assert_eq!((tracker.revision(), tracker.version()), (at(14), at(10)));
}

// Guards against an older content that replaces a newer one: an instance that
// had read the store up to a higher revision took over a sibling's listing
// because the last change of that was read under a higher version.
#[tokio::test(start_paused = true)]
async fn sibling_listing_up_to_the_own_revision_replaces_nothing() {
    let mut tracker = two_searcher_tracker();
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], at(20), Instant::now());
    tracker.apply_changes(vec![], at(30), Instant::now());
    let mut sibling = two_searcher_tracker();
    sibling.apply_changes(vec![Change::Written(leaving_record("one"))], at(25), Instant::now());
    assert!(!apply_state_of(&mut tracker, &sibling));
    assert_eq!(listed_searchers(&tracker).len(), 1);
    // Nothing is newer there, so it is not fetched again.
    assert!(!sibling.versions().has_newer_part_than(tracker.versions()));
}

// Guards against instances that go back to an older list of the tier: a read
// that may be seconds old counted as the newest.
#[tokio::test(start_paused = true)]
async fn older_list_of_instances_is_ignored() {
    let mut tracker = two_searcher_tracker();
    assert!(tracker.set_instances(vec![instance_record("e")], at(12)));
    assert!(!tracker.set_instances(vec![], at(11)));
    let mut sibling = two_searcher_tracker();
    sibling.set_instances(vec![instance_record("d")], at(11));
    apply_state_of(&mut tracker, &sibling);
    assert_eq!(tracker.instances(), [instance_record("e")]);
    apply_state_of(&mut sibling, &tracker);
    assert_eq!(sibling.instances(), [instance_record("e")]);
}

// Guards against calls to the store without end: an instance that had read the same
// list of instances earlier than a sibling stayed behind it, fetched the listing
// again and again, and read the store by itself.
#[tokio::test(start_paused = true)]
async fn same_instances_that_a_sibling_read_later_are_fetched_once() {
    let (mut tracker, mut sibling) = (two_searcher_tracker(), two_searcher_tracker());
    tracker.set_instances(vec![instance_record("e")], at(11));
    sibling.set_instances(vec![instance_record("e")], at(12));
    assert!(sibling.versions().has_newer_part_than(tracker.versions()));
    apply_state_of(&mut tracker, &sibling);
    assert!(!sibling.versions().has_newer_part_than(tracker.versions()));
}

// Searchers renew their entries twice a second, so an outage of 1.5 s is long
// enough for entries to expire.
#[tokio::test(start_paused = true)]
async fn entry_expired_in_a_short_outage_is_kept() {
    let mut tracker = two_searcher_tracker();
    simulate_outage(&mut tracker, Duration::from_millis(1500)).await;
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], at(11), Instant::now());
    assert_eq!(listed_searchers(&tracker)[0], ("one".to_owned(), SearcherState::Lapsed));
}

#[tokio::test(start_paused = true)]
async fn entry_renewed_within_the_grace_period_is_live_again() {
    let mut tracker = two_searcher_tracker();
    simulate_outage(&mut tracker, Duration::from_secs(5)).await;
    tracker.apply_full_list(vec![live_record("two")], at(11), Instant::now());
    advance(Duration::from_secs(1)).await;
    tracker.apply_changes(vec![Change::Written(live_record("one"))], at(12), Instant::now());
    advance(LAPSED_ENTRY_GRACE).await;
    assert!(!tracker.remove_expired(Instant::now()));
    assert!(listed_searchers(&tracker).iter().all(|(_, state)| *state == SearcherState::Live));
}

#[tokio::test(start_paused = true)]
async fn entry_of_a_leaving_searcher_is_not_kept_after_an_outage() {
    let mut tracker = two_searcher_tracker();
    tracker.apply_changes(vec![Change::Written(leaving_record("one"))], at(11), Instant::now());
    simulate_outage(&mut tracker, Duration::from_secs(5)).await;
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], at(12), Instant::now());
    assert_eq!(listed_searchers(&tracker).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn sibling_drops_an_expired_entry_without_the_reader() {
    let mut reader = two_searcher_tracker();
    let mut sibling = ListingTracker::new();
    apply_state_of(&mut sibling, &reader);
    let before = reader.listing();
    simulate_outage(&mut reader, Duration::from_secs(5)).await;
    reader.apply_changes(vec![Change::Removed(searcher_name("one"))], at(15), Instant::now());
    let delta = ListingDelta::between(&before, &reader.listing());
    assert!(sibling.apply_heartbeat(&heartbeat(&reader, delta), Instant::now()));
    assert_eq!(listed_searchers(&sibling)[0], ("one".to_owned(), SearcherState::Lapsed));
    assert_eq!(listed_searchers(&sibling), listed_searchers(&reader));
    // The reader stops, so the sibling receives no further changes.
    advance(LAPSED_ENTRY_GRACE).await;
    assert!(sibling.remove_expired(Instant::now()));
    assert_eq!(listed_searchers(&sibling).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn unusable_entry_removes_only_its_own_searcher() {
    let mut tracker = two_searcher_tracker();
    tracker.apply_changes(vec![Change::Unusable(searcher_name("one"))], at(11), Instant::now());
    assert_eq!(listed_searchers(&tracker), [("two".to_owned(), SearcherState::Live)]);
}

#[tokio::test(start_paused = true)]
async fn entry_of_an_earlier_incarnation_is_ignored() {
    let mut tracker = two_searcher_tracker();
    let newer = SearcherRecord { incarnation: 7, ..live_record("one") };
    tracker.apply_changes(vec![Change::Written(newer)], at(11), Instant::now());
    assert!(!tracker.apply_changes(
        vec![Change::Written(leaving_record("one"))],
        at(12),
        Instant::now()
    ));
    assert_eq!(listed_searchers(&tracker)[0].1, SearcherState::Live);
}

#[tokio::test(start_paused = true)]
async fn renewal_leaves_the_version_unchanged() {
    let mut tracker = two_searcher_tracker();
    assert!(!tracker.apply_changes(
        vec![Change::Written(live_record("one"))],
        at(20),
        Instant::now()
    ));
    assert_eq!((tracker.version(), tracker.revision()), (at(10), at(20)));
}

#[tokio::test(start_paused = true)]
async fn stale_list_is_ignored() {
    let mut tracker = two_searcher_tracker();
    assert!(!tracker.apply_full_list(vec![], at(9), Instant::now()));
    assert_eq!(listed_searchers(&tracker).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn delta_from_another_version_is_not_applied() {
    let mut tracker = two_searcher_tracker();
    let delta = ListingDelta {
        base_version: at(9),
        changes: vec![Change::Removed(searcher_name("one"))],
        ..removal_of_one()
    };
    assert!(!tracker.apply_heartbeat(&heartbeat_to_12(delta), Instant::now()));
    assert_eq!(listed_searchers(&tracker).len(), 2);
}

/// Returns a heartbeat with a delta that leads to version 12.
fn heartbeat_to_12(delta: ListingDelta) -> Heartbeat {
    let mut sender = two_searcher_tracker();
    sender.apply_changes(vec![Change::Removed(searcher_name("one"))], at(12), Instant::now());
    heartbeat(&sender, delta)
}

/// Returns the delta from the tracker with two searchers to one without the
/// first of them.
fn removal_of_one() -> ListingDelta {
    let old = two_searcher_tracker().listing();
    let mut new = two_searcher_tracker();
    new.apply_changes(vec![Change::Removed(searcher_name("one"))], at(12), Instant::now());
    ListingDelta::between(&old, &new.listing())
}

// Guards against an instance without searchers: one that had not seen an outage
// of the store had fewer searchers under the same version, and later changes
// were applied to these.
#[tokio::test(start_paused = true)]
async fn delta_for_other_searchers_under_the_same_version_is_not_applied() {
    let mut tracker = ListingTracker::new();
    tracker.apply_full_list(vec![live_record("two")], at(10), Instant::now());
    assert_eq!(tracker.version(), two_searcher_tracker().version());
    assert!(!tracker.apply_heartbeat(&heartbeat_to_12(removal_of_one()), Instant::now()));
    assert_eq!(tracker.version(), at(10));
    assert!(
        two_searcher_tracker().apply_heartbeat(&heartbeat_to_12(removal_of_one()), Instant::now())
    );
}

#[tokio::test(start_paused = true)]
async fn delta_turns_the_old_listing_into_the_new_one() {
    let mut old = two_searcher_tracker();
    let mut new = two_searcher_tracker();
    let added = SearcherRecord { addr: "127.0.0.1:2".parse().unwrap(), ..live_record("three") };
    let changes = vec![
        Change::Removed(searcher_name("one")),
        Change::Written(leaving_record("two")),
        Change::Written(added),
    ];
    new.apply_changes(changes, at(30), Instant::now());
    let delta = ListingDelta::between(&old.listing(), &new.listing());
    assert_eq!(delta.changes.len(), 3);
    assert!(old.apply_heartbeat(&heartbeat(&new, delta), Instant::now()));
    assert_eq!(old.listing(), new.listing());
}

#[tokio::test(start_paused = true)]
async fn delta_is_absent_when_the_instances_differ() {
    let mut new = two_searcher_tracker();
    new.set_instances(vec![instance_record("e")], at(10));
    assert_eq!(
        ListingDelta::between(&two_searcher_tracker().listing(), &new.listing()).base_version,
        StoreRevision::NONE
    );
}
