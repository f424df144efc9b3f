//! What happened to one request, for its log line.
//!
//! Only what explains an outcome is noted: a second attempt, a refusal, a
//! loss, a leg that was still open when the answer left. A request without
//! any of these writes no line, and lines are bounded in number each second;
//! how many were left out is told by the next one.

use std::{fmt, sync::OnceLock, time::Duration};

use crossbeam_queue::ArrayQueue;
use tokio::time::Instant;

use super::{Lost, Refused, Unreachable};
use crate::{
    name::{SearcherName, ServiceName},
    rate::Allowance,
    stats::Counter,
};

/// The most notes that one request keeps.
const MAX_NOTES: usize = 24;

/// The lines that one instance writes a second, in the mean.
const LINES_PER_SECOND: f64 = 20.0;

/// The lines that one instance writes at once.
const LINE_BURST: f64 = 100.0;

/// What happened to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// No searcher was left to ask.
    NoSearcher,
    /// A second attempt was sent while this one was open.
    Slow,
    /// A second attempt was not sent, since the budget was spent.
    OverBudget,
    /// No place behind the searcher's gate was free in time.
    NoPlace,
    /// The searcher took no connection.
    NotConnected(Unreachable),
    /// The connection had ended before the request was written.
    NotSent,
    /// The searcher left while the attempt waited.
    Left,
    /// The searcher did not run the request.
    Refused(Refused),
    /// The searcher ran the request and failed.
    Failed,
    /// No reply that can be trusted came.
    Lost(Lost),
    /// The attempt was open when the answer left.
    Open,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::NoSearcher => f.write_str("no_searcher"),
            Event::Slow => f.write_str("slow"),
            Event::OverBudget => f.write_str("over_budget"),
            Event::NoPlace => f.write_str("no_place"),
            Event::NotConnected(why) => write!(f, "not_connected:{why}"),
            Event::NotSent => f.write_str("not_sent"),
            Event::Left => f.write_str("left"),
            Event::Refused(why) => write!(f, "refused:{why}"),
            Event::Failed => f.write_str("failed"),
            Event::Lost(why) => write!(f, "lost:{why}"),
            Event::Open => f.write_str("open"),
        }
    }
}

/// One thing that happened.
#[derive(Debug, Clone)]
pub(super) struct Note {
    /// How long after the request was received.
    at: Duration,
    service: ServiceName,
    /// The searcher that was asked, if one was.
    searcher: Option<SearcherName>,
    event: Event,
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let searcher = self.searcher.as_ref().map_or("-", SearcherName::as_str);
        let ms = self.at.as_secs_f64() * 1e3;
        write!(f, "{}/{searcher}@{ms:.1}={}", self.service, self.event)
    }
}

/// The notes of one request.
#[derive(Debug)]
pub(super) struct Trace {
    received: Instant,
    /// Invariant: made with the first note; most requests have none.
    notes: OnceLock<ArrayQueue<Note>>,
}

impl Trace {
    pub(super) const fn new(received: Instant) -> Self {
        Self { received, notes: OnceLock::new() }
    }

    /// Notes an event; beyond [`MAX_NOTES`], only the last ones are kept.
    pub(super) fn note(
        &self,
        service: &ServiceName,
        searcher: Option<&SearcherName>,
        event: Event,
    ) {
        let notes = self.notes.get_or_init(|| ArrayQueue::new(MAX_NOTES));
        let note = Note {
            at: self.received.elapsed(),
            service: service.clone(),
            searcher: searcher.cloned(),
            event,
        };
        drop(notes.force_push(note));
    }

    /// Whether anything was noted.
    pub(super) fn is_empty(&self) -> bool {
        self.notes.get().is_none_or(ArrayQueue::is_empty)
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(notes) = self.notes.get() else { return f.write_str("-") };
        let mut separator = "";
        while let Some(note) = notes.pop() {
            write!(f, "{separator}{note}")?;
            separator = ",";
        }
        Ok(())
    }
}

/// Bounds the lines that requests write.
#[derive(Debug)]
pub(super) struct LineBudget {
    allowance: Allowance,
    left_out: Counter,
    /// The lines that were left out when the last line was written.
    told: Counter,
}

impl LineBudget {
    pub(super) fn new() -> Self {
        let second = Duration::from_secs(1);
        Self {
            allowance: Allowance::new(LINES_PER_SECOND, second, LINE_BURST),
            left_out: Counter::default(),
            told: Counter::default(),
        }
    }

    /// Leave to write a line, with the number left out since the last one.
    pub(super) fn try_line(&self) -> Option<u64> {
        if !self.allowance.try_spend() {
            self.left_out.inc();
            return None;
        }
        let since = self.left_out.get().saturating_sub(self.told.get());
        self.told.add(since);
        Some(since)
    }
}
