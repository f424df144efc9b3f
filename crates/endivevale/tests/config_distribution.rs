//! Tests of the cost at which a change of the configuration reaches all
//! instances: instance processes against a stand-in for the platform's store.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{path::Path, time::Duration};

use endivevale_platform_standin::{
    config::{ConfigBuilder, RouteDeclaration},
    searcher::{Searcher, SearcherSpec},
    store::{CONFIG_OBJECT, Store},
    tier::start_instances,
};
use endivevale_standin::{load, process::InstanceProcess};
use tokio::time::{Instant, sleep};

const INSTANCE_BIN: &str = env!("CARGO_BIN_EXE_endivevale");

/// The number of instances, in three zones.
const INSTANCE_COUNT: usize = 12;

/// The number of routes of a large configuration.
const ROUTE_COUNT: usize = 700;

/// The time within which a change must be in force on every instance.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The bytes that control messages may cost an instance per change: 16 KB/s at
/// 41,000 changes a day.
const CONTROL_BYTES_PER_CHANGE: u64 = 16 * 1024 * 86_400 / 41_000;

/// Returns a configuration with this many routes.
fn config(version: u64, route_count: usize) -> ConfigBuilder {
    let base = ConfigBuilder::new(version).services(&["s1", "s2"]);
    (0..route_count).fold(base, |config, n| {
        config.route(RouteDeclaration::fan_out(&format!("sweep-{n}"), &["s1", "s2"], 0.5))
    })
}

/// The value of one line of an instance's metrics.
async fn metric(instance: &InstanceProcess, line_start: &str) -> u64 {
    let url = format!("http://{}/metrics", instance.record().admin);
    let text = load::create_http_client().get(url).send().await.unwrap().text().await.unwrap();
    let value = text.lines().find_map(|line| line.strip_prefix(line_start)).unwrap();
    value.trim().parse().unwrap()
}

async fn transfer_metric(instance: &InstanceProcess, kind: &str) -> u64 {
    metric(instance, &format!("endivevale_sibling_transfers_total{{kind=\"{kind}\"}}")).await
}

/// A store with a configuration, a searcher, and instances that know each other.
struct Deployment {
    store: Store,
    _searcher: Searcher,
    instances: Vec<InstanceProcess>,
}

impl Deployment {
    async fn start(initial: &ConfigBuilder) -> Self {
        let store = Store::start().await.unwrap();
        store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, initial.document());
        let searcher = SearcherSpec {
            name: "s1-a".to_owned(),
            service: "s1".to_owned(),
            zone: "a".to_owned(),
            service_time: Duration::from_millis(10),
        };
        let searcher = Searcher::start(&store, searcher).await.unwrap();
        let count = INSTANCE_COUNT;
        let instances = start_instances(Path::new(INSTANCE_BIN), &store, &["a", "b", "c"], count)
            .await
            .unwrap();
        let deployment = Self { store, _searcher: searcher, instances };
        deployment.wait_in_force(1).await;
        // Each instance has read the list of instances after this time.
        sleep(Duration::from_secs(5)).await;
        deployment
    }

    fn write(&self, config: &ConfigBuilder) {
        self.store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
    }

    /// Waits until each instance has this version in force.
    async fn wait_in_force(&self, version: u64) {
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        for instance in &self.instances {
            while metric(instance, "endivevale_config_version").await < version {
                assert!(Instant::now() < deadline, "version {version} is late");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn transfers(&self, kind: &str) -> Vec<u64> {
        let mut counts = Vec::new();
        for instance in &self.instances {
            counts.push(transfer_metric(instance, kind).await);
        }
        counts
    }
}

/// Returns the largest increase of a counter on one instance.
fn max_increase(before: &[u64], after: &[u64]) -> u64 {
    before.iter().zip(after).map(|(before, after)| after - before).max().unwrap()
}

// Guards against late configurations: the whole text went from one instance to
// every other, so that its link was busy for seconds.
#[tokio::test(flavor = "multi_thread")]
async fn one_route_added_to_many_costs_no_instance_more_than_its_control_bytes() {
    let deployment = Deployment::start(&config(1, ROUTE_COUNT)).await;
    let received = deployment.transfers("received_bytes").await;
    let sent = deployment.transfers("sent_bytes").await;
    deployment.write(&config(2, ROUTE_COUNT + 1));
    deployment.wait_in_force(2).await;

    let received = max_increase(&received, &deployment.transfers("received_bytes").await);
    assert!(received <= CONTROL_BYTES_PER_CHANGE, "an instance received {received} bytes");
    let sent = max_increase(&sent, &deployment.transfers("sent_bytes").await);
    assert!(sent <= CONTROL_BYTES_PER_CHANGE, "an instance sent {sent} bytes");
}
