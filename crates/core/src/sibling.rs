//! The other instances, to which sub-requests for searchers of their zones can
//! be relayed.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::{name::{InstanceName, ZoneName}, sibling::Sibling};
//! use std::time::Duration;
//!
//! let sibling = Sibling::new(
//!     InstanceName::try_new("entry-2").unwrap(),
//!     ZoneName::try_new("b").unwrap(),
//!     "127.0.0.1:7100".parse().unwrap(),
//! );
//! assert!(!sibling.is_ejected());
//! sibling.eject_for(Duration::from_secs(1));
//! assert!(sibling.is_ejected());
//! # });
//! ```

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::{
    circuit_breaker::CircuitBreaker,
    name::{InstanceName, ZoneName},
    stats::RelayStats,
};

/// The state of this instance's relays to all siblings of one zone.
#[derive(Debug, Default)]
pub struct ZoneState {
    /// Open while the zone does not answer.
    pub breaker: CircuitBreaker,
    /// Counters of the relayed requests.
    pub stats: RelayStats,
}

/// Another instance of the tier, with its ejection state.
#[derive(Debug)]
pub struct Sibling {
    name: InstanceName,
    zone: ZoneName,
    /// The address for relayed requests.
    relay_addr: SocketAddr,
    /// The state of all siblings of the zone together.
    zone_state: Arc<ZoneState>,
    created_at: Instant,
    /// The time until which the instance is ejected, in microseconds since
    /// `created_at`; 0 if it never was.
    ejected_until_us: AtomicU64,
    /// The doubling ejections since the last reply.
    ejections: AtomicU32,
}

/// The maximum number of times that the duration of an ejection is doubled.
const MAX_DOUBLINGS: u32 = 5;

impl Sibling {
    /// Creates a sibling that is not ejected, in a zone without other siblings.
    #[must_use]
    pub fn new(name: InstanceName, zone: ZoneName, relay_addr: SocketAddr) -> Self {
        Self::in_zone(name, zone, relay_addr, Arc::default())
    }

    /// Creates a sibling that is not ejected and shares this state with the other
    /// siblings of its zone.
    #[must_use]
    pub fn in_zone(
        name: InstanceName,
        zone: ZoneName,
        relay_addr: SocketAddr,
        zone_state: Arc<ZoneState>,
    ) -> Self {
        Self {
            name,
            zone,
            relay_addr,
            zone_state,
            created_at: Instant::now(),
            ejected_until_us: AtomicU64::new(0),
            ejections: AtomicU32::new(0),
        }
    }

    /// Returns the name of the instance.
    #[must_use]
    pub const fn name(&self) -> &InstanceName {
        &self.name
    }

    /// Returns the availability zone of the instance.
    #[must_use]
    pub const fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the address for relayed requests.
    #[must_use]
    pub const fn relay_addr(&self) -> SocketAddr {
        self.relay_addr
    }

    /// Returns the state that all siblings of the zone share.
    #[must_use]
    pub const fn zone_state(&self) -> &Arc<ZoneState> {
        &self.zone_state
    }

    /// Ejects the instance for `duration`; never shortens an ejection in
    /// progress.
    pub fn eject_for(&self, duration: Duration) {
        let until_us = (self.created_at.elapsed() + duration).as_micros() as u64;
        self.ejected_until_us.fetch_max(until_us, Ordering::AcqRel);
    }

    /// Ejects the instance for `duration`, doubled for each such ejection since its
    /// last reply in time, five times at most.
    pub fn eject_doubling(&self, duration: Duration) {
        let doublings = self.ejections.fetch_add(1, Ordering::AcqRel).min(MAX_DOUBLINGS);
        self.eject_for(duration * 2_u32.pow(doublings));
    }

    /// Records a reply in time.
    pub fn record_reply(&self) {
        self.ejections.store(0, Ordering::Release);
        self.zone_state.breaker.record_success();
    }

    /// Returns whether the instance is ejected now.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        let until_us = self.ejected_until_us.load(Ordering::Acquire);
        until_us != 0 && (self.created_at.elapsed().as_micros() as u64) < until_us
    }
}

/// Chooses a random one of these siblings of one zone that is not ejected, if there
/// is one and the zone's circuit breaker is closed.
#[must_use]
pub fn choose_available(siblings: &[Arc<Sibling>]) -> Option<Arc<Sibling>> {
    let is_available = |s: &&Arc<Sibling>| !s.is_ejected() && !s.zone_state.breaker.is_open();
    let candidates: Vec<_> = siblings.iter().filter(is_available).collect();
    candidates.choose(&mut rand::rng()).map(|s| Arc::clone(s))
}

/// Chooses a random one of these siblings of one zone for a probe, if the zone's
/// circuit breaker is open and a probe is due.
#[must_use]
pub fn choose_for_probe(siblings: &[Arc<Sibling>]) -> Option<Arc<Sibling>> {
    let chosen = siblings.choose(&mut rand::rng())?;
    chosen.zone_state.breaker.try_begin_probe().then(|| Arc::clone(chosen))
}
