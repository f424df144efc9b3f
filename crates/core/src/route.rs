//! Routes: which service, or which set of shards, a forwarded request goes to.
//!
//! A request is matched by its host and by the longest prefix that begins its
//! path. The table is built once for each configuration and never changes, so
//! a request that has looked up its route keeps one consistent set of shards
//! to its end.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{name::{RouteName, ServiceName}, route::{Route, RouteTable, Target}};
//!
//! let board = ServiceName::try_new("lathe-board")?;
//! let route = Route::new(RouteName::try_new("cards")?, Target::One(board));
//! let table = RouteTable::build([("jobs.example", "/cards/", route)]);
//! assert!(table.find("jobs.example", "/cards/17").is_some());
//! assert!(table.find("jobs.example", "/other/").is_none());
//! # Ok::<(), endivevale_core::name::NameError>(())
//! ```

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::{
    intent::Rank,
    name::{RouteName, ServiceName},
};

/// The timeout of a route that declares none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// The latency objective of a route that declares none.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// The attempts of a route that declares no limit.
const DEFAULT_ATTEMPTS: u32 = 2;

/// The fractional part of the golden ratio in 32 bits. Multiples of it spread
/// evenly over the whole range, so that every part of a split gets its share
/// over any short run of requests.
const GOLDEN: u32 = 0x9E37_79B9;

/// What the operators declare for one route.
#[derive(Debug)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// Where its requests go.
    pub target: Target,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Which requests come first when there is no room for all.
    pub rank: Rank,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The latency objective of an answer.
    pub objective: Duration,
    /// The most searchers that one request is sent to, for each shard apart.
    /// Invariant: above zero.
    pub max_attempts: u32,
    /// Requests distributed so far over the parts of a split target.
    turn: AtomicU32,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// To one searcher of a service.
    One(ServiceName),
    /// To one searcher of one of several services, by weight.
    Split(Split),
    /// To one searcher of each shard.
    Shards(ShardSet),
}

/// Services that share the requests of a route by weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// Invariant: not empty, and the weights do not add up to zero.
    parts: Vec<(ServiceName, u32)>,
    total: u64,
}

/// Every shard that a query must reach, and how the parts are merged.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardSet {
    /// The shards, each a service of its own. Invariant: each once.
    pub shards: Vec<ServiceName>,
    /// The number of records in an answer: the greatest ones.
    pub top: usize,
    /// The least share of the shards that an answer may cover, in `0.0..=1.0`.
    pub least_coverage: f64,
}

impl PartialEq for Route {
    /// Compares what was declared.
    fn eq(&self, other: &Self) -> bool {
        self.name == other.name
            && self.target == other.target
            && self.is_idempotent == other.is_idempotent
            && self.rank == other.rank
            && self.timeout == other.timeout
            && self.objective == other.objective
            && self.max_attempts == other.max_attempts
    }
}

impl Split {
    /// A split over services by weight; `None` when no weight is above zero.
    #[must_use]
    pub fn try_new(parts: Vec<(ServiceName, u32)>) -> Option<Self> {
        let total = parts.iter().map(|(_, weight)| u64::from(*weight)).sum();
        (total > 0).then_some(Self { parts, total })
    }

    /// The service at a position of the split, from 0 to `u32::MAX`.
    fn at(&self, position: u32) -> &ServiceName {
        let mut left = (u64::from(position) * self.total) >> u32::BITS;
        for (service, weight) in &self.parts {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return service,
            }
        }
        // The position is below the total, so a part was returned above; the
        // last part stands here for the compiler only.
        &self.parts[self.parts.len() - 1].0
    }

    /// The services with their weights.
    #[must_use]
    pub fn parts(&self) -> &[(ServiceName, u32)] {
        &self.parts
    }
}

impl ShardSet {
    /// The fewest shards that an answer must cover; never below one.
    #[must_use]
    pub fn least_shards(&self) -> usize {
        let exact = self.least_coverage * self.shards.len() as f64;
        // The tolerance keeps 0.75 of 4 shards at 3 when floats round up.
        ((exact - 1e-9).ceil().max(1.0)) as usize
    }
}

impl Route {
    /// A route that declares nothing but its target: not idempotent, of the
    /// first rank.
    #[must_use]
    pub fn new(name: RouteName, target: Target) -> Self {
        Self {
            name,
            target,
            is_idempotent: false,
            rank: Rank::new(1),
            timeout: DEFAULT_TIMEOUT,
            objective: DEFAULT_OBJECTIVE,
            max_attempts: DEFAULT_ATTEMPTS,
            turn: AtomicU32::new(rand::random()),
        }
    }

    /// The service for the next request of a split, by weight.
    #[must_use]
    pub fn next_of<'a>(&self, split: &'a Split) -> &'a ServiceName {
        split.at(self.turn.fetch_add(1, Ordering::Relaxed).wrapping_mul(GOLDEN))
    }

    /// Every service that the route may send a request to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, split, shards) = match &self.target {
            Target::One(service) => (Some(service), &[][..], &[][..]),
            Target::Split(split) => (None, split.parts(), &[][..]),
            Target::Shards(set) => (None, &[][..], &set.shards[..]),
        };
        one.into_iter().chain(split.iter().map(|(service, _)| service)).chain(shards)
    }
}

/// A route and the prefix of the paths that it serves.
#[derive(Debug, PartialEq)]
struct PrefixRoute {
    prefix: Arc<str>,
    route: Arc<Route>,
}

/// Every route of one configuration.
#[derive(Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The routes of each host. Invariant: the longest prefix first.
    hosts: HashMap<Arc<str>, Vec<PrefixRoute>>,
}

impl RouteTable {
    /// A table of routes, each with its host and path prefix.
    #[must_use]
    pub fn build<'a>(routes: impl IntoIterator<Item = (&'a str, &'a str, Route)>) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<PrefixRoute>> = HashMap::new();
        for (host, prefix, route) in routes {
            let host = Arc::from(host.to_ascii_lowercase());
            let route = PrefixRoute { prefix: Arc::from(prefix), route: Arc::new(route) };
            hosts.entry(host).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { hosts }
    }

    /// The route of a request, if one matches. `host` is compared without
    /// its port and without regard to case.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(&*r.prefix)).map(|r| &r.route)
    }

    /// Every route, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten().map(|r| &r.route)
    }

    /// The number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// A host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
