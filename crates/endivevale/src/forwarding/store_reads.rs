//! Reads of the store, in tasks that report to the control task.

use std::sync::Arc;

use endivevale_core::{
    distribution::{Announcement, Pull, StoreRevision},
    layout::InstanceRecord,
};
use endivevale_sibling::state_sync::FetchedState;
use endivevale_store::registry::{
    ConfigReadResult, InstanceList, RegistryError, SearcherChanges, SearcherList, ServiceRegistry,
    StoredConfig,
};
use tokio::{
    sync::mpsc,
    time::{Duration, sleep},
};

/// The pause between two attempts to register this instance.
const REGISTER_RETRY_PAUSE: Duration = Duration::from_millis(700);

/// The timeout of a watch that is to return existing changes without waiting for
/// new ones.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// A report of a task to the control task.
pub(super) enum Report {
    /// The result of a read of the store.
    Read(Result<StoreRead, RegistryError>),
    /// The result of a read of the instances.
    Instances(Result<InstanceList, RegistryError>),
    /// Which instances could be reached.
    Checked(Vec<(InstanceRecord, bool)>),
    /// The entry of this instance is in the store, in this epoch.
    Registered(u64),
    /// The last configuration that instances could use.
    UsableConfig(StoredConfig),
    /// The newer configuration and listing of a sibling.
    Pulled(FetchedState, PullReason),
    /// A pull failed; `true` if nothing listened at the address, or no reply
    /// came in time.
    PullFailed(PullReason, bool),
}

/// Why a pull was started.
#[derive(Debug)]
pub(super) enum PullReason {
    /// This instance has no configuration and asks a seed, of which it does not
    /// know what it has.
    Seed,
    /// The store has replied after a time without replies. A sibling knows
    /// whether it replied to others meanwhile, and which searchers it had.
    Comparison,
    /// A sibling announced a newer state.
    Announced(Pull),
}

impl PullReason {
    /// Returns what this instance was told of.
    pub(super) fn announcement(&self) -> Option<Announcement> {
        match self {
            PullReason::Seed | PullReason::Comparison => None,
            PullReason::Announced(pull) => Some(pull.announcement()),
        }
    }
}

/// The result of one read of the store.
pub(super) struct StoreRead {
    /// The configuration, if it has changed.
    pub(super) config: ConfigReadResult,
    /// All searchers, or the changes to them.
    pub(super) searchers: SearcherUpdate,
}

/// The searchers as a read returned them.
pub(super) enum SearcherUpdate {
    /// The full list.
    List(SearcherList),
    /// The changes after a revision.
    Changes(SearcherChanges),
}

/// Sends a report to the control task, which ends only with the process.
pub(super) async fn send_report(report_tx: &mpsc::Sender<Report>, report: Report) {
    if report_tx.send(report).await.is_err() {
        log::debug!(target: "node", "A report was dropped because the control task has ended.");
    }
}

/// Reads the configuration and the searchers from the store, concurrently.
/// Reads only what changed after the given revisions, but the configuration in
/// any case if `config_revision` is [`StoreRevision::NONE`], and all searchers if
/// `reads_full_list` is set.
pub(super) async fn read_store<R: ServiceRegistry>(
    registry: &R,
    config_revision: StoreRevision,
    searchers_revision: StoreRevision,
    reads_full_list: bool,
) -> Result<StoreRead, RegistryError> {
    let config = async {
        match config_revision.is_none() {
            true => registry.read_config().await,
            false => registry.watch_config(config_revision, MIN_WATCH_TIMEOUT).await,
        }
    };
    let searchers = async {
        match reads_full_list {
            true => registry.list_searchers().await.map(SearcherUpdate::List),
            false => {
                registry.searcher_changes(searchers_revision).await.map(SearcherUpdate::Changes)
            }
        }
    };
    let (config, searchers) = tokio::join!(config, searchers);
    Ok(StoreRead { config: config?, searchers: searchers? })
}

/// Registers this instance in the store. Retries until it succeeds, however
/// long the store is unavailable.
pub(super) async fn register_instance<R: ServiceRegistry>(
    registry: Arc<R>,
    own_record: InstanceRecord,
    report_tx: mpsc::Sender<Report>,
) {
    loop {
        match registry.register(&own_record).await {
            Ok(epoch) => return send_report(&report_tx, Report::Registered(epoch)).await,
            Err(e) => log::warn!(
                target: "platform",
                "Registering this instance in the store failed, retrying: {e}."
            ),
        }
        sleep(REGISTER_RETRY_PAUSE).await;
    }
}

/// Writes the entry of this instance again if the store has lost it when it came
/// back in `epoch`. Retries until it is known to be there.
pub(super) async fn restore_registration<R: ServiceRegistry>(
    registry: Arc<R>,
    own_record: InstanceRecord,
    epoch: u64,
    report_tx: mpsc::Sender<Report>,
) {
    loop {
        match registry.is_registered(&own_record).await {
            Ok(true) => return send_report(&report_tx, Report::Registered(epoch)).await,
            Ok(false) => break,
            Err(e) => log::warn!(
                target: "platform",
                "Looking for the entry of this instance in the store failed, retrying: {e}."
            ),
        }
        sleep(REGISTER_RETRY_PAUSE).await;
    }
    log::warn!(
        target: "platform",
        "The store has lost the entry of this instance; writing it again."
    );
    register_instance(registry, own_record, report_tx).await;
}
