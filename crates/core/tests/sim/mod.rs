//! Searchers and siblings without a network, for tests of forwarding.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use endivevale_core::{
    error::Failure,
    forward::{
        Carrier, Exchanged, ForwardSettings, Forwarder, Inbound, Lost, Merged, NoRelay, Outbound,
        Refused, Relay, Reply, Unreachable,
    },
    intent::{
        AttemptAllowance, CallerLimits, ConfigVersion, Intent, Objective, Proposal, Rank, Routing,
        ServiceIntent, ServiceObjectives,
    },
    layout::{InstanceRecord, SearcherRecord, SearcherState},
    name::{InstanceName, RouteName, SearcherName, ServiceName, ZoneName},
    register::ConfigRegister,
    route::{Route, RouteTable, ShardSet, Target},
    searcher::Searcher,
    view::{ViewBuilder, ViewCell},
};
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep, sleep_until},
};

pub const MS: Duration = Duration::from_millis(1);

/// What a searcher does with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// It succeeds.
    Works,
    /// It refuses this share of requests.
    Sheds(f64),
    /// It runs the request and its answer is lost.
    LosesAnswers,
    /// It answers nothing.
    Silent,
    /// It runs the request and fails.
    Fails,
    /// It takes no connection.
    Down,
    /// Its address belongs to another searcher.
    Elsewhere,
    /// The kept connection had ended.
    ClosedConnection,
}

/// One searcher of the simulation.
#[derive(Debug)]
pub struct SimSearcher {
    pub behaviour: Mutex<Behaviour>,
    /// What one request takes.
    pub work: Mutex<Duration>,
    /// Until when it stands still.
    pub paused_until: Mutex<Option<Instant>>,
    slots: Semaphore,
    pub counts: Mutex<Counts>,
}

/// What happened at a searcher.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub arrived: u32,
    pub ran: u32,
    pub ended: u32,
    pub cancelled: u32,
}

/// Counts an exchange that is dropped as cancelled.
struct Running<'a>(&'a SimSearcher, bool);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut counts = self.0.counts.lock().unwrap();
        if self.1 {
            counts.ended += 1;
        } else {
            counts.cancelled += 1;
        }
    }
}

impl SimSearcher {
    fn new(work: Duration, slots: usize) -> Self {
        Self {
            behaviour: Mutex::new(Behaviour::Works),
            work: Mutex::new(work),
            paused_until: Mutex::default(),
            slots: Semaphore::new(slots),
            counts: Mutex::default(),
        }
    }

    async fn run(&self, name: &str) -> Exchanged<u16> {
        let behaviour = *self.behaviour.lock().unwrap();
        self.counts.lock().unwrap().arrived += 1;
        match behaviour {
            Behaviour::Sheds(share) if rand::random::<f64>() < share => {
                return Exchanged::Refused(Refused::Full);
            }
            Behaviour::Elsewhere => return Exchanged::Refused(Refused::NotThere),
            Behaviour::ClosedConnection => {
                self.counts.lock().unwrap().arrived -= 1;
                *self.behaviour.lock().unwrap() = Behaviour::Works;
                return Exchanged::Unsent;
            }
            _ => {}
        }
        let mut running = Running(self, false);
        let _slot = self.slots.acquire().await.unwrap();
        self.counts.lock().unwrap().ran += 1;
        let work = *self.work.lock().unwrap();
        sleep(work).await;
        let paused = *self.paused_until.lock().unwrap();
        if let Some(until) = paused {
            sleep_until(until).await;
        }
        if behaviour == Behaviour::Silent {
            std::future::pending::<()>().await;
        }
        running.1 = true;
        let reply = |status| Reply {
            signature: Some(Arc::from(name)),
            body: Bytes::from(format!("{name:0>16.16}")),
            head: status,
        };
        match behaviour {
            Behaviour::LosesAnswers => Exchanged::Lost(Lost::Broken),
            Behaviour::Fails => Exchanged::Failure(reply(500)),
            _ => Exchanged::Success(reply(200)),
        }
    }
}

