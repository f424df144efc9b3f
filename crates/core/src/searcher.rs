//! What this instance knows of one searcher.
//!
//! The state is shared by every view that lists the searcher, so that a new
//! view does not forget what was learnt. All of it is read and written by
//! atomics and read-copy-update on the path of a request.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::{
//!     layout::IndexVersion,
//!     name::{SearcherName, ZoneName},
//!     searcher::{Searcher, SearcherKey},
//! };
//!
//! let s = Searcher::new(
//!     SearcherKey::default(),
//!     SearcherName::try_new("s1").unwrap(),
//!     1,
//!     ZoneName::try_new("a").unwrap(),
//!     "127.0.0.1:1".parse().unwrap(),
//!     3,
//! );
//! s.learn_held(vec![IndexVersion::new(1, 4)]);
//! assert!(s.holds(IndexVersion::new(1, 4)));
//! # });
//! ```

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::{
    gate::Gate,
    layout::IndexVersion,
    name::{SearcherName, ZoneName},
    stats::SearcherStats,
};

/// The weight of a new sample in the latency estimate, as a divisor.
const LATENCY_DECAY: u64 = 8;

/// The longest ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(2);

/// Doublings of an ejection after which it grows no more.
const MAX_STRIKES: u32 = 4;

new_key_type! {
    /// Identifies an incarnation of a searcher within one process.
    pub struct SearcherKey;
}

/// What a searcher says of itself with any reply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SearcherNews {
    /// The versions that it holds; empty when the reply did not say.
    pub held: Vec<IndexVersion>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// One searcher and what was learnt of it.
#[derive(Debug)]
pub struct Searcher {
    key: SearcherKey,
    name: SearcherName,
    incarnation: u64,
    zone: ZoneName,
    addr: SocketAddr,
    /// Limits what this instance has in flight to the searcher.
    gate: Arc<Gate>,
    /// The connections that this instance may have open to it. Invariant:
    /// at least one.
    share: AtomicU32,
    /// Decaying mean of the service time, in microseconds; 0 before the
    /// first sample.
    latency_us: AtomicU64,
    /// Set once the searcher was seen leaving. Invariant: never cleared; a
    /// searcher that comes back has a new incarnation and a new state.
    leaving: AtomicBool,
    /// The versions that the searcher said it holds, in no order.
    held: ArcSwap<Vec<IndexVersion>>,
    /// What the siblings have in flight to it, by their last heartbeats.
    siblings_in_flight: AtomicU32,
    /// Until when the searcher is passed over where another replica is up,
    /// in milliseconds since `born`.
    ejected_until_ms: AtomicU64,
    /// Ejections since the last part.
    strikes: AtomicU32,
    born: Instant,
    stats: SearcherStats,
}

impl Searcher {
    /// A searcher of which nothing was learnt yet. `share` bounds the
    /// connections of this instance to it, and what it has in flight there.
    ///
    /// # Panics
    ///
    /// Panics outside of a runtime, which runs the queue of the gate.
    #[must_use]
    pub fn new(
        key: SearcherKey,
        name: SearcherName,
        incarnation: u64,
        zone: ZoneName,
        addr: SocketAddr,
        share: u32,
    ) -> Self {
        Self {
            key,
            name,
            incarnation,
            zone,
            addr,
            gate: Gate::new(share),
            share: AtomicU32::new(share.max(1)),
            latency_us: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            held: ArcSwap::default(),
            siblings_in_flight: AtomicU32::new(0),
            ejected_until_ms: AtomicU64::new(0),
            strikes: AtomicU32::new(0),
            born: Instant::now(),
            stats: SearcherStats::default(),
        }
    }

    /// The key within this process.
    #[must_use]
    pub const fn key(&self) -> SearcherKey {
        self.key
    }

    /// The searcher's name.
    #[must_use]
    pub const fn name(&self) -> &SearcherName {
        &self.name
    }

    /// Grows each time the searcher starts anew.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The searcher's availability zone.
    #[must_use]
    pub const fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Where the searcher listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The gate that limits what is in flight.
    #[must_use]
    pub const fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Changes the share of the searcher's connections; zero counts as one.
    pub fn set_share(&self, share: u32) {
        self.share.store(share.max(1), Ordering::Release);
        self.gate.set_limit(share);
    }

    /// The connections that this instance may have open to the searcher.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.share.load(Ordering::Acquire)
    }

    /// The counters.
    #[must_use]
    pub const fn stats(&self) -> &SearcherStats {
        &self.stats
    }

    /// Takes in one service time.
    pub fn record_latency(&self, sample: Duration) {
        let sample = sample.as_micros() as u64;
        let old = self.latency_us.load(Ordering::Relaxed);
        let new =
            if old == 0 { sample } else { old - old / LATENCY_DECAY + sample / LATENCY_DECAY };
        // A lost update between two threads only drops one sample.
        self.latency_us.store(new.max(1), Ordering::Relaxed);
    }

    /// The decaying mean of the service time.
    #[must_use]
    pub fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_us.load(Ordering::Relaxed))
    }

    /// The searcher was seen leaving. Returns whether that is news.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::AcqRel)
    }

    /// Whether the searcher was seen leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Takes in what the searcher said of itself.
    pub fn observe(&self, news: SearcherNews) {
        if !news.held.is_empty() {
            self.learn_held(news.held);
        }
        if news.leaving {
            self.mark_leaving();
        }
    }

    /// Replaces what is known of the versions held.
    pub fn learn_held(&self, held: Vec<IndexVersion>) {
        if **self.held.load() != held {
            self.held.store(Arc::new(held));
        }
    }

    /// The versions that the searcher said it holds.
    #[must_use]
    pub fn held(&self) -> Arc<Vec<IndexVersion>> {
        self.held.load_full()
    }

    /// Whether the searcher said that it holds the version.
    #[must_use]
    pub fn holds(&self, version: IndexVersion) -> bool {
        self.held.load().contains(&version)
    }

    /// Replaces what the siblings have in flight.
    pub fn set_siblings_in_flight(&self, count: u32) {
        self.siblings_in_flight.store(count, Ordering::Relaxed);
    }

    /// What all instances have in flight, as far as this one knows.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.gate.pressure() + self.siblings_in_flight.load(Ordering::Relaxed)
    }

    /// Passes the searcher over for a while: for `span` at first, twice as
    /// long each time until it gives a part, up to [`MAX_EJECTION`].
    pub fn eject_for(&self, span: Duration) {
        let strikes = self.strikes.fetch_add(1, Ordering::Relaxed).min(MAX_STRIKES);
        let until = self.born.elapsed() + (span * 2_u32.pow(strikes)).min(MAX_EJECTION);
        self.ejected_until_ms.store(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// The searcher gave a part, so the next ejection is short again.
    pub fn forgive(&self) {
        if self.strikes.load(Ordering::Relaxed) != 0 {
            self.strikes.store(0, Ordering::Relaxed);
        }
    }

    /// Takes in that an exchange was given up after this long. It would have
    /// taken longer, so the sample counts only if it is above the estimate.
    pub fn record_given_up(&self, elapsed: Duration) {
        if elapsed > self.latency() {
            self.record_latency(elapsed);
        }
    }

    /// Whether the searcher is passed over now.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        let until = self.ejected_until_ms.load(Ordering::Relaxed);
        until != 0 && (self.born.elapsed().as_millis() as u64) < until
    }
}
