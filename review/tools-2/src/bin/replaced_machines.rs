//! Replaces each machine of a tier of nine several times as planned work, one
//! machine each second. Afterwards, with no disruption for longer than
//! `stable-window-ms`, changes the configuration and takes a searcher away, and
//! checks the rules CONFIG and DRAIN.

use std::{
    io,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use endivevale_platform_standin::{
    caller::Caller,
    config::{ConfigBuilder, RouteDeclaration},
    searcher::{Searcher, SearcherSpec},
    store::{CONFIG_OBJECT, Store},
};
use endivevale_review_tools_2::{
    Deployment, Machine, Record, Site, drive, has_trouble, record_executions,
};
use tokio::time::{Instant, sleep, sleep_until};

/// The zones of the site, with their machines.
const ZONES: [(&str, usize); 4] = [("sfax-a", 3), ("sfax-b", 2), ("sfax-c", 2), ("sfax-d", 2)];

/// How often each machine is replaced.
const GENERATIONS: usize = 6;

/// `stable-window-ms`, and a second more.
const STABLE: Duration = Duration::from_millis(5000);

/// `config-apply-ms` and `drain-ms` of the site.
const BOUND: Duration = Duration::from_millis(3000);

/// How long requests are sent before and after each change.
const LEAD: Duration = Duration::from_millis(300);
const WATCHED: Duration = Duration::from_millis(5000);

/// The number of configuration changes.
const CHANGES: u64 = 5;

/// The pause between the stops of two machines, as of `roll_term`.
const GAP: Duration = Duration::from_millis(1000);

/// One request of a client.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    at: Instant,
    machine: String,
    status: u16,
}

type Log = Arc<Mutex<Vec<Sent>>>;

#[tokio::main]
async fn main() -> ExitCode {
    drive(|mut record, root, dir| async {
        let result = run(&mut record, root, dir).await;
        (record, result)
    })
    .await
}

/// Returns the number of breaks.
async fn run(
    record: &mut Record,
    root: std::path::PathBuf,
    dir: std::path::PathBuf,
) -> io::Result<usize> {
    let store = Store::start().await?;
    let deployment = Deployment { root, dir, store: store.addr(), site: Site { budget_extra: 58 } };
    write_config(&store, 1);
    let mut searchers = Vec::new();
    for (index, (zone, _)) in ZONES.into_iter().enumerate() {
        let spec = SearcherSpec {
            name: format!("i-{index}"),
            service: "lathe-board".to_owned(),
            zone: zone.to_owned(),
            service_time: Duration::from_millis(5),
        };
        searchers.push(Searcher::start(&store, spec).await?);
    }
    let mut machines = start_first(&deployment).await?;
    record.add(&format!("{} machines started", machines.len()));
    if has_trouble() {
        let mut ending = Vec::new();
        for generation in 1..=GENERATIONS {
            for index in 0..machines.len() {
                let next_at = Instant::now() + GAP;
                let seeds: Vec<_> = machines.iter().take(3).map(|m| m.sibling).collect();
                let (name, zone) = machine_names(generation).remove(index);
                let machine = deployment.start(&name, zone, &seeds).await?;
                machine.wait_until_ready(Duration::from_secs(10)).await?;
                let old = std::mem::replace(&mut machines[index], machine);
                old.terminate();
                ending.push(tokio::spawn(old.wait_for_end()));
                sleep_until(next_at).await;
            }
            record.add(&format!("each machine replaced, {generation} times by now"));
        }
        for machine in ending {
            drop(machine.await);
        }
    }
    sleep(STABLE).await;
    let mut breaks = 0;
    for change in 0..CHANGES {
        breaks += check_config(record, &store, &machines, 2 + change).await;
    }
    breaks += check_drain(record, &store, &machines, &searchers[0]).await;
    record_executions(record, &searchers);
    for machine in machines {
        machine.kill().await;
    }
    Ok(breaks)
}

/// Returns the machines of a generation, each with its zone. The names go on
/// counting in each zone.
fn machine_names(generation: usize) -> Vec<(String, &'static str)> {
    let in_zone = |(zone, count): (&'static str, usize)| {
        (1..=count).map(move |n| (format!("edge-{zone}-{}", generation * count + n), zone))
    };
    ZONES.into_iter().flat_map(in_zone).collect()
}

/// Starts the first machines.
async fn start_first(deployment: &Deployment) -> io::Result<Vec<Machine>> {
    let mut machines: Vec<Machine> = Vec::new();
    for (name, zone) in machine_names(0) {
        let seeds: Vec<_> = machines.iter().take(3).map(|m| m.sibling).collect();
        machines.push(deployment.start(&name, zone, &seeds).await?);
    }
    for machine in &machines {
        machine.wait_until_ready(Duration::from_secs(10)).await?;
    }
    Ok(machines)
}

