//! The control task: publishes views built from the entries of the store and
//! the messages of siblings.
//!
//! It is the only writer of the views, the listing and the life cycle of the
//! instance, so none of them needs a lock. Calls to the store and exchanges
//! with siblings run in tasks of their own and send a report back, so that a
//! slow store never blocks the control task.

use std::sync::{Arc, atomic::AtomicU32};

use endivevale_core::{
    distribution::listing_delta::ListingDelta,
    distribution::listing_tracker::ListingTracker,
    distribution::liveness::{CHECK_INTERVAL, InstanceLiveness},
    distribution::read_schedule::ReadSchedule,
    distribution::store_contact::StoreContactCell,
    distribution::{Announcement, PullPlan, StoreRevision},
    intent::ConfigVersion,
    layout::{InstanceRecord, Listing},
    lifecycle::{InstanceLifecycle, Starting},
    quarantine::{CrashReport, CrashTable, Quarantine},
    searcher::connection_share::InstanceCount,
    view::{ViewBuilder, ViewCell},
};
use endivevale_searcher::IdleConnections;
use endivevale_sibling::{heartbeat::HeartbeatSocket, transfer_counters::TransferCounters};
use endivevale_store::registry::ServiceRegistry;
use tokio::{
    sync::{Notify, mpsc},
    time::{Duration, Instant, interval, sleep_until},
};

use self::{crashes::CRASH_NEWS_INTERVAL, epoch::FollowedEpoch, liveness::Registration};
use super::store_reads::Report;
use crate::{feeds::FeedSink, lifecycle::Lifecycle, reload::CurrentSettings};

mod announce;
mod crashes;
mod epoch;
mod fetch;
mod handle;
mod liveness;
mod publish;
mod refused;

/// The time between two reads of the instances of the tier.
const INSTANCES_READ_INTERVAL: Duration = Duration::from_secs(4);

/// The time between two pulls from seeds while there is no configuration.
const SEED_PULL_INTERVAL: Duration = Duration::from_millis(50);

/// The capacity of the queue of reports to the control task.
const REPORT_QUEUE_LEN: usize = 64;

/// The control task and the state that it owns.
pub(crate) struct ControlTask<R> {
    own_record: InstanceRecord,
    incarnation: u64,
    sequence: u64,
    /// The current settings. They name the seeds: siblings to pull from while
    /// this instance has no configuration.
    settings: CurrentSettings,
    registry: Arc<R>,
    tracker: ListingTracker,
    /// The tracker's contact with the store, for replies to siblings.
    store_contact: Arc<StoreContactCell>,
    schedule: ReadSchedule,
    /// The revision of the store up to which configurations were read;
    /// [`StoreRevision::NONE`] before the first read.
    config_revision: StoreRevision,
    /// The epoch of the store that this instance follows.
    epoch: FollowedEpoch,
    /// Whether the next read must fetch the full list of searchers, because
    /// none was read yet or the changes since the last known revision are no
    /// longer available.
    needs_full_list: bool,
    sink: FeedSink,
    view_builder: ViewBuilder,
    instance_count: InstanceCount,
    views: Arc<ViewCell>,
    idle_connections: Arc<IdleConnections>,
    /// The number of instances of the tier, this one included, for the admin
    /// status.
    instances_seen: Arc<AtomicU32>,
    lifecycle: Lifecycle,
    socket: Arc<HeartbeatSocket>,
    transfer_counters: Arc<TransferCounters>,
    report_tx: mpsc::Sender<Report>,
    report_rx: mpsc::Receiver<Report>,
    is_read_running: bool,
    pull_plan: PullPlan,
    /// What siblings that pull from this instance were told of.
    announcement_rx: mpsc::Receiver<Announcement>,
    is_seed_pull_running: bool,
    /// Whether the last read of the store succeeded.
    is_store_up: bool,
    /// The number of pulls from seeds that failed because the seed did not
    /// listen or did not answer in time.
    failed_seed_pulls: usize,
    /// When the instances were last read because an unlisted instance made
    /// contact.
    unlisted_read_at: Option<Instant>,
    /// The listing that was last announced to siblings, by this instance or by
    /// another.
    announced: Arc<Listing>,
    /// The changes that led to `announced`, and the number of heartbeats that
    /// still carry them.
    pending_delta: (ListingDelta, u32),
    /// The inputs of the view published last.
    last_inputs: Option<ViewInputs>,
    /// The end of the outage of the store that was logged last.
    logged_outage_end: Option<Instant>,
    /// The configuration that was last kept in the store for instances that start
    /// while the newest one cannot be used.
    kept_config: ConfigVersion,
    /// Whether a task reads the configuration that was kept.
    is_usable_read_running: bool,
    /// The requests that crash searchers.
    crashes: CrashTable,
    quarantine: Arc<Quarantine>,
    /// What requests have shown of that.
    crash_rx: mpsc::Receiver<CrashReport>,
    /// The number of heartbeats that are still to be sent for the last change of
    /// `crashes`.
    crash_news: u32,
    liveness: InstanceLiveness,
    /// Whether a task checks which instances can be reached.
    is_check_running: bool,
    /// The entry of this instance in the store; `None` while a task writes it.
    registration: Option<Registration>,
}

