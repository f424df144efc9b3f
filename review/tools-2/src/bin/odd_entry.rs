//! Another writer leaves an entry among those of the searchers, whose name is as
//! long as an object may be. All instance processes are killed and started again,
//! and the rule RECOVER is checked.

use std::{io, path::PathBuf, process::ExitCode, time::Duration};

use endivevale_platform_standin::{
    caller::Caller,
    config::{ConfigBuilder, RouteDeclaration},
    searcher::{Searcher, SearcherSpec},
    store::{CONFIG_OBJECT, SEARCHER_KIND, Store},
};
use endivevale_review_tools_2::{
    Deployment, Machine, Record, Site, drive, has_trouble, paged_store, record_executions,
};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

/// The zones of the site; one machine in each.
const ZONES: [&str; 3] = ["nyr-nyabugogo", "nyr-gitiki", "nyr-ruliba"];

/// The shards, with three searchers each.
const SHARDS: [&str; 4] = ["landing-1", "landing-2", "landing-3", "landing-4"];

/// The length of the odd entry's name, in bytes; `value-bytes` is 1,048,576.
const NAME_BYTES: usize = 1_000_000;

/// `recovery-s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long requests are sent before the fault, and after the recovery.
const WATCHED: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> ExitCode {
    drive(|mut record, root, dir| async {
        let result = run(&mut record, root, dir).await;
        (record, result)
    })
    .await
}

/// Returns 1 if the rule is broken.
async fn run(record: &mut Record, root: PathBuf, dir: PathBuf) -> io::Result<usize> {
    let store = Store::start().await?;
    let addr = paged_store::start(store.addr()).await?;
    let deployment = Deployment { root, dir, store: addr, site: Site { budget_extra: 56 } };
    let config = ConfigBuilder::new(1)
        .services(&SHARDS)
        .route(RouteDeclaration::fan_out("match", &SHARDS, 0.75));
    store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
    let mut searchers = Vec::new();
    for (number, service) in SHARDS.iter().enumerate() {
        for zone in ZONES {
            let spec = SearcherSpec {
                name: format!("i-{number}-{zone}"),
                service: (*service).to_owned(),
                zone: zone.to_owned(),
                service_time: Duration::from_millis(5),
            };
            searchers.push(Searcher::start(&store, spec).await?);
        }
    }
    let machines = start_all(&deployment).await?;
    let before = send_requests(record, &machines, "before").await;
    let odd_name = if has_trouble() { "a".repeat(NAME_BYTES) } else { "a-short-name".to_owned() };
    store.write(SEARCHER_KIND, &odd_name, json!({"note": "of another writer"}));
    record.add(&format!("another writer leaves an entry with a name of {} bytes", odd_name.len()));
    let between = send_requests(record, &machines, "with the entry").await;
    for machine in machines {
        machine.kill().await;
    }
    record.add("all processes are killed");
    sleep(Duration::from_millis(800)).await;
    let machines = start_all(&deployment).await?;
    record.add("all processes are back");
    sleep(RECOVERY).await;
    let after = send_requests(record, &machines, "after the recovery").await;
    for machine in machines {
        machine.kill().await;
    }
    record_executions(record, &searchers);
    if before.min(between) < 0.25 {
        return Err(io::Error::other("less than a quarter was served before the fault"));
    }
    Ok(usize::from(after < 0.25))
}

async fn start_all(deployment: &Deployment) -> io::Result<Vec<Machine>> {
    let mut machines: Vec<Machine> = Vec::new();
    for zone in ZONES {
        let seeds: Vec<_> = machines.iter().map(|m| m.sibling).collect();
        machines.push(deployment.start(&format!("edge-{zone}-1"), zone, &seeds).await?);
    }
    for machine in &machines {
        machine.wait_until_ready(Duration::from_secs(10)).await?;
    }
    Ok(machines)
}

/// Sends requests to the machines in turn. Returns the share that is served.
async fn send_requests(record: &mut Record, machines: &[Machine], what: &str) -> f64 {
    let caller = Caller::new(Duration::from_millis(800));
    let until = Instant::now() + WATCHED;
    let (mut sent, mut served) = (0_usize, 0_usize);
    while Instant::now() < until {
        let at = Instant::now();
        let machine = &machines[sent % machines.len()];
        let id = format!("{}-{sent}", what.replace(' ', "-"));
        let res = caller.get(machine.caller, "/match/x", &id).await;
        let status = res.map_or(0, |res| res.status);
        record.add_at(at, &format!("sent {id} to {}: answered {status}", machine.name));
        sent += 1;
        served += usize::from(status == 200);
        sleep_until(at + Duration::from_millis(50)).await;
    }
    record.add(&format!("{what}: {served} of {sent} requests are served"));
    served as f64 / sent.max(1) as f64
}
