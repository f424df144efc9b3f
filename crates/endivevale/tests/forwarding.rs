//! End-to-end tests of forwarding: instance processes against stand-ins for the
//! platform's store, its searchers and its callers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{path::Path, time::Duration};

use endivevale_cases::cases;
use endivevale_platform_standin::{
    caller::{Caller, CallerResponse, RequestError},
    config::{ConfigBuilder, RouteDeclaration},
    searcher::{Searcher, SearcherBehavior, SearcherSpec, record},
    store::{CONFIG_OBJECT, Outage, Store},
};
use endivevale_standin::process::{ForwardingSpec, InstanceProcess, InstanceSpec};
use http::Method;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const INSTANCE_BIN: &str = env!("CARGO_BIN_EXE_endivevale");
const MS: Duration = Duration::from_millis(1);
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const GRACE_PERIOD: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// The time within which a change in the store must be in force on every
/// instance.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

/// A store, three searchers per service (one in each zone), and instances.
struct Deployment {
    store: Store,
    searchers: Vec<Searcher>,
    instances: Vec<InstanceProcess>,
}

/// Returns a configuration with a route to two shards and a route to one
/// service.
fn config(version: u64) -> ConfigBuilder {
    ConfigBuilder::new(version)
        .services(&["s1", "s2", "desk"])
        .route(RouteDeclaration::fan_out("sweep", &["s1", "s2"], 0.5))
        .route(RouteDeclaration::non_idempotent("orders", "desk"))
}

impl Deployment {
    /// Starts the store and the searchers, without a configuration and without
    /// instances.
    async fn without_config() -> Self {
        let store = Store::start().await.unwrap();
        let mut searchers = Vec::new();
        for service in ["s1", "s2", "desk"] {
            for zone in ["a", "b", "c"] {
                let spec = SearcherSpec {
                    name: format!("{service}-{zone}"),
                    service: service.to_owned(),
                    zone: zone.to_owned(),
                    service_time: 10 * MS,
                };
                searchers.push(Searcher::start(&store, spec).await.unwrap());
            }
        }
        Self { store, searchers, instances: Vec::new() }
    }

    /// Starts this many instances with a configuration and waits until all are
    /// ready.
    async fn start(instance_count: usize) -> Self {
        let mut deployment = Self::without_config().await;
        deployment.write_config(&config(1));
        for _ in 0..instance_count {
            deployment.add_instance().await;
        }
        for instance in &deployment.instances {
            instance.wait_until_ready(READY_TIMEOUT).await.unwrap();
        }
        deployment
    }

    fn write_config(&self, config: &ConfigBuilder) {
        self.store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
    }

    async fn add_instance(&mut self) {
        let index = self.instances.len();
        let zone = ["a", "b", "c"][index % 3];
        let base = format!("http://{}", self.store.addr());
        let mut spec = InstanceSpec::new(&format!("entry-{index}"), zone, &base);
        spec.seeds = self.instances.iter().map(|instance| instance.record().sibling).collect();
        spec.settle = SETTLE_TIME;
        spec.forwarding = Some(ForwardingSpec {
            grace: GRACE_PERIOD,
            extra_attempts: 0.2,
            extra_allowance: 50.0,
        });
        self.instances.push(InstanceProcess::start(Path::new(INSTANCE_BIN), &spec).await.unwrap());
    }

    fn searchers_of(&self, service: &str) -> impl Iterator<Item = &Searcher> {
        self.searchers.iter().filter(move |s| s.spec().service == service)
    }

    fn set_behavior(&self, service: &str, behavior: SearcherBehavior) {
        self.searchers_of(service).for_each(|searcher| searcher.set_behavior(behavior));
    }

    /// Returns how often searchers of the service ran the request with this ID.
    fn execution_count(&self, service: &str, id: &str) -> usize {
        let executions = self.searchers_of(service).flat_map(Searcher::executions);
        executions.filter(|execution| execution.id == id).count()
    }

