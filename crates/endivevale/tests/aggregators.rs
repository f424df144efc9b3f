//! Instance processes in a tier that is divided: eight instances in each of three
//! zones, and two shards with a searcher in each zone. Every second instance is an
//! aggregator of a shard.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::HashMap, path::Path, time::Duration};

use endivevale_platform_standin::{
    caller::Caller,
    config::{ConfigBuilder, RouteDeclaration},
    searcher::{Searcher, SearcherSpec},
    store::{CONFIG_OBJECT, Store},
    tier::start_instances,
};
use endivevale_standin::process::InstanceProcess;
use tokio::{task::JoinSet, time::sleep};

const INSTANCE_BIN: &str = env!("CARGO_BIN_EXE_endivevale");
const MS: Duration = Duration::from_millis(1);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const ZONES: [&str; 3] = ["a", "b", "c"];
const SHARDS: [&str; 2] = ["s1", "s2"];
const INSTANCES: usize = 24;

/// The number of searchers at which a request may run for each shard.
const MAX_ATTEMPTS: usize = 2;

struct Deployment {
    _store: Store,
    searchers: Vec<Searcher>,
    instances: Vec<InstanceProcess>,
}

impl Deployment {
    async fn start() -> Self {
        let store = Store::start().await.unwrap();
        let mut searchers = Vec::new();
        for service in SHARDS {
            for zone in ZONES {
                let spec = SearcherSpec {
                    name: format!("{service}-{zone}"),
                    service: service.to_owned(),
                    zone: zone.to_owned(),
                    service_time: 10 * MS,
                };
                searchers.push(Searcher::start(&store, spec).await.unwrap());
            }
        }
        let config = ConfigBuilder::new(1)
            .services(&SHARDS)
            .route(RouteDeclaration::fan_out("sweep", &SHARDS, 0.5));
        store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
        let instances =
            start_instances(Path::new(INSTANCE_BIN), &store, &ZONES, INSTANCES).await.unwrap();
        for instance in &instances {
            instance.wait_until_ready(READY_TIMEOUT).await.unwrap();
        }
        // The instances read the list of the others each few seconds.
        sleep(Duration::from_secs(5)).await;
        Self { _store: store, searchers, instances }
    }

    /// Sends `rounds` queries to each of the instances that `is_used`. Returns how
    /// many had which status and number of missing shards.
    async fn query_all(
        &self,
        name: &str,
        rounds: usize,
        is_used: fn(usize) -> bool,
    ) -> HashMap<(u16, u64), usize> {
        let mut open = JoinSet::new();
        for round in 0..rounds {
            for (index, instance) in self.instances.iter().enumerate().filter(|(i, _)| is_used(*i))
            {
                let (addr, id) = (instance.caller_addr(), format!("{name}-{round}-{index}"));
                open.spawn(async move {
                    let caller = Caller::new(Duration::from_secs(2));
                    caller.get(addr, "/sweep/7", &id).await.unwrap()
                });
                sleep(2 * MS).await;
            }
        }
        let mut counts = HashMap::new();
        while let Some(response) = open.join_next().await {
            let response = response.unwrap();
            *counts.entry((response.status, response.missing_shards)).or_default() += 1;
        }
        counts
    }

    /// Returns the most searchers of one shard at which the same request ran.
    fn most_runs(&self) -> usize {
        let runs_of = |shard: &str| {
            let mut runs: HashMap<String, usize> = HashMap::new();
            for searcher in self.searchers.iter().filter(|s| s.spec().service == shard) {
                searcher.executions().into_iter().for_each(|e| *runs.entry(e.id).or_default() += 1);
            }
            runs.into_values().max().unwrap_or(0)
        };
        SHARDS.iter().map(|shard| runs_of(shard)).max().unwrap_or(0)
    }
}

/// A tier whose instances relay to each other answers as one that does not, also
/// while instances are paused in the middle of requests, or stopped in order.
#[tokio::test(flavor = "multi_thread")]
async fn divided_tier_answers_whole_through_pauses_and_planned_stops() {
    let mut deployment = Deployment::start().await;
    let counts = deployment.query_all("calm", 10, |_| true).await;
    assert_eq!(counts, HashMap::from([((200, 0), 10 * INSTANCES)]));

    // The first instance of each zone is paused; the others are asked.
    let is_running = |index: usize| index >= ZONES.len();
    deployment.instances[..ZONES.len()].iter().for_each(InstanceProcess::suspend);
    let counts = deployment.query_all("paused", 10, is_running).await;
    deployment.instances[..ZONES.len()].iter().for_each(InstanceProcess::resume);
    let answered: usize = counts.iter().filter(|((s, _), _)| *s == 200).map(|(_, n)| n).sum();
    assert_eq!(answered, 10 * (INSTANCES - ZONES.len()), "{counts:?}");

    // The same instances are stopped in order while the others are asked.
    deployment.instances[..ZONES.len()].iter().for_each(InstanceProcess::terminate);
    let counts = deployment.query_all("stopped", 40, is_running).await;
    let whole = counts.get(&(200, 0)).copied().unwrap_or(0);
    assert_eq!(whole, 40 * (INSTANCES - ZONES.len()), "{counts:?}");
    for instance in &mut deployment.instances[..ZONES.len()] {
        assert!(instance.wait_for_exit(Duration::from_secs(6)).await.unwrap());
    }
    assert!(deployment.most_runs() <= MAX_ATTEMPTS, "{} runs", deployment.most_runs());
}
