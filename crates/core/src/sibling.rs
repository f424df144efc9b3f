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
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::name::{InstanceName, ZoneName};

/// Another instance of the tier, with its ejection state.
#[derive(Debug)]
pub struct Sibling {
    name: InstanceName,
    zone: ZoneName,
    /// The address for relayed requests.
    relay_addr: SocketAddr,
    created_at: Instant,
    /// The time until which the instance is ejected, in microseconds since
    /// `created_at`; 0 if it never was.
    ejected_until_us: AtomicU64,
}

impl Sibling {
    /// Creates a sibling that is not ejected.
    #[must_use]
    pub fn new(name: InstanceName, zone: ZoneName, relay_addr: SocketAddr) -> Self {
        Self {
            name,
            zone,
            relay_addr,
            created_at: Instant::now(),
            ejected_until_us: AtomicU64::new(0),
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

    /// Ejects the instance for `duration`; never shortens an ejection in
    /// progress.
    pub fn eject_for(&self, duration: Duration) {
        let until_us = (self.created_at.elapsed() + duration).as_micros() as u64;
        self.ejected_until_us.fetch_max(until_us, Ordering::AcqRel);
    }

    /// Returns whether the instance is ejected now.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        let until_us = self.ejected_until_us.load(Ordering::Acquire);
        until_us != 0 && (self.created_at.elapsed().as_micros() as u64) < until_us
    }
}

/// Chooses a random instance of the zone that is not ejected, if there is one.
#[must_use]
pub fn choose_in_zone(siblings: &[Arc<Sibling>], zone: &ZoneName) -> Option<Arc<Sibling>> {
    let candidates: Vec<_> =
        siblings.iter().filter(|s| s.zone == *zone && !s.is_ejected()).collect();
    candidates.choose(&mut rand::rng()).map(|s| Arc::clone(s))
}
