//! When the store last replied, and whether a time without replies was an outage
//! of the store.
//!
//! An instance hears of a reply of the store by its own calls and by its
//! siblings. A gap between two replies has one of three causes: no instance
//! called the store, this instance was cut off, or the store was away. The
//! store was away only while no instance had a reply. Siblings therefore report
//! their last gaps to each other, and an instance narrows its own gaps to what
//! both have in common. What remains counts as an outage if it is long enough and
//! a call failed within it, or if it is so long that many readers in a row must have
//! failed.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::distribution::store_contact::StoreContact;
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let start = Instant::now();
//! let mut contact = StoreContact::default();
//! contact.record_reply(start);
//! contact.record_failure(start + Duration::from_secs(2));
//! contact.record_reply(start + Duration::from_secs(5));
//! assert_eq!(contact.outage_end(), Some(start + Duration::from_secs(5)));
//! # });
//! ```

use std::{collections::VecDeque, time::Duration};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::read_schedule::{READ_INTERVAL, READ_STAGGER};

/// The time without a reply from the store that counts as a gap. It is longer
/// than the interval between two reads even if the first four readers are cut
/// off, and shorter than an outage in which an entry can miss enough renewals to
/// expire.
pub const STORE_OUTAGE_THRESHOLD: Duration =
    READ_INTERVAL.saturating_add(READ_STAGGER.saturating_mul(4));

/// The length of a gap that counts as an outage although no failed call is known.
/// In a large tier, only the first readers call the store in an outage; by then
/// fifteen in a row have had no reply.
pub const CERTAIN_OUTAGE_THRESHOLD: Duration =
    READ_INTERVAL.saturating_add(READ_STAGGER.saturating_mul(15));

/// The maximum number of gaps that are kept and reported.
pub const MAX_GAPS: usize = 4;

/// A [`StoreContact`] that the control task publishes, for replies to siblings.
pub type StoreContactCell = ArcSwap<StoreContact>;

/// What an instance tells its siblings of its contact with the store. Times are
/// given in milliseconds before the report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactReport {
    /// When the store last replied to the sender or one of its siblings; `None`
    /// if it has not heard of a reply.
    pub last_reply_ms: Option<u32>,
    /// Since when the sender knows of all gaps; `None` before the first reply.
    pub known_since_ms: Option<u32>,
    /// The gaps in the replies since then, the oldest first; at most
    /// [`MAX_GAPS`]. At other times the sender had contact.
    pub gaps: Vec<GapReport>,
}

/// A gap in the replies of the store, as an instance reports it. Times are given
/// in milliseconds before the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GapReport {
    /// The last reply before the gap.
    pub began_ms: u32,
    /// The first reply after the gap; 0 if the gap has not ended.
    pub ended_ms: u32,
    /// When a call to the store last failed in the gap, if one did.
    pub last_failure_ms: Option<u32>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Gap {
    began: Instant,
    ended: Instant,
    /// When a call of any instance last failed. Invariant: not before `began`.
    last_failure: Option<Instant>,
}

impl Gap {
    fn duration(&self) -> Duration {
        self.ended.saturating_duration_since(self.began)
    }

    /// Returns whether the gap is longer than those between two reads.
    fn is_long(&self) -> bool {
        self.duration() >= STORE_OUTAGE_THRESHOLD
    }

    fn is_outage(&self) -> bool {
        let is_certain = self.duration() >= CERTAIN_OUTAGE_THRESHOLD;
        self.is_long() && (is_certain || self.last_failure.is_some())
    }

    /// Adds the time of a failed call, if that is within the gap.
    fn with_failure(self, at: Option<Instant>) -> Self {
        let is_within = |at: &Instant| (self.began..=self.ended).contains(at);
        Self { last_failure: self.last_failure.max(at.filter(is_within)), ..self }
    }

    fn overlaps(&self, other: &Gap) -> bool {
        self.ended > other.began && other.ended > self.began
    }

    /// Returns what two overlapping gaps have in common.
    fn common_with(&self, other: &Gap) -> Gap {
        Gap {
            began: self.began.max(other.began),
            ended: self.ended.min(other.ended),
            last_failure: None,
        }
        .with_failure(self.last_failure)
        .with_failure(other.last_failure)
    }

    /// Returns what is left of this gap if a sibling had these gaps since
    /// `known_since`; `None` if the sibling had contact for most of the time.
    fn narrowed_by(&self, others: &[Gap], known_since: Instant) -> Option<Gap> {
        let overlapping = others.iter().filter(|other| self.overlaps(other));
        let mut common = overlapping.map(|other| self.common_with(other)).filter(Gap::is_long);
        let unknown = Gap { ended: self.ended.min(known_since), last_failure: None, ..*self }
            .with_failure(self.last_failure);
        common.next_back().or(Some(unknown).filter(Gap::is_long))
    }

    fn to_report(self, now: Instant) -> GapReport {
        GapReport {
            began_ms: millis_between(self.began, now),
            ended_ms: millis_between(self.ended, now),
            last_failure_ms: self.last_failure.map(|at| millis_between(at, now)),
        }
    }

    /// Returns the gap that a report means which was received at `now`; `None` if
    /// it began before times that the clock can represent.
    fn from_report(report: &GapReport, now: Instant) -> Option<Self> {
        Some(Self {
            began: millis_before(now, report.began_ms)?,
            ended: millis_before(now, report.ended_ms)?,
            last_failure: report.last_failure_ms.and_then(|ms| millis_before(now, ms)),
        })
    }
}

