//! What all instances know of the requests that have crashed searchers.
//!
//! Each instance has a table of its own, and sends what has changed to the others. A
//! table that has received the same entries in any order has the same content: of two
//! entries, the one of the higher round holds, and two of one round are united. A
//! reply, an operator or the end of the time begins a new round.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{CRASH_LIMIT, CrashedSearcher, KnownCrashes, RequestFingerprint};

/// How long a request is refused the first time. Doubled each time that it crashes
/// searchers again afterwards.
const FIRST_REFUSAL: Duration = Duration::from_secs(600);

/// The longest time for which a request is refused.
const MAX_REFUSAL: Duration = Duration::from_secs(86_400);

/// How long a request that was not refused is remembered.
const SUSPECT_TIME: Duration = Duration::from_secs(600);

/// How long a cleared request is remembered, so that reports on their way do not bring
/// it back.
const CLEARED_TIME: Duration = Duration::from_secs(60);

/// The maximum number of requests that are refused at a time. A request gets in only
/// with [`CRASH_LIMIT`] searchers; the one that changed first is dropped.
const MAX_REFUSED: usize = 1024;

/// The same for requests that are suspected or cleared, which cannot drop a refused one.
const MAX_SUSPECTS: usize = 1024;

/// The maximum number of entries in one message.
pub const MAX_REPORTED: usize = 16;

/// How long after its change an entry is in every message; older ones take turns.
const NEWS_TIME: Duration = Duration::from_secs(30);

/// The maximum length of a label, in bytes.
const MAX_LABEL_BYTES: usize = 96;

/// One request that has crashed searchers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashEntry {
    /// The request's host and path, as far as they fit.
    pub label: Arc<str>,
    /// The searchers. Invariant: at most [`CRASH_LIMIT`].
    pub searchers: BTreeSet<CrashedSearcher>,
    /// Increases each time that the evidence begins anew.
    round: u32,
    /// How often the request came to be refused.
    refusals: u32,
    /// When the entry last changed, at any instance.
    changed_at: Instant,
}

impl CrashEntry {
    /// Returns until when the request is refused; `None` if it is not.
    #[must_use]
    pub fn refused_until(&self) -> Option<Instant> {
        let is_refused = self.searchers.len() >= CRASH_LIMIT;
        is_refused.then(|| self.changed_at + self.refusal_time())
    }

    fn refusal_time(&self) -> Duration {
        let doublings = self.refusals.saturating_sub(1).min(16);
        (FIRST_REFUSAL * (1 << doublings)).min(MAX_REFUSAL)
    }

    fn expires_at(&self) -> Instant {
        let time = match self.searchers.is_empty() {
            true => CLEARED_TIME,
            false => SUSPECT_TIME,
        };
        self.refused_until().unwrap_or(self.changed_at + time)
    }

    /// Adds searchers. Returns whether the request came to be refused by that.
    fn add(&mut self, searchers: impl IntoIterator<Item = CrashedSearcher>) -> bool {
        let was_refused = self.searchers.len() >= CRASH_LIMIT;
        for searcher in searchers {
            if self.searchers.len() < CRASH_LIMIT {
                self.searchers.insert(searcher);
            }
        }
        !was_refused && self.searchers.len() >= CRASH_LIMIT
    }
}

/// An entry as it is sent to siblings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEntryReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    label: String,
    searchers: Vec<CrashedSearcher>,
    round: u32,
    refusals: u32,
    /// How long before the report the entry changed, in milliseconds.
    age_ms: u32,
}

/// How an entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableChange {
    /// It did not change.
    None,
    /// The request is suspected, or the evidence changed.
    Suspected,
    /// The request is refused from now on.
    Refused,
    /// A searcher has replied, or an operator has lifted the refusal.
    Cleared,
}

/// The requests that have crashed searchers.
#[derive(Debug, Clone, Default)]
pub struct CrashTable {
    entries: HashMap<RequestFingerprint, CrashEntry>,
    /// The number of messages sent, by which older entries take turns.
    turn: usize,
}

impl CrashTable {
    /// Records that searchers ended while they ran a request.
    pub fn record_crashes(
        &mut self,
        fingerprint: RequestFingerprint,
        label: &str,
        searchers: Vec<CrashedSearcher>,
        now: Instant,
    ) -> TableChange {
        let entry = self.entries.entry(fingerprint).or_insert_with(|| new_entry(label, now));
        let before = entry.searchers.len();
        let is_refused = entry.add(searchers);
        if entry.searchers.len() == before {
            return TableChange::None;
        }
        entry.changed_at = now;
        if is_refused {
            entry.refusals += 1;
        }
        self.bound();
        if is_refused { TableChange::Refused } else { TableChange::Suspected }
    }

