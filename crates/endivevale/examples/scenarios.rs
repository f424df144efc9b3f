//! Measures the policies under load and faults at the sizes of a deployment,
//! each scenario with the policies at work and with a plain baseline, on the
//! same seed, one after the other.

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use endivevale_core::policy::Policy;
use endivevale_standin::{
    fleet::Fleet,
    load::{self, Ended, Load, Report, Step},
    searcher::StandinSearcher,
    sizes::Site,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::json;
use tokio::time::sleep;

/// The mean service time of the searchers.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// The deadline of every query.
const DEADLINE_MS: u64 = 300;

/// How long a fleet warms up before it is measured.
const WARM_UP: Duration = Duration::from_secs(3);

/// The callers with their ranks and shares of the load.
const CALLERS: [(&str, usize); 10] = [
    ("sales-desk", 0),
    ("retail", 1),
    ("reports", 2),
    ("workshop", 0),
    ("reports", 2),
    ("landings", 0),
    ("clerks", 1),
    ("reports", 2),
    ("retail", 1),
    ("reports", 2),
];

/// Measure the policies under load and faults
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// The node's binary
    #[bpaf(long, argument("FILE"), fallback(PathBuf::from("target/release/endivevale")))]
    node: PathBuf,

    /// The deployment: sfax or nyarugenge
    #[bpaf(long, argument("SITE"), fallback("sfax".to_owned()), display_fallback)]
    site: String,

    /// The seed of service times and faults
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    seed: u64,

    /// Seconds of each steady part
    #[bpaf(long, argument("SECONDS"), fallback(8), display_fallback)]
    seconds: u64,

    /// Policies to leave out: choice, hedging, admission, ejection
    #[bpaf(long, argument("POLICY"), many)]
    without: Vec<String>,

    /// Leave the baseline out
    #[bpaf(long)]
    no_baseline: bool,

    /// The scenarios: steady, slowed, crest; all without one
    #[bpaf(positional("SCENARIO"), many)]
    scenarios: Vec<String>,
}

