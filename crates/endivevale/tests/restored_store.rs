//! A store that comes back from an older copy of its content, as instance processes meet
//! it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{path::Path, time::Duration};

use endivevale_platform_standin::{
    config::{ConfigBuilder, RouteDeclaration},
    store::{CONFIG_OBJECT, INSTANCE_KIND, Outage, Store},
    tier::start_instances,
};
use endivevale_standin::process::InstanceProcess;
use serde_json::json;
use tokio::time::{Instant, sleep};

const INSTANCE_BIN: &str = env!("CARGO_BIN_EXE_endivevale");

/// The time within which a change must be in force on every instance.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the store is away.
const OUTAGE: Duration = Duration::from_millis(500);

/// The time within which a lost entry of an instance must be back. Less than it takes
/// to find out from the list of the instances.
const ENTRY_BACK_WITHIN: Duration = Duration::from_secs(4);

/// The number of changes of other kinds that raise the revision.
const OTHER_CHANGES: u32 = 5;

fn write_config(store: &Store, version: u64) {
    let config = ConfigBuilder::new(version).services(&["s1"]).route(RouteDeclaration::fan_out(
        "first",
        &["s1"],
        1.0,
    ));
    store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
}

fn write_others(store: &Store, round: u32) {
    for n in 0..OTHER_CHANGES {
        store.write("notes", &format!("note-{n}"), json!({ "round": round }));
    }
}

async fn start(store: &Store, count: usize) -> Vec<InstanceProcess> {
    let zones = ["a", "b", "c"];
    let instances = start_instances(Path::new(INSTANCE_BIN), store, &zones, count).await.unwrap();
    for instance in &instances {
        instance.wait_until_ready(Duration::from_secs(10)).await.unwrap();
    }
    instances
}

async fn wait_for_config(instances: &[InstanceProcess], version: u64) {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    for instance in instances {
        loop {
            let status = instance.get_status().await.unwrap_or_default();
            let in_force = status["config_version"].as_u64();
            if in_force == Some(version) {
                break;
            }
            assert!(Instant::now() < deadline, "version {in_force:?}, not {version}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

// Guards against a configuration that never takes force: it was written after the store
// had come back, under a number that instances had read before.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_under_a_number_that_is_given_out_again_takes_force() {
    let store = Store::start().await.unwrap();
    write_config(&store, 1);
    let instances = start(&store, 3).await;
    for round in 1..3 {
        let (lost, next) = (u64::from(round) * 2, u64::from(round) * 2 + 1);
        let copy = store.copy();
        write_config(&store, lost);
        write_others(&store, round);
        wait_for_config(&instances, lost).await;
        sleep(Duration::from_secs(1)).await;
        store.set_outage(Some(Outage::Reset));
        sleep(OUTAGE).await;
        store.restore(copy);
        write_config(&store, lost);
        write_config(&store, next);
        write_others(&store, round);
        store.set_outage(None);
        wait_for_config(&instances, next).await;
    }
}

// Guards against instances that go back to an older configuration, while the store has
// only that one.
#[tokio::test(flavor = "multi_thread")]
async fn newer_configuration_stays_in_force_until_it_is_written_again() {
    let store = Store::start().await.unwrap();
    write_config(&store, 1);
    let instances = start(&store, 2).await;
    let copy = store.copy();
    write_config(&store, 2);
    wait_for_config(&instances, 2).await;
    store.restore(copy);
    sleep(Duration::from_secs(3)).await;
    wait_for_config(&instances, 2).await;
}

// Guards against an instance that no sibling knows: its entry was lost, and it did not
// look for it.
#[tokio::test(flavor = "multi_thread")]
async fn lost_entry_of_an_instance_is_written_again() {
    let store = Store::start().await.unwrap();
    write_config(&store, 1);
    let copy = store.copy();
    let instances = start(&store, 2).await;
    sleep(Duration::from_secs(1)).await;
    store.restore(copy);
    assert!(store.names(INSTANCE_KIND).is_empty());
    let deadline = Instant::now() + ENTRY_BACK_WITHIN;
    while store.names(INSTANCE_KIND).len() < instances.len() {
        assert!(Instant::now() < deadline, "{:?}", store.names(INSTANCE_KIND));
        sleep(Duration::from_millis(50)).await;
    }
}
