//! Handling of heartbeats, and of the reports of reads and pulls.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use endivevale_core::{
    distribution::membership::Heartbeat,
    distribution::store_contact::STORE_OUTAGE_THRESHOLD,
    distribution::{Announcement, StoreRevision},
};
use endivevale_sibling::state_sync::FetchedState;
use endivevale_store::{
    StoreError,
    registry::{RegistryError, ServiceRegistry},
};
use tokio::time::Instant;

use super::{ControlTask, liveness::Registration};
use crate::forwarding::store_reads::{PullReason, Report, SearcherUpdate, StoreRead};

impl<R: ServiceRegistry> ControlTask<R> {
    /// Applies the changes in a sibling's heartbeat. If the sibling is still
    /// ahead, pulls from it. If both have the same listing, postpones this
    /// instance's own read of the store, since the sibling has just read it.
    pub(super) fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, from: SocketAddr) {
        if heartbeat.sender == self.own_record.name {
            return;
        }
        let now = Instant::now();
        self.liveness.record_heartbeat(&heartbeat.sender, heartbeat.leaving, now);
        if self.tracker.apply_heartbeat(heartbeat, now) {
            self.clear_pending_delta();
        }
        self.publish_store_contact();
        self.merge_crashes(&heartbeat.suspects);
        self.update_view("a sibling's heartbeat");
        let announcement = Announcement {
            config: heartbeat.config_version,
            listing: heartbeat.listing,
            store_revision: heartbeat.store_revision,
            source: from,
        };
        if announcement.is_newer_than(self.known_versions()) {
            self.schedule.record_newer_state(now);
            self.pull_plan.announce(announcement);
            return;
        }
        if heartbeat.listing.searchers == self.tracker.version() {
            self.record_sibling_read(heartbeat, now);
        }
    }

    /// Records the read of the store that a heartbeat tells of. One that is sent for
    /// another reason may tell of a read of another instance.
    fn record_sibling_read(&mut self, heartbeat: &Heartbeat, now: Instant) {
        if heartbeat.after_read {
            return self.schedule.record_read_by(&heartbeat.sender, now);
        }
        let age = heartbeat.store_contact.last_reply_ms.map(u64::from).map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| now.checked_sub(age)) {
            self.schedule.record_read(at);
        }
    }

    pub(super) async fn handle_report(&mut self, report: Report) {
        match report {
            Report::Read(Ok(read)) => self.apply_read(read).await,
            Report::Read(Err(e)) => self.handle_read_failure(&e),
            Report::Instances(Ok(list)) => {
                self.tracker.set_instances(list.records, list.revision);
                self.update_view("the list of instances in the store");
            }
            Report::Instances(Err(e)) => {
                log::debug!(
                    target: "platform",
                    "Reading the instances from the store failed: {e}."
                );
            }
            Report::Checked(results) => self.apply_checks(&results),
            Report::Registered(epoch) => {
                self.registration = Some(Registration { at: Instant::now(), epoch });
                self.restore_registration_if_lost();
            }
            Report::UsableConfig(config) => self.apply_usable_config(&config),
            Report::Pulled(fetched, reason) => {
                self.apply_pulled(fetched, &reason);
                self.record_pull_end(reason);
            }
            Report::PullFailed(reason, is_unreachable) => {
                self.record_pull_end(reason);
                self.handle_pull_failure(is_unreachable);
            }
        }
    }

    async fn apply_read(&mut self, read: StoreRead) {
        let now = Instant::now();
        self.is_read_running = false;
        if !std::mem::replace(&mut self.is_store_up, true) {
            log::info!(target: "platform", "The store answers again after failed reads.");
        }
        if let Some(config) = &read.config.config {
            self.apply_stored_config(config);
        }
        self.config_revision = self.config_revision.max(read.config.revision);
        match read.searchers {
            SearcherUpdate::List(list) => {
                self.tracker.apply_full_list(list.records, list.revision, now);
                self.needs_full_list = false;
            }
            SearcherUpdate::Changes(update) => {
                self.tracker.apply_changes(update.changes, update.revision, now);
            }
        }
        self.tracker.remove_expired(now);
        self.publish_store_contact();
        if self.tracker.should_compare(now) {
            self.compare_with_sibling();
        }
        if self.tracker.instances().is_empty() {
            self.spawn_instances_read();
        }
        self.schedule.record_success(now);
        self.update_view("the store");
        let heartbeat = self.heartbeat(true);
        self.socket.send_to_all(&heartbeat).await;
    }

    fn handle_read_failure(&mut self, e: &RegistryError) {
        self.is_read_running = false;
        let now = Instant::now();
        let is_history_lost =
            matches!(e, RegistryError::RevisionCompacted | RegistryError::EpochChanged { .. });
        if is_history_lost {
            log::info!(target: "platform", "The next read of the store fetches everything: {e}.");
            self.needs_full_list = true;
            self.config_revision = StoreRevision::NONE;
            return;
        }
        if std::mem::replace(&mut self.is_store_up, false) {
            log::warn!(
                target: "platform",
                "Reading the store failed; the last known state stays in use: {e}."
            );
        }
        // A call that was not made says nothing of the store.
        if *e != RegistryError::Store(StoreError::BudgetExhausted) {
            self.tracker.record_store_failure(now);
            self.publish_store_contact();
        }
        self.schedule.record_failure(now);
    }

    /// Handles a failed pull. An instance without a listing reads the store by
    /// itself once as many pulls have failed as there are other seeds.
    fn handle_pull_failure(&mut self, is_unreachable: bool) {
        if !is_unreachable || !self.tracker.version().is_none() {
            return;
        }
        self.failed_seed_pulls += 1;
        if self.failed_seed_pulls == self.other_seeds().len() {
            self.schedule.make_due(Instant::now());
        }
    }

    /// Publishes the contact with the store for replies to siblings, and logs
    /// when an outage is recognised, or turns out to have been none.
    fn publish_store_contact(&mut self) {
        self.store_contact.store(Arc::new(self.tracker.contact().clone()));
        let outage_end = self.tracker.contact().outage_end();
        let is_new = match (self.logged_outage_end, outage_end) {
            (Some(logged), Some(end)) => end > logged + STORE_OUTAGE_THRESHOLD,
            (logged, end) => logged.is_some() != end.is_some(),
        };
        if is_new {
            self.logged_outage_end = outage_end;
            log_outage(outage_end);
        }
    }

    fn record_pull_end(&mut self, reason: PullReason) {
        match reason {
            PullReason::Seed => self.is_seed_pull_running = false,
            PullReason::Comparison => {}
            PullReason::Announced(pull) => {
                self.pull_plan.record_end(pull, self.known_versions(), Instant::now());
            }
        }
    }

    fn apply_pulled(&mut self, fetched: FetchedState, reason: &PullReason) {
        let now = Instant::now();
        if let Some((version, text)) = fetched.config {
            self.sink.apply_config(version, &text, "a sibling");
        }
        self.merge_crashes(&fetched.suspects);
        let (listing, contact) = (fetched.listing.as_ref(), &fetched.store_contact);
        if self.tracker.apply_sibling_state(listing, contact, now) {
            self.clear_pending_delta();
            self.needs_full_list = false;
        }
        // A pull from a seed is no sign that a sibling has just read the store.
        let announced = reason.announcement();
        if let Some(announced) = announced {
            let (version, revision) = (announced.listing.searchers, announced.store_revision);
            self.tracker.record_sibling_revision(version, revision);
        }
        self.publish_store_contact();
        if announced.is_some_and(|announced| !announced.is_newer_than(self.known_versions())) {
            self.schedule.record_read(now);
        }
        self.update_view("a sibling");
    }
}

fn log_outage(outage_end: Option<Instant>) {
    match outage_end {
        Some(end) => log::info!(
            target: "platform",
            "The store was away until {} ms ago; entries that it lost meanwhile are kept for a while.",
            end.elapsed().as_millis()
        ),
        None => log::info!(
            target: "platform",
            "No outage of the store is known: siblings had contact in the last one, or it is long past."
        ),
    }
}
