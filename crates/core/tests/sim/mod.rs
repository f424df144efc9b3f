//! Simulated searchers and siblings without a network, for tests of forwarding.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code)]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use endivevale_core::{
    distribution::register::ConfigRegister,
    error::Failure,
    forward::{
        ForwardReply, ForwardRequest, ForwardSettings, Forwarder, Merged, NoRelay, RelayClient,
    },
    intent::{
        AttemptAllowance, CallerLimits, ConfigVersion, Configuration, InForce, Intent,
        OptimizationGoal, Rank, Routing, ServiceIntent, ServiceObjectives,
    },
    layout::{InstanceRecord, SearcherRecord, SearcherState},
    name::{InstanceName, RouteName, SearcherName, ServiceName, ZoneName},
    quarantine::RequestFingerprint,
    route::{Route, RouteTable, ShardSet, Target},
    view::{ViewBuilder, ViewCell},
};
use tokio::time::Instant;

mod searcher;

#[allow(unused_imports, reason = "each test file uses a part of this")]
pub use searcher::{Behaviour, Counts, SimSearcher, SimTransport};

pub const MS: Duration = Duration::from_millis(1);

/// A simulated deployment, as seen by one instance in zone `a`.
pub struct Sim {
    pub transport: Arc<SimTransport>,
    pub views: Arc<ViewCell>,
    pub records: Vec<SearcherRecord>,
    pub siblings: Vec<InstanceRecord>,
    builder: ViewBuilder,
    register: ConfigRegister,
    version: u64,
    /// The number of connections that each searcher accepts.
    pub connections: u32,
    /// The number of instances that share the connections of a searcher.
    pub instances: u32,
    /// The limit of extra attempts, as a share of first attempts.
    pub extra_attempt_share: f64,
    /// The allowance of extra attempts for all instances together, per 10 s.
    pub extra_attempt_allowance: f64,
}

pub fn service_name(name: &str) -> ServiceName {
    ServiceName::try_new(name).unwrap()
}

pub fn zone_name(name: &str) -> ZoneName {
    ZoneName::try_new(name).unwrap()
}

/// Returns an idempotent route to all of `shards`, whose answers have at most 50
/// records.
pub fn shard_route(shards: &[&str], min_coverage: f64) -> Route {
    let shard_set = ShardSet {
        shards: shards.iter().map(|name| service_name(name)).collect(),
        top_k: 50,
        min_coverage,
    };
    let mut route = Route::new(RouteName::try_new("query").unwrap(), Target::Shards(shard_set));
    route.is_idempotent = true;
    route.latency_objective = 150 * MS;
    route.timeout = 800 * MS;
    route
}

/// Returns a route to one service.
pub fn single_route(name: &str, is_idempotent: bool) -> Route {
    let target = Target::Service(service_name(name));
    let mut route = Route::new(RouteName::try_new("single").unwrap(), target);
    route.is_idempotent = is_idempotent;
    route.latency_objective = 600 * MS;
    route.timeout = 4000 * MS;
    route
}

impl Sim {
    pub fn new() -> Self {
        Self {
            transport: Arc::default(),
            views: Arc::default(),
            records: Vec::new(),
            siblings: Vec::new(),
            builder: ViewBuilder::new(),
            register: ConfigRegister::new(),
            version: 0,
            connections: 30,
            instances: 1,
            extra_attempt_share: 0.2,
            extra_attempt_allowance: 20.0,
        }
    }

    /// Adds a searcher that runs up to three requests at the same time. It gets
    /// requests after [`Self::apply_routes`] or [`Self::publish_view`].
    pub fn add_searcher(&mut self, shard: &str, name: &str, zone: &str, service_time: Duration) {
        let searcher = Arc::new(SimSearcher::new(service_time, 3));
        self.transport.searchers.lock().unwrap().insert(name.to_owned(), searcher);
        self.records.push(SearcherRecord {
            name: SearcherName::try_new(name).unwrap(),
            incarnation: 1,
            service: service_name(shard),
            zone: zone_name(zone),
            addr: "127.0.0.1:1".parse().unwrap(),
            state: SearcherState::Live,
            holdings: vec![],
        });
    }

    /// Adds shards `s0`, `s1` and so on with one searcher in each zone, named
    /// `s0a`, `s0b` and so on.
    pub fn add_shards(&mut self, shards: usize, zones: &[&str], service_time: Duration) {
        for shard in 0..shards {
            for zone in zones {
                self.add_searcher(
                    &format!("s{shard}"),
                    &format!("s{shard}{zone}"),
                    zone,
                    service_time,
                );
            }
        }
    }

