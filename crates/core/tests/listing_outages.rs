//! Whether searchers that the store no longer has are kept: after an outage of the
//! store, after a cut of this instance, and after a start.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod listing;

use std::time::Duration;

use endivevale_cases::cases;
use endivevale_core::{
    distribution::listing_delta::{Change, ListingDelta},
    distribution::listing_tracker::{LAPSED_ENTRY_GRACE, ListingTracker},
    distribution::store_contact::{ContactReport, GapReport, StoreContact},
    layout::SearcherState,
};
use tokio::time::{Instant, advance};

use listing::{
    apply_state_of, at, heartbeat, listed_searchers, live_record, searcher_name, simulate_outage,
    two_searcher_tracker,
};

const OUTAGE: Duration = Duration::from_secs(5);

fn removal_of(name: &str) -> Vec<Change> {
    vec![Change::Removed(searcher_name(name))]
}

fn lists(tracker: &ListingTracker, name: &str) -> bool {
    listed_searchers(tracker).iter().any(|(listed, _)| listed == name)
}

/// Returns a tracker whose instance had contact with the store all the while, and
/// one that was cut off for [`OUTAGE`]. The searcher "one" left meanwhile.
async fn calm_and_returned() -> (ListingTracker, ListingTracker) {
    let (mut calm, mut cut) = (two_searcher_tracker(), two_searcher_tracker());
    advance(Duration::from_millis(900)).await;
    calm.apply_changes(removal_of("one"), at(11), Instant::now());
    cut.record_store_failure(Instant::now());
    for _ in 0..5 {
        advance(Duration::from_millis(900)).await;
        calm.apply_changes(vec![], at(11), Instant::now());
        cut.record_store_failure(Instant::now());
    }
    let changes = [removal_of("one"), vec![Change::Written(live_record("three"))]].concat();
    cut.apply_changes(changes, at(12), Instant::now());
    (calm, cut)
}

// Guards against searchers that are gone and in use again: an instance that
// returned from a cut kept them as lapsed, and its siblings took its listing over.
#[tokio::test(start_paused = true)]
async fn instance_that_returns_from_a_cut_brings_no_searcher_back() {
    let (mut calm, cut) = calm_and_returned().await;
    assert!(lists(&cut, "one"));
    assert!(apply_state_of(&mut calm, &cut));
    assert!(!lists(&calm, "one") && lists(&calm, "three"));
    // Nor by the changes in its heartbeat.
    let (mut calm, cut) = calm_and_returned().await;
    let delta = ListingDelta::between(&calm.listing(), &cut.listing());
    assert!(calm.apply_heartbeat(&heartbeat(&cut, delta), Instant::now()));
    assert!(!lists(&calm, "one") && lists(&calm, "three"));
}

// Guards against the same fault at the instance itself: its own failed calls
// counted as an outage of the store.
#[tokio::test(start_paused = true)]
async fn instance_drops_what_it_kept_once_a_sibling_had_contact() {
    let (calm, mut cut) = calm_and_returned().await;
    assert!(cut.should_compare(Instant::now()));
    assert!(!apply_state_of(&mut cut, &calm));
    assert!(!lists(&cut, "one") && !cut.should_compare(Instant::now()));
}

// Guards against refused requests: an instance that did not call the store in an
// outage dropped the searchers whose entries had expired.
#[tokio::test(start_paused = true)]
async fn outage_is_recognised_by_the_failed_calls_of_a_sibling() {
    let (mut reader, mut other) = (two_searcher_tracker(), two_searcher_tracker());
    let before = reader.listing();
    simulate_outage(&mut reader, OUTAGE).await;
    reader.apply_changes(removal_of("one"), at(11), Instant::now());
    let delta = ListingDelta::between(&before, &reader.listing());
    assert!(other.apply_heartbeat(&heartbeat(&reader, delta), Instant::now()));
    assert_eq!(listed_searchers(&other)[0], ("one".to_owned(), SearcherState::Lapsed));
}

// Guards against refused requests in a large tier: the first instance to read the
// store after an outage had not called it before, nor had most of the others, so
// none of them took the gap for an outage.
#[tokio::test(start_paused = true)]
async fn long_gap_is_an_outage_without_a_failed_call() {
    let (mut reader, mut other) = (two_searcher_tracker(), two_searcher_tracker());
    let before = reader.listing();
    advance(OUTAGE).await;
    reader.apply_changes(removal_of("one"), at(11), Instant::now());
    assert_eq!(listed_searchers(&reader)[0], ("one".to_owned(), SearcherState::Lapsed));
    let delta = ListingDelta::between(&before, &reader.listing());
    assert!(other.apply_heartbeat(&heartbeat(&reader, delta), Instant::now()));
    assert_eq!(listed_searchers(&other)[0], ("one".to_owned(), SearcherState::Lapsed));
}

