//! The limit of requests a second that a searcher names for all instances
//! together, and this instance's share of it.
//!
//! The limit is divided among few instances, those of the searcher's
//! availability zone first, so that a limit of a few requests a second is not
//! cut into shares that serve nobody. An instance that has no share sends a
//! request from time to time, to learn whether the limit has ended. Every
//! request counts: first attempts, retries, hedges and relayed ones.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::searcher::named_limit::{LimitStatement, NamedLimit, RequestRate};
//! use endivevale_core::name::{SearcherName, ZoneName};
//!
//! let name = SearcherName::try_new("s1").unwrap();
//! let limit = NamedLimit::new(name, ZoneName::try_new("a").unwrap());
//! assert!(limit.try_acquire());
//! limit.record(LimitStatement::Named(RequestRate::try_new(0.0).unwrap()));
//! assert!(!limit.try_acquire());
//! # });
//! ```

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::time::Instant;

use crate::{
    name::{InstanceName, SearcherName, ZoneName},
    rate_limiter::RateLimiter,
};

/// The highest rate that is told apart, in requests a second.
const MAX_RATE: f64 = 1e6;

/// The lowest share that an instance gets, in requests a second, unless it is
/// the only one with a share.
const MIN_SHARE: f64 = 1.0;

/// The part of a limit that is handed out, since instances may differ for a
/// moment in who has a share.
const USED_PART: f64 = 0.95;

/// The burst of a share beyond one request, as the time in which the share
/// allows so many.
const BURST_TIME: Duration = Duration::from_millis(250);

/// The time in which the instances without a share together send as many
/// requests as the limit allows in one second, and one.
const RECHECK_TIME: Duration = Duration::from_secs(8);

/// How long after an answer with a limit an answer without one ends it. Answers
/// on different connections may overtake each other.
const END_DELAY: Duration = Duration::from_millis(200);

/// A rate of requests, in requests a second. Invariant: at least 0 and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; one above a million counts as a million. Returns `None`
    /// if it is negative or not a number.
    #[must_use]
    pub fn try_new(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then(|| Self(per_second.min(MAX_RATE)))
    }

    /// Returns the requests a second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

/// What an answer of a searcher says of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitStatement {
    /// Nothing: the answer does not show whether there is a limit.
    #[default]
    Unsaid,
    /// There is no limit.
    Unlimited,
    /// The searcher takes this many requests from all instances together.
    Named(RequestRate),
}

/// The instances among which limits are divided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TierInstances {
    /// This instance; `None` if it is not known, which gives each instance an
    /// equal share.
    pub own: Option<(InstanceName, ZoneName)>,
    /// Whether this instance may have a share.
    pub has_own_share: bool,
    /// The other instances that may have a share.
    pub others: Vec<(InstanceName, ZoneName)>,
    /// The number of all instances, also of those that cannot have a share; 0 if
    /// there are none of these.
    pub instance_count: usize,
}

impl Default for TierInstances {
    fn default() -> Self {
        Self { own: None, has_own_share: true, others: Vec::new(), instance_count: 0 }
    }
}

impl TierInstances {
    /// Returns the number of instances.
    pub(crate) fn count(&self) -> usize {
        self.instance_count.max(self.others.len() + 1)
    }

    /// Returns this instance's share of a limit of the searcher; `None` if
    /// others have all of it.
    fn share(
        &self,
        searcher: &SearcherName,
        zone: &ZoneName,
        limit: RequestRate,
    ) -> Option<RequestRate> {
        if !self.has_own_share && !self.others.is_empty() {
            return None;
        }
        let usable = limit.0 * USED_PART;
        let Some((own_name, own_zone)) = &self.own else {
            return Some(RequestRate(usable / self.count() as f64));
        };
        let in_zone = |other: &ZoneName| other == zone;
        let has_zone = in_zone(own_zone) || self.others.iter().any(|(_, z)| in_zone(z));
        if has_zone && !in_zone(own_zone) {
            return None;
        }
        let rivals = self.others.iter().filter(|(_, z)| !has_zone || in_zone(z));
        let own_weight = weight(searcher, own_name);
        let (mut rival_count, mut position) = (0, 0);
        for (name, _) in rivals {
            rival_count += 1;
            position += usize::from(weight(searcher, name) > own_weight);
        }
        let shares = ((limit.0 / MIN_SHARE) as usize).clamp(1, rival_count + 1);
        (position < shares).then(|| RequestRate(usable / shares as f64))
    }
}

/// The weight of an instance in the rendezvous hashing of a searcher.
fn weight(searcher: &SearcherName, instance: &InstanceName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), searcher.stable_hash())
}

