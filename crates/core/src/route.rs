//! Routes, which map a request's host and path to a service or a set of shards.
//!
//! A route matches by host and by path prefix; the longest matching prefix is
//! used. The table is built once for each configuration and is immutable, so a
//! request uses the set of shards of one configuration from start to end.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{name::{RouteName, ServiceName}, route::{Route, RouteTable, Target}};
//!
//! let board = ServiceName::try_new("lathe-board")?;
//! let route = Route::new(RouteName::try_new("cards")?, Target::Service(board));
//! let table = RouteTable::build([("jobs.example", "/cards/", route)]);
//! assert!(table.find("jobs.example", "/cards/17").is_some());
//! assert!(table.find("jobs.example", "/other/").is_none());
//! # Ok::<(), endivevale_core::name::NameError>(())
//! ```

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    intent::Rank,
    name::{RouteName, ServiceName},
    weighted_services::WeightedServices,
};

/// The timeout of a route that declares none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// The latency objective of a route that declares none.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// The maximum number of attempts of a route that declares none.
const DEFAULT_ATTEMPTS: u32 = 2;

/// The fractional part of the golden ratio as a 64-bit fixed-point number. Its
/// multiples, modulo 2^64, are evenly distributed (a Weyl sequence), so every
/// weighted service gets its share even over a short run of requests.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// The declaration of one route.
#[derive(Debug)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// Where its requests are sent.
    pub target: Target,
    /// Whether a request may be run more than once.
    pub is_idempotent: bool,
    /// The rank of its requests; lower numbers are served first under overload.
    pub rank: Rank,
    /// The maximum time until a reply, also if the caller's timeout is longer.
    pub timeout: Duration,
    /// The latency objective of its answers.
    pub latency_objective: Duration,
    /// The maximum number of attempts of one request that reach a searcher,
    /// counted per shard. With 0, every request is rejected.
    pub max_attempts: u32,
    /// The number of requests distributed so far over the weighted services,
    /// plus a random initial value. Wraps on overflow.
    distributed_count: AtomicU64,
}

/// Where the requests of a route are sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// One searcher of a service.
    Service(ServiceName),
    /// One searcher of one of several services, chosen by weight.
    Weighted(WeightedServices),
    /// One searcher of each shard.
    Shards(ShardSet),
}

/// The shards of a query, and how their parts are merged.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardSet {
    /// The services of the shards, one for each. Invariant: no service twice.
    pub shards: Vec<ServiceName>,
    /// The maximum number of records in an answer; the greatest are kept.
    pub top_k: usize,
    /// The minimum fraction of the shards that an answer must cover. Above 1.0, no
    /// answer covers enough. Invariant: at least 0.0.
    pub min_coverage: f64,
}

impl PartialEq for Route {
    /// Compares the declarations, without the counter of distributed requests.
    fn eq(&self, other: &Self) -> bool {
        self.name == other.name
            && self.target == other.target
            && self.is_idempotent == other.is_idempotent
            && self.rank == other.rank
            && self.timeout == other.timeout
            && self.latency_objective == other.latency_objective
            && self.max_attempts == other.max_attempts
    }
}

impl ShardSet {
    /// Returns the minimum number of shards that an answer must cover, at least
    /// one.
    #[must_use]
    pub fn min_shards(&self) -> usize {
        let exact = self.min_coverage * self.shards.len() as f64;
        // Without the tolerance, a rounding error in the product could raise the
        // result by one, such as from 3 to 4 for 0.75 of 4 shards.
        ((exact - 1e-9).ceil().max(1.0)) as usize
    }
}

impl Route {
    /// Returns a route with the defaults: not idempotent, first rank, default
    /// timeout, latency objective and number of attempts.
    #[must_use]
    pub fn new(name: RouteName, target: Target) -> Self {
        Self {
            name,
            target,
            is_idempotent: false,
            rank: Rank::new(1),
            timeout: DEFAULT_TIMEOUT,
            latency_objective: DEFAULT_OBJECTIVE,
            max_attempts: DEFAULT_ATTEMPTS,
            distributed_count: AtomicU64::new(rand::random()),
        }
    }

    /// Returns the service for the next request, by weight.
    #[must_use]
    pub fn next_service<'a>(&self, services: &'a WeightedServices) -> &'a ServiceName {
        services
            .at(self.distributed_count.fetch_add(1, Ordering::Relaxed).wrapping_mul(GOLDEN_RATIO))
    }

    /// Returns the services that the route may send a request to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (single, weighted, shards) = match &self.target {
            Target::Service(service) => (Some(service), &[][..], &[][..]),
            Target::Weighted(services) => (None, services.declared(), &[][..]),
            Target::Shards(set) => (None, &[][..], &set.shards[..]),
        };
        single.into_iter().chain(weighted.iter().map(|(service, _)| service)).chain(shards)
    }
}

/// A route and its path prefix.
#[derive(Debug, PartialEq)]
struct PrefixRoute {
    prefix: Arc<str>,
    route: Arc<Route>,
}

/// The routes of one configuration.
#[derive(Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The routes by lower-case host. Invariant: sorted by descending prefix
    /// length.
    hosts: HashMap<Arc<str>, Vec<PrefixRoute>>,
}

impl RouteTable {
    /// Builds a table from routes, each with its host and path prefix.
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

    /// Returns the route that matches a request, if any. The port and the
    /// letter case of `host` are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = strip_port(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(&*r.prefix)).map(|r| &r.route)
    }

    /// Returns the routes in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten().map(|r| &r.route)
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Returns the host without its port.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
