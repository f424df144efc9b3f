//! Heartbeats that carry what this instance has read to its siblings.

use endivevale_core::{membership::Heartbeat, roster::Delta};
use endivevale_store::directory::Directory;

use super::ControlTask;
use crate::lifecycle::Lifecycle;

/// The number of heartbeats that carry the same changes, since a datagram may
/// be lost.
const DELTA_SENDS: u32 = 2;

impl<D: Directory> ControlTask<D> {
    /// Drops the pending changes, since a sibling has already announced the
    /// current listing to all.
    pub(super) fn clear_pending_delta(&mut self) {
        self.announced = self.roster.listing();
        self.pending_delta = (Delta::default(), 0);
    }

    /// Returns the changes for the next heartbeat; empty if they were sent
    /// often enough or the listing has not changed.
    fn next_delta(&mut self) -> Delta {
        if self.announced.version != self.roster.version() {
            let listing = self.roster.listing();
            self.pending_delta = (Delta::between(&self.announced, &listing), DELTA_SENDS);
            self.announced = listing;
        }
        if self.pending_delta.1 == 0 {
            return Delta::default();
        }
        self.pending_delta.1 -= 1;
        self.pending_delta.0.clone()
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let delta = self.next_delta();
        Heartbeat {
            sender: self.own_record.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            leaving: matches!(self.lifecycle, Lifecycle::Leaving(_)),
            config: self.sink.config.version(),
            listing: self.roster.version(),
            revision: self.roster.revision(),
            delta,
            hears: Vec::new(),
            departures: Vec::new(),
            load: Vec::new(),
        }
    }
}
