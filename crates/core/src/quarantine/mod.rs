//! Requests that crash the searchers which run them.
//!
//! Such a request is sent again by its caller, at any instance, and each time costs the
//! searchers that begin to run it, and all requests that these run beside it. What is
//! known of it is shared by all instances: after [`CRASH_LIMIT`] searchers it is
//! refused everywhere for a time.
//!
//! The evidence is a connection that ends while a searcher runs the request, and a
//! searcher that accepts no connection right afterwards. A reset, a timeout or a slow
//! searcher alone is none. A searcher that crashes ends all requests that it runs, so
//! the evidence is weak: a reply of any searcher that has run the request clears it.
//! A sound request whose searcher crashes is answered by the next one, or by the other
//! shards that it was sent to.
//!
//! | part | what it does |
//! |---|---|
//! | [`RequestFingerprint`] | recognises a request that is sent again |
//! | [`RequestSuspicion`] | the evidence of one attempt of a caller; withholds retries and hedges |
//! | [`CrashTable`] | the evidence of all instances, owned by one task |
//! | [`Quarantine`] | what requests look up, without a lock, and where they report to |

use std::{
    collections::HashMap,
    sync::{Arc, OnceLock},
};

use arc_swap::ArcSwap;
use tokio::{
    sync::mpsc,
    time::{Duration, Instant},
};

use crate::stats::Counter;

mod crash_table;
mod fingerprint;
mod suspicion;

pub use self::{
    crash_table::{CrashEntry, CrashEntryReport, CrashTable, MAX_REPORTED, TableChange},
    fingerprint::RequestFingerprint,
    suspicion::RequestSuspicion,
};

pub(crate) use self::suspicion::ReportOnDrop;
use crate::name::SearcherName;

/// The number of searchers that a request has crashed when it is refused.
pub const CRASH_LIMIT: usize = 3;

/// The capacity of the queue of reports. What does not fit is counted and dropped: the
/// request is reported again when it is sent again.
const REPORT_QUEUE_LEN: usize = 256;

/// A searcher that ended while it ran a request.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct CrashedSearcher {
    /// The name.
    pub name: SearcherName,
    /// The incarnation that ended.
    pub incarnation: u64,
}

/// What one attempt of a caller has shown of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashReport {
    /// These searchers ended while they ran the request, and none has replied to it.
    Crashed {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Its host and path, for logs.
        label: Arc<str>,
        /// The searchers.
        searchers: Vec<CrashedSearcher>,
    },
    /// A searcher has run the request and replied, after crashes were reported.
    Replied(RequestFingerprint),
    /// An operator lifts the refusal.
    Lifted(RequestFingerprint),
}

/// What is known of a request that has crashed searchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownCrashes {
    /// The number of searchers.
    pub searchers: usize,
    /// Until when the request is refused; `None` if it is only suspected.
    pub refused_until: Option<Instant>,
}

/// What all requests look up: those that have crashed searchers.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Replaced as a whole by the task that owns the [`CrashTable`].
    known: ArcSwap<HashMap<RequestFingerprint, KnownCrashes>>,
    /// The table from which `known` was made, for siblings and operators.
    table: ArcSwap<CrashTable>,
    /// `None` if nobody listens.
    report_tx: OnceLock<mpsc::Sender<CrashReport>>,
    /// The number of requests that were refused.
    pub refused: Counter,
    /// The number of searchers that ended while they ran a request.
    pub crashes: Counter,
    /// The number of reports that were dropped.
    pub dropped_reports: Counter,
}

impl Quarantine {
    /// Creates a quarantine and the receiver of what requests report.
    #[must_use]
    pub fn with_reports() -> (Arc<Self>, mpsc::Receiver<CrashReport>) {
        let (report_tx, report_rx) = mpsc::channel(REPORT_QUEUE_LEN);
        let quarantine = Self { report_tx: OnceLock::from(report_tx), ..Self::default() };
        (Arc::new(quarantine), report_rx)
    }

    /// Replaces what is known.
    pub fn publish(&self, table: &CrashTable) {
        self.known.store(Arc::new(table.known()));
        self.table.store(Arc::new(table.clone()));
    }

    /// Returns the table that was published last.
    #[must_use]
    pub fn table(&self) -> Arc<CrashTable> {
        self.table.load_full()
    }

    /// Lifts the refusal of a request, on all instances. Returns false if that could not
    /// be reported.
    pub fn lift(&self, fingerprint: RequestFingerprint) -> bool {
        self.report(CrashReport::Lifted(fingerprint))
    }

    /// Returns what is known of a request.
    #[must_use]
    pub fn get(&self, fingerprint: RequestFingerprint) -> Option<KnownCrashes> {
        let known = self.known.load();
        if known.is_empty() { None } else { known.get(&fingerprint).copied() }
    }

    /// Returns for how much longer a request is refused; `None` if it is not.
    #[must_use]
    pub fn refused_for(&self, fingerprint: RequestFingerprint) -> Option<Duration> {
        let until = self.get(fingerprint)?.refused_until?;
        Some(until.saturating_duration_since(Instant::now())).filter(|left| !left.is_zero())
    }

    /// Returns whether the report was taken.
    fn report(&self, report: CrashReport) -> bool {
        let Some(report_tx) = self.report_tx.get() else { return false };
        let is_taken = report_tx.try_send(report).is_ok();
        if !is_taken {
            self.dropped_reports.inc();
        }
        is_taken
    }
}
