//! Reads of the store, and pulls, which fetch the configuration and the listing
//! from a sibling. Each runs in a task of its own.

use std::{net::SocketAddr, sync::Arc};

use endivevale_core::{
    distribution::read_schedule::READ_INTERVAL,
    distribution::{KnownVersions, ListingVersions, StoreRevision},
    intent::ConfigVersion,
};
use endivevale_sibling::state_sync::{self, ExchangeError, FetchedState, KnownState};
use endivevale_store::registry::ServiceRegistry;
use rand::seq::{IndexedRandom, IteratorRandom};
use tokio::time::{Duration, Instant};

use super::ControlTask;
use crate::forwarding::store_reads::{PullReason, Report, read_store, send_report};

/// The minimum time between two reads of the instances that are started because
/// an unlisted instance made contact.
const UNLISTED_READ_INTERVAL: Duration = Duration::from_millis(300);

impl<R: ServiceRegistry> ControlTask<R> {
    /// Starts a read of the store. The result reaches the siblings by
    /// heartbeat.
    pub(super) fn spawn_store_read(&mut self) {
        self.is_read_running = true;
        log::debug!(
            target: "platform",
            "Reading the store; the last known revision is {}.",
            self.tracker.revision(),
        );
        let registry = Arc::clone(&self.registry);
        let (config_revision, searchers_revision) = (self.config_revision, self.tracker.revision());
        let reads_full_list = self.needs_full_list || searchers_revision.is_none();
        let report_tx = self.report_tx.clone();
        tokio::spawn(async move {
            let read =
                read_store(&*registry, config_revision, searchers_revision, reads_full_list).await;
            send_report(&report_tx, Report::Read(read)).await;
        });
    }

    /// Reads the instances from the store, since an instance that is not
    /// listed has contacted this one. Does nothing if such a read was started
    /// less than [`UNLISTED_READ_INTERVAL`] ago.
    pub(super) fn read_instances_for_unlisted(&mut self) {
        let now = Instant::now();
        if self.unlisted_read_at.is_none_or(|at| now.duration_since(at) >= UNLISTED_READ_INTERVAL) {
            self.unlisted_read_at = Some(now);
            self.spawn_instances_read();
        }
    }

    /// Reads the instances from the store if this instance has a listing and its
    /// next read of the store is due within [`READ_INTERVAL`]. Instances
    /// that read only if their predecessors fail usually have a later due time. After
    /// the store has come back from an older copy, waits until others have written
    /// their lost entries again.
    pub(super) fn read_instances_if_reader(&self, due: Instant) {
        let is_reader = due <= Instant::now() + READ_INTERVAL;
        if !is_reader || self.tracker.version().is_none() || self.epoch.is_settling() {
            return;
        }
        self.spawn_instances_read();
    }

    pub(super) fn spawn_instances_read(&self) {
        let (registry, report_tx) = (Arc::clone(&self.registry), self.report_tx.clone());
        let freshness = self.epoch.instances_freshness();
        tokio::spawn(async move {
            let instances = registry.list_instances(freshness).await;
            send_report(&report_tx, Report::Instances(instances)).await;
        });
    }

    /// Pulls from the next seed; another one each time, since one may be down.
    pub(super) fn pull_from_seed(&mut self) {
        let seeds = self.other_seeds();
        if seeds.is_empty() || std::mem::replace(&mut self.is_seed_pull_running, true) {
            return;
        }
        self.sequence += 1;
        let addr = seeds[self.sequence as usize % seeds.len()];
        self.spawn_pull(addr, PullReason::Seed);
    }

    /// Pulls the whole listing of a sibling, since the store has replied after a
    /// time without replies.
    pub(super) fn compare_with_sibling(&mut self) {
        let siblings = self.tracker.instances().iter().map(|instance| instance.sibling);
        let others = siblings.filter(|addr| *addr != self.own_record.sibling);
        let chosen = others.choose(&mut rand::rng());
        let seeds = self.other_seeds();
        let Some(addr) = chosen.or_else(|| seeds.choose(&mut rand::rng()).copied()) else { return };
        self.spawn_pull(addr, PullReason::Comparison);
    }

    /// Returns the seeds without the address of this instance.
    pub(super) fn other_seeds(&self) -> Vec<SocketAddr> {
        let mut seeds = self.settings.borrow().seeds.clone();
        seeds.retain(|addr| *addr != self.own_record.sibling);
        seeds
    }

    /// Schedules an immediate read of the store if this instance is a seed
    /// itself, since its siblings wait for it, or if there are no seeds.
    pub(super) fn schedule_first_read(&mut self) {
        let seeds = self.settings.borrow().seeds.clone();
        if seeds.is_empty() || seeds.contains(&self.own_record.sibling) {
            self.schedule.make_due(Instant::now());
        }
    }

    /// Starts the pull that is due, if any. An instance that stays behind
    /// without progress reads the store instead.
    pub(super) fn pull_if_due(&mut self) {
        let now = Instant::now();
        if let Some(pull) = self.pull_plan.start_pull(self.known_versions(), now) {
            self.spawn_pull(pull.source(), PullReason::Announced(pull));
        }
        if self.pull_plan.is_stalled(now) && self.is_store_up && !self.is_read_running {
            log::info!(
                target: "sibling",
                "No sibling has sent the announced state in time; reading the store."
            );
            self.pull_plan.record_store_read(now);
            self.spawn_store_read();
        }
    }

    pub(super) fn known_versions(&self) -> KnownVersions {
        KnownVersions { config: self.sink.config.version(), listing: self.tracker.versions() }
    }

    fn spawn_pull(&self, addr: SocketAddr, reason: PullReason) {
        let known = KnownState {
            config: self.sink.config.current(),
            listing: match reason {
                PullReason::Comparison => ListingVersions::NONE,
                _ => self.tracker.versions(),
            },
            announced: reason.announcement(),
        };
        let (report_tx, counters) = (self.report_tx.clone(), Arc::clone(&self.transfer_counters));
        tokio::spawn(async move {
            let started = Instant::now();
            let fetched = state_sync::fetch_state(addr, &known, &counters).await;
            log_pull(addr, known.config_version(), started.elapsed(), &fetched);
            let report = match fetched {
                Ok(fetched) => Report::Pulled(fetched, reason),
                Err(e) => Report::PullFailed(reason, e.is_unreachable()),
            };
            send_report(&report_tx, report).await;
        });
    }
}

/// Logs what a pull fetched or why it failed, and how long it took. A pull that
/// fetched nothing is logged at debug level only, since a starting instance
/// repeats it.
fn log_pull(
    addr: SocketAddr,
    config: ConfigVersion,
    took: Duration,
    fetched: &Result<FetchedState, ExchangeError>,
) {
    let ms = took.as_millis();
    match fetched {
        Ok(fetched) if fetched.is_empty() => log::debug!(
            target: "sibling",
            "Pull from sibling {addr} found nothing newer: config={config} ms={ms}."
        ),
        Ok(fetched) => log::info!(
            target: "sibling",
            "Pull from sibling {addr} succeeded: config={config} new_config={} new_listing={} reply_bytes={} ms={ms}.",
            fetched.config.as_ref().map_or(ConfigVersion::NONE, |(version, _)| *version),
            fetched.listing.as_ref().map_or(StoreRevision::NONE, |listing| listing.version),
            fetched.reply_bytes,
        ),
        Err(e) => log::info!(
            target: "sibling",
            "Pull from sibling {addr} failed: config={config} ms={ms}: {e}."
        ),
    }
}