    /// Records that a searcher has run a request and replied, or that an operator lifts
    /// its refusal.
    pub fn clear(&mut self, fingerprint: RequestFingerprint, now: Instant) -> TableChange {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return TableChange::None };
        if entry.searchers.is_empty() {
            return TableChange::None;
        }
        entry.searchers.clear();
        entry.round += 1;
        entry.changed_at = now;
        TableChange::Cleared
    }

    /// Takes over what a sibling reports.
    pub fn merge(&mut self, report: &CrashEntryReport, now: Instant) -> TableChange {
        let age = Duration::from_millis(report.age_ms.into());
        let Some(changed_at) = now.checked_sub(age) else { return TableChange::None };
        let fingerprint = report.fingerprint;
        let is_new = !self.entries.contains_key(&fingerprint);
        let entry =
            self.entries.entry(fingerprint).or_insert_with(|| new_entry(&report.label, changed_at));
        if report.round < entry.round {
            return TableChange::None;
        }
        let was_refused = entry.searchers.len() >= CRASH_LIMIT;
        let before = (entry.round, entry.searchers.clone());
        if report.round > entry.round {
            entry.round = report.round;
            entry.searchers.clear();
        }
        entry.add(report.searchers.iter().cloned());
        entry.refusals = entry.refusals.max(report.refusals);
        let is_changed = is_new || before != (entry.round, entry.searchers.clone());
        if is_changed {
            entry.changed_at = changed_at;
        }
        let change = match (is_changed, entry.searchers.len()) {
            (false, _) => TableChange::None,
            (true, 0) => TableChange::Cleared,
            (true, CRASH_LIMIT..) if !was_refused => TableChange::Refused,
            (true, _) => TableChange::Suspected,
        };
        // The entry may be as old here as at the sibling, which is about to drop it.
        self.remove_expired(now);
        self.bound();
        change
    }

    /// Drops entries whose time is over. One that was refused stays as a suspect: its
    /// next crash refuses it again. Returns whether any changed.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let mut is_changed = false;
        self.entries.retain(|_, entry| {
            if now < entry.expires_at() {
                return true;
            }
            is_changed = true;
            let was_refused = entry.searchers.len() >= CRASH_LIMIT;
            if was_refused {
                entry.searchers.pop_last();
                entry.round += 1;
                entry.changed_at = now;
            }
            was_refused
        });
        is_changed
    }

    /// Returns what requests look up.
    #[must_use]
    pub fn known(&self) -> HashMap<RequestFingerprint, KnownCrashes> {
        let suspected = self.entries.iter().filter(|(_, entry)| !entry.searchers.is_empty());
        let known = suspected.map(|(fingerprint, entry)| {
            let searchers = entry.searchers.len();
            (*fingerprint, KnownCrashes { searchers, refused_until: entry.refused_until() })
        });
        known.collect()
    }

    /// Returns a request's entry.
    #[must_use]
    pub fn get(&self, fingerprint: RequestFingerprint) -> Option<&CrashEntry> {
        self.entries.get(&fingerprint)
    }

    /// Iterates over the refused requests.
    pub fn refused(&self) -> impl Iterator<Item = (RequestFingerprint, &CrashEntry)> {
        let refused = self.entries.iter().filter(|(_, e)| e.refused_until().is_some());
        refused.map(|(fingerprint, entry)| (*fingerprint, entry))
    }

    /// Returns the entries for the next message: those that have changed lately, and
    /// some of the others in turn; at most [`MAX_REPORTED`].
    pub fn next_reports(&mut self, now: Instant) -> Vec<CrashEntryReport> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by_key(|(fingerprint, e)| (std::cmp::Reverse(e.changed_at), **fingerprint));
        let news = entries.partition_point(|(_, e)| now < e.changed_at + NEWS_TIME);
        let (news, rest) = entries.split_at(news);
        self.turn = self.turn.wrapping_add(1);
        let in_turn =
            rest.iter().cycle().skip(self.turn % rest.len().max(1)).take(rest.len().min(1));
        let chosen = news.iter().chain(in_turn).take(MAX_REPORTED);
        chosen.map(|(fingerprint, entry)| to_report(**fingerprint, entry, now)).collect()
    }

    /// Returns all entries, for an instance that has just started; at most `max`, the
    /// latest.
    #[must_use]
    pub fn all_reports(&self, max: usize, now: Instant) -> Vec<CrashEntryReport> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.changed_at));
        let latest = entries.into_iter().take(max);
        latest.map(|(fingerprint, entry)| to_report(*fingerprint, entry, now)).collect()
    }

    /// Drops the entries that changed first while there are too many of a kind.
    fn bound(&mut self) {
        let refused = |entry: &CrashEntry| entry.refused_until().is_some();
        self.bound_kind(MAX_REFUSED, refused);
        self.bound_kind(MAX_SUSPECTS, |entry| !refused(entry));
    }

    fn bound_kind(&mut self, max: usize, is_of_kind: impl Fn(&CrashEntry) -> bool) {
        while self.entries.values().filter(|entry| is_of_kind(entry)).count() > max {
            let of_kind = self.entries.iter().filter(|(_, entry)| is_of_kind(entry));
            let first = of_kind.min_by_key(|(_, entry)| entry.changed_at);
            let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) else { return };
            self.entries.remove(&fingerprint);
        }
    }
}

fn new_entry(label: &str, now: Instant) -> CrashEntry {
    CrashEntry {
        label: Arc::from(&label[..label.floor_char_boundary(MAX_LABEL_BYTES)]),
        searchers: BTreeSet::new(),
        round: 0,
        refusals: 0,
        changed_at: now,
    }
}

fn to_report(
    fingerprint: RequestFingerprint,
    entry: &CrashEntry,
    now: Instant,
) -> CrashEntryReport {
    let age = now.saturating_duration_since(entry.changed_at).as_millis();
    CrashEntryReport {
        fingerprint,
        label: entry.label.to_string(),
        searchers: entry.searchers.iter().cloned().collect(),
        round: entry.round,
        refusals: entry.refusals,
        age_ms: age.try_into().unwrap_or(u32::MAX),
    }
}