    /// Sends a query to one instance, as a caller that waits for 2 s.
    async fn get(&self, index: usize, path: &str, id: &str) -> CallerResponse {
        let caller = Caller::new(Duration::from_secs(2));
        caller.get(self.instances[index].caller_addr(), path, id).await.unwrap()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_returns_the_greatest_records_of_every_shard() {
    let deployment = Deployment::start(1).await;
    let response = deployment.get(0, "/sweep/7", "r1").await;
    assert_eq!(
        (response.status, response.missing_shards, response.part_signatures.len()),
        (200, 0, 2),
        "{response:?}"
    );
    assert!(response.part_signatures.iter().all(|signature| signature.ends_with(".r1")));
    let mut records: Vec<String> =
        ["s1", "s2"].iter().flat_map(|s| (0..5).map(|n| record(s, n))).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    assert_eq!(response.body, records.concat());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shard_without_a_responding_searcher_is_counted_as_missing() {
    let deployment = Deployment::start(1).await;
    deployment.set_behavior("s2", SearcherBehavior::Hangs);
    let start = Instant::now();
    let response = deployment.get(0, "/sweep/7", "r1").await;
    assert_eq!(
        (response.status, response.missing_shards, response.part_signatures.len()),
        (200, 1, 1),
        "{response:?}"
    );
    assert!(start.elapsed() < 400 * MS, "{:?}", start.elapsed());
}

cases! {
    fn a_request_that_is_not_idempotent_runs_at_most_once(
        behavior: SearcherBehavior,
        statuses: &[u16],
        max_runs: usize,
    ) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let deployment = Deployment::start(1).await;
            deployment.set_behavior("desk", behavior);
            let caller = Caller::new(Duration::from_secs(2));
            let addr = deployment.instances[0].caller_addr();
            let response = caller.send(addr, Method::POST, "/orders/1", "o1").await.unwrap();
            assert!(statuses.contains(&response.status), "{response:?}");
            let runs = deployment.execution_count("desk", "o1");
            assert!(runs <= max_runs, "{runs} runs");
            if response.is_not_run() {
                assert_eq!(runs, 0);
                assert!(response.retry_after.is_some(), "{response:?}");
            }
        });
    }
    successful => (SearcherBehavior::Normal, &[200], 1),
    rejected_as_not_run => (SearcherBehavior::Rejects, &[503], 0),
    reply_lost => (SearcherBehavior::DropsReplies, &[502], 1),
    reply_cut_short => (SearcherBehavior::TruncatesReplies, &[502], 1),
    reply_to_another_request => (SearcherBehavior::MismatchesReplies, &[502], 1),
    searcher_failure => (SearcherBehavior::Fails, &[500], 1),
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_configuration_is_not_ready_and_responds_with_503() {
    let mut deployment = Deployment::without_config().await;
    deployment.add_instance().await;
    let response = deployment.get(0, "/sweep/7", "r1").await;
    assert_eq!(response.status, 503);
    assert!(deployment.instances[0].wait_until_ready(300 * MS).await.is_err());
    deployment.write_config(&config(1));
    deployment.instances[0].wait_until_ready(READY_TIMEOUT).await.unwrap();
    assert_eq!(deployment.get(0, "/sweep/7", "r2").await.status, 200);
    assert_eq!(deployment.get(0, "/other/7", "r3").await.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_on_every_instance_in_time() {
    let deployment = Deployment::start(3).await;
    for version in [2, 3] {
        let name = format!("added{version}");
        deployment.write_config(&config(version).route(RouteDeclaration::fan_out(
            &name,
            &["s1"],
            1.0,
        )));
        sleep(IN_FORCE_TIMEOUT).await;
        for index in 0..3 {
            let response = deployment.get(index, &format!("/{name}/1"), "r").await;
            assert_eq!(response.status, 200, "version {version} at instance {index}");
        }
    }
    // Version 3 no longer declares the route that version 2 added.
    assert_eq!(deployment.get(0, "/added2/1", "r").await.status, 404);
}

cases! {
    fn a_leaving_searcher_gets_no_new_requests(is_draining: bool) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let deployment = Deployment::start(2).await;
            let leaving = deployment.searchers_of("s1").next().unwrap();
            match is_draining {
                true => leaving.drain(&deployment.store),
                false => leaving.unregister(&deployment.store),
            }
            sleep(IN_FORCE_TIMEOUT).await;
            let execution_count = leaving.executions().len();
            for number in 0..30 {
                let response = deployment.get(number % 2, "/sweep/7", &format!("r{number}")).await;
                assert_eq!((response.status, response.missing_shards), (200, 0), "{response:?}");
            }
            assert_eq!(leaving.executions().len(), execution_count);
        });
    }
    drains => (true),
    unregisters => (false),
}

cases! {
    fn queries_succeed_during_and_after_a_store_outage(outage: Outage) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let mut deployment = Deployment::start(2).await;
            deployment.store.set_outage(Some(outage));
            // Removes the searchers' entries, as if they expired during the
            // outage; the searchers keep running.
            deployment.searchers.iter().for_each(|s| s.unregister(&deployment.store));
            sleep(IN_FORCE_TIMEOUT).await;
            assert_eq!(deployment.get(0, "/sweep/7", "r1").await.status, 200);
            // A new instance gets the configuration and the listing from its
            // siblings.
            deployment.add_instance().await;
            deployment.instances[2].wait_until_ready(READY_TIMEOUT).await.unwrap();
            assert_eq!(deployment.get(2, "/sweep/7", "r2").await.status, 200);
            deployment.searchers.iter().for_each(|s| s.renew_entry(&deployment.store));
            deployment.store.clear_history();
            deployment.store.set_outage(None);
            deployment
                .write_config(&config(2).route(RouteDeclaration::fan_out("late", &["s1"], 1.0)));
            sleep(IN_FORCE_TIMEOUT * 2).await;
            for index in 0..3 {
                assert_eq!(deployment.get(index, "/late/1", "r3").await.status, 200);
            }
        });
    }
    busy => (Outage::Busy),
    silent => (Outage::Unresponsive),
    reset => (Outage::Reset),
    replies_lost => (Outage::DropsReplies),
    rate_limited => (Outage::RateLimited),
}