/// Returns a tracker that went through an outage in which the entry "one" expired,
/// and one of an instance that was started after it and read the store.
async fn experienced_and_started() -> (ListingTracker, ListingTracker) {
    let mut experienced = two_searcher_tracker();
    simulate_outage(&mut experienced, OUTAGE).await;
    let mut started = ListingTracker::new();
    started.apply_full_list(vec![live_record("two")], at(11), Instant::now());
    (experienced, started)
}

// Guards against refused requests after an outage: an instance that was started
// meanwhile listed only what had been renewed, and all took its listing over.
#[tokio::test(start_paused = true)]
async fn listing_of_a_started_instance_removes_no_lapsed_searcher() {
    let (mut experienced, started) = experienced_and_started().await;
    assert!(apply_state_of(&mut experienced, &started));
    assert_eq!(listed_searchers(&experienced)[0], ("one".to_owned(), SearcherState::Lapsed));
    advance(LAPSED_ENTRY_GRACE).await;
    assert!(experienced.remove_expired(Instant::now()));
    assert!(!lists(&experienced, "one"));
}

// The same fault at the instance that was started.
#[tokio::test(start_paused = true)]
async fn started_instance_adds_the_lapsed_searchers_of_a_sibling() {
    let (experienced, mut started) = experienced_and_started().await;
    assert!(started.should_compare(Instant::now()));
    assert!(!apply_state_of(&mut started, &experienced));
    assert_eq!(listed_searchers(&started)[0], ("one".to_owned(), SearcherState::Lapsed));
    advance(LAPSED_ENTRY_GRACE).await;
    started.remove_expired(Instant::now());
    assert!(!lists(&started, "one"));
}

#[tokio::test(start_paused = true)]
async fn removed_searcher_is_not_added_from_a_sibling() {
    let (experienced, mut started) = experienced_and_started().await;
    started.apply_full_list(vec![live_record("one"), live_record("two")], at(12), Instant::now());
    started.apply_changes(removal_of("one"), at(13), Instant::now());
    apply_state_of(&mut started, &experienced);
    assert!(!lists(&started, "one"));
}

// The store has no searcher like that at the next read, although it has at each
// end of the time between.
#[tokio::test(start_paused = true)]
async fn entry_that_went_and_came_back_raises_the_version() {
    let mut tracker = two_searcher_tracker();
    let changes = [removal_of("one"), vec![Change::Written(live_record("one"))]].concat();
    tracker.apply_changes(changes, at(14), Instant::now());
    assert_eq!((tracker.version(), listed_searchers(&tracker).len()), (at(14), 2));
}

/// A gap from `began_ms` to `ended_ms` before the report, with a failed call in
/// its middle.
fn gap(began_ms: u32, ended_ms: u32) -> GapReport {
    GapReport { began_ms, ended_ms, last_failure_ms: Some((began_ms + ended_ms) / 2) }
}

cases! {
    // An instance without contact from 6 s to 1 s ago hears what a sibling knows.
    async fn outage_is_what_the_gaps_of_all_have_in_common(
        known_since_ms: u32, gaps: Vec<GapReport>, ended_ms_ago: Option<u64>
    ) {
        let mut contact = StoreContact::default();
        for _ in 0..30 {
            advance(Duration::from_secs(1)).await;
            contact.record_reply(Instant::now());
        }
        advance(Duration::from_secs(3)).await;
        contact.record_failure(Instant::now());
        advance(Duration::from_secs(2)).await;
        contact.record_reply(Instant::now());
        advance(Duration::from_secs(1)).await;
        let (last_reply_ms, known_since_ms) = (Some(0), Some(known_since_ms));
        let report = ContactReport { last_reply_ms, known_since_ms, gaps };
        contact.record_report(&report, Instant::now());
        let ended = contact.outage_end().map(|end| end.elapsed());
        assert_eq!(ended, ended_ms_ago.map(Duration::from_millis));
    }
    contact_all_the_while => (60_000, vec![], None),
    the_same_gap => (60_000, vec![gap(6000, 1000)], Some(1000)),
    an_earlier_end => (60_000, vec![gap(6000, 2500)], Some(2500)),
    a_short_common_part => (60_000, vec![gap(9000, 5500)], None),
    an_earlier_gap => (60_000, vec![gap(20_000, 15_000)], None),
    a_later_gap_only => (800, vec![], Some(1000)),
    started_just_now => (0, vec![], Some(1000)),
    started_within_the_gap => (3000, vec![], Some(3000)),
}
