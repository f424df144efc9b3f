//! The current listing of searchers and instances, maintained from the store's
//! entries and their changes.
//!
//! An entry that disappears normally means that its searcher is leaving. While
//! the store is unreachable, entries also expire because their searchers
//! cannot renew them. Those searchers renew their entries soon after the store
//! recovers. A searcher whose entry disappears shortly after a store outage
//! therefore becomes [`SearcherState::Lapsed`] and is removed only
//! [`LAPSED_ENTRY_GRACE`] after the recovery.
//!
//! Listings that siblings read are applied too, so that an instance that was
//! cut off from the store continues from what its siblings know. Of a sibling's
//! listing, the entries that the store has are applied like a list of the store.
//! Whether a missing entry has lapsed is decided by each instance from its own
//! [`StoreContact`], so an instance that mistakes its own cut for an outage
//! affects no other. Lapsed entries of a sibling are added only if this tracker
//! has not known the searcher, as after a start within the grace period.
//!
//! Two counters order the content. The revision and the version are revisions
//! that the store itself has given, so a watch that continues from them misses
//! nothing, and they are comparable among instances. What an instance changes by
//! itself, such as removing a lapsed entry, has no revision of the store: it
//! increases the step, which orders the listings of this instance only.
//!
//! The store may come back from an older copy of its content, in a new epoch. Its
//! list is then taken over as it is, also where it is older than what was known. What
//! that list lacks may only have to be written again, so it lapses as after an outage.
//! An entry that had been removed or replaced before and is listed again is [withheld]
//! until it is written or has lasted longer than entries without renewals do.
//!
//! [withheld]: ListingTracker::usable_searchers
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::distribution::{StoreRevision, listing_tracker::ListingTracker};
//! use tokio::time::Instant;
//!
//! let mut tracker = ListingTracker::new();
//! tracker.apply_full_list(vec![], StoreRevision::new(1, 7), Instant::now());
//! assert_eq!(tracker.revision(), StoreRevision::new(1, 7));
//! # });
//! ```

mod siblings;
mod withheld;

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use self::withheld::WithheldEntries;
use crate::{
    distribution::listing_delta::Change,
    distribution::store_contact::StoreContact,
    distribution::{ListingVersions, StoreRevision},
    layout::{InstanceRecord, Listing, SearcherRecord, SearcherState},
    name::SearcherName,
    searcher::leaving::LeavingSearchers,
};

/// The time after a store recovery for which a missing entry is kept.
pub const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2500);

/// Tracks the known searchers and instances, and the store revision up to
/// which they are current.
#[derive(Debug, Default)]
pub struct ListingTracker {
    /// The entries that the store has, and lapsed ones. Invariant: lapsed ones
    /// only in the grace period after an outage.
    entries: BTreeMap<SearcherName, SearcherRecord>,
    /// The searchers whose entries were removed, with their incarnations.
    /// Invariant: disjoint from `entries`, but for withheld ones.
    removed: LeavingSearchers,
    withheld: WithheldEntries,
    instances: Vec<InstanceRecord>,
    /// The store revision at which the instances were read when they last
    /// changed. Invariant: never decreases.
    instances_version: StoreRevision,
    /// The store revision up to which changes have been applied. Invariant:
    /// given by the store, and never decreases.
    revision: StoreRevision,
    /// The store revision at which the store's entries last changed. Invariant:
    /// at most `revision` and of the same epoch, never decreases, and the store's
    /// entries were the same at all revisions from here to `revision`.
    version: StoreRevision,
    /// The number of changes under `version` that have no revision of the store.
    /// Invariant: the pair of `version` and `step` increases with each change of
    /// the content.
    step: u64,
    contact: StoreContact,
    /// When this tracker first had entries of the epoch of `revision`; `None` in the
    /// first epoch that it knows.
    epoch_began: Option<Instant>,
}