/// The versions and the number of instances that a view was built from; a new
/// view is built only when one of them changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ViewInputs {
    config: ConfigVersion,
    /// The version and the step of the listing.
    listing: (StoreRevision, u64),
    instances: u32,
}

/// The arguments of [`ControlTask::new`].
pub(crate) struct ControlTaskParams<R> {
    pub(crate) own_record: InstanceRecord,
    pub(crate) settings: CurrentSettings,
    pub(crate) registry: Arc<R>,
    pub(crate) sink: FeedSink,
    pub(crate) views: Arc<ViewCell>,
    pub(crate) idle_connections: Arc<IdleConnections>,
    pub(crate) instances_seen: Arc<AtomicU32>,
    pub(crate) store_contact: Arc<StoreContactCell>,
    pub(crate) lifecycle: InstanceLifecycle<Starting>,
    pub(crate) socket: Arc<HeartbeatSocket>,
    pub(crate) transfer_counters: Arc<TransferCounters>,
    pub(crate) announcement_rx: mpsc::Receiver<Announcement>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) crash_rx: mpsc::Receiver<CrashReport>,
}

impl<R: ServiceRegistry> ControlTask<R> {
    pub(crate) fn new(params: ControlTaskParams<R>) -> Self {
        let (report_tx, report_rx) = mpsc::channel(REPORT_QUEUE_LEN);
        let now = Instant::now();
        Self {
            schedule: ReadSchedule::new(params.own_record.name.clone(), now),
            incarnation: crate::millis_since_epoch(),
            own_record: params.own_record,
            sequence: 0,
            settings: params.settings,
            registry: params.registry,
            tracker: ListingTracker::new(),
            store_contact: params.store_contact,
            config_revision: StoreRevision::NONE,
            epoch: FollowedEpoch::default(),
            needs_full_list: true,
            sink: params.sink,
            view_builder: ViewBuilder::new(),
            instance_count: InstanceCount::new(1),
            views: params.views,
            idle_connections: params.idle_connections,
            instances_seen: params.instances_seen,
            lifecycle: Lifecycle::Starting(params.lifecycle),
            socket: params.socket,
            transfer_counters: params.transfer_counters,
            report_tx,
            report_rx,
            is_read_running: false,
            pull_plan: PullPlan::new(),
            announcement_rx: params.announcement_rx,
            is_seed_pull_running: false,
            is_store_up: true,
            failed_seed_pulls: 0,
            unlisted_read_at: None,
            announced: Arc::default(),
            pending_delta: (ListingDelta::default(), 0),
            last_inputs: None,
            logged_outage_end: None,
            kept_config: ConfigVersion::NONE,
            is_usable_read_running: false,
            crashes: CrashTable::default(),
            quarantine: params.quarantine,
            crash_rx: params.crash_rx,
            crash_news: 0,
            liveness: InstanceLiveness::default(),
            is_check_running: false,
            registration: None,
        }
    }

    /// Runs until the process ends. A notification of `leave` starts the
    /// planned stop.
    pub(crate) async fn run(mut self, leave: Arc<Notify>) {
        self.spawn_registration();
        self.schedule_first_read();
        let socket = Arc::clone(&self.socket);
        let siblings = Arc::clone(socket.sibling_addrs());
        let mut instances_interval = interval(INSTANCES_READ_INTERVAL);
        let mut seeds_interval = interval(SEED_PULL_INTERVAL);
        let mut check_interval = interval(CHECK_INTERVAL);
        let mut crash_news_interval = interval(CRASH_NEWS_INTERVAL);
        loop {
            let due = self.schedule.due();
            let is_unconfigured = self.views.load().config().is_none();
            self.pull_if_due();
            let pull_due = self.pull_plan.due();
            tokio::select! {
                (heartbeat, from) = socket.receive_from() => self.handle_heartbeat(&heartbeat, from),
                Some(report) = self.report_rx.recv() => self.handle_report(report).await,
                () = leave.notified() => self.announce_leave().await,
                () = sleep_until(due), if !self.is_read_running => self.spawn_store_read(),
                _ = instances_interval.tick() => self.read_instances_if_reader(due),
                _ = check_interval.tick() => self.check_instances(),
                Some(report) = self.crash_rx.recv() => self.apply_crash_report(report).await,
                _ = crash_news_interval.tick() => self.send_crash_news().await,
                () = siblings.wait_for_unlisted() => self.read_instances_for_unlisted(),
                Some(announcement) = self.announcement_rx.recv() => {
                    self.pull_plan.announce(announcement);
                }
                () = sleep_until_due(pull_due) => {}
                _ = seeds_interval.tick(), if is_unconfigured => self.pull_from_seed(),
            }
        }
    }
}

/// Waits until the time, or for ever if there is none.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}
