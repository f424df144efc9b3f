//! Heartbeats, which send the changes of the listing that this instance has
//! read to its siblings.

use endivevale_core::{
    distribution::listing_delta::ListingDelta, distribution::membership::Heartbeat,
};
use endivevale_store::registry::ServiceRegistry;
use tokio::time::Instant;

use super::ControlTask;
use crate::lifecycle::Lifecycle;

/// The number of heartbeats that carry the same changes, since a datagram may
/// be lost.
const DELTA_SENDS: u32 = 2;

impl<R: ServiceRegistry> ControlTask<R> {
    /// Drops the pending changes, since a sibling has already announced the
    /// current listing to all.
    pub(super) fn clear_pending_delta(&mut self) {
        self.announced = self.tracker.listing();
        self.pending_delta = (ListingDelta::default(), 0);
    }

    /// Returns the changes for the next heartbeat; empty if the listing has not
    /// changed or [`DELTA_SENDS`] heartbeats have carried them already.
    fn next_delta(&mut self) -> ListingDelta {
        if self.announced.version != self.tracker.version() {
            let listing = self.tracker.listing();
            self.pending_delta = (ListingDelta::between(&self.announced, &listing), DELTA_SENDS);
            self.announced = listing;
        }
        if self.pending_delta.1 == 0 {
            return ListingDelta::default();
        }
        self.pending_delta.1 -= 1;
        self.pending_delta.0.clone()
    }

    /// Returns the next heartbeat; `after_read` if this instance has just read the
    /// store.
    pub(super) fn heartbeat(&mut self, after_read: bool) -> Heartbeat {
        self.sequence += 1;
        let delta = self.next_delta();
        Heartbeat {
            sender: self.own_record.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            leaving: matches!(self.lifecycle, Lifecycle::Leaving(_)),
            config_version: self.sink.config.version(),
            listing: self.tracker.versions(),
            store_revision: self.tracker.revision(),
            after_read,
            store_contact: self.tracker.contact().report(Instant::now()),
            delta,
            suspects: self.crashes.next_reports(Instant::now()),
            receives_from: Vec::new(),
            leaving_searchers: Vec::new(),
            in_flight: Vec::new(),
        }
    }
}
