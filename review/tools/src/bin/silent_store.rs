//! The open connections to the store go silent once, while new ones work. A
//! searcher's entry is removed meanwhile. Counts the requests that reach that
//! searcher too late.

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
    store::{CONFIG_OBJECT, Store},
};
use endivevale_review_tools::{
    BROKEN, Caller, HELD, Instance, InstanceSpec, NOT_RUN, Record, TempDir, free_addrs,
    has_trouble, lock, run_case, searcher::Searcher,
};
use endivevale_standin::fault_proxy::FaultProxy;
use tokio::time::{Instant, sleep, sleep_until};

/// The instances, one in each zone.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The bound of the deployment: `drain-ms`.
const DRAIN: Duration = Duration::from_millis(3000);

/// The bound of the deployment: `stable-window-ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(4000);

/// How long the instances serve before the disruption.
const WARM_UP: Duration = Duration::from_secs(6);

/// When the entry is removed, after the connections went silent.
const REMOVED_AFTER: Duration = Duration::from_millis(500);

/// How long the searcher serves after its entry was removed.
const LINGER: Duration = Duration::from_secs(9);

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
    let dir = TempDir::create("silent-store")?;
    let store = Store::start().await?;
    let runs = Arc::default();
    let mut searchers = Vec::new();
    for (name, zone) in [("i-1", "a"), ("i-2", "b"), ("i-3", "c")] {
        let (time, place) = (Duration::from_millis(15), (name, "desk", zone));
        searchers
            .push(Searcher::start(&store, place, time, Arc::clone(&runs), record.clone()).await?);
    }
    let config = ConfigBuilder::new(1)
        .services(&["desk"])
        .route(RouteDeclaration::non_idempotent("orders", "desk"));
    store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
    let (mut proxies, mut instances) = (Vec::new(), Vec::new());
    let addrs = free_addrs(ZONES.len() * 4).await?;
    let seeds: Vec<SocketAddr> = addrs.chunks(4).map(|addrs| addrs[2]).collect();
    for (zone, addrs) in ZONES.iter().zip(addrs.chunks(4)) {
        let proxy = FaultProxy::start(store.addr()).await?;
        let spec = InstanceSpec {
            name: format!("edge-{zone}-1"),
            zone: (*zone).to_owned(),
            caller: addrs[0],
            admin: addrs[1],
            sibling: addrs[2],
            relay: addrs[3],
            store: proxy.addr(),
            seeds: seeds.clone(),
        };
        instances.push(Instance::start(&root, &dir.0, &spec).await?);
        proxies.push(proxy);
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
    // Right after a read of the store, so that the next one is the first to be
    // affected.
    let calls = store.call_count();
    while store.call_count() == calls {
        sleep(Duration::from_millis(2)).await;
    }
    sleep(Duration::from_millis(50)).await;
    let silent_at = Instant::now();
    if has_trouble() {
        record.announce("the open connections to the store go silent; new ones work");
        proxies.iter().for_each(FaultProxy::stall_connections);
    }
    sleep(REMOVED_AFTER).await;
    let leaving = &searchers[0];
    leaving.unregister(&store);
    let removed_at = Instant::now();
    record.announce("the entry of i-1 is removed; it serves on");
    sleep_until(removed_at + LINGER).await;
    stopped.store(true, Ordering::SeqCst);
    let mut ok = 0;
    let mut sent = 0;
    for task in tasks {
        let (task_sent, task_ok) = task.await.map_err(std::io::Error::other)?;
        (sent, ok) = (sent + task_sent, ok + task_ok);
    }
    let in_touch_at = silent_at + STABLE_WINDOW;
    let bound = (removed_at + DRAIN).max(in_touch_at);
    let on_i1: Vec<_> =
        lock(&runs).iter().filter(|run| run.searcher == "i-1").map(|run| run.at).collect();
    let late: Vec<_> = on_i1.iter().filter(|at| **at > bound).collect();
    let last =
        on_i1.iter().max().map_or(0.0, |at| at.saturating_duration_since(removed_at).as_secs_f64());
    record.announce(&format!(
        "{sent} requests, {ok} answered 200; the last one reached i-1 {last:.2} s after its entry \
         was removed; {} reached it later than {} ms after that, at machines in touch (DRAIN)",
        late.len(),
        DRAIN.as_millis(),
    ));
    Ok(match (ok * 2 > sent && !on_i1.is_empty(), late.is_empty()) {
        (false, _) => NOT_RUN,
        (true, true) => HELD,
        (true, false) => BROKEN,
    })
}

/// Sends requests one after the other until stopped. Returns how many were sent
/// and how many were answered 200.
async fn call(
    addr: SocketAddr,
    name: String,
    stopped: Arc<AtomicBool>,
    record: Record,
) -> (usize, usize) {
    let mut caller = Caller::new(addr);
    let (mut sent, mut ok) = (0, 0);
    while !stopped.load(Ordering::SeqCst) {
        let id = format!("{name}-{sent}");
        record.line(&format!("caller sends {id}"));
        let reply = caller.send("POST", "/orders/1", &id, 2000, b"one pole").await;
        let status = reply.map_or(0, |reply| reply.status());
        record.line(&format!("caller gets {status} for {id}"));
        (sent, ok) = (sent + 1, ok + usize::from(status == 200));
        sleep(PAUSE).await;
    }
    (sent, ok)
}