impl ListingTracker {
    /// Creates a tracker without entries, at [`StoreRevision::NONE`].
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the store revision up to which changes have been applied;
    /// [`StoreRevision::NONE`] before the first complete list was applied.
    #[must_use]
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the store revision at which the store's entries last changed.
    #[must_use]
    pub const fn version(&self) -> StoreRevision {
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

    /// Records that the store replied to this instance, whatever the reply was.
    pub fn record_store_reply(&mut self, now: Instant) {
        self.contact.record_reply(now);
    }

    /// Records that a store call of this instance failed.
    pub fn record_store_failure(&mut self, now: Instant) {
        self.contact.record_failure(now);
    }

    /// Returns the contact with the store.
    #[must_use]
    pub const fn contact(&self) -> &StoreContact {
        &self.contact
    }

    /// Replaces all searchers with the store's complete list of entries, read at
    /// `revision`, unless that is older than the current revision, and records a
    /// reply of the store in any case. Returns whether the content changed.
    pub fn apply_full_list(
        &mut self,
        records: Vec<SearcherRecord>,
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        self.record_store_reply(now);
        if revision < self.revision {
            return false;
        }
        let is_first = self.version.is_none();
        let is_changed = self.take_over_list(records, revision, now) || is_first;
        // The list does not tell what the entries were since the last read.
        let may_have_changed = is_changed || revision > self.revision;
        self.advance_revision(revision, may_have_changed);
        self.record_current(now);
        is_changed
    }

    /// Replaces the entries that the store has with a complete list that was read at
    /// `revision`, in the epoch that is known or a later one. Returns whether the
    /// content changed.
    fn take_over_list(
        &mut self,
        records: Vec<SearcherRecord>,
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        let is_restored = !self.revision.is_none() && revision.epoch() > self.revision.epoch();
        if is_restored {
            self.begin_epoch(&records, now);
        }
        self.replace_stored(records, now)
    }

    /// Prepares for the list of a store that has come back from an older copy: no
    /// entry is newer than those in it, what it lacks lapses, and entries that had been
    /// removed or replaced are withheld.
    fn begin_epoch(&mut self, records: &[SearcherRecord], now: Instant) {
        self.epoch_began = Some(now);
        self.withheld.extend(now);
        for record in records {
            let known = self.entries.get(&record.name);
            if let Some(known) = known.filter(|known| known.incarnation > record.incarnation) {
                let newer = self.withheld.usable(known).cloned();
                self.withheld.insert(record, newer, now);
                self.entries.remove(&record.name);
            } else if self.removed.is_leaving(&record.name, record.incarnation) {
                self.withheld.insert(record, None, now);
            }
        }
    }

    /// Replaces the entries that the store has. Returns whether the content
    /// changed.
    fn replace_stored(&mut self, records: Vec<SearcherRecord>, now: Instant) -> bool {
        let listed: HashSet<SearcherName> = records.iter().map(|r| r.name.clone()).collect();
        let mut is_changed = false;
        for name in self.names_not_in(&listed) {
            is_changed |= self.remove_or_lapse(&name, now);
        }
        for record in records {
            is_changed |= self.upsert(record);
        }
        is_changed
    }

    fn names_not_in(&self, listed: &HashSet<SearcherName>) -> Vec<SearcherName> {
        self.entries.keys().filter(|name| !listed.contains(*name)).cloned().collect()
    }

    /// Applies the changes up to `revision`, unless it is older than the
    /// current revision or of another epoch, and records a reply of the store in any
    /// case. Returns whether the content changed.
    pub fn apply_changes(
        &mut self,
        changes: Vec<Change>,
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        self.record_store_reply(now);
        if revision < self.revision || revision.epoch() != self.revision.epoch() {
            return false;
        }
        // An entry that was removed and written again is the same in the end.
        let has_effect = changes.iter().any(|change| self.has_effect(change));
        let is_changed = self.apply_each(changes, now);
        self.advance_revision(revision, has_effect || is_changed);
        self.record_current(now);
        is_changed
    }

    /// Returns whether the store's entries before a change were others than after
    /// it.
    fn has_effect(&self, change: &Change) -> bool {
        let known = self.entries.get(change.name()).filter(|r| r.state != SearcherState::Lapsed);
        match change {
            Change::Written(record) => known != Some(record),
            Change::Removed(_) | Change::Unusable(_) => known.is_some(),
            Change::StateChanged(_, state) => known.is_some_and(|known| known.state != *state),
        }
    }

    /// Applies the last change of each searcher. An earlier one may have been
    /// undone before the content that is already known. Returns whether the
    /// content changed.
    fn apply_each(&mut self, changes: Vec<Change>, now: Instant) -> bool {
        let mut seen = HashSet::new();
        let mut is_changed = false;
        for change in changes.into_iter().rev() {
            if !seen.insert(change.name().clone()) {
                continue;
            }
            is_changed |= match change {
                Change::Written(record) => {
                    self.withheld.release(&record.name);
                    self.upsert(record)
                }
                Change::Removed(name) => self.remove_or_lapse(&name, now),
                Change::StateChanged(name, state) => self.set_state(&name, state),
                Change::Unusable(name) => self.remove(&name),
            };
        }
        is_changed
    }

    /// Replaces the instances of the tier with those that were read at
    /// `revision`, unless newer ones are known. Returns whether they changed.
    pub fn set_instances(
        &mut self,
        mut instances: Vec<InstanceRecord>,
        revision: StoreRevision,
    ) -> bool {
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

    /// Removes lapsed entries if the grace period has ended, or if the store was
    /// not away after all. Returns whether the content changed.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        if self.is_in_grace_period(now) {
            return false;
        }
        let lapsed = self.entries.values().filter(|r| r.state == SearcherState::Lapsed);
        let names: Vec<SearcherName> = lapsed.map(|r| r.name.clone()).collect();
        names.iter().for_each(|name| {
            self.remove(name);
        });
        if !names.is_empty() {
            self.step += 1;
        }
        !names.is_empty()
    }