/// Reaches the searchers of the simulation by name.
#[derive(Debug, Default)]
pub struct SimCarrier {
    pub searchers: Mutex<HashMap<String, Arc<SimSearcher>>>,
}

impl SimCarrier {
    pub fn searcher(&self, name: &str) -> Arc<SimSearcher> {
        Arc::clone(&self.searchers.lock().unwrap()[name])
    }

    pub fn set(&self, name: &str, behaviour: Behaviour) {
        *self.searcher(name).behaviour.lock().unwrap() = behaviour;
    }

    pub fn counts(&self, name: &str) -> Counts {
        *self.searcher(name).counts.lock().unwrap()
    }

    pub fn arrivals(&self) -> u32 {
        self.searchers.lock().unwrap().values().map(|s| s.counts.lock().unwrap().arrived).sum()
    }
}

impl Carrier for SimCarrier {
    type Head = ();
    type ReplyHead = u16;
    type Channel = ();

    async fn open(&self, searcher: &Arc<Searcher>, by: Instant) -> Result<(), Unreachable> {
        match *self.searcher(searcher.name().as_str()).behaviour.lock().unwrap() {
            Behaviour::Down if Instant::now() < by => Err(Unreachable::Refused),
            Behaviour::Down => Err(Unreachable::TimedOut),
            _ => Ok(()),
        }
    }

    async fn exchange(
        &self,
        _channel: (),
        searcher: &Arc<Searcher>,
        _head: &Arc<()>,
        _by: Instant,
    ) -> Exchanged<u16> {
        let name = searcher.name().as_str();
        self.searcher(name).run(name).await
    }
}

/// A deployment of the simulation.
pub struct Sim {
    pub carrier: Arc<SimCarrier>,
    pub views: Arc<ViewCell>,
    pub records: Vec<SearcherRecord>,
    pub siblings: Vec<InstanceRecord>,
    builder: ViewBuilder,
    register: ConfigRegister,
    version: u64,
    /// The connections that a searcher takes.
    pub connections: u32,
    /// The instances that share them.
    pub instances: u32,
    pub share: f64,
    pub allowance: f64,
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::try_new(name).unwrap()
}

pub fn zone(name: &str) -> ZoneName {
    ZoneName::try_new(name).unwrap()
}

/// A route of shards that answers with three records.
pub fn shard_route(shards: &[&str], least: f64) -> Route {
    let set = ShardSet {
        shards: shards.iter().map(|name| service(name)).collect(),
        top: 50,
        least_coverage: least,
    };
    let mut route = Route::new(RouteName::try_new("query").unwrap(), Target::Shards(set));
    route.is_idempotent = true;
    route.objective = 150 * MS;
    route.timeout = 800 * MS;
    route
}

/// A route to one service.
pub fn single_route(name: &str, is_idempotent: bool) -> Route {
    let target = Target::One(service(name));
    let mut route = Route::new(RouteName::try_new("single").unwrap(), target);
    route.is_idempotent = is_idempotent;
    route.objective = 600 * MS;
    route.timeout = 4000 * MS;
    route
}

impl Sim {
    pub fn new() -> Self {
        Self {
            carrier: Arc::default(),
            views: Arc::default(),
            records: Vec::new(),
            siblings: Vec::new(),
            builder: ViewBuilder::new(),
            register: ConfigRegister::new(),
            version: 0,
            connections: 30,
            instances: 1,
            share: 0.2,
            allowance: 20.0,
        }
    }

    /// A searcher with three slots in a zone.
    pub fn add(&mut self, shard: &str, name: &str, zone_name: &str, work: Duration) {
        let searcher = Arc::new(SimSearcher::new(work, 3));
        self.carrier.searchers.lock().unwrap().insert(name.to_owned(), searcher);
        self.records.push(SearcherRecord {
            name: SearcherName::try_new(name).unwrap(),
            incarnation: 1,
            service: service(shard),
            zone: zone(zone_name),
            addr: "127.0.0.1:1".parse().unwrap(),
            state: SearcherState::Live,
            holdings: vec![],
        });
    }