/// Sends one query after the other until `end`. Returns the number of queries
/// without a complete response and the number of those with one.
async fn query_until(addr: std::net::SocketAddr, task: usize, end: Instant) -> (u32, u32) {
    let caller = Caller::new(Duration::from_secs(2));
    let (mut failed, mut answered) = (0, 0);
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        match caller.get(addr, "/sweep/7", &format!("t{task}-{number}")).await {
            Ok(_) => answered += 1,
            Err(_) => failed += 1,
        }
    }
    (failed, answered)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_request() {
    let mut deployment = Deployment::start(1).await;
    let addr = deployment.instances[0].caller_addr();
    // The signal is sent after 300 ms, and from then on the instance accepts
    // requests for the settle time. The callers stop 100 ms before it ends.
    let end = Instant::now() + 300 * MS + SETTLE_TIME - 100 * MS;
    let mut tasks = JoinSet::new();
    for task in 0..6 {
        tasks.spawn(query_until(addr, task, end));
    }
    sleep(300 * MS).await;
    deployment.instances[0].terminate();
    let counts = tasks.join_all().await;
    assert_eq!(counts.iter().map(|(failed, _)| failed).sum::<u32>(), 0, "{counts:?}");
    assert!(counts.iter().all(|(_, answered)| *answered > 5), "{counts:?}");
    assert!(deployment.instances[0].wait_for_exit(GRACE_PERIOD).await.unwrap());
}

// Guards against a closed connection without an answer: a request that came late
// in the grace period was still with its searcher when the process ended.
cases! {
    fn a_request_that_outlasts_the_grace_period_is_answered(
        path: &'static str, service: &'static str
    ) {
        tokio::runtime::Runtime::new().unwrap().block_on(async {
            let mut deployment = Deployment::start(1).await;
            let slow = 2 * GRACE_PERIOD;
            let config = ConfigBuilder::new(2)
                .services(&["s1", "s2", "desk"])
                .route(RouteDeclaration::fan_out("sweep", &["s1", "s2"], 0.5).timeout(slow))
                .route(RouteDeclaration::non_idempotent("orders", "desk").timeout(slow));
            deployment.write_config(&config);
            sleep(IN_FORCE_TIMEOUT).await;
            deployment.set_behavior(service, SearcherBehavior::Hangs);
            deployment.set_behavior("s2", SearcherBehavior::Hangs);
            deployment.instances[0].terminate();
            sleep(SETTLE_TIME / 2).await;
            let addr = deployment.instances[0].caller_addr();
            let answer = Caller::new(slow).get(addr, path, "late").await;
            assert!(answer.as_ref().is_ok_and(|res| res.status == 504), "{answer:?}");
            assert!(deployment.instances[0].wait_for_exit(GRACE_PERIOD).await.unwrap());
        });
    }
    not_idempotent => ("/orders/7", "desk"),
    query_over_shards => ("/sweep/7", "s1"),
}

#[tokio::test(flavor = "multi_thread")]
async fn a_searcher_cancels_the_request_of_a_caller_that_disconnects() {
    let deployment = Deployment::start(1).await;
    deployment.set_behavior("s1", SearcherBehavior::Hangs);
    let addr = deployment.instances[0].caller_addr();
    let caller = Caller::new(Duration::from_secs(2)).with_client_timeout(80 * MS);
    assert_eq!(caller.get(addr, "/sweep/7", "r1").await, Err(RequestError::TimedOut));
    let deadline = Instant::now() + 500 * MS;
    while deployment.searchers_of("s1").map(Searcher::cancelled_count).sum::<u32>() == 0 {
        assert!(
            Instant::now() < deadline,
            "no searcher has cancelled the request of the caller that disconnected"
        );
        sleep(5 * MS).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn admin_endpoints_report_request_counts_and_visible_instances() {
    let deployment = Deployment::start(2).await;
    for number in 0..4 {
        deployment.get(0, "/sweep/7", &format!("r{number}")).await;
    }
    let admin = deployment.instances[0].record().admin;
    let client = endivevale_standin::load::create_http_client();
    let burn = client.get(format!("http://{admin}/v1/burn")).send().await.unwrap();
    let burn: serde_json::Value = burn.json().await.unwrap();
    let sweep_entry = &burn["windows"][0]["subjects"][0];
    assert_eq!(sweep_entry["subject"]["name"], "sweep", "{burn}");
    assert_eq!(sweep_entry["tally"]["asked"], 4, "{burn}");
    // The instance reads the instances of the tier from the store every 4 s.
    sleep(Duration::from_secs(5)).await;
    assert_eq!(deployment.instances[0].get_status().await.unwrap()["instances_seen"], 2);
}
