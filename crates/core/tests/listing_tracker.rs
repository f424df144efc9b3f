//! How entries of the store and their removal change the listing, and when
//! each instance reads the store.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use endivevale_cases::cases;
use endivevale_core::{
    distribution::listing_delta::{Change, ListingDelta},
    distribution::listing_tracker::{LAPSED_ENTRY_GRACE, ListingTracker, STORE_OUTAGE_THRESHOLD},
    distribution::read_schedule::{MAX_STARTUP_PAUSE, READ_INTERVAL, READ_STAGGER, ReadSchedule},
    layout::{InstanceRecord, SearcherRecord, SearcherState},
    name::{InstanceName, SearcherName, ServiceName, ZoneName},
};
use tokio::time::{Instant, advance};

fn live_record(name: &str) -> SearcherRecord {
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

fn leaving_record(name: &str) -> SearcherRecord {
    SearcherRecord { state: SearcherState::Leaving, ..live_record(name) }
}

fn searcher_name(name: &str) -> SearcherName {
    SearcherName::try_new(name).unwrap()
}

fn instance_record(name: &str) -> InstanceRecord {
    InstanceRecord {
        name: InstanceName::try_new(name).unwrap(),
        zone: ZoneName::try_new("a").unwrap(),
        sibling: "127.0.0.1:1".parse().unwrap(),
        caller: "127.0.0.1:2".parse().unwrap(),
        admin: "127.0.0.1:3".parse().unwrap(),
        relay: None,
    }
}

fn listed_searchers(tracker: &ListingTracker) -> Vec<(String, SearcherState)> {
    let listing = tracker.listing();
    listing.searchers.iter().map(|s| (s.name.to_string(), s.state)).collect()
}

fn two_searcher_tracker() -> ListingTracker {
    let mut tracker = ListingTracker::new();
    tracker.apply_full_list(vec![live_record("one"), live_record("two")], 10, Instant::now());
    tracker
}

/// Records a failed call to the store and advances the clock by `duration`,
/// after which the store can be reached again.
async fn simulate_outage(tracker: &mut ListingTracker, duration: Duration) {
    tracker.record_store_failure();
    advance(duration).await;
}

#[tokio::test(start_paused = true)]
async fn removed_entry_is_dropped_at_once_while_the_store_is_reachable() {
    let mut tracker = two_searcher_tracker();
    advance(Duration::from_secs(1)).await;
    assert!(tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], 11, Instant::now()));
    assert_eq!(listed_searchers(&tracker), [("two".to_owned(), SearcherState::Live)]);
    assert_eq!(tracker.version(), 11);
}

#[tokio::test(start_paused = true)]
async fn late_read_without_a_failure_is_not_an_outage() {
    let mut tracker = two_searcher_tracker();
    advance(STORE_OUTAGE_THRESHOLD * 2).await;
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], 11, Instant::now());
    assert_eq!(listed_searchers(&tracker).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn entry_expired_in_an_outage_is_kept_for_the_grace_period() {
    let mut tracker = two_searcher_tracker();
    simulate_outage(&mut tracker, Duration::from_secs(5)).await;
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], 11, Instant::now());
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
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], 11, Instant::now());
    let before = tracker.listing();
    advance(LAPSED_ENTRY_GRACE).await;
    assert!(tracker.remove_expired(Instant::now()));
    assert_eq!((tracker.revision(), tracker.version()), (11, 11));
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
        assert_eq!((tracker.revision(), tracker.version()), (10, 10));
        let listing = tracker.listing();
        assert!(listing.is_newer_than(&previous));
        previous = listing;
    };
    assert!(tracker.set_instances(vec![instance_record("e")], 12));
    check(&tracker);
    assert!(tracker.apply_changes(
        vec![Change::Written(leaving_record("one"))],
        10,
        Instant::now()
    ));
    check(&tracker);
    assert!(tracker.apply_full_list(vec![live_record("two")], 10, Instant::now()));
    check(&tracker);
}

