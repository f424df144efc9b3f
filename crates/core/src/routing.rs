//! The choice of the replica that a shard is asked from.
//!
//! Of the replicas that hold the pinned version and are not leaving, two are
//! drawn and the less loaded one is taken: by what all instances have in
//! flight, then by the decaying latency. A replica of this instance's own
//! availability zone wins a tie. An ejected searcher is drawn only when
//! nothing else is left.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{name::ZoneName, policy::Policy, routing::Router};
//!
//! let router = Router::new(ZoneName::try_new("a").unwrap(), Policy::default());
//! assert!(router.choose(&[], &[], |_| true).is_none());
//! ```

use std::{cmp::Ordering, sync::Arc};

use rand::{RngExt, seq::IndexedRandom};

use crate::{
    name::ZoneName,
    policy::{Policy, ReplicaChoice},
    searcher::Searcher,
};

/// Chooses replicas for one instance.
#[derive(Debug, Clone)]
pub struct Router {
    zone: ZoneName,
    policy: Policy,
}

impl Router {
    /// A router for an instance in this availability zone.
    #[must_use]
    pub const fn new(zone: ZoneName, policy: Policy) -> Self {
        Self { zone, policy }
    }

    /// Chooses one of the replicas that satisfy `usable` and are not among
    /// `tried`; falls back to ejected ones when no other is left.
    #[must_use]
    pub fn choose(
        &self,
        replicas: &[Arc<Searcher>],
        tried: &[Arc<Searcher>],
        usable: impl Fn(&Searcher) -> bool,
    ) -> Option<Arc<Searcher>> {
        let is_open = |s: &&Arc<Searcher>| {
            !s.is_leaving() && usable(s) && !tried.iter().any(|t| Arc::ptr_eq(t, s))
        };
        let open: Vec<_> = replicas.iter().filter(is_open).collect();
        let is_healthy = |s: &&Arc<Searcher>| !(self.policy.ejection && s.is_ejected());
        let healthy: Vec<_> = open.iter().copied().filter(is_healthy).collect();
        let drawn = if healthy.is_empty() { open } else { healthy };
        match self.policy.choice {
            ReplicaChoice::TwoChoices => self.better_of_two(&drawn).cloned(),
            ReplicaChoice::Random => drawn.choose(&mut rand::rng()).copied().cloned(),
        }
    }

    fn better_of_two<'a>(&self, drawn: &[&'a Arc<Searcher>]) -> Option<&'a Arc<Searcher>> {
        match drawn {
            [] => None,
            [only] => Some(only),
            many => {
                let mut rng = rand::rng();
                let first = rng.random_range(0..many.len());
                let step = rng.random_range(1..many.len());
                let second = (first + step) % many.len();
                Some(self.better(many[first], many[second]))
            }
        }
    }

    fn better<'a>(&self, a: &'a Arc<Searcher>, b: &'a Arc<Searcher>) -> &'a Arc<Searcher> {
        let is_near = |s: &Searcher| *s.zone() == self.zone;
        let order = a
            .load()
            .cmp(&b.load())
            .then_with(|| is_near(b).cmp(&is_near(a)))
            .then_with(|| a.latency().cmp(&b.latency()));
        if order == Ordering::Greater { b } else { a }
    }
}
