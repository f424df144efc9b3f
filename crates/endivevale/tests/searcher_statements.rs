//! What searchers say about themselves, followed by an instance process that cannot
//! reach the store.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{path::Path, time::Duration};

use endivevale_platform_standin::{
    caller::Caller,
    config::{ConfigBuilder, RouteDeclaration},
    searcher::{Searcher, SearcherBehavior, SearcherSpec},
    store::{CONFIG_OBJECT, Outage, Store},
    tier::start_instances,
};
use endivevale_standin::process::InstanceProcess;
use tokio::time::sleep;

const INSTANCE_BIN: &str = env!("CARGO_BIN_EXE_endivevale");
const MS: Duration = Duration::from_millis(1);
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// One instance, which serves while its store is away, and two searchers of a
/// service.
struct Deployment {
    _store: Store,
    searchers: Vec<Searcher>,
    instance: InstanceProcess,
}

impl Deployment {
    async fn start() -> Self {
        let store = Store::start().await.unwrap();
        let mut searchers = Vec::new();
        for zone in ["a", "b"] {
            let spec = SearcherSpec {
                name: format!("desk-{zone}"),
                service: "desk".to_owned(),
                zone: zone.to_owned(),
                service_time: MS,
            };
            searchers.push(Searcher::start(&store, spec).await.unwrap());
        }
        let config = ConfigBuilder::new(1)
            .services(&["desk"])
            .route(RouteDeclaration::non_idempotent("orders", "desk"));
        store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
        let mut instances =
            start_instances(Path::new(INSTANCE_BIN), &store, &["a"], 1).await.unwrap();
        let instance = instances.remove(0);
        instance.wait_until_ready(READY_TIMEOUT).await.unwrap();
        store.set_outage(Some(Outage::Busy));
        Self { _store: store, searchers, instance }
    }

    /// Sends this many requests, one every 10 ms. Returns how many succeeded.
    async fn send_requests(&self, name: &str, count: usize) -> usize {
        let caller = Caller::new(Duration::from_secs(2));
        let mut successes = 0;
        for n in 0..count {
            let id = format!("{name}-{n}");
            let addr = self.instance.caller_addr();
            let res = caller.send(addr, http::Method::POST, "/orders/1", &id).await.unwrap();
            successes += usize::from(res.status == 200);
            sleep(10 * MS).await;
        }
        successes
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn searcher_that_says_it_leaves_gets_no_further_request() {
    let deployment = Deployment::start().await;
    let leaving = &deployment.searchers[0];
    leaving.say_leaving();
    assert_eq!(deployment.send_requests("before", 20).await, 20);
    assert!(leaving.received_count() >= 1, "no reply could say it");
    let known = leaving.received_count();
    assert_eq!(deployment.send_requests("after", 50).await, 50);
    assert_eq!(leaving.received_count(), known);
}

#[tokio::test(flavor = "multi_thread")]
async fn searcher_that_asks_for_a_pause_gets_no_request_until_it_is_over() {
    let deployment = Deployment::start().await;
    let busy = &deployment.searchers[0];
    busy.set_behavior(SearcherBehavior::Rejects);
    busy.request_pause(Some(2.0));
    assert_eq!(deployment.send_requests("first", 10).await, 10);
    assert_eq!(busy.received_count(), 1);
    assert_eq!(deployment.send_requests("paused", 100).await, 100);
    assert_eq!(busy.received_count(), 1);
    busy.set_behavior(SearcherBehavior::Normal);
    sleep(Duration::from_millis(1500)).await;
    assert_eq!(deployment.send_requests("later", 50).await, 50);
    assert!(busy.received_count() > 1);
}
