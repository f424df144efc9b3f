//! Writes a version of the configuration that splits a route by weights, as
//! fractions or as whole numbers, and adds another route, and checks the rule
//! CONFIG.

use std::{io, path::PathBuf, process::ExitCode, time::Duration};

use endivevale_platform_standin::{
    caller::Caller,
    searcher::{Searcher, SearcherSpec},
    store::{CONFIG_OBJECT, Store},
};
use endivevale_review_tools_2::{
    Deployment, Machine, Record, Site, drive, has_trouble, record_executions,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

/// `stable-window-ms`, and a second more.
const STABLE: Duration = Duration::from_millis(5000);

/// `config-apply-ms` of the site.
const BOUND: Duration = Duration::from_millis(3000);

/// How long requests are sent after the change.
const WATCHED: Duration = Duration::from_millis(20_000);

#[tokio::main]
async fn main() -> ExitCode {
    drive(|mut record, root, dir| async {
        let result = run(&mut record, root, dir).await;
        (record, result)
    })
    .await
}

/// Returns the number of breaks.
async fn run(record: &mut Record, root: PathBuf, dir: PathBuf) -> io::Result<usize> {
    let store = Store::start().await?;
    let deployment = Deployment { root, dir, store: store.addr(), site: Site { budget_extra: 58 } };
    let routes = vec![route("cards", json!({"service": "lathe-board"}))];
    store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config(1, &routes));
    let mut searchers = Vec::new();
    for (name, service) in [("i-1", "lathe-board"), ("i-2", "buyer-portal")] {
        let spec = SearcherSpec {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: "sfax-a".to_owned(),
            service_time: Duration::from_millis(5),
        };
        searchers.push(Searcher::start(&store, spec).await?);
    }
    let mut machines: Vec<Machine> = Vec::new();
    for zone in ["sfax-a", "sfax-b", "sfax-c"] {
        let seeds: Vec<_> = machines.iter().map(|m| m.sibling).collect();
        let machine = deployment.start(&format!("edge-{zone}-1"), zone, &seeds).await?;
        machine.wait_until_ready(Duration::from_secs(10)).await?;
        machines.push(machine);
    }
    sleep(STABLE).await;
    let weights = if has_trouble() { [json!(0.95), json!(0.05)] } else { [json!(19), json!(1)] };
    record.add(&format!("the weights are {} and {}", weights[0], weights[1]));
    let split = json!({"weighted-services": [
        {"service": "lathe-board", "weight": weights[0]},
        {"service": "buyer-portal", "weight": weights[1]},
    ]});
    let routes = vec![route("cards", split), route("quotes", json!({"service": "buyer-portal"}))];
    store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config(2, &routes));
    let acked_at = Instant::now();
    record.add_at(acked_at, "version 2 is acknowledged: splits cards, adds quotes");
    let late = probe(record, &machines, acked_at).await;
    record_executions(record, &searchers);
    let Some(late) = late else { return Err(io::Error::other("most requests got no answer")) };
    for machine in machines {
        machine.kill().await;
    }
    Ok(late)
}

/// Sends requests on the added route to each machine in turn. Returns how many that
/// were sent after the bound are answered 404; `None` if most got no answer.
async fn probe(record: &mut Record, machines: &[Machine], acked_at: Instant) -> Option<usize> {
    let caller = Caller::new(Duration::from_millis(3000));
    let (mut late, mut after_bound, mut unanswered) = (0, 0, 0);
    for number in 0_usize.. {
        let at = Instant::now();
        if at > acked_at + WATCHED {
            break;
        }
        let machine = &machines[number % machines.len()];
        let id = format!("q{number}");
        let res = caller.get(machine.caller, "/quotes/x", &id).await;
        let status = res.map_or(0, |res| res.status);
        record.add_at(at, &format!("sent {id} to {}: answered {status}", machine.name));
        unanswered += usize::from(status == 0);
        let is_after_bound = at > acked_at + BOUND;
        after_bound += usize::from(is_after_bound);
        late += usize::from(is_after_bound && status == 404);
        sleep_until(at + Duration::from_millis(50)).await;
    }
    record.add(&format!(
        "CONFIG: of {after_bound} requests sent later than {} ms after the acknowledgement, {late} are answered 404",
        BOUND.as_millis(),
    ));
    (unanswered <= after_bound / 2).then_some(late)
}

fn route(name: &str, target: Value) -> Value {
    let mut route = json!({
        "name": name, "host": "query.example", "path-prefix": format!("/{name}/"),
        "type": "safe", "timeout-ms": 3000, "target-latency-ms": 500, "priority": 0,
        "max-attempts": 2,
    });
    for (field, value) in target.as_object().into_iter().flatten() {
        route[field] = value.clone();
    }
    route
}

fn config(version: u64, routes: &[Value]) -> Value {
    let service = |name: &str| {
        json!({"name": name, "health-path": "/health", "max-connections": 110,
               "protocol": "h1", "tls": false})
    };
    json!({
        "version": version,
        "services": [service("lathe-board"), service("buyer-portal")],
        "routes": routes,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}
