//! The current listing of searchers and instances, maintained from the store's
//! entries and their changes.
//!
//! An entry that disappears normally means that its searcher is leaving. While
//! the store is unreachable, entries also expire because their searchers
//! cannot renew them. Those searchers renew their entries soon after the store
//! recovers. A searcher whose entry disappears shortly after a store outage
//! therefore becomes [`SearcherState::Lapsed`] and is removed only
//! [`LAPSED_ENTRY_GRACE`] after the recovery. The state is part of the listing
//! that siblings follow. Each sibling removes a lapsed entry on its own when
//! the grace period ends.
//!
//! Listings that siblings read are applied too, so that an instance that was
//! cut off from the store continues from what its siblings know.
//!
//! Two counters order the content. The revision and the version are revisions
//! that the store itself has given, so a watch that continues from them misses
//! nothing, and they are comparable among instances. What an instance changes by
//! itself, such as removing a lapsed entry, has no revision of the store: it
//! increases the step, which orders the listings of this instance only.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::distribution::listing_tracker::ListingTracker;
//! use tokio::time::Instant;
//!
//! let mut tracker = ListingTracker::new();
//! tracker.apply_full_list(vec![], 7, Instant::now());
//! assert_eq!(tracker.revision(), 7);
//! # });
//! ```

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    distribution::listing_delta::{Change, ListingDelta},
    distribution::{ContentDigest, ListingVersions},
    layout::{InstanceRecord, Listing, SearcherRecord, SearcherState},
    name::SearcherName,
};

/// The time without a reply from the store after which the next reply counts
/// as a recovery from an outage, if a call has failed in between. It is longer
/// than the interval between two reads, and shorter than an outage in which an
/// entry can miss enough renewals to expire.
pub const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_millis(1000);

/// The time after a store recovery for which a missing entry is kept.
pub const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2500);

#[derive(Debug, Clone)]
struct Entry {
    record: SearcherRecord,
    /// The time until which the entry is kept although the store no longer has
    /// it. Invariant: present exactly while the state is
    /// [`SearcherState::Lapsed`].
    kept_until: Option<Instant>,
}

impl Entry {
    /// Creates the entry for a record. A lapsed record is kept for
    /// [`LAPSED_ENTRY_GRACE`] from `now`.
    fn new(record: SearcherRecord, now: Instant) -> Self {
        let is_lapsed = record.state == SearcherState::Lapsed;
        Self { record, kept_until: is_lapsed.then(|| now + LAPSED_ENTRY_GRACE) }
    }
}

/// Tracks the known searchers and instances, and the store revision up to
/// which they are current.
#[derive(Debug, Default)]
pub struct ListingTracker {
    entries: BTreeMap<SearcherName, Entry>,
    instances: Vec<InstanceRecord>,
    /// The store revision at which the instances were read when they last
    /// changed. Invariant: never decreases.
    instances_version: u64,
    /// The store revision up to which changes have been applied. Invariant:
    /// given by the store, and never decreases.
    revision: u64,
    /// The store revision at which the store's entries last changed. Invariant:
    /// at most `revision`, and never decreases.
    version: u64,
    /// The number of changes under `version` that have no revision of the store.
    /// Invariant: the pair of `version` and `step` increases with each change of
    /// the content.
    step: u64,
    /// When the store last replied to this instance or a sibling.
    last_reply: Option<Instant>,
    /// Whether a store call of this instance has failed since `last_reply`.
    has_failed_call: bool,
    /// When the store last recovered from an outage.
    last_recovery: Option<Instant>,
}

impl ListingTracker {
    /// Creates a tracker without entries, at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the store revision up to which changes have been applied; 0
    /// before the first complete list was applied.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the store revision at which the store's entries last changed.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the versions by which siblings compare their listings with this
    /// one.
    #[must_use]
    pub const fn versions(&self) -> ListingVersions {
        ListingVersions { searchers: self.version, instances: self.instances_version }
    }

    /// Returns the number of changes under this version that this instance made
    /// by itself.
    #[must_use]
    pub const fn step(&self) -> u64 {
        self.step
    }

