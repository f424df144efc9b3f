//! A searcher sends additional bytes after complete responses. Counts how often
//! a request that isn't idempotent runs more than once.

use std::{collections::HashMap, path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use endivevale_platform_standin::{
    config::{ConfigBuilder, RouteDeclaration},
    store::{CONFIG_OBJECT, Store},
};
use endivevale_review_tools::{
    BROKEN, Caller, HELD, Instance, InstanceSpec, NOT_RUN, Record, TempDir, free_addrs,
    has_trouble, lock, run_case, searcher::Searcher,
};
use tokio::time::{Instant, sleep};

/// How long callers send requests.
const TRAFFIC: Duration = Duration::from_secs(12);

/// When the disruption begins, and how long it lasts: the site file has 5 s.
const WARM_UP: Duration = Duration::from_secs(3);
const SPOILED: Duration = Duration::from_secs(5);

/// The callers, each with one connection.
const CALLERS: usize = 4;

/// The pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(30);

/// The faulty searcher spoils one in 40 of its answers, 0.025 of them.
const SPOIL_EACH: u64 = 40;

#[tokio::main]
async fn main() -> ExitCode {
    run_case(run()).await
}

async fn run() -> std::io::Result<u8> {
    let root = std::env::current_dir()?;
    let args: Vec<String> = std::env::args().collect();
    let record = Record::create(&PathBuf::from(args.get(1).map_or("record.txt", |a| a)))?;
    let dir = TempDir::create("unidentified")?;
    let store = Store::start().await?;
    let runs = Arc::default();
    let mut searchers = Vec::new();
    for (name, zone) in [("i-1", "a"), ("i-2", "b")] {
        let time = Duration::from_millis(15);
        let place = (name, "desk", zone);
        searchers
            .push(Searcher::start(&store, place, time, Arc::clone(&runs), record.clone()).await?);
    }
    let config = ConfigBuilder::new(1)
        .services(&["desk"])
        .route(RouteDeclaration::non_idempotent("orders", "desk"));
    store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
    let addrs = free_addrs(4).await?;
    let spec = InstanceSpec {
        name: "edge-a-1".to_owned(),
        zone: "a".to_owned(),
        caller: addrs[0],
        admin: addrs[1],
        sibling: addrs[2],
        relay: addrs[3],
        store: store.addr(),
        seeds: vec![addrs[2]],
    };
    let instance = Instance::start(&root, &dir.0, &spec).await?;
    if !instance.wait_until_ready(Duration::from_secs(10)).await {
        return Ok(NOT_RUN);
    }
    let until = Instant::now() + TRAFFIC;
    let mut tasks = Vec::new();
    for number in 0..CALLERS {
        tasks.push(tokio::spawn(call(instance.caller, number, until, record.clone())));
    }
    sleep(WARM_UP).await;
    if has_trouble() {
        record.line("i-1 begins to send additional bytes");
        searchers[0].spoil(SPOIL_EACH);
    }
    sleep(SPOILED).await;
    searchers[0].spoil(0);
    record.line("i-1 is sound again");
    let mut answers = HashMap::new();
    for task in tasks {
        answers.extend(task.await.map_err(std::io::Error::other)?);
    }
    sleep(Duration::from_millis(300)).await;
    let mut run_counts: HashMap<String, u32> = HashMap::new();
    for run in lock(&runs).iter() {
        *run_counts.entry(run.id.clone()).or_default() += 1;
    }
    let twice = run_counts.values().filter(|count| **count > 1).count();
    let promised = |status: &u16| matches!(status, 408 | 421 | 429 | 503);
    let refused =
        answers.iter().filter(|(id, s)| promised(s) && run_counts.contains_key(*id)).count();
    let ok = answers.values().filter(|status| **status == 200).count();
    record.announce(&format!(
        "{} requests, {ok} answered 200, {twice} ran more than once (TWICE), {refused} were refused and ran (REFUSED)",
        answers.len()
    ));
    Ok(match (ok > answers.len() / 2, twice + refused) {
        (false, _) => NOT_RUN,
        (true, 0) => HELD,
        (true, _) => BROKEN,
    })
}

/// Sends requests one after the other; returns the status of each by its
/// identifier, 0 if the connection ended.
async fn call(
    addr: std::net::SocketAddr,
    number: usize,
    until: Instant,
    record: Record,
) -> Vec<(String, u16)> {
    let mut caller = Caller::new(addr);
    let mut answers = Vec::new();
    while Instant::now() < until {
        let id = format!("c{number}-{}", answers.len());
        record.line(&format!("caller {number} sends {id}"));
        let reply = caller.send("POST", "/orders/1", &id, 3000, b"one pole").await;
        let status = reply.map_or(0, |reply| reply.status());
        record.line(&format!("caller {number} gets {status} for {id}"));
        answers.push((id, status));
        sleep(PAUSE).await;
    }
    answers
}