/// The limit that one searcher names.
#[derive(Debug)]
pub struct NamedLimit {
    searcher: SearcherName,
    zone: ZoneName,
    created_at: Instant,
    is_limited: AtomicBool,
    /// The limit named last, as the bits of its requests a second.
    rate_bits: AtomicU64,
    /// When a limit was named last, in milliseconds since `created_at`.
    named_at_ms: AtomicU64,
    tier: ArcSwap<TierInstances>,
    /// Limits this instance to its share.
    share_limiter: RateLimiter,
}

impl NamedLimit {
    /// Creates the state of a searcher that has named no limit.
    #[must_use]
    pub fn new(searcher: SearcherName, zone: ZoneName) -> Self {
        Self {
            searcher,
            zone,
            created_at: Instant::now(),
            is_limited: AtomicBool::new(false),
            rate_bits: AtomicU64::new(0),
            named_at_ms: AtomicU64::new(0),
            tier: ArcSwap::default(),
            share_limiter: RateLimiter::new(0.0, Duration::from_secs(1), 0.0),
        }
    }

    /// Sets the instances among which the limit is divided.
    pub fn set_tier(&self, tier: &Arc<TierInstances>) {
        if Arc::ptr_eq(&self.tier.load(), tier) {
            return;
        }
        self.tier.store(Arc::clone(tier));
        if let Some(limit) = self.limit() {
            self.apply(limit);
        }
    }

    /// Records what an answer of the searcher says.
    pub fn record(&self, statement: LimitStatement) {
        match statement {
            LimitStatement::Unsaid => {}
            LimitStatement::Unlimited => self.end(),
            LimitStatement::Named(limit) => self.name(limit),
        }
    }

    fn name(&self, limit: RequestRate) {
        self.named_at_ms.store(self.now_ms(), Ordering::Release);
        let bits = limit.0.to_bits();
        let is_new = self.rate_bits.swap(bits, Ordering::AcqRel) != bits;
        let was_limited = self.is_limited.load(Ordering::Acquire);
        if is_new || !was_limited {
            self.apply(limit);
        }
        if !was_limited {
            self.share_limiter.use_up();
            self.is_limited.store(true, Ordering::Release);
            log::info!(
                target: "searcher",
                "Searcher {} names a limit of {:.2} requests a second; the share of this instance is {:.2}.",
                self.searcher,
                limit.0,
                self.share(limit).map_or(0.0, RequestRate::per_second),
            );
        }
    }

    fn end(&self) {
        if !self.is_limited.load(Ordering::Acquire) {
            return;
        }
        let since_named = self.now_ms().saturating_sub(self.named_at_ms.load(Ordering::Acquire));
        if since_named < END_DELAY.as_millis() as u64 {
            return;
        }
        if self.is_limited.swap(false, Ordering::AcqRel) {
            log::info!(target: "searcher", "Searcher {} names no limit any more.", self.searcher);
        }
    }

    /// Sets the rate of this instance's requests under this limit.
    fn apply(&self, limit: RequestRate) {
        let second = Duration::from_secs(1);
        match self.share(limit) {
            Some(share) => {
                let burst = 1.0 + share.0 * BURST_TIME.as_secs_f64();
                self.share_limiter.set_rate(share.0, second, burst);
            }
            None => {
                let instances = self.tier.load().count() as f64;
                let recheck = RECHECK_TIME.mul_f64(instances);
                self.share_limiter.set_rate(limit.0 + 1.0, recheck, 1.0);
            }
        }
    }

    fn share(&self, limit: RequestRate) -> Option<RequestRate> {
        self.tier.load().share(&self.searcher, &self.zone, limit)
    }

    fn now_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    /// Returns the limit in force, if the searcher names one.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        let is_limited = self.is_limited.load(Ordering::Acquire);
        is_limited.then(|| RequestRate(f64::from_bits(self.rate_bits.load(Ordering::Acquire))))
    }

    /// Returns whether this instance may send a request now.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.time_to_room().is_zero()
    }

    /// Returns how long it takes until this instance may send a request; zero
    /// without a limit.
    #[must_use]
    pub fn time_to_room(&self) -> Duration {
        match self.is_limited.load(Ordering::Acquire) {
            true => self.share_limiter.time_to_next(),
            false => Duration::ZERO,
        }
    }

    /// Counts a request that is about to be sent. Returns whether it may be.
    #[must_use]
    pub fn try_acquire(&self) -> bool {
        !self.is_limited.load(Ordering::Acquire) || self.share_limiter.try_acquire()
    }
}
