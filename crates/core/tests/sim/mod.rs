//! Simulated searchers and siblings without a network, for tests of forwarding.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use endivevale_core::{
    distribution::register::ConfigRegister,
    error::Failure,
    forward::{
        ConnectError, ExchangeOutcome, ForwardReply, ForwardRequest, ForwardSettings,
        ForwardTransport, Forwarder, LossReason, Merged, NoRelay, RejectionReason, RelayClient,
        Reply,
    },
    intent::{
        AttemptAllowance, CallerLimits, ConfigVersion, Configuration, InForce, Intent,
        OptimizationGoal, Rank, Routing, ServiceIntent, ServiceObjectives,
    },
    layout::{InstanceRecord, SearcherRecord, SearcherState},
    name::{InstanceName, RouteName, SearcherName, ServiceName, ZoneName},
    route::{Route, RouteTable, ShardSet, Target},
    searcher::Searcher,
    view::{ViewBuilder, ViewCell},
};
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep, sleep_until},
};

pub const MS: Duration = Duration::from_millis(1);

/// How a simulated searcher handles requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// Runs the request and replies with success.
    Succeeds,
    /// Rejects this share of the requests, in `0.0..=1.0`, and runs the others.
    Rejects(f64),
    /// Runs the request, but the reply is lost.
    LosesReplies,
    /// Runs the request and never replies.
    NeverReplies,
    /// Runs the request and replies with a failure.
    ReturnsErrors,
    /// Refuses connections.
    RefusesConnections,
    /// Another searcher has the address and rejects the request.
    AddressReused,
    /// The idle connection is closed when the next request is written, so that
    /// request is unsent; later ones succeed.
    IdleConnectionClosed,
}

/// One searcher of the simulation.
#[derive(Debug)]
pub struct SimSearcher {
    pub behaviour: Mutex<Behaviour>,
    /// The time that one request takes.
    pub service_time: Mutex<Duration>,
    /// The time until which replies are held back, if the searcher is paused.
    pub paused_until: Mutex<Option<Instant>>,
    /// Limits the requests that run at the same time; others wait.
    slots: Semaphore,
    pub counts: Mutex<Counts>,
}

/// The requests of a searcher, counted by what happened to them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that reached the searcher, rejected ones included.
    pub received: u32,
    /// Requests that were run.
    pub executed: u32,
    /// Exchanges that were carried out to their end.
    pub finished: u32,
    /// Exchanges that were dropped before their end.
    pub cancelled: u32,
}

/// Counts an exchange on drop: as finished if the flag is set, as cancelled
/// otherwise.
struct ExchangeGuard<'a>(&'a SimSearcher, bool);

impl Drop for ExchangeGuard<'_> {
    fn drop(&mut self) {
        let mut counts = self.0.counts.lock().unwrap();
        if self.1 {
            counts.finished += 1;
        } else {
            counts.cancelled += 1;
        }
    }
}

impl SimSearcher {
    fn new(service_time: Duration, slots: usize) -> Self {
        Self {
            behaviour: Mutex::new(Behaviour::Succeeds),
            service_time: Mutex::new(service_time),
            paused_until: Mutex::default(),
            slots: Semaphore::new(slots),
            counts: Mutex::default(),
        }
    }

    async fn run(&self, name: &str) -> ExchangeOutcome<u16> {
        let behaviour = *self.behaviour.lock().unwrap();
        self.counts.lock().unwrap().received += 1;
        match behaviour {
            Behaviour::Rejects(share) if rand::random::<f64>() < share => {
                return ExchangeOutcome::Rejected(RejectionReason::Full);
            }
            Behaviour::AddressReused => {
                return ExchangeOutcome::Rejected(RejectionReason::NotThere);
            }
            Behaviour::IdleConnectionClosed => {
                self.counts.lock().unwrap().received -= 1;
                *self.behaviour.lock().unwrap() = Behaviour::Succeeds;
                return ExchangeOutcome::Unsent;
            }
            _ => {}
        }
        let mut exchange = ExchangeGuard(self, false);
        let _slot = self.slots.acquire().await.unwrap();
        self.counts.lock().unwrap().executed += 1;
        let service_time = *self.service_time.lock().unwrap();
        sleep(service_time).await;
        let resume_at = *self.paused_until.lock().unwrap();
        if let Some(until) = resume_at {
            sleep_until(until).await;
        }
        if behaviour == Behaviour::NeverReplies {
            std::future::pending::<()>().await;
        }
        exchange.1 = true;
        let reply = |status| Reply {
            signature: Some(Arc::from(name)),
            body: Bytes::from(format!("{name:0>16.16}")),
            head: status,
        };
        match behaviour {
            Behaviour::LosesReplies => ExchangeOutcome::Lost(LossReason::Broken),
            Behaviour::ReturnsErrors => ExchangeOutcome::Failure(reply(500)),
            _ => ExchangeOutcome::Success(reply(200)),
        }
    }
}

/// A transport that finds simulated searchers by name.
#[derive(Debug, Default)]
pub struct SimTransport {
    pub searchers: Mutex<HashMap<String, Arc<SimSearcher>>>,
}

impl SimTransport {
    pub fn searcher(&self, name: &str) -> Arc<SimSearcher> {
        Arc::clone(&self.searchers.lock().unwrap()[name])
    }

    pub fn set_behaviour(&self, name: &str, behaviour: Behaviour) {
        *self.searcher(name).behaviour.lock().unwrap() = behaviour;
    }

    pub fn counts(&self, name: &str) -> Counts {
        *self.searcher(name).counts.lock().unwrap()
    }

    /// Returns the number of requests received by all searchers.
    pub fn received_total(&self) -> u32 {
        self.searchers.lock().unwrap().values().map(|s| s.counts.lock().unwrap().received).sum()
    }
}

impl ForwardTransport for SimTransport {
    type Head = ();
    type ReplyHead = u16;
    type Channel = ();

    async fn open(&self, searcher: &Arc<Searcher>, deadline: Instant) -> Result<(), ConnectError> {
        match *self.searcher(searcher.name().as_str()).behaviour.lock().unwrap() {
            Behaviour::RefusesConnections if Instant::now() < deadline => {
                Err(ConnectError::Refused)
            }
            Behaviour::RefusesConnections => Err(ConnectError::TimedOut),
            _ => Ok(()),
        }
    }

    async fn exchange(
        &self,
        _channel: (),
        searcher: &Arc<Searcher>,
        _head: &Arc<()>,
        _deadline: Instant,
    ) -> ExchangeOutcome<u16> {
        let name = searcher.name().as_str();
        self.searcher(name).run(name).await
    }
}

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