    /// Records that the store replied, whatever the reply was.
    pub fn record_store_reply(&mut self, now: Instant) {
        let is_after_gap = self
            .last_reply
            .is_some_and(|at| now.saturating_duration_since(at) >= STORE_OUTAGE_THRESHOLD);
        if is_after_gap && self.has_failed_call {
            self.last_recovery = Some(now);
        }
        self.last_reply = Some(now);
        self.has_failed_call = false;
    }

    /// Records that a store call of this instance failed.
    pub fn record_store_failure(&mut self) {
        self.has_failed_call = true;
    }

    /// Replaces all searchers with the store's complete list of entries, read at
    /// `revision`, unless that is older than the current revision, and records a
    /// reply of the store in any case. Returns whether the content changed.
    pub fn apply_full_list(
        &mut self,
        records: Vec<SearcherRecord>,
        revision: u64,
        now: Instant,
    ) -> bool {
        self.record_store_reply(now);
        if revision < self.revision {
            return false;
        }
        let listed: HashSet<SearcherName> = records.iter().map(|r| r.name.clone()).collect();
        let mut is_changed = self.version == 0;
        for name in self.names_not_in(&listed) {
            is_changed |= self.remove_or_lapse(&name, now);
        }
        for record in records {
            is_changed |= self.upsert(record);
        }
        self.advance_revision(revision, is_changed);
        is_changed
    }

    fn names_not_in(&self, listed: &HashSet<SearcherName>) -> Vec<SearcherName> {
        self.entries.keys().filter(|name| !listed.contains(*name)).cloned().collect()
    }

    /// Applies the changes up to `revision`, unless it is older than the
    /// current revision, and records a reply of the store in any case. Returns
    /// whether the content changed.
    pub fn apply_changes(&mut self, changes: Vec<Change>, revision: u64, now: Instant) -> bool {
        self.record_store_reply(now);
        if revision < self.revision {
            return false;
        }
        let mut is_changed = false;
        for change in changes {
            is_changed |= match change {
                Change::Written(record) => self.upsert(record),
                Change::Removed(name) => self.remove_or_lapse(&name, now),
                Change::StateChanged(name, state) => self.set_state(&name, state, now),
                Change::Unusable(name) => self.entries.remove(&name).is_some(),
            };
        }
        self.advance_revision(revision, is_changed);
        is_changed
    }

    /// Replaces the instances of the tier with those that were read at
    /// `revision`, unless newer ones are known. Returns whether they changed.
    pub fn set_instances(&mut self, mut instances: Vec<InstanceRecord>, revision: u64) -> bool {
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        if revision <= self.instances_version || self.instances == instances {
            return false;
        }
        self.instances = instances;
        self.instances_version = revision;
        self.step += 1;
        true
    }

    /// Returns the instances of the tier.
    #[must_use]
    pub fn instances(&self) -> &[InstanceRecord] {
        &self.instances
    }

