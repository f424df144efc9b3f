//! Measures what the tier costs: one query to 30 shards by way of a node
//! process against the same fan-out straight from a plain client, on the
//! same searchers, in turns within one run.

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use endivevale_core::{
    id::{AttemptId, RequestId},
    layout::{Holding, ShardId},
};
use endivevale_searcher::protocol;
use endivevale_standin::{
    deployment::Deployment,
    load::{self, Load, Report},
    process::{NodeProcess, NodeSpec},
    searcher::SearcherSpec,
    sizes::Site,
};
use futures::future::join_all;
use reqwest::Client;
use serde_json::json;
use tokio::task::JoinSet;

/// The shards of the measured service, one searcher each.
const SHARDS: u16 = 30;

/// Queries a second that the searchers can serve: slots over service time.
const CAPACITY: f64 = 3.0 / 0.005;

/// The seed of the searchers' service times.
const SEED: u64 = 7;

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measure what the tier costs
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// The node's binary
    #[bpaf(long, argument("FILE"), fallback(PathBuf::from("target/release/endivevale")))]
    node: PathBuf,

    /// Seconds of each turn
    #[bpaf(long, argument("SECONDS"), fallback(5), display_fallback)]
    seconds: u64,

    /// Turns of each side at each load
    #[bpaf(long, argument("COUNT"), fallback(3), display_fallback)]
    turns: u32,

    /// Loads, as shares of capacity
    #[bpaf(long("load"), argument("SHARE"), many)]
    loads: Vec<f64>,
}

