//! What the node reads from a store in which searchers and instances register
//! themselves.
//!
//! A [`Directory`] hides how the store encodes its entries. It is asked by
//! few instances at a time; the others hear from their siblings.

use std::{fmt, future::Future, time::Duration};

use endivevale_core::{
    intent::ConfigVersion,
    layout::{InstanceRecord, SearcherRecord},
    listing_tracker::Change,
};

use crate::client::PlatformError;

/// Why the directory gave nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryError {
    /// The changes since the given revision are no longer known; the whole
    /// list must be read.
    HistoryGone,
    /// The call failed.
    Store(PlatformError),
}

impl fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DirectoryError::HistoryGone => f.write_str("the store has dropped its history"),
            DirectoryError::Store(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for DirectoryError {}

impl From<PlatformError> for DirectoryError {
    fn from(e: PlatformError) -> Self {
        DirectoryError::Store(e)
    }
}

/// The configuration, or that there is none newer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRead {
    /// The store's revision from which to watch on.
    pub revision: u64,
    /// The configuration with its version and text.
    pub config: Option<(ConfigVersion, String)>,
}

/// Every searcher that has an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearcherList {
    /// The store's revision at which the list held.
    pub revision: u64,
    /// The searchers.
    pub records: Vec<SearcherRecord>,
}

/// The changes of searchers' entries up to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearcherChanges {
    /// The store's revision up to which the changes go.
    pub revision: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// A store in which searchers and instances register themselves.
///
/// Every call gives a [`DirectoryError`] when the store does not answer, or
/// not as documented.
pub trait Directory: Send + Sync + 'static {
    /// Reads the configuration.
    fn read_config(&self) -> impl Future<Output = Result<ConfigRead, DirectoryError>> + Send;

    /// Waits up to `wait` for a configuration written after a revision.
    fn watch_config(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigRead, DirectoryError>> + Send;

    /// Reads every searcher's entry.
    fn list_searchers(&self) -> impl Future<Output = Result<SearcherList, DirectoryError>> + Send;

    /// Reads the changes of searchers' entries after a revision.
    fn searcher_changes(
        &self,
        after: u64,
    ) -> impl Future<Output = Result<SearcherChanges, DirectoryError>> + Send;

    /// Reads the instances of the tier; the list may be seconds old.
    fn list_instances(
        &self,
    ) -> impl Future<Output = Result<Vec<InstanceRecord>, DirectoryError>> + Send;

    /// Writes this instance's own entry.
    fn register(
        &self,
        record: &InstanceRecord,
    ) -> impl Future<Output = Result<(), DirectoryError>> + Send;
}