// Guards against missed changes after a pull: the listing of a sibling that lags
// behind what was announced was stored under the announced revision.
#[tokio::test(start_paused = true)]
async fn pulled_listing_is_current_only_up_to_its_own_version() {
    let mut tracker = ListingTracker::new();
    assert!(tracker.apply_sibling_listing(&two_searcher_tracker().listing(), Instant::now()));
    tracker.record_sibling_revision(12, 15);
    assert_eq!((tracker.revision(), tracker.version()), (10, 10));
    tracker.record_sibling_revision(10, 14);
    assert_eq!((tracker.revision(), tracker.version()), (14, 10));
}

// Guards against an older content that replaces a newer one: an instance that
// had read the store up to a higher revision took over a sibling's listing
// because the last change of that was read under a higher version.
#[tokio::test(start_paused = true)]
async fn sibling_listing_up_to_the_own_revision_replaces_nothing() {
    let mut tracker = two_searcher_tracker();
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], 20, Instant::now());
    tracker.apply_changes(vec![], 30, Instant::now());
    let mut sibling = two_searcher_tracker();
    sibling.apply_changes(vec![Change::Written(leaving_record("one"))], 25, Instant::now());
    assert!(!tracker.apply_sibling_listing(&sibling.listing(), Instant::now()));
    assert_eq!(listed_searchers(&tracker).len(), 1);
    // Nothing is newer there, so it is not fetched again.
    assert!(!sibling.versions().has_newer_part_than(tracker.versions()));
}

// Guards against instances that go back to an older list of the tier: a read
// that may be seconds old counted as the newest.
#[tokio::test(start_paused = true)]
async fn older_list_of_instances_is_ignored() {
    let mut tracker = two_searcher_tracker();
    assert!(tracker.set_instances(vec![instance_record("e")], 12));
    assert!(!tracker.set_instances(vec![], 11));
    let mut sibling = two_searcher_tracker();
    sibling.set_instances(vec![instance_record("d")], 11);
    tracker.apply_sibling_listing(&sibling.listing(), Instant::now());
    assert_eq!(tracker.instances(), [instance_record("e")]);
    sibling.apply_sibling_listing(&tracker.listing(), Instant::now());
    assert_eq!(sibling.instances(), [instance_record("e")]);
}

// Searchers renew their entries twice a second, so an outage of 1.5 s is long
// enough for entries to expire.
#[tokio::test(start_paused = true)]
async fn entry_expired_in_a_short_outage_is_kept() {
    let mut tracker = two_searcher_tracker();
    simulate_outage(&mut tracker, Duration::from_millis(1500)).await;
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], 11, Instant::now());
    assert_eq!(listed_searchers(&tracker)[0], ("one".to_owned(), SearcherState::Lapsed));
}

#[tokio::test(start_paused = true)]
async fn entry_renewed_within_the_grace_period_is_live_again() {
    let mut tracker = two_searcher_tracker();
    simulate_outage(&mut tracker, Duration::from_secs(5)).await;
    tracker.apply_full_list(vec![live_record("two")], 11, Instant::now());
    advance(Duration::from_secs(1)).await;
    tracker.apply_changes(vec![Change::Written(live_record("one"))], 12, Instant::now());
    advance(LAPSED_ENTRY_GRACE).await;
    assert!(!tracker.remove_expired(Instant::now()));
    assert!(listed_searchers(&tracker).iter().all(|(_, state)| *state == SearcherState::Live));
}

