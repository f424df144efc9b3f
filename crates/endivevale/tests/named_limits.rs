//! Tests of the limits that searchers name: instance processes against
//! stand-ins for the platform's store, its searchers and its callers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{path::Path, time::Duration};

use endivevale_cases::cases;
use endivevale_platform_standin::{
    caller::Caller,
    config::{ConfigBuilder, RouteDeclaration},
    searcher::{Searcher, SearcherSpec},
    store::{CONFIG_OBJECT, Store},
    tier::start_instances,
};
use endivevale_standin::process::InstanceProcess;
use tokio::{
    task::JoinSet,
    time::{Instant, interval, sleep},
};

const INSTANCE_BIN: &str = env!("CARGO_BIN_EXE_endivevale");
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The zones, with two instances in each.
const ZONES: [&str; 3] = ["a", "b", "c"];
const INSTANCES_PER_ZONE: usize = 2;

/// From when on after it was first named a limit must be kept.
const STABLE_AFTER: Duration = Duration::from_secs(4);

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The time between two requests that callers send to one instance.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Returns the requests that a searcher with this limit may get in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

struct Deployment {
    _store: Store,
    searchers: Vec<Searcher>,
    instances: Vec<InstanceProcess>,
}

impl Deployment {
    /// Starts one searcher in each zone and the instances.
    async fn start() -> Self {
        let store = Store::start().await.unwrap();
        let config = ConfigBuilder::new(1)
            .services(&["s1"])
            .route(RouteDeclaration::fan_out("sweep", &["s1"], 1.0))
            .route(RouteDeclaration::non_idempotent("orders", "s1"));
        store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
        let mut searchers = Vec::new();
        for zone in ZONES {
            let spec = SearcherSpec {
                name: format!("s1-{zone}"),
                service: "s1".to_owned(),
                zone: zone.to_owned(),
                service_time: Duration::from_millis(5),
            };
            searchers.push(Searcher::start(&store, spec).await.unwrap());
        }
        let count = ZONES.len() * INSTANCES_PER_ZONE;
        let instances =
            start_instances(Path::new(INSTANCE_BIN), &store, &ZONES, count).await.unwrap();
        for instance in &instances {
            instance.wait_until_ready(READY_TIMEOUT).await.unwrap();
        }
        // Each instance has read the list of instances after this time.
        sleep(Duration::from_secs(5)).await;
        Self { _store: store, searchers, instances }
    }

    /// Sends requests to every instance until the time. Returns the number of
    /// answers and of requests.
    async fn send_requests(&self, path: &'static str, until: Instant) -> (usize, usize) {
        let mut tasks = JoinSet::new();
        for (index, instance) in self.instances.iter().enumerate() {
            let addr = instance.caller_addr();
            tasks.spawn(async move {
                let mut ticks = interval(REQUEST_INTERVAL);
                let mut requests = JoinSet::new();
                while Instant::now() < until {
                    ticks.tick().await;
                    let id = format!("{index}-{}", requests.len());
                    requests.spawn(async move {
                        let caller = Caller::new(Duration::from_secs(2));
                        caller.get(addr, path, &id).await.is_ok_and(|res| res.status == 200)
                    });
                }
                requests.join_all().await
            });
        }
        let outcomes: Vec<bool> = tasks.join_all().await.into_iter().flatten().collect();
        (outcomes.iter().filter(|is_answered| **is_answered).count(), outcomes.len())
    }
}

/// Returns the most requests that a searcher ran in a window that begins at
/// `from` or later.
fn most_in_window(searcher: &Searcher, from: Instant) -> usize {
    let executions = searcher.executions();
    let starts: Vec<Instant> =
        executions.iter().map(|e| e.started_at).filter(|at| *at >= from).collect();
    let count_from =
        |from: Instant| starts.iter().filter(|at| **at >= from && **at < from + WINDOW).count();
    starts.iter().map(|from| count_from(*from)).max().unwrap_or(0)
}

cases! {
    // Guards against more requests than a searcher has named as its limit: no
    // instance read the limit.
    fn a_searcher_gets_no_more_than_it_named(path: &'static str, limit: f64) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let deployment = Deployment::start().await;
            let limited = &deployment.searchers[0];
            limited.name_limit(Some(limit));
            let started = Instant::now();
            let (answered, sent) =
                deployment.send_requests(path, started + STABLE_AFTER + 2 * WINDOW).await;
            let most = most_in_window(limited, started + STABLE_AFTER);
            assert!(most <= allowed(limit), "{most} in a window; allowed {}", allowed(limit));
            // The other searchers take what does not fit.
            assert!(answered * 100 >= sent * 95, "{answered} of {sent} answered");

            // Once the limit has ended, the searcher gets its part again.
            limited.name_limit(None);
            let ended = Instant::now();
            deployment.send_requests(path, ended + STABLE_AFTER + WINDOW).await;
            let most = most_in_window(limited, ended + STABLE_AFTER);
            assert!(most > allowed(limit), "{most} in a window after the limit ended");
        });
    }
    single_requests_and_a_small_limit => ("/orders/1", 1.0),
    single_requests => ("/orders/1", 8.0),
    queries_over_shards => ("/sweep/1", 8.0),
}
