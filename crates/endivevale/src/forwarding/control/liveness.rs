//! The entries of instances in the store: those of instances that are gone are
//! removed, and this instance's own is written again if it is missing.

use std::sync::Arc;

use endivevale_core::{layout::InstanceRecord, name::InstanceName};
use endivevale_sibling::state_sync;
use endivevale_store::registry::ServiceRegistry;
use futures::future::join_all;
use tokio::time::{Duration, Instant};

use super::ControlTask;
use crate::{
    forwarding::store_reads::{Report, register_instance, send_report},
    lifecycle::Lifecycle,
};

/// How long after it was written the own entry must be in the list of instances,
/// which may be seconds old.
const LISTED_WITHIN: Duration = Duration::from_secs(10);

/// The entry of this instance in the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct Registration {
    /// When it was known to be there.
    pub(super) at: Instant,
    /// The epoch of the store then.
    pub(super) epoch: u64,
}

impl<R: ServiceRegistry> ControlTask<R> {
    /// Writes the entry of this instance, in a task.
    pub(super) fn spawn_registration(&mut self) {
        self.registration = None;
        let (registry, report_tx) = (Arc::clone(&self.registry), self.report_tx.clone());
        tokio::spawn(register_instance(registry, self.own_record.clone(), report_tx));
    }

    /// Writes the entry of this instance again if it is missing: a sibling that
    /// could not reach this instance has removed it.
    pub(super) fn register_if_unlisted(&mut self) {
        let is_overdue = self.registration.is_some_and(|r| r.at.elapsed() >= LISTED_WITHIN);
        let instances = self.tracker.instances();
        let is_listed = instances.iter().any(|instance| instance.name == self.own_record.name);
        let is_leaving = matches!(self.lifecycle, Lifecycle::Leaving(_));
        if !is_overdue || instances.is_empty() || is_listed || is_leaving {
            return;
        }
        log::warn!(
            target: "platform",
            "The entry of this instance is missing from the store; writing it again."
        );
        self.spawn_registration();
    }

    /// Starts the planned stop, and tells the siblings at once, which then do not
    /// wait for this instance's reads.
    pub(super) async fn announce_leave(&mut self) {
        self.lifecycle.leave();
        let heartbeat = self.heartbeat(false);
        self.socket.send_to_all(&heartbeat).await;
    }

    /// Checks in a task whether some of the other instances can be reached, if this
    /// instance reads the store on behalf of all.
    pub(super) fn check_instances(&mut self) {
        if !self.schedule.is_reader() || self.is_check_running {
            return;
        }
        let own_name = &self.own_record.name;
        let instances = self.tracker.instances();
        let others: Vec<_> = instances.iter().filter(|i| i.name != *own_name).collect();
        let schedule = &self.schedule;
        let chosen = self.liveness.start_round(&others, |name| schedule.is_preceded_by(name));
        if chosen.is_empty() {
            return;
        }
        self.is_check_running = true;
        let report_tx = self.report_tx.clone();
        tokio::spawn(async move {
            let checks = chosen.into_iter().map(async |record: InstanceRecord| {
                let is_reached = state_sync::is_reachable(record.sibling).await;
                (record, is_reached)
            });
            send_report(&report_tx, Report::Checked(join_all(checks).await)).await;
        });
    }

    /// Applies the results of checks, and removes the entries of instances that are
    /// gone.
    pub(super) fn apply_checks(&mut self, results: &[(InstanceRecord, bool)]) {
        self.is_check_running = false;
        let now = Instant::now();
        for (record, is_reached) in results {
            self.liveness.record_check(&record.name, *is_reached, now);
        }
        for (record, _) in results {
            if self.liveness.is_gone(&record.name, now) {
                tokio::spawn(remove_entry(Arc::clone(&self.registry), record.clone()));
            }
        }
    }

    /// Returns the names of the instances that have a place in the order of reads.
    pub(super) fn names_in_order(&self) -> Vec<InstanceName> {
        let now = Instant::now();
        let names = self.tracker.instances().iter().map(|instance| &instance.name);
        names.filter(|name| self.liveness.has_place(name, now)).cloned().collect()
    }
}

/// Removes the entry of an instance that is gone. If the call fails, the next round
/// of checks tries again.
async fn remove_entry<R: ServiceRegistry>(registry: Arc<R>, record: InstanceRecord) {
    match registry.unregister(&record).await {
        Ok(()) => log::info!(
            target: "platform",
            "Instance {} is gone; its entry in the store is removed.",
            record.name
        ),
        Err(e) => log::warn!(
            target: "platform",
            "Removing the entry of instance {}, which is gone, failed: {e}.",
            record.name
        ),
    }
}
