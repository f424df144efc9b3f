//! Replies of searchers whose status line is none: no caller gets one as an answer.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{path::Path, time::Duration};

use endivevale_cases::cases;
use endivevale_platform_standin::{
    caller::{Caller, CallerResponse},
    config::{ConfigBuilder, RouteDeclaration},
    raw_searcher::{RECORD, RawSearcher},
    store::{CONFIG_OBJECT, Store},
    tier::start_instances,
};
use endivevale_standin::{load, process::InstanceProcess};
use tokio::{
    runtime::Runtime,
    time::{Instant, sleep},
};

const INSTANCE_BIN: &str = env!("CARGO_BIN_EXE_endivevale");

/// Two shards, the least that is worth a relay, and a service of its own.
const SERVICES: [&str; 3] = ["s1", "s2", "desk"];

/// A path on each kind of route: to many shards, to one searcher, and to one searcher at
/// most once.
const PATHS: [&str; 3] = ["/search/x", "/lookup/x", "/orders/x"];

/// The time within which the instances know each other and the searchers.
const KNOWN_WITHIN: Duration = Duration::from_secs(15);

struct Deployment {
    _store: Store,
    instances: Vec<InstanceProcess>,
    searchers: Vec<RawSearcher>,
    caller: Caller,
}

impl Deployment {
    /// Starts instances in the zones `a` and `b`. The first one relays requests to many
    /// shards through the second.
    async fn start() -> Self {
        let store = Store::start().await.unwrap();
        let mut searchers = Vec::new();
        for service in SERVICES {
            searchers.push(RawSearcher::start(&store, service, "b").await.unwrap());
        }
        let config = ConfigBuilder::new(1)
            .services(&SERVICES)
            .route(RouteDeclaration::fan_out("search", &SERVICES[..2], 1.0))
            .route(RouteDeclaration::single("lookup", "desk"))
            .route(RouteDeclaration::non_idempotent("orders", "desk"));
        store.write(CONFIG_OBJECT.0, CONFIG_OBJECT.1, config.document());
        let binary = Path::new(INSTANCE_BIN);
        let instances = start_instances(binary, &store, &["a", "b"], 2).await.unwrap();
        let caller = Caller::new(Duration::from_secs(2));
        let deployment = Self { _store: store, instances, searchers, caller };
        deployment.wait_until_answering().await;
        deployment
    }

    async fn get(&self, instance: usize, path: &str) -> CallerResponse {
        let addr = self.instances[instance].record().caller;
        self.caller.get(addr, path, "q1").await.unwrap()
    }

    /// Waits until both instances answer on all routes and know each other.
    async fn wait_until_answering(&self) {
        let deadline = Instant::now() + KNOWN_WITHIN;
        loop {
            let mut is_answered = true;
            for (instance, path) in (0..2).flat_map(|i| PATHS.map(|path| (i, path))) {
                is_answered &= self.get(instance, path).await.status == 200;
            }
            let status = self.instances[0].get_status().await.unwrap_or_default();
            if is_answered && status["instances_seen"] == 2 {
                return;
            }
            assert!(Instant::now() < deadline, "{status}");
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Returns how many requests the first instance has relayed.
async fn relayed_count(deployment: &Deployment) -> u64 {
    let url = format!("http://{}/metrics", deployment.instances[0].record().admin);
    let text = load::create_http_client().get(url).send().await.unwrap().text().await.unwrap();
    let is_sent = |line: &&str| {
        line.starts_with("endivevale_relays_total{") && line.contains("kind=\"sent\"")
    };
    let counts = text.lines().filter(is_sent).filter_map(|line| line.rsplit(' ').next());
    counts.map(|count| count.parse::<u64>().unwrap()).sum()
}

/// Checks what callers get on each kind of route, over a relay and directly.
async fn check_replies(status_line: &str, expected: u16) {
    let deployment = Deployment::start().await;
    deployment.searchers.iter().for_each(|searcher| searcher.set_status_line(status_line));
    let relayed_before = relayed_count(&deployment).await;
    for instance in 0..2 {
        for path in PATHS {
            let res = deployment.get(instance, path).await;
            assert_eq!(res.status, expected, "{path} at instance {instance}");
            let has_record = String::from_utf8_lossy(&res.body).contains(RECORD);
            let is_searchers = has_record || res.signature.is_some();
            assert_eq!(is_searchers, expected == 200, "{path} at instance {instance}");
        }
    }
    assert!(relayed_count(&deployment).await > relayed_before);
}

cases! {
    // Guards against an answer that no searcher gave: its status line was 000, and the
    // caller got it as an answer. The first instance gets it over a sibling's relay, the
    // second directly.
    fn reply_without_a_status_is_no_answer(status_line: &str, expected: u16) {
        Runtime::new().unwrap().block_on(check_replies(status_line, expected));
    }
    valid => ("HTTP/1.1 200 OK", 200),
    zeros => ("HTTP/1.1 000 X", 502),
    below_all => ("HTTP/1.1 099 X", 502),
    two_digits => ("HTTP/1.1 42 X", 502),
    four_digits => ("HTTP/1.1 1000 X", 502),
    no_status => ("HTTP/1.1", 502),
    letters => ("HTTP/1.1 abc X", 502),
    negative => ("HTTP/1.1 -20 X", 502),
}
