//! What one attempt of a caller shows of its request, and which attempts at searchers
//! are withheld meanwhile.

use std::sync::{
    Arc, OnceLock,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use crossbeam_queue::SegQueue;
use tokio::{
    sync::Notify,
    time::{Duration, Instant, timeout_at},
};

use super::{CRASH_LIMIT, CrashReport, CrashedSearcher, Quarantine, RequestFingerprint};

/// The longest time from the start of a request to many shards in which a reply clears
/// it. Other shards of a sound request reply within it, also when many searchers crash
/// at once.
const MAX_CLEARANCE_TIME: Duration = Duration::from_millis(60);

/// The time after the first crash in which a reply still clears a request.
const MIN_CLEARANCE_WAIT: Duration = Duration::from_millis(10);

/// The time in which a reply clears a request, as a multiple of the time within which
/// nearly all attempts of its route are answered.
const CLEARANCE_FACTOR: u32 = 2;

/// The evidence of one attempt of a caller.
#[derive(Debug)]
pub struct RequestSuspicion {
    quarantine: Arc<Quarantine>,
    fingerprint: RequestFingerprint,
    /// The request's host and path.
    host: Arc<str>,
    path: Arc<str>,
    /// Until when a reply to a request that goes to many shards at once is awaited;
    /// `None` if it goes to one searcher at a time.
    clear_until: Option<Instant>,
    /// Whether the evidence goes to the quarantine, and not to a sibling that has
    /// relayed the request.
    reports: bool,
    /// The number of searchers that earlier attempts had crashed.
    earlier_crashes: usize,
    crashes: AtomicUsize,
    first_crash: OnceLock<Instant>,
    /// Crashes that are not reported yet.
    unreported: SegQueue<CrashedSearcher>,
    has_reported: AtomicBool,
    has_replied: AtomicBool,
    /// Notified of each crash and of the first reply.
    changed: Notify,
}

impl RequestSuspicion {
    fn new(
        quarantine: &Arc<Quarantine>,
        fingerprint: RequestFingerprint,
        (host, path): (&Arc<str>, &Arc<str>),
        clear_until: Option<Instant>,
        reports: bool,
    ) -> Arc<Self> {
        let earlier_crashes = quarantine.get(fingerprint).map_or(0, |known| known.searchers);
        Arc::new(Self {
            quarantine: Arc::clone(quarantine),
            fingerprint,
            host: Arc::clone(host),
            path: Arc::clone(path),
            clear_until,
            reports,
            earlier_crashes,
            crashes: AtomicUsize::new(0),
            first_crash: OnceLock::new(),
            unreported: SegQueue::new(),
            has_reported: AtomicBool::new(false),
            has_replied: AtomicBool::new(false),
            changed: Notify::new(),
        })
    }

    /// Creates the evidence of a request that goes to one searcher at a time. `address`
    /// is its host and path, for logs.
    #[must_use]
    pub fn of_single(
        quarantine: &Arc<Quarantine>,
        fingerprint: RequestFingerprint,
        address: (&Arc<str>, &Arc<str>),
    ) -> Arc<Self> {
        Self::new(quarantine, fingerprint, address, None, true)
    }

    /// Creates the evidence of a request that goes to many shards at once. `address` is
    /// its host and path, for logs; nearly all attempts of its route are answered within
    /// `usual_time`. After the first crash, extra attempts wait for the reply of any
    /// shard.
    #[must_use]
    pub fn of_sharded(
        quarantine: &Arc<Quarantine>,
        fingerprint: RequestFingerprint,
        address: (&Arc<str>, &Arc<str>),
        usual_time: Duration,
    ) -> Arc<Self> {
        let clear_until = Instant::now() + (usual_time * CLEARANCE_FACTOR).min(MAX_CLEARANCE_TIME);
        Self::new(quarantine, fingerprint, address, Some(clear_until), true)
    }

    /// Creates the evidence of a request that a sibling has relayed. The sibling sees
    /// the replies of all shards, and grants the extra attempts.
    #[must_use]
    pub fn of_relayed(quarantine: &Arc<Quarantine>, fingerprint: RequestFingerprint) -> Arc<Self> {
        let nowhere = Arc::from("");
        Self::new(quarantine, fingerprint, (&nowhere, &nowhere), None, false)
    }

    /// Returns the request's fingerprint.
    #[must_use]
    pub const fn fingerprint(&self) -> RequestFingerprint {
        self.fingerprint
    }

    /// Returns whether a searcher has run the request and replied.
    #[must_use]
    pub fn has_replied(&self) -> bool {
        self.has_replied.load(Ordering::Acquire)
    }

    /// Records that a searcher has run the request and replied.
    pub fn record_reply(&self) {
        if self.has_replied.swap(true, Ordering::AcqRel) {
            return;
        }
        self.changed.notify_waiters();
        let was_suspected = self.has_reported.load(Ordering::Acquire) || self.earlier_crashes > 0;
        if self.reports && was_suspected {
            self.quarantine.report(CrashReport::Replied(self.fingerprint));
        }
    }

    /// Records that a searcher ended while it ran the request.
    pub fn record_crash(&self, searcher: CrashedSearcher) {
        self.quarantine.crashes.inc();
        self.unreported.push(searcher);
        self.first_crash.get_or_init(Instant::now);
        self.crashes.fetch_add(1, Ordering::AcqRel);
        self.changed.notify_waiters();
    }

    fn known_crashes(&self) -> usize {
        self.earlier_crashes + self.crashes.load(Ordering::Acquire)
    }

    /// Returns when the evidence is complete: other shards of a sound request have replied
    /// by then. `None` before the first crash.
    fn complete_at(&self) -> Option<Instant> {
        let first_crash = *self.first_crash.get()?;
        Some(match self.clear_until {
            Some(clear_until) => clear_until.max(first_crash + MIN_CLEARANCE_WAIT),
            None => first_crash,
        })
    }

    fn is_complete(&self) -> bool {
        self.complete_at().is_some_and(|at| Instant::now() >= at)
    }

    /// Returns whether the request has crashed as many searchers as it may, and none has
    /// replied in time.
    #[must_use]
    pub fn is_condemned(&self) -> bool {
        !self.has_replied() && self.known_crashes() >= CRASH_LIMIT && self.is_complete()
    }

    /// Returns whether hedges and retries may be sent. After a crash, those of a request
    /// to many shards wait for the reply of any of them.
    #[must_use]
    pub fn allows_extra_attempts(&self) -> bool {
        let limit = if self.clear_until.is_some() { 1 } else { CRASH_LIMIT };
        self.has_replied() || self.known_crashes() < limit
    }

    /// Returns whether a hedge should wait a little longer: no shard has replied, as if
    /// all of them were lost.
    #[must_use]
    pub fn should_hold_hedges(&self) -> bool {
        self.clear_until.is_some() && !self.has_replied()
    }

    /// Waits until extra attempts may be sent. Returns false if they may not although the
    /// evidence is complete.
    pub async fn wait_for_clearance(&self) -> bool {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.allows_extra_attempts() {
                return true;
            }
            let Some(complete_at) = self.complete_at().filter(|at| Instant::now() < *at) else {
                return false;
            };
            // Either way the loop looks again.
            drop(timeout_at(complete_at, changed).await);
        }
    }

    /// Waits until the request is condemned.
    pub async fn wait_for_condemnation(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.is_condemned() {
                return;
            }
            match self.complete_at().filter(|at| Instant::now() < *at) {
                // Either way the loop looks again.
                Some(complete_at) => drop(timeout_at(complete_at, changed).await),
                None => changed.await,
            }
        }
    }

    /// Waits until there is a crash that was not taken.
    pub async fn wait_for_crash(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !self.unreported.is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// Takes the crashes that were not taken before, for the sibling that relayed the
    /// request.
    #[must_use]
    pub fn take_crashes(&self) -> Vec<CrashedSearcher> {
        std::iter::from_fn(|| self.unreported.pop()).collect()
    }

    /// Reports the crashes if the evidence is complete and no searcher has replied.
    fn finish(&self) {
        if !self.has_replied() && self.is_complete() {
            self.report();
        }
    }

    fn report(&self) {
        if !self.reports {
            return;
        }
        let searchers = self.take_crashes();
        if searchers.is_empty() {
            return;
        }
        self.has_reported.store(true, Ordering::Release);
        let label = format!("{}{}", self.host, self.path).into();
        let fingerprint = self.fingerprint;
        self.quarantine.report(CrashReport::Crashed { fingerprint, label, searchers });
    }
}

/// Reports what an attempt of a caller has shown when it ends, also if the caller leaves.
#[derive(Debug)]
pub(crate) struct ReportOnDrop(pub(crate) Arc<RequestSuspicion>);

impl Drop for ReportOnDrop {
    fn drop(&mut self) {
        self.0.finish();
    }
}
