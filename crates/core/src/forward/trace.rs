//! The events of one request, for its log line.
//!
//! Only events that explain an outcome are recorded: a hedge, a rejection, an
//! exchange without a reply, an attempt that was still open when the answer was
//! sent. An answered request without events is not logged. Log lines are
//! rate-limited; each line reports how many were suppressed since the last one.

use std::{fmt, sync::OnceLock, time::Duration};

use crossbeam_queue::ArrayQueue;
use tokio::time::Instant;

use super::{ConnectError, LossReason, RejectionReason};
use crate::{
    name::{InstanceName, SearcherName, ServiceName},
    rate_limiter::RateLimiter,
    stats::Counter,
};

/// The maximum number of entries that one trace keeps.
const MAX_ENTRIES: usize = 24;

/// The sustained rate of log lines of one instance, in lines per second.
const LINES_PER_SECOND: f64 = 20.0;

/// The maximum number of log lines that one instance writes in a burst.
const BURST_LINES: f64 = 100.0;

/// An event of a sub-request or of one of its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// No searcher could be chosen for the first attempt of the sub-request.
    NoSearcher,
    /// The attempt was still open after the hedge delay.
    Slow,
    /// An extra attempt was not sent because the budget was exhausted.
    OverBudget,
    /// The searcher's concurrency limiter gave no permit before the deadline.
    NoPermit,
    /// No connection to the searcher could be opened.
    NotConnected(ConnectError),
    /// The connection closed before a byte of the request was written.
    Unsent,
    /// The searcher began to leave, or the deadline passed, before the request
    /// was sent.
    LeavingOrExpired,
    /// The limit that the searcher names left no room for the attempt.
    Limited,
    /// The searcher has asked for no requests for some time.
    Paused,
    /// The first reply of the aggregator, whose name stands in place of a
    /// searcher's, was overdue.
    AggregatorOverdue,
    /// The searcher rejected the request without running it.
    Rejected(RejectionReason),
    /// The searcher ran the request and failed.
    Failed,
    /// No valid reply came.
    NoReply(LossReason),
    /// The searcher refused connections right after it had closed the exchange's one.
    Crashed,
    /// An extra attempt was not sent, since the request may have crashed searchers.
    Withheld,
    /// The attempt was abandoned while its exchange was open: another attempt
    /// was faster, the answer was sent without it or the deadline passed.
    Abandoned,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::NoSearcher => f.write_str("no_searcher"),
            Event::Slow => f.write_str("slow"),
            Event::OverBudget => f.write_str("over_budget"),
            Event::NoPermit => f.write_str("no_place"),
            Event::NotConnected(reason) => write!(f, "not_connected:{reason}"),
            Event::Unsent => f.write_str("not_sent"),
            Event::LeavingOrExpired => f.write_str("left"),
            Event::Limited => f.write_str("limited"),
            Event::AggregatorOverdue => f.write_str("aggregator_overdue"),
            Event::Paused => f.write_str("asked_to_wait"),
            Event::Rejected(reason) => write!(f, "refused:{reason}"),
            Event::Failed => f.write_str("failed"),
            Event::Crashed => f.write_str("crashed"),
            Event::Withheld => f.write_str("withheld"),
            Event::NoReply(reason) => write!(f, "lost:{reason}"),
            Event::Abandoned => f.write_str("open"),
        }
    }
}

/// One recorded event.
#[derive(Debug, Clone)]
pub(super) struct TraceEntry {
    /// When the event happened, as the time since the request was received.
    offset: Duration,
    service: ServiceName,
    /// The searcher of the attempt, if the event concerns one.
    searcher: Option<SearcherName>,
    event: Event,
}

impl fmt::Display for TraceEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let searcher = self.searcher.as_ref().map_or("-", SearcherName::as_str);
        let ms = self.offset.as_secs_f64() * 1e3;
        write!(f, "{}/{searcher}@{ms:.1}={}", self.service, self.event)
    }
}

/// The events of one request.
#[derive(Debug)]
pub(super) struct Trace {
    received: Instant,
    /// Allocated for the first entry, since most requests have none.
    entries: OnceLock<ArrayQueue<TraceEntry>>,
}

impl Trace {
    pub(super) const fn new(received: Instant) -> Self {
        Self { received, entries: OnceLock::new() }
    }

    /// Records an event. Beyond [`MAX_ENTRIES`], the oldest entry is dropped.
    pub(super) fn record(
        &self,
        service: &ServiceName,
        searcher: Option<&SearcherName>,
        event: Event,
    ) {
        self.push(service, searcher.cloned(), event);
    }

    /// Records an event of a shard that was relayed to this sibling.
    pub(super) fn record_relay(&self, service: &ServiceName, sibling: &InstanceName, event: Event) {
        self.push(service, SearcherName::try_new(sibling.as_str()).ok(), event);
    }

    fn push(&self, service: &ServiceName, searcher: Option<SearcherName>, event: Event) {
        let entries = self.entries.get_or_init(|| ArrayQueue::new(MAX_ENTRIES));
        let entry = TraceEntry {
            offset: self.received.elapsed(),
            service: service.clone(),
            searcher,
            event,
        };
        drop(entries.force_push(entry));
    }

    /// Returns whether no event was recorded.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.get().is_none_or(ArrayQueue::is_empty)
    }
}

impl fmt::Display for Trace {
    /// Formats the entries, the oldest first, and removes them: the trace is
    /// empty afterwards.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(entries) = self.entries.get() else { return f.write_str("-") };
        let mut separator = "";
        while let Some(entry) = entries.pop() {
            write!(f, "{separator}{entry}")?;
            separator = ",";
        }
        Ok(())
    }
}

/// Limits the rate of the log lines of requests.
#[derive(Debug)]
pub(super) struct LogLimiter {
    limit: RateLimiter,
    /// The number of suppressed lines, in total.
    suppressed: Counter,
    /// The number of suppressed lines that earlier lines have reported.
    reported: Counter,
}

impl LogLimiter {
    pub(super) fn new() -> Self {
        let window = Duration::from_secs(1);
        Self {
            limit: RateLimiter::new(LINES_PER_SECOND, window, BURST_LINES),
            suppressed: Counter::default(),
            reported: Counter::default(),
        }
    }

    /// Returns the number of lines suppressed since the last one that was
    /// written, or `None` if this line must be suppressed too.
    pub(super) fn try_log(&self) -> Option<u64> {
        if !self.limit.try_acquire() {
            self.suppressed.inc();
            return None;
        }
        let unreported = self.suppressed.get().saturating_sub(self.reported.get());
        self.reported.add(unreported);
        Some(unreported)
    }
}
