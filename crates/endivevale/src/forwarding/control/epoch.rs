//! What an instance does when the store has come back from an older copy.
//!
//! The searchers and the configuration are read again as a whole. What instances have
//! written there may be lost and is written again: the entry of each instance, and the
//! configuration that is kept while the newest one cannot be used.

use std::{sync::Arc, time::Duration};

use endivevale_core::intent::ConfigVersion;
use endivevale_store::registry::{Freshness, ServiceRegistry};
use tokio::time::Instant;

use super::ControlTask;
use crate::forwarding::store_reads::restore_registration;

/// How old the copy may be from which a store comes back. An instance looks for its
/// own entry at once if that is younger, and finds out from the list of the instances
/// otherwise.
const MAX_COPY_AGE: Duration = Duration::from_secs(60);

/// The time in which instances write lost entries again.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// How old a read may be that does not ask for the current state.
const MAX_STALENESS: Duration = Duration::from_secs(10);

/// The epoch of the store that an instance follows.
#[derive(Debug, Default)]
pub(super) struct FollowedEpoch {
    /// `None` before the first read.
    number: Option<u64>,
    /// When the instance first knew of an epoch other than the first one.
    began: Option<Instant>,
}

impl FollowedEpoch {
    /// Records the epoch of the last read. Returns the one before if it has changed.
    fn record(&mut self, number: u64) -> Option<u64> {
        let previous = self.number.replace(number).filter(|previous| *previous != number);
        if previous.is_some() {
            self.began = Some(Instant::now());
        }
        previous
    }

    fn began_within(&self, time: Duration) -> bool {
        self.began.is_some_and(|began| began.elapsed() < time)
    }

    /// Returns whether entries that the store has lost may not be written again yet.
    pub(super) fn is_settling(&self) -> bool {
        self.began_within(SETTLING_TIME)
    }

    /// Returns how old a list of the instances may be. One that is seconds old may
    /// show the store as it was before, under numbers that are given out again.
    pub(super) fn instances_freshness(&self) -> Freshness {
        match self.began_within(MAX_STALENESS) {
            true => Freshness::Current,
            false => Freshness::Stale,
        }
    }
}

impl<R: ServiceRegistry> ControlTask<R> {
    /// Reacts to a new epoch of the store. `source` names where it was learnt of.
    pub(super) fn follow_epoch(&mut self, source: &str) {
        let revision = self.tracker.revision();
        let Some(previous) = self.epoch.record(revision.epoch()) else { return };
        log::warn!(
            target: "platform",
            "The store has come back from an older copy: epoch={} previous={previous} revision={revision} config={} source={source:?}.",
            revision.epoch(),
            self.sink.config.version(),
        );
        self.restore_registration_if_lost();
        self.kept_config = ConfigVersion::NONE;
        if self.sink.config.refused().is_some() {
            self.keep_or_read_usable_config();
        }
    }

    /// Writes the entry of this instance again, in a task, if it may have been lost
    /// with an earlier epoch and the store does not have it.
    pub(super) fn restore_registration_if_lost(&mut self) {
        let epoch = self.tracker.revision().epoch();
        let may_be_lost =
            |r: &super::Registration| r.epoch < epoch && r.at.elapsed() < MAX_COPY_AGE;
        if !self.registration.as_ref().is_some_and(may_be_lost) {
            return;
        }
        self.registration = None;
        tokio::spawn(restore_registration(
            Arc::clone(&self.registry),
            self.own_record.clone(),
            epoch,
            self.report_tx.clone(),
        ));
    }
}