type Failed = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> ExitCode {
    match measure(&args().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(args: &Args) -> Result<(), Failed> {
    let names = ["steady", "slowed", "crest"];
    let chosen: Vec<&str> = match args.scenarios.is_empty() {
        true => names.to_vec(),
        false => args.scenarios.iter().map(String::as_str).collect(),
    };
    for scenario in chosen {
        println!("\n{scenario}, {}, seed {}", args.site, args.seed);
        println!(
            "| side | part | rank | asked | whole | partial | refused | unknown | p50 ms | p99 ms | refusal p99 ms | extra load |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
        if !args.no_baseline {
            run(args, scenario, "baseline", Policy::baseline()).await?;
        }
        run(args, scenario, "policies", chosen_policy(args)).await?;
    }
    Ok(())
}

/// The policies less those that are left out.
fn chosen_policy(args: &Args) -> Policy {
    let (all, none) = (Policy::default(), Policy::baseline());
    let is_left_out = |name: &str| args.without.iter().any(|without| without == name);
    Policy {
        choice: if is_left_out("choice") { none.choice } else { all.choice },
        hedging: all.hedging && !is_left_out("hedging"),
        admission: all.admission && !is_left_out("admission"),
        ejection: all.ejection && !is_left_out("ejection"),
    }
}

struct Bench {
    fleet: Fleet,
    service: &'static str,
    /// Queries a second that the searchers can serve.
    capacity: f64,
}

async fn start(args: &Args, policy: Policy) -> Result<Bench, Failed> {
    let site = match args.site.as_str() {
        "sfax" => Site::Sfax,
        "nyarugenge" => Site::Nyarugenge,
        other => return Err(format!("{other:?} is neither sfax nor nyarugenge").into()),
    };
    let services = site.services();
    let specs = services.iter().flat_map(|size| {
        let mut specs = size.specs(site.zones(), args.seed);
        specs.iter_mut().for_each(|spec| spec.service_time = SERVICE_TIME);
        specs
    });
    let fleet =
        Fleet::start_with(&args.node, specs.collect(), site.intent(), site.instances(), policy)
            .await?;
    let size = &services[0];
    let slots = f64::from(size.searchers) * size.slots as f64;
    let capacity = slots / SERVICE_TIME.as_secs_f64() / f64::from(size.shards);
    sleep(WARM_UP).await;
    Ok(Bench { fleet, service: size.name, capacity })
}

async fn run(args: &Args, scenario: &str, side: &str, policy: Policy) -> Result<(), Failed> {
    let bench = start(args, policy).await?;
    let span = Duration::from_secs(args.seconds);
    let step = |share: f64, span| Step { per_second: bench.capacity * share, span };
    match scenario {
        "steady" => {
            let parts = bench.load(vec![step(0.6, span)]).await;
            bench.print(side, "60%", &parts[0]);
        }
        "slowed" => {
            let parts = bench.load(vec![step(0.6, span)]).await;
            bench.print(side, "unslowed", &parts[0]);
            let slowing = slow_down(bench.fleet.deployment.of(bench.service).collect(), args.seed);
            let parts = tokio::select! {
                parts = bench.load(vec![step(0.6, span)]) => parts,
                () = slowing => Vec::new(),
            };
            bench.print(side, "slowed", &parts[0]);
        }
        "crest" => {
            let steps = vec![
                step(0.6, Duration::from_secs(5)),
                step(1.8, Duration::from_secs(2)),
                step(3.0, Duration::from_secs(10)),
                step(0.6, Duration::from_secs(2)),
                step(0.6, Duration::from_secs(4)),
            ];
            let names = ["before", "rise", "crest", "2 s after", "later"];
            for (name, part) in names.iter().zip(bench.load(steps).await) {
                bench.print(side, name, &part);
            }
        }
        other => return Err(format!("{other:?} is no scenario").into()),
    }
    Ok(())
}

/// What came of one step.
#[derive(Default)]
struct Part {
    ranks: [Report; 3],
    /// Sub-requests run by searchers beyond those needed, as a share, over
    /// the whole load.
    extra_load: f64,
    seconds: f64,
}

impl Bench {
    /// Runs the steps and sorts what came by step and rank.
    async fn load(&self, steps: Vec<Step>) -> Vec<Part> {
        let service = self.service;
        let before = self.legs().await;
        let load = Load {
            targets: self.fleet.callers(),
            per_second: 0.0,
            span: Duration::ZERO,
            document: Arc::new(move |n| {
                let (caller, _) = CALLERS[n as usize % CALLERS.len()];
                json!({
                    "service": service, "caller": caller,
                    "body": n.to_string(), "deadline_ms": DEADLINE_MS,
                })
            }),
        };
        let mut parts: Vec<Part> = steps
            .iter()
            .map(|step| Part { seconds: step.span.as_secs_f64(), ..Part::default() })
            .collect();
        let began = Instant::now();
        let ends: Vec<Duration> = steps
            .iter()
            .scan(Duration::ZERO, |end, step| {
                *end += step.span;
                Some(*end)
            })
            .collect();
        load::run_steps(load, steps, |ended: Ended| {
            let at = ended.intended.saturating_duration_since(began);
            let part = ends.partition_point(|end| *end <= at).min(parts.len() - 1);
            let (_, rank) = CALLERS[ended.number as usize % CALLERS.len()];
            parts[part].ranks[rank].add(&ended);
        })
        .await;
        let after = self.legs().await;
        let (needed, sent) = (after.0 - before.0, after.1 - before.1);
        for part in &mut parts {
            part.extra_load = sent as f64 / needed.max(1) as f64 - 1.0;
        }
        parts
    }

    /// Sub-requests needed and sent so far, by all nodes.
    async fn legs(&self) -> (u64, u64) {
        let mut sum = (0, 0);
        for node in &self.fleet.nodes {
            let status = node.status().await.unwrap_or_default();
            for service in status["services"].as_array().into_iter().flatten() {
                sum.0 += service["legs"]["needed"].as_u64().unwrap_or(0);
                sum.1 += service["legs"]["sent"].as_u64().unwrap_or(0);
            }
        }
        sum
    }

    fn print(&self, side: &str, name: &str, part: &Part) {
        for (rank, report) in part.ranks.iter().enumerate() {
            let asked = report.whole + report.partial + report.refused + report.unknown;
            println!(
                "| {side} | {name} | {} | {asked} | {:.2}% | {:.2}% | {:.2}% | {:.2}% | {:.1} | {:.1} | {:.1} | {:.2}% |",
                rank + 1,
                percent(report.whole, asked),
                percent(report.partial, asked),
                percent(report.refused, asked),
                percent(report.unknown, asked),
                report.answer_ms(0.5),
                report.answer_ms(0.99),
                report.refusals.value_at_quantile(0.99) as f64 / 1000.0,
                part.extra_load * 100.0,
            );
        }
        let whole: u64 = part.ranks.iter().map(|r| r.whole).sum();
        let goodput = whole as f64 / part.seconds / self.capacity;
        println!(
            "| {side} | {name} | all | | goodput {:.0}% of capacity | | | | | | | |",
            goodput * 100.0
        );
    }
}

fn percent(count: u64, of: u64) -> f64 {
    100.0 * count as f64 / of.max(1) as f64
}

/// Slows a tenth of the searchers ten times, for moments that move about;
/// never ends by itself.
async fn slow_down(searchers: Vec<&StandinSearcher>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = (searchers.len() / 10).max(1);
    loop {
        let slowed: Vec<_> = searchers.sample(&mut rng, count).collect();
        slowed.iter().for_each(|s| s.set_slowness(10.0));
        sleep(Duration::from_millis(rng.random_range(200..2000))).await;
        slowed.iter().for_each(|s| s.set_slowness(1.0));
    }
}
