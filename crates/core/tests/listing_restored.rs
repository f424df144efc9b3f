//! What an instance knows of the searchers when the store has come back from an older
//! copy of its content.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod listing;

use std::time::Duration;

use endivevale_cases::cases;
use endivevale_core::{
    distribution::{
        StoreRevision,
        listing_delta::{Change, ListingDelta},
        listing_tracker::{LAPSED_ENTRY_GRACE, ListingTracker},
    },
    layout::{SearcherRecord, SearcherState},
};
use tokio::time::{Instant, advance};

use listing::{
    apply_state_of, at, heartbeat, leaving_record, listed_searchers, live_record, searcher_name,
    two_searcher_tracker,
};

/// How long an entry is withheld.
const WITHHELD: Duration = Duration::from_secs(6);

/// Returns the revision with this number after one return of the store.
const fn restored(number: u64) -> StoreRevision {
    StoreRevision::new(2, number)
}

fn usable(tracker: &ListingTracker) -> Vec<(String, u64)> {
    let usable = tracker.usable_searchers();
    usable.iter().map(|r| (r.name.to_string(), r.incarnation)).collect()
}

fn searchers(names: &[&str]) -> Vec<(String, u64)> {
    names.iter().map(|name| ((*name).to_owned(), 1)).collect()
}

/// Returns a tracker that has read, after a return of the store, that the first
/// searcher was removed and is listed again.
fn tracker_with_a_lost_removal() -> ListingTracker {
    let mut tracker = two_searcher_tracker();
    let now = Instant::now();
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], at(11), now);
    tracker.apply_full_list(vec![live_record("one"), live_record("two")], restored(10), now);
    tracker
}

// Guards against instances that ignore the store for good: the numbers after its return
// were lower than those known.
#[tokio::test(start_paused = true)]
async fn list_of_a_new_epoch_is_newer_whatever_its_number() {
    let mut tracker = two_searcher_tracker();
    assert!(tracker.apply_full_list(vec![leaving_record("one")], restored(3), Instant::now()));
    assert_eq!((tracker.revision(), tracker.version()), (restored(3), restored(3)));
    assert_eq!(listed_searchers(&tracker)[0], ("one".to_owned(), SearcherState::Leaving));
}

cases! {
    // Guards against changes between two contents that are applied to a third: the same
    // number stood for another content before the return.
    async fn changes_of_another_epoch_are_ignored(known: StoreRevision, read: StoreRevision) {
        let mut tracker = ListingTracker::new();
        tracker.apply_full_list(vec![live_record("one")], known, Instant::now());
        let removal = vec![Change::Removed(searcher_name("one"))];
        assert!(!tracker.apply_changes(removal, read, Instant::now()));
        assert_eq!((tracker.revision(), listed_searchers(&tracker).len()), (known, 1));
    }
    of_a_later_one => (at(10), restored(12)),
    of_an_earlier_one => (restored(10), at(12)),
}

// Guards against the same fault by way of a sibling.
#[tokio::test(start_paused = true)]
async fn delta_into_another_epoch_is_not_applied() {
    let mut tracker = two_searcher_tracker();
    let mut sibling = two_searcher_tracker();
    let before = sibling.listing();
    sibling.apply_full_list(vec![live_record("two")], restored(12), Instant::now());
    let delta = ListingDelta::between(&before, &sibling.listing());
    assert!(!tracker.apply_heartbeat(&heartbeat(&sibling, delta), Instant::now()));
    assert!(sibling.versions().has_newer_part_than(tracker.versions()));
    assert!(apply_state_of(&mut tracker, &sibling));
    assert_eq!(tracker.version(), restored(12));
}

// Guards against lost capacity: searchers whose entries were lost were dropped until
// they had written them again.
#[tokio::test(start_paused = true)]
async fn entry_that_was_lost_is_kept_for_the_grace_period() {
    let mut tracker = two_searcher_tracker();
    tracker.apply_full_list(vec![live_record("two")], restored(4), Instant::now());
    assert_eq!(usable(&tracker), searchers(&["one", "two"]));
    advance(LAPSED_ENTRY_GRACE).await;
    assert!(tracker.remove_expired(Instant::now()));
    assert_eq!(usable(&tracker), searchers(&["two"]));
}

// Guards against a searcher that had left and is used again, since its removal was lost.
#[tokio::test(start_paused = true)]
async fn removed_searcher_is_not_used_until_the_store_has_kept_it() {
    let mut tracker = tracker_with_a_lost_removal();
    assert_eq!(usable(&tracker), searchers(&["two"]));
    advance(WITHHELD).await;
    tracker.apply_changes(vec![], restored(10), Instant::now());
    assert_eq!(usable(&tracker), searchers(&["one", "two"]));
}

#[tokio::test(start_paused = true)]
async fn removed_searcher_is_used_once_it_has_written_its_entry() {
    let mut tracker = tracker_with_a_lost_removal();
    let written = vec![Change::Written(live_record("one"))];
    tracker.apply_changes(written, restored(11), Instant::now());
    assert_eq!(usable(&tracker), searchers(&["one", "two"]));
}

// Guards against the same fault after two returns of the store.
#[tokio::test(start_paused = true)]
async fn removed_searcher_is_withheld_anew_at_each_return() {
    let mut tracker = tracker_with_a_lost_removal();
    advance(WITHHELD - Duration::from_secs(1)).await;
    let (list, again) = (vec![live_record("one"), live_record("two")], StoreRevision::new(3, 9));
    tracker.apply_full_list(list, again, Instant::now());
    advance(Duration::from_secs(2)).await;
    tracker.apply_changes(vec![], again, Instant::now());
    assert_eq!(usable(&tracker), searchers(&["two"]));
}

// Guards against requests to a searcher's earlier start, which is gone: the entry of its
// newer start was lost.
#[tokio::test(start_paused = true)]
async fn newer_incarnation_stays_in_use_when_its_entry_is_lost() {
    let mut tracker = two_searcher_tracker();
    let newer = SearcherRecord { incarnation: 2, ..live_record("one") };
    tracker.apply_changes(vec![Change::Written(newer.clone())], at(11), Instant::now());
    let list = vec![live_record("one"), live_record("two")];
    tracker.apply_full_list(list, restored(10), Instant::now());
    assert_eq!(usable(&tracker)[0], ("one".to_owned(), 2));
    // What siblings are sent is what the store has.
    assert_eq!(tracker.listing().searchers[0].incarnation, 1);
    tracker.apply_changes(vec![Change::Written(newer)], restored(11), Instant::now());
    assert_eq!(tracker.listing().searchers[0].incarnation, 2);
}
