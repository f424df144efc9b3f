//! Reads of the store, in tasks of their own that report to the control task.

use std::sync::Arc;

use endivevale_core::layout::InstanceRecord;
use endivevale_sibling::wire::Pulled;
use endivevale_store::directory::{
    ConfigRead, Directory, DirectoryError, SearcherChanges, SearcherList,
};
use tokio::{
    sync::mpsc,
    time::{Duration, sleep},
};

/// The pause between two tries to register.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);

/// A watch that only collects what is there waits this long.
const NO_WAIT: Duration = Duration::from_millis(1);

/// What a task reports back.
pub(super) enum Report {
    /// A read of the store.
    Read(Result<Read, DirectoryError>),
    /// A read of the instances.
    Instances(Result<Vec<InstanceRecord>, DirectoryError>),
    /// What a sibling has above this instance's versions, and the revision
    /// up to which its list holds.
    Pulled(Pulled, u64),
    /// A pull failed; whether nobody listened there.
    NotPulled {
        /// Whether nobody listened there.
        is_down: bool,
    },
}

/// What one read of the store brought.
pub(super) struct Read {
    /// The configuration, if it changed.
    pub(super) config: ConfigRead,
    /// The searchers.
    pub(super) searchers: Searchers,
}

/// What a read says of searchers.
pub(super) enum Searchers {
    /// All of them.
    List(SearcherList),
    /// What has changed.
    Changes(SearcherChanges),
}

/// Tells the control task; it ends only with the process.
pub(super) async fn report(reports: &mpsc::Sender<Report>, report: Report) {
    if reports.send(report).await.is_err() {
        log::debug!(target: "node", "The control task has ended.");
    }
}

/// Reads what has changed of both, or all of what no revision is known.
pub(super) async fn read<D: Directory>(
    directory: &D,
    config: u64,
    searchers: u64,
    is_whole: bool,
) -> Result<Read, DirectoryError> {
    let config = async {
        match config {
            0 => directory.read_config().await,
            after => directory.watch_config(after, NO_WAIT).await,
        }
    };
    let searchers = async {
        match is_whole {
            true => directory.list_searchers().await.map(Searchers::List),
            false => directory.searcher_changes(searchers).await.map(Searchers::Changes),
        }
    };
    let (config, searchers) = tokio::join!(config, searchers);
    Ok(Read { config: config?, searchers: searchers? })
}

/// Writes this instance's own entry, however long the store is away.
pub(super) async fn register<D: Directory>(directory: Arc<D>, me: InstanceRecord) {
    while let Err(e) = directory.register(&me).await {
        log::warn!(target: "platform", "This instance is not registered yet: {e}.");
        sleep(REGISTER_PAUSE).await;
    }
}