/// Writes a version of the configuration; each adds a route to those before.
fn write_config(store: &Store, version: u64) {
    let services = ["lathe-board"];
    let mut config = ConfigBuilder::new(version)
        .services(&services)
        .route(RouteDeclaration::fan_out("board", &services, 1.0));
    for added in 2..=version {
        config = config.route(RouteDeclaration::fan_out(&format!("added-{added}"), &services, 1.0));
    }
    store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
}

/// Sends requests to every machine, one each 100 ms, until stopped.
fn send_requests(
    machines: &[Machine],
    path: &str,
    log: &Log,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let tasks = machines.iter().map(|machine| {
        let (name, addr) = (machine.name.clone(), machine.caller);
        let (log, stop, path) = (Arc::clone(log), Arc::clone(stop), path.to_owned());
        tokio::spawn(async move {
            let caller = Caller::new(Duration::from_millis(800));
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                let at = Instant::now();
                number += 1;
                let id = format!("{name}{}{number}", path.replace('/', "-"));
                let res = caller.get(addr, &path, &id).await;
                let status = res.map_or(0, |res| res.status);
                let sent = Sent { id, at, machine: name.clone(), status };
                log.lock().unwrap_or_else(|e| e.into_inner()).push(sent);
                sleep_until(at + Duration::from_millis(100)).await;
            }
        })
    });
    tasks.collect()
}

async fn watch(machines: &[Machine], path: &str, change: impl FnOnce()) -> (Instant, Vec<Sent>) {
    let (log, stop) = (Log::default(), Arc::new(AtomicBool::new(false)));
    let tasks = send_requests(machines, path, &log, &stop);
    sleep(LEAD).await;
    change();
    let changed_at = Instant::now();
    sleep(WATCHED).await;
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        drop(task.await);
    }
    let sent = std::mem::take(&mut *log.lock().unwrap_or_else(|e| e.into_inner()));
    (changed_at, sent)
}

/// CONFIG: no request that is sent later than the bound after the
/// acknowledgement is refused with 404 though the route is there.
async fn check_config(
    record: &mut Record,
    store: &Store,
    machines: &[Machine],
    version: u64,
) -> usize {
    let path = format!("/added-{version}/x");
    let (acked_at, sent) = watch(machines, &path, || write_config(store, version)).await;
    record.add_at(acked_at, &format!("version {version} acknowledged, adds {path}"));
    let stale = |s: &&Sent| s.status == 404 && s.at > acked_at;
    let last = sent.iter().filter(stale).map(|s| s.at - acked_at).max().unwrap_or_default();
    let late: Vec<&Sent> = sent.iter().filter(stale).filter(|s| s.at > acked_at + BOUND).collect();
    for s in &sent {
        record.add_at(s.at, &format!("sent {} to {}: answered {}", s.id, s.machine, s.status));
    }
    record.add(&format!(
        "CONFIG: version {version}: {} requests, last 404 for one sent {} ms after the acknowledgement, {} sent after {} ms",
        sent.len(),
        last.as_millis(),
        late.len(),
        BOUND.as_millis(),
    ));
    late.len()
}

/// DRAIN: no request that is sent later than the bound after the entry of a
/// searcher was removed reaches it.
async fn check_drain(
    record: &mut Record,
    store: &Store,
    machines: &[Machine],
    searcher: &Searcher,
) -> usize {
    let name = searcher.spec().name.clone();
    // A searcher that leaves says so in all its answers too.
    let leave = || {
        searcher.say_leaving();
        searcher.unregister(store);
    };
    let (gone_at, sent) = watch(machines, "/board/x", leave).await;
    record.add_at(gone_at, &format!("the entry of searcher {name} is removed; it goes on serving"));
    let executions = searcher.executions();
    let has_run = |s: &Sent| executions.iter().any(|e| e.id == s.id);
    let late: Vec<&Sent> = sent.iter().filter(|s| s.at > gone_at + BOUND && has_run(s)).collect();
    for s in &sent {
        let runner = if has_run(s) { &name } else { "another searcher" };
        let (id, machine, status) = (&s.id, &s.machine, s.status);
        record.add_at(s.at, &format!("sent {id} to {machine}: answered {status}, run by {runner}"));
    }
    let last = late.iter().map(|s| s.at - gone_at).max().unwrap_or_default();
    record.add(&format!(
        "DRAIN: {} requests, {} of those sent later than {} ms after the removal reached {name}, the last sent after {} ms",
        sent.len(),
        late.len(),
        BOUND.as_millis(),
        last.as_millis(),
    ));
    late.len()
}