#[tokio::test(start_paused = true)]
async fn entry_of_a_leaving_searcher_is_not_kept_after_an_outage() {
    let mut tracker = two_searcher_tracker();
    tracker.apply_changes(vec![Change::Written(leaving_record("one"))], 11, Instant::now());
    simulate_outage(&mut tracker, Duration::from_secs(5)).await;
    tracker.apply_changes(vec![Change::Removed(searcher_name("one"))], 12, Instant::now());
    assert_eq!(listed_searchers(&tracker).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn sibling_drops_an_expired_entry_without_the_reader() {
    let mut reader = two_searcher_tracker();
    let mut sibling = ListingTracker::new();
    sibling.apply_sibling_listing(&reader.listing(), Instant::now());
    let before = reader.listing();
    simulate_outage(&mut reader, Duration::from_secs(5)).await;
    reader.apply_changes(vec![Change::Removed(searcher_name("one"))], 15, Instant::now());
    let delta = ListingDelta::between(&before, &reader.listing());
    assert!(sibling.apply_sibling_delta(
        &delta,
        reader.version(),
        reader.revision(),
        Instant::now()
    ));
    assert_eq!(listed_searchers(&sibling), listed_searchers(&reader));
    // The reader stops, so the sibling receives no further changes.
    advance(LAPSED_ENTRY_GRACE).await;
    assert!(sibling.remove_expired(Instant::now()));
    assert_eq!(listed_searchers(&sibling).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn unusable_entry_removes_only_its_own_searcher() {
    let mut tracker = two_searcher_tracker();
    tracker.apply_changes(vec![Change::Unusable(searcher_name("one"))], 11, Instant::now());
    assert_eq!(listed_searchers(&tracker), [("two".to_owned(), SearcherState::Live)]);
}

#[tokio::test(start_paused = true)]
async fn entry_of_an_earlier_incarnation_is_ignored() {
    let mut tracker = two_searcher_tracker();
    let newer = SearcherRecord { incarnation: 7, ..live_record("one") };
    tracker.apply_changes(vec![Change::Written(newer)], 11, Instant::now());
    assert!(!tracker.apply_changes(
        vec![Change::Written(leaving_record("one"))],
        12,
        Instant::now()
    ));
    assert_eq!(listed_searchers(&tracker)[0].1, SearcherState::Live);
}

#[tokio::test(start_paused = true)]
async fn renewal_leaves_the_version_unchanged() {
    let mut tracker = two_searcher_tracker();
    assert!(!tracker.apply_changes(vec![Change::Written(live_record("one"))], 20, Instant::now()));
    assert_eq!((tracker.version(), tracker.revision()), (10, 20));
}

#[tokio::test(start_paused = true)]
async fn stale_list_is_ignored() {
    let mut tracker = two_searcher_tracker();
    assert!(!tracker.apply_full_list(vec![], 9, Instant::now()));
    assert_eq!(listed_searchers(&tracker).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn delta_from_another_version_is_not_applied() {
    let mut tracker = two_searcher_tracker();
    let delta = ListingDelta {
        base_version: 9,
        changes: vec![Change::Removed(searcher_name("one"))],
        ..removal_of_one()
    };
    assert!(!tracker.apply_sibling_delta(&delta, 12, 12, Instant::now()));
    assert_eq!(listed_searchers(&tracker).len(), 2);
}

/// Returns the delta from the tracker with two searchers to one without the
/// first of them.
fn removal_of_one() -> ListingDelta {
    let old = two_searcher_tracker().listing();
    let mut new = two_searcher_tracker();
    new.apply_changes(vec![Change::Removed(searcher_name("one"))], 12, Instant::now());
    ListingDelta::between(&old, &new.listing())
}

// Guards against an instance without searchers: one that had not seen an outage
// of the store had fewer searchers under the same version, and later changes
// were applied to these.
#[tokio::test(start_paused = true)]
async fn delta_for_other_searchers_under_the_same_version_is_not_applied() {
    let mut tracker = ListingTracker::new();
    tracker.apply_full_list(vec![live_record("two")], 10, Instant::now());
    assert_eq!(tracker.version(), two_searcher_tracker().version());
    assert!(!tracker.apply_sibling_delta(&removal_of_one(), 12, 12, Instant::now()));
    assert_eq!(tracker.version(), 10);
    assert!(two_searcher_tracker().apply_sibling_delta(&removal_of_one(), 12, 12, Instant::now()));
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
    new.apply_changes(changes, 30, Instant::now());
    let delta = ListingDelta::between(&old.listing(), &new.listing());
    assert_eq!(delta.changes.len(), 3);
    assert!(old.apply_sibling_delta(&delta, new.version(), new.revision(), Instant::now()));
    assert_eq!(old.listing(), new.listing());
}

#[tokio::test(start_paused = true)]
async fn delta_is_absent_when_the_instances_differ() {
    let mut new = two_searcher_tracker();
    new.set_instances(vec![instance_record("e")], 10);
    assert_eq!(
        ListingDelta::between(&two_searcher_tracker().listing(), &new.listing()).base_version,
        0
    );
}

fn instance_name(number: usize) -> InstanceName {
    InstanceName::try_new(&format!("entry-{number}")).unwrap()
}

/// Runs the read schedules of a tier in which some instances cannot reach the
/// store, until `successful_reads` reads have succeeded. Returns the number of
/// reads, failed ones included, and the longest time between two successful
/// ones.
async fn simulate_reads(
    instances: usize,
    cannot_read: impl Fn(usize) -> bool,
    successful_reads: usize,
) -> (usize, Duration) {
    let now = Instant::now();
    let names: Vec<_> = (0..instances).map(instance_name).collect();
    let mut schedules: Vec<_> =
        names.iter().map(|name| ReadSchedule::new(name.clone(), now)).collect();
    for schedule in &mut schedules {
        schedule.set_instances(&names);
        schedule.record_read(now);
    }
    let (mut reads, mut last_success, mut longest_gap) = (0, now, Duration::ZERO);
    for _ in 0..successful_reads {
        loop {
            let due = |n: &usize| schedules[*n].due();
            let next = (0..instances).min_by_key(due).unwrap();
            let due_at = schedules[next].due();
            tokio::time::sleep_until(due_at).await;
            reads += 1;
            if cannot_read(next) {
                schedules[next].record_failure(Instant::now());
                continue;
            }
            let now = Instant::now();
            longest_gap = longest_gap.max(now - last_success);
            last_success = now;
            schedules[next].record_success(now);
            schedules.iter_mut().for_each(|s| s.record_read(now));
            break;
        }
    }
    (reads, longest_gap)
}

cases! {
    async fn store_is_read_once_per_interval_by_the_whole_tier(instances: usize) {
        let (reads, longest_gap) = simulate_reads(instances, |_| false, 50).await;
        assert_eq!(reads, 50);
        assert!(longest_gap <= READ_INTERVAL);
    }
    one => (1),
    nine => (9),
    eighty_seven => (87),
    three_hundred => (300),
}

cases! {
    async fn other_instances_read_when_some_cannot_reach_the_store(
        instances: usize, every_nth: usize,
    ) {
        let (_, longest_gap) = simulate_reads(instances, |n| n % every_nth == 0, 50).await;
        assert!(longest_gap < READ_INTERVAL + READ_STAGGER * 12, "{longest_gap:?}");
    }
    a_third_of_nine => (9, 3),
    half_of_nine => (9, 2),
    a_third_of_eighty_seven => (87, 3),
}

// Guards against a slow start after all instances lose power at once: the
// siblings that would send a new instance the listing may start later than it,
// or not at all.
cases! {
    async fn new_instance_waits_only_briefly_for_its_siblings(instances: usize) {
        let now = Instant::now();
        let delays = (0..instances).map(|n| ReadSchedule::new(instance_name(n), now).due() - now);
        let delays: Vec<Duration> = delays.collect();
        // A caller with a short deadline waits a third of a second.
        assert!(delays.iter().all(|delay| *delay <= Duration::from_millis(333)), "{delays:?}");
        // At most half of the instances may read early, so that the first
        // reader can send the listing to the others before they read.
        let early = delays.iter().filter(|delay| **delay <= Duration::from_millis(120)).count();
        assert!(early <= instances / 2, "{delays:?}");
    }
    nine => (9),
    eighty_seven => (87),
}

/// Returns the delay before the next read after `failures` failed reads in a
/// row.
fn delay_after_failures(mut schedule: ReadSchedule, failures: u32) -> Duration {
    let now = Instant::now();
    (0..failures).for_each(|_| schedule.record_failure(now));
    schedule.due() - now
}

// Guards against a late start after all processes stop during a long outage
// of the store.
#[tokio::test(start_paused = true)]
async fn instance_without_a_listing_retries_reads_at_short_intervals() {
    let now = Instant::now();
    assert!(
        delay_after_failures(ReadSchedule::new(instance_name(1), now), 10) <= MAX_STARTUP_PAUSE
    );
    // An instance that has a listing keeps serving and may wait longer.
    let mut serving = ReadSchedule::new(instance_name(1), now);
    serving.record_success(now);
    assert!(delay_after_failures(serving, 10) > Duration::from_secs(2));
}
