//! What must hold at every step, and in the end.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use endivevale_core::{
    distribution::{StoreRevision, listing_delta::Change},
    layout::{SearcherRecord, SearcherState},
    name::SearcherName,
};
use tokio::time::Instant;

use super::{
    instance::Instance,
    store::{Removal, Store},
};

/// The time after an entry's change in which instances must follow, in calm.
const FOLLOW_WITHIN: Duration = Duration::from_millis(3000);

/// The time after an outage in which instances must drop what is still missing:
/// two seconds in which searchers may register again, and two reads.
const DROP_AFTER_OUTAGE: Duration = Duration::from_millis(5000);

/// The time without troubles after which the bounds hold.
const STABLE_AFTER: Duration = Duration::from_millis(4000);

/// What is known of one instance.
#[derive(Default)]
struct Seen {
    listed: BTreeMap<SearcherName, u64>,
    removed: BTreeMap<SearcherName, Dropped>,
}

/// An incarnation that an instance no longer lists.
#[derive(Clone, Copy)]
struct Dropped {
    incarnation: u64,
    at: Instant,
    /// The revision that the instance had then.
    revision: StoreRevision,
}

/// Returns when an instance that has been calm since `calm_since` may no longer
/// use a searcher whose entry was removed. The store must have been stable for its
/// acknowledgement to count.
fn must_follow_by(removal: &Removal, store: &Store, calm_since: Instant) -> Instant {
    if removal.at >= store.back_since + STABLE_AFTER {
        removal.at + FOLLOW_WITHIN
    } else {
        removal.at.max(calm_since) + DROP_AFTER_OUTAGE
    }
}

/// The checks of one history.
pub struct Checks {
    seed: u64,
    seen: HashMap<usize, Seen>,
    /// The content of the store that instances had under each version.
    contents: HashMap<StoreRevision, Vec<SearcherRecord>>,
}

impl Checks {
    pub fn new(seed: u64) -> Self {
        Self { seed, seen: HashMap::new(), contents: HashMap::new() }
    }

    /// Forgets an instance that was started anew.
    pub fn forget(&mut self, number: usize) {
        self.seen.remove(&number);
    }

    /// Checks one instance after a step.
    pub fn check(&mut self, instance: &Instance, store: &Store) {
        self.check_revisions(instance, store);
        self.check_contents(instance);
        self.check_removed(instance, store);
        self.check_follows(instance, store);
        self.check_keeps_living(instance, store);
    }

    fn check_revisions(&self, instance: &Instance, store: &Store) {
        let (tracker, seed) = (&instance.tracker, self.seed);
        assert!(tracker.revision() <= store.revision(), "seed {seed}: a revision of no store");
        assert!(tracker.version() <= tracker.revision(), "seed {seed}");
    }

    /// Checks that no two contents of the store have one version.
    fn check_contents(&mut self, instance: &Instance) {
        let (seed, listing) = (self.seed, instance.tracker.listing());
        let content: Vec<_> = listing.stored_searchers().cloned().collect();
        let known = self.contents.entry(listing.version).or_insert_with(|| content.clone());
        assert_eq!(*known, content, "seed {seed}: two contents of version {}", listing.version);
    }

    /// Checks that an incarnation which the instance removed is used again only if
    /// the store has listed it again, or lists it since it came back from a copy and
    /// the searcher lives.
    fn check_removed(&mut self, instance: &Instance, store: &Store) {
        let (seed, n) = (self.seed, instance.number);
        let seen = self.seen.entry(n).or_default();
        let used = instance.tracker.usable_searchers();
        let listed: BTreeMap<_, _> = used.iter().map(|r| (r.name.clone(), r.incarnation)).collect();
        for (name, incarnation) in &seen.listed {
            if !listed.contains_key(name) {
                let (at, revision) = (Instant::now(), instance.tracker.revision());
                let dropped = Dropped { incarnation: *incarnation, at, revision };
                seen.removed.insert(name.clone(), dropped);
            }
        }
        for (name, incarnation) in &listed {
            let Some(dropped) = seen.removed.get(name).copied() else { continue };
            let is_listed_again = store.log.iter().any(|(at, change)| {
                *at > dropped.revision && matches!(change, Change::Written(r) if r.name == *name)
            });
            let is_restored = dropped.revision.epoch() < store.revision().epoch()
                && store.entries.contains_key(name)
                && store.is_alive(name, *incarnation);
            assert!(
                *incarnation > dropped.incarnation || is_listed_again || is_restored,
                "seed {seed}: instance {n} brings back {name}"
            );
            seen.removed.remove(name);
        }
        seen.listed = listed;
    }

    /// Checks that an instance without troubles does not use searchers that the
    /// store has not had, or has had as leaving, for some time.
    fn check_follows(&self, instance: &Instance, store: &Store) {
        let (seed, n, now) = (self.seed, instance.number, Instant::now());
        let calm_since = instance.calm_since().max(store.back_since);
        if !store.is_up() || now < calm_since + STABLE_AFTER {
            return;
        }
        for record in &instance.tracker.usable_searchers() {
            let Some(removal) = store.removals.get(&record.name) else { continue };
            let is_gone = !store.entries.contains_key(&record.name)
                && removal.incarnation >= record.incarnation
                && now >= must_follow_by(removal, store, calm_since);
            assert!(!is_gone, "seed {seed}: instance {n} still uses {}", record.name);
        }
    }

    /// Checks that an instance without troubles keeps the searchers that live on
    /// while the store has lost their entries.
    fn check_keeps_living(&self, instance: &Instance, store: &Store) {
        let (seed, n) = (self.seed, instance.number);
        let Some(seen) = self.seen.get(&n) else { return };
        for (name, removal) in &store.removals {
            let has_dropped = seen.removed.get(name).is_some_and(|dropped| {
                dropped.incarnation == removal.incarnation && dropped.at >= removal.at
            });
            let is_expected = removal.was_in_outage
                && has_dropped
                && instance.calm_since() + STABLE_AFTER < removal.at
                && store.is_alive(name, removal.incarnation)
                && !store.entries.contains_key(name);
            assert!(!is_expected, "seed {seed}: instance {n} has dropped {name}");
        }
    }

    /// Checks that no instance fetched anything from another one although all had
    /// the same content for a long time.
    pub fn assert_no_requests(&self, requests: usize) {
        assert_eq!(requests, 0, "seed {}: listings are fetched without end", self.seed);
    }

    /// Checks that the instance has the store's content.
    pub fn assert_converged(&self, instance: &Instance, store: &Store) {
        let (seed, n) = (self.seed, instance.number);
        let listing = instance.tracker.listing();
        assert!(listing.searchers.iter().all(|r| r.state != SearcherState::Lapsed));
        let content: Vec<_> = store.entries.values().cloned().collect();
        assert_eq!(listing.searchers, content, "seed {seed}: instance {n} has another content");
    }
}