    fn is_in_grace_period(&self, now: Instant) -> bool {
        let back_since = self.contact.outage_end().max(self.epoch_began);
        back_since.is_some_and(|since| now < since + LAPSED_ENTRY_GRACE)
    }

    /// Returns the searchers that requests may be sent to: those of the content, but
    /// for entries that are withheld since the store came back from an older copy.
    #[must_use]
    pub fn usable_searchers(&self) -> Vec<SearcherRecord> {
        self.entries.values().filter_map(|entry| self.withheld.usable(entry)).cloned().collect()
    }

    /// Records that the entries are those that the store has now. Withheld searchers
    /// that it has kept for long enough are used again.
    fn record_current(&mut self, now: Instant) {
        let released = self.withheld.release_due(now);
        if !released.is_empty() {
            self.step += 1;
        }
        released.iter().for_each(|name| self.removed.forget(name));
    }

    /// Returns the content as a listing, for views and siblings.
    #[must_use]
    pub fn listing(&self) -> Arc<Listing> {
        Arc::new(Listing {
            version: self.version,
            step: self.step,
            instances_version: self.instances_version,
            searchers: self.entries.values().cloned().collect(),
            instances: self.instances.clone(),
        })
    }

    /// Raises the revision to one that the store has given. If the content has
    /// changed, raises the version to it too, or the step if another content
    /// already has that version.
    fn advance_revision(&mut self, revision: StoreRevision, is_changed: bool) {
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
        if known.is_some_and(|known| known.incarnation > record.incarnation) {
            return false;
        }
        let is_changed = known != Some(&record);
        self.withheld.release_older(&record);
        if !self.withheld.contains(&record) {
            self.removed.forget(&record.name);
        }
        self.entries.insert(record.name.clone(), record);
        is_changed
    }

    fn set_state(&mut self, name: &SearcherName, state: SearcherState) -> bool {
        let Some(record) = self.entries.get_mut(name) else { return false };
        std::mem::replace(&mut record.state, state) != state
    }

    /// Removes an entry. If the store has just recovered from an outage, what is in use
    /// under that name and live is kept as lapsed instead. Returns whether the content
    /// changed.
    fn remove_or_lapse(&mut self, name: &SearcherName, now: Instant) -> bool {
        let Some(entry) = self.entries.get(name) else { return false };
        let is_in_grace_period = self.is_in_grace_period(now);
        if is_in_grace_period && entry.state == SearcherState::Lapsed {
            // Its absence from another complete list or a repeated removal changes nothing.
            return false;
        }
        let used = self.withheld.usable(entry).filter(|_| is_in_grace_period);
        let live = used.filter(|used| used.state == SearcherState::Live).cloned();
        let is_changed = self.remove(name);
        if let Some(live) = live {
            self.removed.forget(name);
            let lapsed = SearcherRecord { state: SearcherState::Lapsed, ..live };
            self.entries.insert(name.clone(), lapsed);
        }
        is_changed
    }

    /// Removes an entry and remembers the searcher as removed. Returns whether
    /// there was one.
    fn remove(&mut self, name: &SearcherName) -> bool {
        let removed = self.entries.remove(name);
        let withheld = self.withheld.release(name);
        for record in removed.iter().chain(&withheld) {
            self.removed.record(record.name.clone(), record.incarnation);
        }
        removed.is_some()
    }
}
