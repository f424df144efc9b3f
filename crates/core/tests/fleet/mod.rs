//! A simulated tier of many instances without a network, each with its own
//! view, connections and knowledge of the searchers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code)]

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use endivevale_core::{
    forward::{
        ExtraAttempts, ExtraAttemptsGrant, ForwardReply, ForwardSettings, Forwarder, RelayClient,
        RelayError, RelayReplies, RelayReply, RelayReplySink, RelayRequest, RelayServer,
    },
    intent::{Configuration, InForce},
    layout::{InstanceRecord, SearcherRecord},
    name::{InstanceName, ZoneName},
    searcher::named_limit::TierInstances,
    sibling::Sibling,
    view::{ViewBuilder, ViewCell},
};
use tokio::{
    sync::mpsc,
    task::{AbortHandle, JoinSet},
    time::{Instant, interval, sleep},
};

use super::sim::{MS, SimTransport, request, zone_name};

mod transport;

use transport::{ConnectionCounts, ConnectionTotals, FleetTransport};

/// The time that a message between two instances takes.
const HOP: Duration = Duration::from_millis(1);

/// The relay servers of all instances, by name; removed while an instance does
/// not take relay requests.
pub type RelayServers = Arc<Mutex<HashMap<InstanceName, Arc<RelayServer<FleetTransport>>>>>;

/// Sends relay requests to the instances of the simulation.
#[derive(Debug, Clone)]
pub struct FleetRelay {
    servers: RelayServers,
    /// The instances that take relay requests and do not answer them.
    silent: Arc<Mutex<HashSet<InstanceName>>>,
    /// The relay requests that each instance got.
    received: Arc<Mutex<HashMap<InstanceName, u32>>>,
}

/// The replies to one relay request. Dropping it cancels the request.
#[derive(Debug)]
pub struct FleetReplies {
    rx: mpsc::UnboundedReceiver<RelayReply>,
    grant: Option<ExtraAttemptsGrant>,
    task: AbortHandle,
}

impl Drop for FleetReplies {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct FleetSink(mpsc::UnboundedSender<RelayReply>);

impl RelayReplySink for FleetSink {
    async fn send(&mut self, reply: RelayReply) -> bool {
        sleep(HOP).await;
        self.0.send(reply).is_ok()
    }
}

impl RelayClient for FleetRelay {
    type Head = ();
    type Replies = FleetReplies;

    async fn send(
        &self,
        sibling: &Sibling,
        request: RelayRequest<()>,
    ) -> Result<FleetReplies, RelayError> {
        let server = self.servers.lock().unwrap().get(sibling.name()).cloned();
        let server = server.ok_or(RelayError::Down)?;
        *self.received.lock().unwrap().entry(sibling.name().clone()).or_default() += 1;
        sleep(HOP).await;
        let (tx, rx) = mpsc::unbounded_channel();
        if self.silent.lock().unwrap().contains(sibling.name()) {
            let task = tokio::spawn(async move {
                let _keeps_connection_open = tx;
                std::future::pending::<()>().await;
            });
            return Ok(FleetReplies { rx, grant: None, task: task.abort_handle() });
        }
        let (grant, extra_attempts) = ExtraAttempts::on_grant();
        let task = tokio::spawn(async move {
            server.serve(request, extra_attempts, &mut FleetSink(tx)).await;
        });
        Ok(FleetReplies { rx, grant: Some(grant), task: task.abort_handle() })
    }
}

impl RelayReplies for FleetReplies {
    async fn next(&mut self) -> Result<RelayReply, RelayError> {
        self.rx.recv().await.ok_or(RelayError::Lost)
    }

    async fn grant_extra_attempts(&mut self) -> bool {
        sleep(HOP).await;
        let grant = self.grant.take();
        grant.is_some_and(|grant| {
            grant.grant();
            true
        })
    }
}

/// One instance of the simulation.
pub struct FleetInstance {
    pub record: InstanceRecord,
    pub views: Arc<ViewCell>,
    pub forwarder: Arc<Forwarder<FleetTransport, FleetRelay>>,
    builder: ViewBuilder,
}

/// A simulated tier of many instances.
pub struct Fleet {
    pub searchers: Arc<SimTransport>,
    pub instances: Vec<FleetInstance>,
    servers: RelayServers,
    connections: Arc<Mutex<ConnectionCounts>>,
    relay: FleetRelay,
}

impl Fleet {
    /// Creates a tier with `per_zone` instances in each zone, all of which know
    /// each other and these searchers.
    pub fn new(
        config: Option<Arc<Configuration<InForce>>>,
        searchers: Arc<SimTransport>,
        searcher_records: &[SearcherRecord],
        zones: &[&str],
        per_zone: usize,
    ) -> Self {
        let relay = FleetRelay {
            servers: Arc::default(),
            silent: Arc::default(),
            received: Arc::default(),
        };
        let mut fleet = Self {
            searchers,
            instances: Vec::new(),
            servers: Arc::clone(&relay.servers),
            connections: Arc::default(),
            relay,
        };
        for zone in zones {
            for n in 0..per_zone {
                fleet.add_instance(&format!("entry-{zone}-{n}"), zone_name(zone));
            }
        }
        let records: Vec<_> = fleet.instances.iter().map(|i| i.record.clone()).collect();
        for instance in &mut fleet.instances {
            instance.publish_view(config.clone(), searcher_records, &records);
        }
        fleet
    }

