//! Starts the whole path on embedded stand-ins, runs a query, prints the
//! answer with its coverage, and stays up for a try with curl.

use std::{process::ExitCode, time::Duration};

use bpaf::Bpaf;
use endivevale::{Instance, logs, settings::Settings};
use endivevale_core::layout::InstanceRecord;
use endivevale_standin::{deployment::Deployment, load, sizes::Site};
use serde_json::json;
use tokio::time::sleep;

/// How long to wait for the node to be ready.
const READY_TRIES: u32 = 200;

/// Run the whole path on embedded stand-ins
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// End after the first answer
    #[bpaf(long)]
    once: bool,
}

type Failed = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> ExitCode {
    match tour(args().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn tour(args: Args) -> Result<(), Failed> {
    let site = Site::Sfax;
    let specs = site.services().iter().flat_map(|s| s.specs(site.zones(), 1)).collect();
    let deployment = Deployment::start(specs).await?;
    println!("platform  {}", deployment.platform.url());
    println!("searchers {}", deployment.searchers.len());
    deployment.apply(site.intent()).await.map_err(|e| format!("{e:?}"))?;

    let settings = format!(
        "{{name: entry-1, zone: a, platform: '{}', \
         listen: {{caller: '127.0.0.1:0', admin: '127.0.0.1:0', sibling: '127.0.0.1:0'}}}}",
        deployment.platform.url()
    );
    let settings = Settings::parse("tour", &settings)?;
    logs::set_up(settings.log)?;
    let (name, zone) = (settings.name.clone(), settings.zone.clone());
    let instance = Instance::start(settings).await?;
    let at = *instance.addresses();
    let (sibling, caller, admin) = (at.sibling, at.caller, at.admin);
    deployment.list_instance(InstanceRecord { name, zone, sibling, caller, admin });
    println!("node      http://{caller}  (admin http://{admin})");
    wait_ready(&format!("http://{caller}/readyz")).await?;

    let document = json!({"service": "stock-search", "caller": "sales-desk", "body": "beech 12"});
    let (status, answer) = load::ask(&load::client(), caller, &document).await;
    println!("status    {}", status.unwrap_or_default());
    println!("version   {}", answer["version"]);
    println!("covered   {}", answer["covered"]);
    println!("missing   {}", answer["missing"]);
    println!("part 0    {}", answer["parts"][0]);
    if args.once {
        return Ok(());
    }
    println!("\nTry it, and end it with ctrl-c:\n");
    println!("  curl -s http://{caller}/v1/query -d '{document}'");
    println!("  curl -s http://{caller}/metrics");
    println!("  curl -s http://{admin}/v1/status");
    println!("  endivectl --platform {} status", deployment.platform.url());
    instance.stopped().await;
    Ok(())
}

async fn wait_ready(url: &str) -> Result<(), Failed> {
    let client = load::client();
    for _ in 0..READY_TRIES {
        if client.get(url).send().await.is_ok_and(|res| res.status().is_success()) {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err("the node was not ready in time".into())
}