    /// Removes lapsed entries whose grace period has ended. Returns whether
    /// the content changed.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let previous_len = self.entries.len();
        self.entries.retain(|_, entry| entry.kept_until.is_none_or(|until| now < until));
        let is_changed = self.entries.len() != previous_len;
        if is_changed {
            self.step += 1;
        }
        is_changed
    }

    /// Replaces the instances with those of a sibling's listing if these are
    /// newer, and the searchers if the listing has changes of the store after the
    /// current revision. Records a reply of the store in any case. Returns whether
    /// the searchers were replaced.
    pub fn apply_sibling_listing(&mut self, listing: &Listing, now: Instant) -> bool {
        self.record_store_reply(now);
        self.set_instances(listing.instances.clone(), listing.instances_version);
        if listing.version <= self.revision {
            self.record_sibling_revision(listing.version, listing.version);
            return false;
        }
        let records = listing.searchers.iter().cloned();
        self.entries = records.map(|r| (r.name.clone(), Entry::new(r, now))).collect();
        self.advance_revision(listing.version, true);
        true
    }

    /// Applies a delta from a sibling that leads from the version and the
    /// searchers of this tracker to `version`; ignores a delta from any other
    /// version or other searchers. Records a reply of the store in any case.
    /// Returns whether the delta was applied.
    pub fn apply_sibling_delta(
        &mut self,
        delta: &ListingDelta,
        version: u64,
        revision: u64,
        now: Instant,
    ) -> bool {
        self.record_store_reply(now);
        let is_next = delta.base_version != 0 && delta.base_version == self.version;
        if !is_next || version <= self.revision {
            return false;
        }
        if delta.base_digest != self.digest() {
            log::info!(
                target: "platform",
                "A sibling's changes apply to other searchers under version {}; the whole listing is fetched.",
                self.version
            );
            return false;
        }
        for change in &delta.changes {
            match change {
                Change::Written(record) => {
                    let entry = Entry::new(record.clone(), now);
                    self.entries.insert(record.name.clone(), entry);
                }
                Change::StateChanged(name, state) => {
                    self.set_state(name, *state, now);
                }
                Change::Removed(name) | Change::Unusable(name) => {
                    self.entries.remove(name);
                }
            }
        }
        self.advance_revision(version, true);
        self.record_sibling_revision(version, revision);
        true
    }

    /// Returns the digest of the searchers.
    fn digest(&self) -> ContentDigest {
        ContentDigest::of_list(self.entries.values().map(|entry| &entry.record))
    }

    /// Records that a sibling's listing of this version is current up to
    /// `revision`.
    ///
    /// A version up to the revision of this tracker stands for a change that has
    /// been applied here too, so the version is raised to it. With the same
    /// version, the content here is also current up to the sibling's revision.
    pub fn record_sibling_revision(&mut self, version: u64, revision: u64) {
        if version > self.version && version <= self.revision {
            self.version = version;
            self.step = 0;
        }
        if version == self.version {
            self.revision = self.revision.max(revision);
        }
    }

    /// Returns the content as a listing, for views and siblings.
    #[must_use]
    pub fn listing(&self) -> Arc<Listing> {
        Arc::new(Listing {
            version: self.version,
            step: self.step,
            instances_version: self.instances_version,
            searchers: self.entries.values().map(|e| e.record.clone()).collect(),
            instances: self.instances.clone(),
        })
    }

    /// Raises the revision to one that the store has given. If the content has
    /// changed, raises the version to it too, or the step if another content
    /// already has that version.
    fn advance_revision(&mut self, revision: u64, is_changed: bool) {
        self.revision = self.revision.max(revision);
        if !is_changed {
            return;
        }
        if self.revision > self.version {
            self.version = self.revision;
            self.step = 0;
        } else {
            self.step += 1;
        }
    }

    /// Inserts or replaces an entry, unless a newer incarnation is known. Returns
    /// whether the content changed.
    fn upsert(&mut self, record: SearcherRecord) -> bool {
        let known = self.entries.get(&record.name);
        if known.is_some_and(|entry| entry.record.incarnation > record.incarnation) {
            return false;
        }
        let is_changed = known.is_none_or(|entry| entry.record != record);
        let name = record.name.clone();
        self.entries.insert(name, Entry { record, kept_until: None });
        is_changed
    }

    fn set_state(&mut self, name: &SearcherName, state: SearcherState, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        let is_changed = entry.record.state != state;
        let record = SearcherRecord { state, ..entry.record.clone() };
        *entry = Entry::new(record, now);
        is_changed
    }

    /// Removes an entry. A live one is kept as lapsed instead if the store has
    /// just recovered from an outage. Returns whether the content changed.
    fn remove_or_lapse(&mut self, name: &SearcherName, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        let until =
            self.last_recovery.map(|at| at + LAPSED_ENTRY_GRACE).filter(|until| now < *until);
        match until {
            Some(until) if entry.record.state == SearcherState::Live => {
                entry.record.state = SearcherState::Lapsed;
                entry.kept_until = Some(until);
                true
            }
            // The entry has already lapsed, so its absence from another
            // complete list or a repeated removal changes nothing.
            Some(_) if entry.record.state == SearcherState::Lapsed => false,
            _ => {
                self.entries.remove(name);
                true
            }
        }
    }
}
