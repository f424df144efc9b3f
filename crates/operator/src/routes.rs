//! Parsing and validation of the routes in the configuration file.
//!
//! A route maps a host and path prefix to a target: one `service`, a `split`
//! that distributes requests over several services by weight, or `shards`,
//! each of which is a service. Exactly one of the three must be given.
//!
//! # Example
//!
//! ```
//! use endivevale_operator::config_file;
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
//! let intent = config_file::parse_config("intent.yaml", text).unwrap();
//! assert!(intent.routes.find("jobs.example", "/cards/17").is_some());
//! ```

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use endivevale_core::{
    intent::{Routing, ServiceIntent},
    name::{RouteName, ServiceName},
    route::{Route, RouteTable, ShardSet, Target},
    weighted_services::{Weight, WeightedServices},
};

use crate::{config_file::read_rank, section::Section, validation::ValidationErrors};

type ServicesByName = BTreeMap<ServiceName, Arc<ServiceIntent>>;

/// The largest number of attempts, each at one searcher, that a route may
/// declare. It applies to each shard of a request separately.
const MAX_ATTEMPTS: i64 = 8;

/// The largest number of records that an answer may have.
const MAX_RECORDS: i64 = 100_000;

/// The host and path prefix that a route matches.
struct Address {
    host: String,
    prefix: String,
}

/// Reads the routes. An undeclared service, or a second route with the same
/// host and prefix, is an error.
pub(crate) fn read_routes(
    section: Section,
    services: &ServicesByName,
    errors: &mut ValidationErrors,
) -> Arc<RouteTable> {
    let mut addresses = Vec::new();
    let mut routes = Vec::new();
    let mut names_by_address: HashMap<(String, String), RouteName> = HashMap::new();
    for (name, fields) in section.entries::<RouteName>(errors) {
        let line = fields.line();
        let Some((address, route)) = read_route(name.clone(), fields, services, errors) else {
            continue;
        };
        let key = (address.host.to_ascii_lowercase(), address.prefix.clone());
        match names_by_address.insert(key, name.clone()) {
            Some(other) => {
                let text = format!("has the host and prefix of {other}");
                errors.add(line, &format!("routes.{name}"), text);
            }
            None => {
                addresses.push(address);
                routes.push(route);
            }
        }
    }
    let addresses =
        addresses.iter().map(|address| (address.host.as_str(), address.prefix.as_str()));
    let routes = addresses.zip(routes).map(|((host, prefix), route)| (host, prefix, route));
    Arc::new(RouteTable::build(routes))
}

fn read_route(
    name: RouteName,
    mut fields: Section,
    services: &ServicesByName,
    errors: &mut ValidationErrors,
) -> Option<(Address, Route)> {
    let address = read_address(&mut fields, errors);
    let target = read_target(&mut fields, services, errors);
    let rank = read_rank(&mut fields, "rank", errors);
    let idempotent = fields.boolean("idempotent", errors);
    let timeout = fields.duration("timeout", errors);
    let latency = fields.duration("latency", errors);
    let attempts = fields.integer("attempts", 1..=MAX_ATTEMPTS, errors);
    let (line, timeout_field) = (fields.line(), fields.field_path("timeout"));
    let idempotent_field = fields.field_path("idempotent");
    fields.finish(errors);
    let (address, target) = (address?, target?);
    let mut route = Route::new(name, target);
    route.rank = rank?;
    route.is_idempotent = idempotent?;
    route.timeout = timeout?.1;
    route.latency_objective = latency?.1;
    route.max_attempts = u32::try_from(attempts?).ok()?;
    if matches!(route.target, Target::Shards(_)) && !route.is_idempotent {
        errors.add(line, &idempotent_field, "must be true for a route to shards");
    }
    for service in route.services().filter_map(|name| services.get(name)) {
        if route.timeout > service.max_deadline {
            let text = format!("is over the longest deadline of service {}", service.name);
            errors.add(line, &timeout_field, text);
        }
    }
    Some((address, route))
}

fn read_address(fields: &mut Section, errors: &mut ValidationErrors) -> Option<Address> {
    let host = fields.text("host", errors);
    let line = fields.field_line("prefix");
    let prefix = fields.text("prefix", errors);
    let field = fields.field_path("prefix");
    let (host, prefix) = (host?, prefix?);
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        errors.add(line, &field, "must begin and end with a slash");
    }
    Some(Address { host, prefix })
}

fn read_target(
    fields: &mut Section,
    services: &ServicesByName,
    errors: &mut ValidationErrors,
) -> Option<Target> {
    let is_given = ["service", "split", "shards"].map(|name| fields.has(name));
    match is_given {
        [true, false, false] => read_service_target(fields, services, errors),
        [false, true, false] => read_split_target(fields, services, errors),
        [false, false, true] => read_shards_target(fields, services, errors),
        _ => {
            let field = fields.field_path("service");
            errors.add(fields.line(), &field, "exactly one of service, split and shards is needed");
            fields.discard(&["service", "split", "shards", "records", "least_coverage"]);
            None
        }
    }
}

fn read_service_target(
    fields: &mut Section,
    services: &ServicesByName,
    errors: &mut ValidationErrors,
) -> Option<Target> {
    let (line, field) = (fields.field_line("service"), fields.field_path("service"));
    let name: ServiceName = fields.parse_field("service", errors)?;
    check_declared(&name, line, &field, services, errors);
    Some(Target::Service(name))
}

fn read_split_target(
    fields: &mut Section,
    services: &ServicesByName,
    errors: &mut ValidationErrors,
) -> Option<Target> {
    let (line, field) = (fields.field_line("split"), fields.field_path("split"));
    let mut parts = Vec::new();
    for (name, weight) in fields.section("split", errors)?.number_entries(errors) {
        check_declared(&name, line, &field, services, errors);
        parts.extend(Weight::try_new(weight).map(|weight| (name, weight)));
    }
    let split = WeightedServices::try_new(parts);
    if split.is_none() {
        errors.add(line, &field, "needs a weight above zero");
    }
    split.map(Target::Weighted)
}

fn read_shards_target(
    fields: &mut Section,
    services: &ServicesByName,
    errors: &mut ValidationErrors,
) -> Option<Target> {
    let (line, field) = (fields.field_line("shards"), fields.field_path("shards"));
    let shards: Option<Vec<ServiceName>> = fields.list("shards", errors);
    let top_k = fields.integer("records", 1..=MAX_RECORDS, errors);
    let min_coverage = fields.fraction("least_coverage", errors);
    let shards = shards?;
    if shards.is_empty() {
        errors.add(line, &field, "must name at least one service");
    }
    for (index, name) in shards.iter().enumerate() {
        if shards[..index].contains(name) {
            errors.add(line, &field, format!("names {name} twice"));
        }
        check_declared(name, line, &field, services, errors);
        // A sub-request goes to a shard of a route as a whole, without a key,
        // so the service must not choose its own shards by key.
        if services.get(name).is_some_and(|service| service.routing == Routing::Key) {
            errors.add(line, &field, format!("{name} chooses its shards by key"));
        }
    }
    let top_k = usize::try_from(top_k?).ok()?;
    Some(Target::Shards(ShardSet { shards, top_k, min_coverage: min_coverage? }))
}

/// Adds an error if the service is not declared.
fn check_declared(
    name: &ServiceName,
    line: u64,
    field: &str,
    services: &ServicesByName,
    errors: &mut ValidationErrors,
) {
    if !services.contains_key(name) {
        errors.add(line, field, format!("{name} is not a declared service"));
    }
}
