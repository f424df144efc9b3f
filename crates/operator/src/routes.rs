//! The routes of the declarative file: which address leads where.
//!
//! A route leads to one `service`, to a `split` over several by weight, or to
//! `shards` of which each is a service. Exactly one of the three is given.
//!
//! # Example
//!
//! ```
//! use endivevale_operator::file;
//!
//! let text = "
//! deployment: sfax
//! objective: coverage
//! default_rank: 3
//! callers: {}
//! services:
//!   board:
//!     routing: all
//!     repeatable: true
//!     deadline: {default: 300ms, max: 2s}
//!     max_body_bytes: 65536
//!     searchers: {slots: 3, connections: 30}
//!     extra_attempts: 0.03
//!     objectives: {latency: 95ms, in_time: 0.99, whole: 0.999, refused: 0.001, extra_load: 0.02}
//! routes:
//!   cards:
//!     host: jobs.example
//!     prefix: /cards/
//!     service: board
//!     rank: 2
//!     idempotent: true
//!     timeout: 1s
//!     latency: 95ms
//!     attempts: 2
//! ";
//! let intent = file::read("intent.yaml", text).unwrap();
//! assert!(intent.routes.find("jobs.example", "/cards/17").is_some());
//! ```

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use endivevale_core::{
    intent::{Routing, ServiceIntent},
    name::{RouteName, ServiceName},
    route::{Route, RouteTable, ShardSet, Target, WeightedServices},
};

use crate::{fault::Faults, file::read_rank, section::Section};

type Services = BTreeMap<ServiceName, Arc<ServiceIntent>>;

/// The most searchers that one request can be sent to, for each shard apart.
const MAX_ATTEMPTS: i64 = 8;

/// The most records that an answer can hold.
const MAX_RECORDS: i64 = 100_000;

/// The largest weight of a part of a split.
const MAX_WEIGHT: i64 = 1_000_000;

/// The address of a route.
struct Address {
    host: String,
    prefix: String,
}

/// Reads the routes; each names services that are declared.
pub(crate) fn read(section: Section, services: &Services, faults: &mut Faults) -> Arc<RouteTable> {
    let mut addresses = Vec::new();
    let mut routes = Vec::new();
    let mut seen: HashMap<(String, String), RouteName> = HashMap::new();
    for (name, fields) in section.entries::<RouteName>(faults) {
        let line = fields.line();
        let Some((address, route)) = read_route(name.clone(), fields, services, faults) else {
            continue;
        };
        let key = (address.host.to_ascii_lowercase(), address.prefix.clone());
        match seen.insert(key, name.clone()) {
            Some(other) => {
                let text = format!("has the host and prefix of {other}");
                faults.add(line, &format!("routes.{name}"), text);
            }
            None => {
                addresses.push(address);
                routes.push(route);
            }
        }
    }
    let addresses = addresses.iter().map(|at| (at.host.as_str(), at.prefix.as_str()));
    let routes = addresses.zip(routes).map(|((host, prefix), route)| (host, prefix, route));
    Arc::new(RouteTable::build(routes))
}

fn read_route(
    name: RouteName,
    mut fields: Section,
    services: &Services,
    faults: &mut Faults,
) -> Option<(Address, Route)> {
    let address = read_address(&mut fields, faults);
    let target = read_target(&mut fields, services, faults);
    let rank = read_rank(&mut fields, "rank", faults);
    let idempotent = fields.boolean("idempotent", faults);
    let timeout = fields.span("timeout", faults);
    let latency = fields.span("latency", faults);
    let attempts = fields.integer("attempts", 1..=MAX_ATTEMPTS, faults);
    let (line, path) = (fields.line(), fields.field("timeout"));
    let idempotent_field = fields.field("idempotent");
    fields.close(faults);
    let (address, target) = (address?, target?);
    let mut route = Route::new(name, target);
    route.rank = rank?;
    route.is_idempotent = idempotent?;
    route.timeout = timeout?.1;
    route.latency_objective = latency?.1;
    route.max_attempts = u32::try_from(attempts?).ok()?;
    if matches!(route.target, Target::Shards(_)) && !route.is_idempotent {
        faults.add(line, &idempotent_field, "must be true for a route to shards");
    }
    for service in route.services().filter_map(|name| services.get(name)) {
        if route.timeout > service.max_deadline {
            let text = format!("is over the longest deadline of service {}", service.name);
            faults.add(line, &path, text);
        }
    }
    Some((address, route))
}

