//! The proofs, one module for each run.

pub mod config;
pub mod leaving;
pub mod orders;
pub mod queries;
pub mod stop;

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use endivevale_core::layout::{Holding, ShardId};
use endivevale_standin::{
    fleet::Fleet,
    history::{Entry, History},
    load,
    searcher::SearcherSpec,
    sizes::Site,
};
use reqwest::Client;
use serde_json::Value;
use tokio::task::JoinSet;

pub const NODE: &str = env!("CARGO_BIN_EXE_endivevale");

/// `shards` shards of a service with `replicas` replicas each.
pub fn specs(service: &str, shards: u16, replicas: u16, seed: u64) -> Vec<SearcherSpec> {
    let spec = |i: u16| SearcherSpec {
        service_time: Duration::from_millis(4),
        holdings: vec![Holding {
            generation: 1,
            of: shards,
            shards: vec![ShardId::new(i % shards)],
            versions: vec![1],
        }],
        seed: seed * 1000 + u64::from(i),
        ..SearcherSpec::new(&format!("{service}-{i}"), service)
    };
    (0..shards * replicas).map(spec).collect()
}

pub async fn fleet(specs: Vec<SearcherSpec>, nodes: usize) -> Fleet {
    Fleet::start(Path::new(NODE), specs, Site::Sfax.intent(), nodes).await.unwrap()
}

/// Records requests that run at the same time.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Arc<Mutex<History>>);

impl Recorder {
    /// Sends one request and records how it ended.
    pub async fn ask(
        &self,
        client: &Client,
        target: std::net::SocketAddr,
        document: Value,
        is_order: bool,
    ) {
        let began = Instant::now();
        let (status, json) = load::ask(client, target, &document).await;
        self.record(&document, is_order, status, json, began.elapsed());
    }

    pub fn record(
        &self,
        document: &Value,
        is_order: bool,
        status: Option<u16>,
        json: Value,
        latency: Duration,
    ) {
        let body = document["body"].as_str().unwrap().to_owned();
        let entry = Entry { body, is_order, status, json, latency };
        self.0.lock().unwrap().entries.push(entry);
    }

    pub fn history(&self) -> History {
        self.0.lock().unwrap().clone()
    }
}

/// Sends numbered requests at a rate until the time is over, each in a task
/// of its own, and waits for all.
pub async fn open_loop<F>(per_second: f64, span: Duration, mut send: impl FnMut(u64) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut due = load::pace(per_second, span);
    let mut running = JoinSet::new();
    while let Some((number, _)) = due.recv().await {
        running.spawn(send(number));
    }
    running.join_all().await;
}

/// Fails with every line that says what is broken.
pub fn expect_whole(what: &str, broken: &[String]) {
    let shown = broken.iter().take(10).cloned().collect::<Vec<_>>().join("\n");
    assert!(broken.is_empty(), "{what}: {} broken:\n{shown}", broken.len());
}
