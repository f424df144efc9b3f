//! What a tracker takes over from siblings.

use tokio::time::Instant;

use super::{LAPSED_ENTRY_GRACE, ListingTracker};
use crate::{
    distribution::listing_delta::ListingDelta,
    distribution::membership::Heartbeat,
    distribution::store_contact::ContactReport,
    distribution::{ContentDigest, StoreRevision},
    layout::{Listing, SearcherRecord, SearcherState},
};

impl ListingTracker {
    /// Returns whether this instance should compare its listing with that of a
    /// sibling: the store has just replied after a time without replies, and no
    /// sibling has told what it knows of that time.
    #[must_use]
    pub fn should_compare(&self, now: Instant) -> bool {
        let is_recent = |end| now < end + LAPSED_ENTRY_GRACE;
        self.contact.is_unconfirmed() && self.contact.last_gap_end().is_some_and(is_recent)
    }

    /// Applies what a sibling's heartbeat says of the store and the listing.
    /// Returns whether its changes of the searchers were applied.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> bool {
        self.contact.record_report(&heartbeat.store_contact, now);
        let (version, revision) = (heartbeat.listing.searchers, heartbeat.store_revision);
        let is_applied = self.apply_sibling_delta(&heartbeat.delta, version, revision, now);
        self.record_sibling_revision(version, revision);
        // What the sibling knows beyond that may have lapsed entries in it.
        if version == self.version {
            self.record_current(now);
            self.remove_expired(now);
        }
        is_applied
    }

    /// Applies the state that was fetched from a sibling: what it says of the
    /// store, and its listing if that was fetched. Returns whether the listing
    /// replaced the store's entries.
    pub fn apply_sibling_state(
        &mut self,
        listing: Option<&Listing>,
        contact: &ContactReport,
        now: Instant,
    ) -> bool {
        self.contact.record_report(contact, now);
        // Searchers cannot renew their entries while the store is away again, so
        // the grace period does not go on then.
        let heard_at = self.contact.last_reply().map_or(now, |at| at.min(now));
        let is_applied =
            listing.is_some_and(|listing| self.apply_sibling_listing(listing, heard_at));
        self.remove_expired(heard_at);
        is_applied
    }

    /// Applies a sibling's listing: the instances if they are newer, the entries
    /// that the store had if the listing has changes after the current revision,
    /// and, in the grace period after an outage, the searchers that this tracker
    /// has not known. Returns whether the store's entries were applied.
    fn apply_sibling_listing(&mut self, listing: &Listing, now: Instant) -> bool {
        self.take_over_instances(listing);
        let is_newer = listing.version > self.revision;
        if is_newer {
            let records = listing.stored_searchers().cloned().collect();
            self.take_over_list(records, listing.version, now);
            self.advance_revision(listing.version, true);
        } else {
            self.record_sibling_revision(listing.version, listing.version);
        }
        self.add_lapsed(listing, now);
        is_newer
    }

    /// Takes over the instances of a sibling's listing if they are newer. The
    /// version is taken over also if they are the same: the sibling has read the
    /// same list later, and nothing is left to fetch.
    fn take_over_instances(&mut self, listing: &Listing) {
        if listing.instances_version <= self.instances_version {
            return;
        }
        self.instances_version = listing.instances_version;
        if self.instances != listing.instances {
            self.instances.clone_from(&listing.instances);
            self.step += 1;
        }
    }

    /// Adds the searchers of a sibling's listing that this tracker has not known
    /// as lapsed, if the store has just recovered from an outage.
    fn add_lapsed(&mut self, listing: &Listing, now: Instant) {
        if !self.is_in_grace_period(now) {
            return;
        }
        for record in listing.searchers.iter().filter(|r| r.state != SearcherState::Leaving) {
            let is_known = self.entries.contains_key(&record.name)
                || self.removed.is_leaving(&record.name, record.incarnation);
            if !is_known {
                let record = SearcherRecord { state: SearcherState::Lapsed, ..record.clone() };
                self.entries.insert(record.name.clone(), record);
                self.step += 1;
            }
        }
    }

    /// Applies a delta from a sibling that leads from the version and the
    /// entries of this tracker to `version`, with which the sibling is current up
    /// to `revision`; ignores a delta from any other version or other entries.
    /// Returns whether the delta was applied.
    fn apply_sibling_delta(
        &mut self,
        delta: &ListingDelta,
        version: StoreRevision,
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        let is_next = !delta.base_version.is_none() && delta.base_version == self.version;
        let is_same_epoch = version.epoch() == self.version.epoch();
        if !is_next || !is_same_epoch || version <= self.revision {
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
        self.apply_each(delta.changes.clone(), now);
        self.advance_revision(version, true);
        self.record_sibling_revision(version, revision);
        true
    }

    /// Returns the digest of the entries that the store has.
    fn digest(&self) -> ContentDigest {
        ContentDigest::of_list(self.entries.values().filter(|r| r.state != SearcherState::Lapsed))
    }

    /// Records that a sibling's listing of this version is current up to
    /// `revision`.
    ///
    /// A version up to the revision of this tracker stands for a change that has
    /// been applied here too, so the version is raised to it. With the same
    /// version, the content here is also current up to the sibling's revision.
    pub fn record_sibling_revision(&mut self, version: StoreRevision, revision: StoreRevision) {
        if version > self.version && version <= self.revision {
            self.version = version;
            self.step = 0;
        }
        if version == self.version {
            self.revision = self.revision.max(revision);
        }
    }
}