fn read_address(fields: &mut Section, faults: &mut Faults) -> Option<Address> {
    let host = fields.text("host", faults);
    let line = fields.line_of("prefix");
    let prefix = fields.text("prefix", faults);
    let field = fields.field("prefix");
    let (host, prefix) = (host?, prefix?);
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        faults.add(line, &field, "must begin and end with a slash");
    }
    Some(Address { host, prefix })
}

fn read_target(fields: &mut Section, services: &Services, faults: &mut Faults) -> Option<Target> {
    let given = ["service", "split", "shards"].map(|name| fields.has(name));
    match given {
        [true, false, false] => read_one(fields, services, faults),
        [false, true, false] => read_split(fields, services, faults),
        [false, false, true] => read_shards(fields, services, faults),
        _ => {
            let field = fields.field("service");
            faults.add(fields.line(), &field, "exactly one of service, split and shards is needed");
            fields.leave_out(&["service", "split", "shards", "records", "least_coverage"]);
            None
        }
    }
}

fn read_one(fields: &mut Section, services: &Services, faults: &mut Faults) -> Option<Target> {
    let (line, field) = (fields.line_of("service"), fields.field("service"));
    let name: ServiceName = fields.parsed("service", faults)?;
    check_declared(&name, line, &field, services, faults);
    Some(Target::Service(name))
}

fn read_split(fields: &mut Section, services: &Services, faults: &mut Faults) -> Option<Target> {
    let (line, field) = (fields.line_of("split"), fields.field("split"));
    let mut parts = Vec::new();
    for (name, weight) in fields.section("split", faults)?.integers(0..=MAX_WEIGHT, faults) {
        check_declared(&name, line, &field, services, faults);
        parts.push((name, u32::try_from(weight).unwrap_or(u32::MAX)));
    }
    let split = WeightedServices::try_new(parts);
    if split.is_none() {
        faults.add(line, &field, "needs a weight above zero");
    }
    split.map(Target::Weighted)
}

fn read_shards(fields: &mut Section, services: &Services, faults: &mut Faults) -> Option<Target> {
    let (line, field) = (fields.line_of("shards"), fields.field("shards"));
    let shards: Option<Vec<ServiceName>> = fields.list("shards", faults);
    let top_k = fields.integer("records", 1..=MAX_RECORDS, faults);
    let min_coverage = fields.share("least_coverage", faults);
    let shards = shards?;
    if shards.is_empty() {
        faults.add(line, &field, "must name at least one service");
    }
    for (at, name) in shards.iter().enumerate() {
        if shards[..at].contains(name) {
            faults.add(line, &field, format!("names {name} twice"));
        }
        check_declared(name, line, &field, services, faults);
        // A shard of a route is asked as a whole.
        if services.get(name).is_some_and(|service| service.routing == Routing::Key) {
            faults.add(line, &field, format!("{name} chooses its shards by key"));
        }
    }
    let top_k = usize::try_from(top_k?).ok()?;
    Some(Target::Shards(ShardSet { shards, top_k, min_coverage: min_coverage? }))
}

fn check_declared(
    name: &ServiceName,
    line: u64,
    field: &str,
    services: &Services,
    faults: &mut Faults,
) {
    if !services.contains_key(name) {
        faults.add(line, field, format!("{name} is not a declared service"));
    }
}