/// The contact of an instance with the store.
#[derive(Debug, Clone, Default)]
pub struct StoreContact {
    /// When the store last replied to this instance or a sibling. Invariant:
    /// never decreases.
    last_reply: Option<Instant>,
    /// When a call of this instance last failed.
    last_failure: Option<Instant>,
    /// Since when all gaps are known. Invariant: present if `last_reply` is.
    known_since: Option<Instant>,
    /// The gaps since then, the oldest first. Invariant: at most [`MAX_GAPS`],
    /// each long.
    gaps: VecDeque<Gap>,
    /// Whether the last gap, or the time before the first reply, ended with a
    /// reply to this instance, and no sibling has told what it knows of that time.
    is_unconfirmed: bool,
}

impl StoreContact {
    /// Records a reply of the store to this instance.
    pub fn record_reply(&mut self, now: Instant) {
        if self.record_reply_at(now) {
            self.is_unconfirmed = true;
        }
    }

    /// Records that the store replied at this time to this instance or a sibling.
    /// Returns whether that is the first reply or ends a gap.
    fn record_reply_at(&mut self, at: Instant) -> bool {
        let Some(last) = self.last_reply else {
            (self.last_reply, self.known_since) = (Some(at), Some(at));
            return true;
        };
        self.last_reply = Some(last.max(at));
        let gap = self.gap_between(last, at);
        if gap.is_long() {
            self.gaps.push_back(gap);
            self.drop_oldest();
        }
        gap.is_long()
    }

    fn drop_oldest(&mut self) {
        while self.gaps.len() > MAX_GAPS {
            self.known_since = self.gaps.pop_front().map(|gap| gap.ended);
        }
    }

    fn gap_between(&self, began: Instant, ended: Instant) -> Gap {
        Gap { began, ended, last_failure: None }.with_failure(self.last_failure)
    }

    /// Records a failed call of this instance.
    pub fn record_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }

    /// Records what a sibling has reported.
    pub fn record_report(&mut self, report: &ContactReport, now: Instant) {
        let last_reply = report.last_reply_ms.and_then(|ms| millis_before(now, ms));
        let known_since = report.known_since_ms.and_then(|ms| millis_before(now, ms));
        let (Some(last_reply), Some(known_since)) = (last_reply, known_since) else { return };
        self.record_reply_at(last_reply);
        if self.last_gap_end().is_some_and(|end| known_since < end) {
            self.is_unconfirmed = false;
        }
        let gaps = report.gaps.iter().filter_map(|gap| Gap::from_report(gap, now));
        let gaps: Vec<Gap> = gaps.collect();
        let own = self.gaps.iter().filter_map(|own| own.narrowed_by(&gaps, known_since));
        self.gaps = own.collect();
        self.add_earlier(&gaps, known_since);
    }

    /// Adds what a sibling knows of the time before this instance knew of all
    /// gaps.
    fn add_earlier(&mut self, others: &[Gap], known_since: Instant) {
        let Some(own_since) = self.known_since.filter(|own| known_since < *own) else { return };
        for other in others.iter().rev() {
            let gap = other.common_with(&self.gap_between(other.began, own_since));
            if gap.is_long() {
                self.gaps.push_front(gap);
            }
        }
        self.known_since = Some(known_since);
        self.drop_oldest();
    }

    /// Returns what siblings are told.
    #[must_use]
    pub fn report(&self, now: Instant) -> ContactReport {
        let (Some(last), Some(known_since)) = (self.last_reply, self.known_since) else {
            return ContactReport::default();
        };
        let current = Some(self.gap_between(last, now)).filter(Gap::is_long);
        let gaps: Vec<&Gap> = self.gaps.iter().chain(&current).collect();
        let dropped = gaps.len().saturating_sub(MAX_GAPS);
        let known_since = gaps[..dropped].last().map_or(known_since, |gap| gap.ended);
        ContactReport {
            last_reply_ms: Some(millis_between(last, now)),
            known_since_ms: Some(millis_between(known_since, now)),
            gaps: gaps[dropped..].iter().map(|gap| gap.to_report(now)).collect(),
        }
    }

    /// Returns when the store last replied to this instance or a sibling.
    #[must_use]
    pub const fn last_reply(&self) -> Option<Instant> {
        self.last_reply
    }

    /// Returns when the last gap ended, or when the first reply came.
    #[must_use]
    pub fn last_gap_end(&self) -> Option<Instant> {
        self.gaps.back().map(|gap| gap.ended).or(self.known_since)
    }

    /// Returns when the last outage of the store ended, as far as is known;
    /// `None` if no gap that is kept was one.
    #[must_use]
    pub fn outage_end(&self) -> Option<Instant> {
        self.gaps.iter().rev().find(|gap| gap.is_outage()).map(|gap| gap.ended)
    }

    /// Returns whether this instance should ask a sibling what that knows of the
    /// last gap.
    #[must_use]
    pub const fn is_unconfirmed(&self) -> bool {
        self.is_unconfirmed
    }
}

fn millis_between(earlier: Instant, later: Instant) -> u32 {
    later.saturating_duration_since(earlier).as_millis().try_into().unwrap_or(u32::MAX)
}

fn millis_before(now: Instant, ms: u32) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(ms.into()))
}