    pub fn add_sibling(&mut self, name: &str, zone: &str) {
        let addr = "127.0.0.1:9".parse().unwrap();
        self.siblings.push(InstanceRecord {
            name: InstanceName::try_new(name).unwrap(),
            zone: zone_name(zone),
            sibling: addr,
            caller: addr,
            admin: addr,
            relay: Some(addr),
        });
    }

    /// Puts a configuration with these routes in force and publishes a view.
    pub fn apply_routes(&mut self, routes: Vec<Route>) {
        let service_names: std::collections::BTreeSet<_> =
            routes.iter().flat_map(|r| r.services().cloned()).collect();
        let services = service_names
            .into_iter()
            .map(|name| (name.clone(), Arc::new(self.service_intent(name))));
        let prefixes: Vec<String> = routes.iter().map(|r| format!("/{}/", r.name)).collect();
        let routes = prefixes
            .iter()
            .zip(routes)
            .map(|(prefix, route)| ("h.example", prefix.as_str(), route));
        let intent = Intent {
            deployment: "sim".into(),
            objective: OptimizationGoal::Tail,
            callers: BTreeMap::new(),
            default_rank: Rank::new(1),
            services: services.collect(),
            routes: Arc::new(RouteTable::build(routes)),
            caller_limits: CallerLimits::default(),
        };
        self.version += 1;
        let checked = Configuration::draft("").parse(|_| Ok::<_, ()>(intent)).unwrap();
        self.register.replace_if_newer(checked.accepted(ConfigVersion::new(self.version)));
        self.publish_view();
    }

    /// Publishes a view of the current records of searchers and siblings.
    pub fn publish_view(&mut self) {
        self.builder.record_leaving_searchers();
        self.builder.set_siblings(&self.siblings);
        let view = self.builder.build(self.register.current(), &self.records, self.instances);
        self.views.store(view);
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Configuration<InForce>>> {
        self.register.current()
    }

    fn service_intent(&self, name: ServiceName) -> ServiceIntent {
        ServiceIntent {
            name,
            routing: Routing::All,
            repeatable: true,
            default_deadline: 1000 * MS,
            max_deadline: 1000 * MS,
            max_body_bytes: 1000,
            slots: 3,
            connections: self.connections,
            extra_attempts: self.extra_attempt_share,
            extra_attempt_allowance: AttemptAllowance {
                count: self.extra_attempt_allowance,
                window: Duration::from_secs(10),
            },
            objectives: ServiceObjectives {
                latency: 100 * MS,
                in_time: 0.9,
                whole: 0.9,
                refused: 0.1,
                extra_load: 0.2,
            },
        }
    }

    pub fn forwarder(&self) -> Arc<Forwarder<SimTransport, NoRelay<()>>> {
        self.forwarder_with(NoRelay::default())
    }

    pub fn forwarder_with<R: RelayClient<Head = ()>>(
        &self,
        relay: R,
    ) -> Arc<Forwarder<SimTransport, R>> {
        let settings = ForwardSettings { answer_margin: 14 * MS };
        let (views, transport) = (Arc::clone(&self.views), Arc::clone(&self.transport));
        Arc::new(Forwarder::new(views, transport, relay, zone_name("a"), settings))
    }
}

pub type ForwardResult = Result<ForwardReply<u16>, Failure>;

/// Returns a request for the path of this route.
pub fn request(route: &str) -> ForwardRequest<()> {
    ForwardRequest {
        id: "r1".into(),
        host: "h.example".into(),
        path: format!("/{route}/1").into(),
        timeout: None,
        received_at: Instant::now(),
        fingerprint: RequestFingerprint::of([route.as_bytes()]),
        head: Arc::new(()),
    }
}

/// Returns the status of a searcher's reply; `None` for a merged answer or a
/// failure.
pub fn reply_status(result: &ForwardResult) -> Option<u16> {
    match result {
        Ok(ForwardReply::Unmodified(reply)) => Some(reply.head),
        _ => None,
    }
}

/// Returns the merged answer.
///
/// # Panics
///
/// Panics if the result is anything else.
pub fn expect_merged(result: ForwardResult) -> Merged {
    match result {
        Ok(ForwardReply::Merged(merged)) => merged,
        other => panic!("expected a merged answer, got {other:?}"),
    }
}
