//! The store is down for four seconds, in which a searcher is lost. Later another
//! searcher drains. Counts the requests that reach it too late, and those that
//! are lost when it ends.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use endivevale_platform_standin::{
    config::{ConfigBuilder, RouteDeclaration},
    store::{CONFIG_OBJECT, Outage, Store},
};
use endivevale_review_tools::{
    BROKEN, Caller, HELD, Instance, InstanceSpec, NOT_RUN, Record, TempDir, free_addrs,
    has_trouble, lock, run_case, searcher::Searcher,
};
use tokio::time::{Instant, sleep, sleep_until};

/// The instances, one in each zone.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The bound of the deployment: `drain-ms`.
const DRAIN: Duration = Duration::from_millis(3000);

/// How long the instances serve before the disruption.
const WARM_UP: Duration = Duration::from_secs(6);

/// How long the store is down: the site file has 4.2 s.
const OUTAGE: Duration = Duration::from_millis(4000);

/// When the searcher begins to drain, after the store is back.
const DRAINS_AFTER: Duration = Duration::from_millis(7000);

/// How long a draining searcher serves on: `drain-ms` and a little longer.
const SERVES: Duration = Duration::from_millis(4500);

/// The callers of each instance, and the pause of each between two requests.
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(25);

#[tokio::main]
async fn main() -> ExitCode {
    run_case(run()).await
}

async fn run() -> std::io::Result<u8> {
    let root = std::env::current_dir()?;
    let args: Vec<String> = std::env::args().collect();
    let record = Record::create(&PathBuf::from(args.get(1).map_or("record.txt", |a| a)))?;
    let dir = TempDir::create("missed-drain")?;
    let store = Store::start().await?;
    let runs = Arc::default();
    let mut searchers = Vec::new();
    for (name, zone) in [("i-1", "a"), ("i-2", "b"), ("i-3", "c"), ("i-4", "a")] {
        let (time, place) = (Duration::from_millis(50), (name, "desk", zone));
        searchers
            .push(Searcher::start(&store, place, time, Arc::clone(&runs), record.clone()).await?);
    }
    let config = ConfigBuilder::new(1)
        .services(&["desk"])
        .route(RouteDeclaration::non_idempotent("orders", "desk"));
    store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
    let mut instances = Vec::new();
    let addrs = free_addrs(ZONES.len() * 4).await?;
    let seeds: Vec<SocketAddr> = addrs.chunks(4).map(|addrs| addrs[2]).collect();
    for (zone, addrs) in ZONES.iter().zip(addrs.chunks(4)) {
        let spec = InstanceSpec {
            name: format!("edge-{zone}-1"),
            zone: (*zone).to_owned(),
            caller: addrs[0],
            admin: addrs[1],
            sibling: addrs[2],
            relay: addrs[3],
            store: store.addr(),
            seeds: seeds.clone(),
        };
        instances.push(Instance::start(&root, &dir.0, &spec).await?);
    }
    for instance in &instances {
        if !instance.wait_until_ready(Duration::from_secs(10)).await {
            return Ok(NOT_RUN);
        }
    }
    let stopped = Arc::<AtomicBool>::default();
    let mut tasks = Vec::new();
    for instance in &instances {
        for number in 0..CALLERS {
            let name = format!("{}-{number}", instance.name);
            let call = call(instance.caller, name, Arc::clone(&stopped), record.clone());
            tasks.push(tokio::spawn(call));
        }
    }
    sleep(WARM_UP).await;
    if has_trouble() {
        record.announce("the store is down; i-4 is lost and its entry runs out");
        store.set_outage(Some(Outage::Busy));
        searchers[3].end();
        sleep(OUTAGE / 2).await;
        searchers[3].unregister(&store);
        sleep(OUTAGE / 2).await;
        store.set_outage(None);
        record.announce("the store is back");
    } else {
        sleep(OUTAGE).await;
    }
    sleep(DRAINS_AFTER).await;
    searchers[0].register(&store, "draining");
    let draining_at = Instant::now();
    record.announce("i-1 reports that it drains, and serves on");
    sleep_until(draining_at + SERVES).await;
    searchers[0].end();
    searchers[0].unregister(&store);
    let ended_at = Instant::now();
    record.announce("i-1 has ended");
    sleep(Duration::from_secs(1)).await;
    stopped.store(true, Ordering::SeqCst);
    let (mut ok, mut sent, mut lost) = (0, 0, 0);
    for task in tasks {
        for (at, status) in task.await.map_err(std::io::Error::other)? {
            sent += 1;
            ok += usize::from(status == 200);
            let around = ended_at - Duration::from_millis(100)..ended_at + Duration::from_secs(1);
            lost += usize::from(matches!(status, 0 | 502 | 504) && around.contains(&at));
        }
    }
    let bound = draining_at + DRAIN;
    let on_i1: Vec<_> =
        lock(&runs).iter().filter(|run| run.searcher == "i-1").map(|run| run.at).collect();
    let late: Vec<_> = on_i1.iter().filter(|at| **at > bound).collect();
    let last = on_i1
        .iter()
        .max()
        .map_or(0.0, |at| at.saturating_duration_since(draining_at).as_secs_f64());
    record.announce(&format!(
        "{sent} requests, {ok} answered 200; the last one reached i-1 {last:.2} s after it reported; \
         {} reached it later than {} ms after that (DRAIN); {lost} orders got 502, 504 or no answer \
         when it ended",
        late.len(),
        DRAIN.as_millis(),
    ));
    Ok(match (ok * 2 > sent && !on_i1.is_empty(), late.is_empty()) {
        (false, _) => NOT_RUN,
        (true, true) => HELD,
        (true, false) => BROKEN,
    })
}

/// Sends requests one after the other until stopped. Returns when each was
/// answered and its status, 0 if there was no answer.
async fn call(
    addr: SocketAddr,
    name: String,
    stopped: Arc<AtomicBool>,
    record: Record,
) -> Vec<(Instant, u16)> {
    let mut caller = Caller::new(addr);
    let mut answers = Vec::new();
    while !stopped.load(Ordering::SeqCst) {
        let id = format!("{name}-{}", answers.len());
        record.line(&format!("caller sends {id}"));
        let reply = caller.send("POST", "/orders/1", &id, 2000, b"one pole").await;
        let status = reply.map_or(0, |reply| reply.status());
        record.line(&format!("caller gets {status} for {id}"));
        answers.push((Instant::now(), status));
        sleep(PAUSE).await;
    }
    answers
}
