//! How many queries of a service this instance works on at the same time.
//!
//! The limit follows the measured latency: it grows while answers come well
//! within the objective and shrinks when they don't. At the limit, the last
//! ranks are refused first, at once and cheaply, so that the first rank
//! keeps whole answers; no answer is thinned to make room.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::{admission::Admission, intent::Rank};
//! use std::time::Duration;
//!
//! let admission = Admission::new(Duration::from_millis(95));
//! let ticket = admission.try_admit(Rank::new(1), Rank::new(3));
//! assert!(ticket.is_some());
//! # });
//! ```

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::intent::Rank;

/// The limit before anything was measured.
const INITIAL_LIMIT: u64 = 64;

/// The limit never falls below this.
const MIN_LIMIT: u64 = 4;

/// The limit never rises above this.
const MAX_LIMIT: u64 = 4096;

/// The parts into which one unit of the limit is divided.
const PARTS: u64 = 1000;

/// What is left of the limit after an answer that came too late, in percent.
const DECREASE_PERCENT: u64 = 90;

/// The share of the limit that the last rank may fill, in percent.
const LAST_RANK_PERCENT: u64 = 50;

/// Limits the queries of one service that are worked on.
#[derive(Debug)]
pub struct Admission {
    in_flight: AtomicU32,
    /// The limit in parts of a query. Invariant: between [`MIN_LIMIT`] and
    /// [`MAX_LIMIT`] queries.
    limit_parts: AtomicU64,
    /// Latencies above this make the limit fall, in microseconds.
    target_us: AtomicU64,
    /// When the limit fell last, in microseconds since `born`.
    fell_us: AtomicU64,
    born: Instant,
}

/// A query that was let in; gives its place back on drop.
#[derive(Debug)]
pub struct Ticket {
    admission: Arc<Admission>,
    since: Instant,
}

impl Admission {
    /// Admission that keeps latencies under the target.
    #[must_use]
    pub fn new(target: Duration) -> Arc<Self> {
        Arc::new(Self {
            in_flight: AtomicU32::new(0),
            limit_parts: AtomicU64::new(INITIAL_LIMIT * PARTS),
            target_us: AtomicU64::new(target.as_micros() as u64),
            fell_us: AtomicU64::new(0),
            born: Instant::now(),
        })
    }

    /// Changes the target.
    pub fn set_target(&self, target: Duration) {
        self.target_us.store(target.as_micros() as u64, Ordering::Relaxed);
    }

    /// The queries worked on.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// The limit, in queries.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.limit_parts.load(Ordering::Relaxed) / PARTS
    }

    /// Lets a query in if there is room for its rank.
    #[must_use]
    pub fn try_admit(self: &Arc<Self>, rank: Rank, last: Rank) -> Option<Ticket> {
        let room = room_for(self.limit(), rank, last);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
                (u64::from(n) < room).then_some(n + 1)
            })
            .is_ok()
            .then(|| Ticket { admission: Arc::clone(self), since: Instant::now() })
    }

    /// Lets a query in whether there is room or not.
    #[must_use]
    pub fn admit(self: &Arc<Self>) -> Ticket {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Ticket { admission: Arc::clone(self), since: Instant::now() }
    }

    fn adapt(&self, latency: Duration) {
        let target = self.target_us.load(Ordering::Relaxed);
        if latency.as_micros() as u64 > target {
            self.decrease(target);
        } else {
            self.increase();
        }
    }

    /// Grows by about one query for each round of as many answers.
    fn increase(&self) {
        let parts = self.limit_parts.load(Ordering::Relaxed);
        let is_used = u64::from(self.in_flight()) * 2 >= parts / PARTS;
        if is_used {
            let grown = parts + PARTS * PARTS / parts;
            self.limit_parts.store(grown.min(MAX_LIMIT * PARTS), Ordering::Relaxed);
        }
    }

    /// Shrinks at most once in each target time, so that one burst of late
    /// answers counts once.
    fn decrease(&self, target_us: u64) {
        let now = self.born.elapsed().as_micros() as u64;
        let fell = self.fell_us.load(Ordering::Relaxed);
        let is_due = now.saturating_sub(fell) >= target_us;
        let exchange =
            self.fell_us.compare_exchange(fell, now, Ordering::Relaxed, Ordering::Relaxed);
        if is_due && exchange.is_ok() {
            let parts = self.limit_parts.load(Ordering::Relaxed) * DECREASE_PERCENT / 100;
            self.limit_parts.store(parts.max(MIN_LIMIT * PARTS), Ordering::Relaxed);
        }
    }
}

impl Ticket {
    /// Reports the query's latency to the limit.
    pub fn report(&self) {
        self.admission.adapt(self.since.elapsed());
    }

    /// When the query was let in.
    #[must_use]
    pub const fn since(&self) -> Instant {
        self.since
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.admission.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The part of the limit that a rank may fill: all for the first, down to
/// [`LAST_RANK_PERCENT`] for the last.
fn room_for(limit: u64, rank: Rank, last: Rank) -> u64 {
    let steps = u64::from(last.number().saturating_sub(1)).max(1);
    let step = u64::from(rank.number().saturating_sub(1)).min(steps);
    let percent = 100 - (100 - LAST_RANK_PERCENT) * step / steps;
    (limit * percent / 100).max(1)
}