type Failed = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> ExitCode {
    match measure(args().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn specs() -> Vec<SearcherSpec> {
    let spec = |i: u16| SearcherSpec {
        service_time: Duration::from_millis(5),
        holdings: vec![Holding {
            generation: 1,
            of: SHARDS,
            shards: vec![ShardId::new(i)],
            versions: vec![1],
        }],
        seed: SEED * 1000 + u64::from(i),
        ..SearcherSpec::new(&format!("stock-search-{i}"), "stock-search")
    };
    (0..SHARDS).map(spec).collect()
}

async fn measure(args: Args) -> Result<(), Failed> {
    let deployment = Deployment::start(specs()).await?;
    deployment.apply(Site::Sfax.intent()).await.map_err(|e| format!("{e:?}"))?;
    let node =
        NodeProcess::start(&args.node, &NodeSpec::new("entry-1", "a", &deployment.platform.url()))
            .await?;
    deployment.list_instance(node.record().clone());
    node.ready(Duration::from_secs(10)).await?;

    let span = Duration::from_secs(args.seconds);
    println!("| load | side | queries | p50 ms | p90 ms | p99 ms | whole | not whole |");
    println!("|---|---|---|---|---|---|---|---|");
    let loads = if args.loads.is_empty() { vec![0.2, 0.7] } else { args.loads };
    for share in loads {
        let per_second = CAPACITY * share;
        let (mut plain, mut tier) = (Report::default(), Report::default());
        let mut cost = Cost::default();
        for _ in 0..args.turns {
            plain_fan_out(&deployment, per_second, span, &mut plain).await;
            cost.add(&deployment, &node, || async {
                load::run_with(load_of(&node, per_second, span), |e| tier.add(&e)).await;
            })
            .await;
        }
        print_row(share, "plain", &plain);
        print_row(share, "tier", &tier);
        println!(
            "\nmean: plain {:.2} ms, tier {:.2} ms, of which inside the node {:.2} ms",
            plain.answers.mean() / 1000.0,
            tier.answers.mean() / 1000.0,
            node_mean_ms(&node).await,
        );
        println!(
            "added at p50 {:.2} ms; p99 ratio {:.2}; {:.0} sub-requests a second, \
             {:.1} us of CPU each\n",
            tier.answer_ms(0.5) - plain.answer_ms(0.5),
            tier.answer_ms(0.99) / plain.answer_ms(0.99),
            cost.legs as f64 / cost.wall.as_secs_f64(),
            1e6 * cost.cpu_seconds / cost.legs.max(1) as f64,
        );
    }
    Ok(())
}

/// The mean latency that the node itself counted so far, in milliseconds.
async fn node_mean_ms(node: &NodeProcess) -> f64 {
    let url = format!("http://{}/metrics", node.caller());
    let sent = load::client().get(url).send().await;
    let text = match sent {
        Ok(res) => res.text().await.unwrap_or_default(),
        Err(_) => String::new(),
    };
    let sum = |suffix: &str| -> f64 {
        let name = format!("endivevale_answer_latency_seconds_{suffix}{{");
        let lines = text.lines().filter(|line| line.starts_with(&name));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    1000.0 * sum("sum") / sum("count")
}

fn print_row(share: f64, side: &str, report: &Report) {
    println!(
        "| {:.0}% | {side} | {} | {:.2} | {:.2} | {:.2} | {} | {} |",
        share * 100.0,
        report.answers.len(),
        report.answer_ms(0.5),
        report.answer_ms(0.9),
        report.answer_ms(0.99),
        report.whole,
        report.partial + report.refused + report.unknown,
    );
}

fn load_of(node: &NodeProcess, per_second: f64, span: Duration) -> Load {
    Load {
        targets: vec![node.caller()],
        per_second,
        span,
        document: Arc::new(|n| {
            json!({
                "service": "stock-search",
                "caller": "sales-desk",
                "body": n.to_string(),
                "deadline_ms": 2000,
            })
        }),
    }
}

/// What the node spent while the load ran.
#[derive(Default)]
struct Cost {
    wall: Duration,
    cpu_seconds: f64,
    legs: usize,
}

impl Cost {
    async fn add<F: Future<Output = ()>>(
        &mut self,
        deployment: &Deployment,
        node: &NodeProcess,
        run: impl FnOnce() -> F,
    ) {
        let legs = || deployment.searchers.iter().map(|s| s.ran_count()).sum::<usize>();
        let (began, cpu, ran) = (Instant::now(), cpu_seconds(node.pid()), legs());
        run().await;
        self.wall += began.elapsed();
        self.cpu_seconds += cpu_seconds(node.pid()) - cpu;
        self.legs += legs() - ran;
    }
}

/// The processor time of a process so far.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// The same fan-out without the tier: one client, no retry, no hedge.
async fn plain_fan_out(
    deployment: &Deployment,
    per_second: f64,
    span: Duration,
    report: &mut Report,
) {
    let client = load::client();
    let addrs: Arc<Vec<_>> = Arc::new(deployment.searchers.iter().map(|s| s.addr()).collect());
    let mut due = load::pace(per_second, span);
    let mut running = JoinSet::new();
    while let Some((number, intended)) = due.recv().await {
        let (client, addrs) = (client.clone(), Arc::clone(&addrs));
        running.spawn(async move {
            let req = RequestId::fresh();
            let legs = addrs.iter().zip(0..).map(|(addr, shard)| {
                plain_leg(&client, format!("http://{addr}/v1/shards/1/{shard}"), req, shard)
            });
            let is_whole = join_all(legs).await.into_iter().all(|ok| ok);
            load::Ended {
                number,
                latency: intended.elapsed(),
                status: Some(200),
                json: json!({ "whole": is_whole }),
            }
        });
    }
    while let Some(Ok(ended)) = running.join_next().await {
        report.add(&ended);
    }
}

async fn plain_leg(client: &Client, url: String, req: RequestId, shard: u32) -> bool {
    let sent = client
        .post(url)
        .header(protocol::ATTEMPT, AttemptId::new(req, shard).to_string())
        .header(protocol::INDEX_VERSION, "1.1")
        .header(protocol::DEADLINE_MS, "2000")
        .body(shard.to_string())
        .send()
        .await;
    match sent {
        Ok(res) => res.status().is_success() && res.bytes().await.is_ok(),
        Err(_) => false,
    }
}