    fn add_instance(&mut self, name: &str, zone: ZoneName) {
        let addr = "127.0.0.1:9".parse().unwrap();
        let record = InstanceRecord {
            name: InstanceName::try_new(name).unwrap(),
            zone: zone.clone(),
            sibling: addr,
            caller: addr,
            admin: addr,
            relay: Some(addr),
        };
        let views = Arc::<ViewCell>::default();
        let transport = FleetTransport::new(&self.searchers, &self.connections);
        let transport = Arc::new(transport);
        let settings = ForwardSettings { answer_margin: 14 * MS };
        let forwarder = Forwarder::new(
            Arc::clone(&views),
            Arc::clone(&transport),
            self.relay.clone(),
            zone.clone(),
            settings,
        );
        let server = Arc::new(RelayServer::new(Arc::clone(&views), transport, zone));
        self.servers.lock().unwrap().insert(record.name.clone(), server);
        self.instances.push(FleetInstance {
            record,
            views,
            forwarder: Arc::new(forwarder),
            builder: ViewBuilder::new(),
        });
    }

    /// Lets the instance at this index take relay requests without answering them,
    /// as if it were paused or cut off.
    pub fn silence(&self, index: usize) {
        let name = self.instances[index].record.name.clone();
        self.relay.silent.lock().unwrap().insert(name);
    }

    /// Lets the instance at this index refuse relay requests, as if its process had
    /// ended.
    pub fn stop_relay_server(&self, index: usize) {
        self.servers.lock().unwrap().remove(&self.instances[index].record.name);
    }

    pub fn connection_totals(&self) -> ConnectionTotals {
        self.connections.lock().unwrap().totals()
    }

    /// Returns the relay requests that each instance got, in ascending order.
    pub fn relay_loads(&self) -> Vec<u32> {
        let received = self.relay.received.lock().unwrap();
        let of = |i: &FleetInstance| received.get(&i.record.name).copied().unwrap_or(0);
        let mut loads: Vec<u32> = self.instances.iter().map(of).collect();
        loads.sort_unstable();
        loads
    }

    /// Sends `count` requests on a route, one per `period`, each to another
    /// instance. Returns their outcomes.
    pub async fn run_load(
        &self,
        route: &str,
        count: usize,
        period: Duration,
        objective: Duration,
    ) -> FleetResult {
        let mut ticks = interval(period);
        let mut open = JoinSet::new();
        for n in 0..count {
            ticks.tick().await;
            // A step that shares no factor with the number of instances visits
            // all of them, in an order without a pattern.
            let instance = &self.instances[n * 7919 % self.instances.len()];
            let (forwarder, req) = (Arc::clone(&instance.forwarder), request(route));
            open.spawn(async move {
                let began = Instant::now();
                let outcome = forwarder.forward(req).await;
                (outcome, began.elapsed())
            });
        }
        let mut result = FleetResult { sent: count, ..FleetResult::default() };
        while let Some(ended) = open.join_next().await {
            let (outcome, took) = ended.unwrap();
            match outcome {
                Ok(reply) if took <= objective => {
                    let is_partial = matches!(&reply, ForwardReply::Merged(m) if m.missing > 0);
                    result.in_time += 1;
                    result.partial_in_time += usize::from(is_partial);
                }
                Ok(_) => result.late += 1,
                Err(_) => result.failed += 1,
            }
        }
        result
    }
}

impl FleetInstance {
    /// Publishes a view of these searchers and instances.
    pub fn publish_view(
        &mut self,
        config: Option<Arc<Configuration<InForce>>>,
        searchers: &[SearcherRecord],
        instances: &[InstanceRecord],
    ) {
        let others = || instances.iter().filter(|i| i.name != self.record.name);
        self.builder.set_siblings(others());
        self.builder.set_tier(TierInstances {
            own: Some((self.record.name.clone(), self.record.zone.clone())),
            others: others().map(|i| (i.name.clone(), i.zone.clone())).collect(),
            ..TierInstances::default()
        });
        let count = instances.len() as u32;
        self.views.store(self.builder.build(config, searchers, count));
    }
}

/// The outcomes of a run of requests.
#[derive(Debug, Default)]
pub struct FleetResult {
    pub sent: usize,
    /// Answers within the objective, partial ones included.
    pub in_time: usize,
    pub partial_in_time: usize,
    pub late: usize,
    pub failed: usize,
}

impl FleetResult {
    /// Returns the share of requests with this count.
    pub fn share(&self, count: usize) -> f64 {
        count as f64 / self.sent as f64
    }
}