    /// Shards `s0`, `s1` and so on with searchers `s0a`, `s0b` and so on, one
    /// in each zone.
    pub fn add_shards(&mut self, shards: usize, zones: &[&str], work: Duration) {
        for shard in 0..shards {
            for zone in zones {
                self.add(&format!("s{shard}"), &format!("s{shard}{zone}"), zone, work);
            }
        }
    }

    pub fn add_sibling(&mut self, name: &str, zone_name: &str) {
        let addr = "127.0.0.1:9".parse().unwrap();
        self.siblings.push(InstanceRecord {
            name: InstanceName::try_new(name).unwrap(),
            zone: zone(zone_name),
            sibling: addr,
            caller: addr,
            admin: addr,
            relay: Some(addr),
        });
    }

    /// Puts a configuration with these routes in force.
    pub fn publish(&mut self, routes: Vec<Route>) {
        let names: std::collections::BTreeSet<_> =
            routes.iter().flat_map(|r| r.services().cloned()).collect();
        let services =
            names.into_iter().map(|name| (name.clone(), Arc::new(self.service_intent(name))));
        let prefixes: Vec<String> = routes.iter().map(|r| format!("/{}/", r.name)).collect();
        let routes = prefixes.iter().zip(routes).map(|(p, r)| ("h.example", p.as_str(), r));
        let intent = Intent {
            deployment: "sim".into(),
            objective: Objective::Tail,
            callers: BTreeMap::new(),
            default_rank: Rank::new(1),
            services: services.collect(),
            routes: Arc::new(RouteTable::build(routes)),
            caller_limits: CallerLimits::default(),
        };
        self.version += 1;
        let checked = Proposal::draft("").check(|_| Ok::<_, ()>(intent)).unwrap();
        self.register.adopt(checked.accepted(ConfigVersion::new(self.version)));
        self.refresh();
    }

    /// Publishes a view of the searchers as they are recorded.
    pub fn refresh(&mut self) {
        self.builder.follow_siblings(&self.siblings);
        let view = self.builder.build(self.register.current(), &self.records, self.instances);
        self.views.store(view);
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
            extra_attempts: self.share,
            allowance: AttemptAllowance { count: self.allowance, window: Duration::from_secs(10) },
            objectives: ServiceObjectives {
                latency: 100 * MS,
                in_time: 0.9,
                whole: 0.9,
                refused: 0.1,
                extra_load: 0.2,
            },
        }
    }

    pub fn forwarder(&self) -> Arc<Forwarder<SimCarrier, NoRelay<()>>> {
        self.forwarder_with(NoRelay::default())
    }

    pub fn forwarder_with<R: Relay<Head = ()>>(&self, relay: R) -> Arc<Forwarder<SimCarrier, R>> {
        let settings = ForwardSettings { answer_margin: 14 * MS };
        let (views, carrier) = (Arc::clone(&self.views), Arc::clone(&self.carrier));
        Arc::new(Forwarder::new(views, carrier, relay, zone("a"), settings))
    }
}

pub type Answered = Result<Outbound<u16>, Failure>;

pub fn request(route: &str) -> Inbound<()> {
    Inbound {
        id: "r1".into(),
        host: "h.example".into(),
        path: format!("/{route}/1").into(),
        patience: None,
        received: Instant::now(),
        head: Arc::new(()),
    }
}

/// The status that a searcher answered with.
pub fn status(answered: &Answered) -> Option<u16> {
    match answered {
        Ok(Outbound::Whole(reply)) => Some(reply.head),
        _ => None,
    }
}

pub fn merged(answered: Answered) -> Merged {
    match answered {
        Ok(Outbound::Merged(merged)) => merged,
        other => panic!("no merged answer but {other:?}"),
    }
}
