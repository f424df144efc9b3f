//! Requests that crash searchers: what this instance's requests have shown, and what
//! siblings know.

use std::time::Duration;

use endivevale_core::quarantine::{CrashEntryReport, CrashReport, RequestFingerprint, TableChange};
use endivevale_store::registry::ServiceRegistry;
use tokio::time::Instant;

use super::ControlTask;

/// The time between two heartbeats that carry a change, since a datagram may be lost.
pub(super) const CRASH_NEWS_INTERVAL: Duration = Duration::from_millis(400);

/// The number of heartbeats for a change, besides those after reads of the store.
const CRASH_NEWS_SENDS: u32 = 3;

impl<R: ServiceRegistry> ControlTask<R> {
    /// Applies what a request has shown, and tells the siblings if that has changed what
    /// is known: at once what is refused or let in again, and suspicions together with the
    /// next news, since many searchers may crash at once.
    pub(super) async fn apply_crash_report(&mut self, report: CrashReport) {
        let now = Instant::now();
        let (fingerprint, change) = match report {
            CrashReport::Crashed { fingerprint, label, searchers } => {
                (fingerprint, self.crashes.record_crashes(fingerprint, &label, searchers, now))
            }
            CrashReport::Replied(fingerprint) | CrashReport::Lifted(fingerprint) => {
                (fingerprint, self.crashes.clear(fingerprint, now))
            }
        };
        if change == TableChange::None {
            return;
        }
        self.log_crash_change(fingerprint, change, "this instance");
        self.quarantine.publish(&self.crashes);
        self.crash_news = CRASH_NEWS_SENDS;
        if change != TableChange::Suspected {
            self.send_crash_news().await;
        }
    }

    /// Takes over what a sibling knows.
    pub(super) fn merge_crashes(&mut self, reports: &[CrashEntryReport]) {
        let now = Instant::now();
        let mut is_changed = false;
        for report in reports {
            let change = self.crashes.merge(report, now);
            is_changed |= change != TableChange::None;
            self.log_crash_change(report.fingerprint, change, "a sibling");
        }
        if is_changed {
            self.quarantine.publish(&self.crashes);
        }
    }

    /// Sends a heartbeat if one is still due for a change, and ends the time of old
    /// entries.
    pub(super) async fn send_crash_news(&mut self) {
        if self.crashes.remove_expired(Instant::now()) {
            self.quarantine.publish(&self.crashes);
        }
        if self.crash_news == 0 {
            return;
        }
        self.crash_news -= 1;
        let heartbeat = self.heartbeat(false);
        self.socket.send_to_all(&heartbeat).await;
    }

    fn log_crash_change(&self, fingerprint: RequestFingerprint, change: TableChange, source: &str) {
        let Some(entry) = self.crashes.get(fingerprint) else { return };
        let searchers = entry.searchers.iter().map(|s| s.name.as_str());
        let searchers = searchers.collect::<Vec<_>>().join(",");
        match change {
            TableChange::None => {}
            TableChange::Suspected => log::warn!(
                target: "searcher",
                "Request {fingerprint} may crash searchers: target={:?} searchers={searchers} source={source:?}.",
                entry.label,
            ),
            TableChange::Refused => log::error!(
                target: "searcher",
                "Request {fingerprint} crashes searchers and is refused: target={:?} searchers={searchers} for_s={} source={source:?}.",
                entry.label,
                entry.refused_until().map_or(0, |until| (until - Instant::now()).as_secs()),
            ),
            TableChange::Cleared => log::info!(
                target: "searcher",
                "Request {fingerprint} is not refused any more: a searcher has replied to it, or an operator lifted it; target={:?} source={source:?}.",
                entry.label,
            ),
        }
    }
}
