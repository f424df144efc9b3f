//! The other instances, as those that can ask searchers of their own zone.
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

/// One other instance, and whether it answers.
#[derive(Debug)]
pub struct Sibling {
    name: InstanceName,
    zone: ZoneName,
    /// Where it takes relayed requests.
    addr: SocketAddr,
    born: Instant,
    /// Until when it is passed over, in microseconds since `born`.
    ejected_until_us: AtomicU64,
}

impl Sibling {
    /// An instance of which nothing bad is known.
    #[must_use]
    pub fn new(name: InstanceName, zone: ZoneName, addr: SocketAddr) -> Self {
        Self { name, zone, addr, born: Instant::now(), ejected_until_us: AtomicU64::new(0) }
    }

    /// The instance's name.
    #[must_use]
    pub const fn name(&self) -> &InstanceName {
        &self.name
    }

    /// The instance's availability zone.
    #[must_use]
    pub const fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Where the instance takes relayed requests.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Passes the instance over for a while.
    pub fn eject_for(&self, span: Duration) {
        let until = (self.born.elapsed() + span).as_micros() as u64;
        self.ejected_until_us.fetch_max(until, Ordering::AcqRel);
    }

    /// Whether the instance is passed over now.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        let until = self.ejected_until_us.load(Ordering::Acquire);
        until != 0 && (self.born.elapsed().as_micros() as u64) < until
    }
}

/// Any instance of the zone that is not passed over.
#[must_use]
pub fn choose_in(siblings: &[Arc<Sibling>], zone: &ZoneName) -> Option<Arc<Sibling>> {
    let usable: Vec<_> = siblings.iter().filter(|s| s.zone == *zone && !s.is_ejected()).collect();
    usable.choose(&mut rand::rng()).map(|s| Arc::clone(s))
}
