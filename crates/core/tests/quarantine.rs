//! Requests that crash the searchers which run them: what counts as evidence, what
//! clears it, and what such a request still costs.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use endivevale_cases::cases;
use endivevale_core::{
    error::{ErrorKind, Execution},
    forward::{ForwardRequest, Forwarder, NoRelay},
    name::SearcherName,
    quarantine::{
        CRASH_LIMIT, CrashEntryReport, CrashReport, CrashTable, CrashedSearcher, Quarantine,
        RequestFingerprint, TableChange,
    },
};
use proptest::prelude::*;
use tokio::{
    sync::mpsc,
    time::{Instant, advance},
};

mod sim;

use sim::{Behaviour, ForwardResult, MS, Sim, expect_merged, request, shard_route, single_route};

const SHARDS: usize = 10;

/// How long a request is refused the first time.
const FIRST_REFUSAL: Duration = Duration::from_secs(600);

/// A deployment and the quarantine of its instance.
struct Deployment {
    sim: Sim,
    quarantine: Arc<Quarantine>,
    report_rx: mpsc::Receiver<CrashReport>,
    table: CrashTable,
}

impl Deployment {
    fn new(sim: Sim) -> Self {
        let (quarantine, report_rx) = Quarantine::with_reports();
        Self { sim, quarantine, report_rx, table: CrashTable::default() }
    }

    /// Returns ten shards with a searcher in each of three zones, and a route to them.
    fn sharded() -> Self {
        let mut sim = Sim::new();
        // The budget of extra attempts bounds nothing here.
        sim.extra_attempt_share = 1.0;
        sim.extra_attempt_allowance = 1000.0;
        sim.add_shards(SHARDS, &["a", "b", "c"], 20 * MS);
        let names: Vec<String> = (0..SHARDS).map(|n| format!("s{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        sim.apply_routes(vec![shard_route(&names, 0.9)]);
        Self::new(sim)
    }

    /// Returns a service with six searchers, and a route to it.
    fn single() -> Self {
        let mut sim = Sim::new();
        for n in 0..6 {
            sim.add_searcher("s", &format!("s{n}"), "a", 20 * MS);
        }
        sim.apply_routes(vec![single_route("s", true)]);
        Self::new(sim)
    }

    fn set_all(&self, behaviour: Behaviour) {
        let names: Vec<String> =
            self.sim.transport.searchers.lock().unwrap().keys().cloned().collect();
        names.iter().for_each(|name| self.sim.transport.set_behaviour(name, behaviour));
    }

    fn set_shards_in_zone_a(&self, shards: std::ops::Range<usize>, behaviour: Behaviour) {
        for shard in shards {
            self.sim.transport.set_behaviour(&format!("s{shard}a"), behaviour);
        }
    }

    fn forwarder(&self) -> Forwarder<sim::SimTransport, NoRelay<()>> {
        let forwarder = Arc::into_inner(self.sim.forwarder()).unwrap();
        forwarder.with_quarantine(Arc::clone(&self.quarantine))
    }

    /// Forwards a request and applies what it has shown, as the control task does.
    async fn forward(&mut self, req: ForwardRequest<()>) -> ForwardResult {
        let result = self.forwarder().forward(req).await;
        while let Ok(report) = self.report_rx.try_recv() {
            let now = Instant::now();
            match report {
                CrashReport::Crashed { fingerprint, label, searchers } => {
                    self.table.record_crashes(fingerprint, &label, searchers, now);
                }
                CrashReport::Replied(fingerprint) | CrashReport::Lifted(fingerprint) => {
                    self.table.clear(fingerprint, now);
                }
            }
            self.quarantine.publish(&self.table);
        }
        result
    }

    fn is_refused(&self, req: &ForwardRequest<()>) -> bool {
        self.quarantine.refused_for(req.fingerprint).is_some()
    }
}

// Guards against a request that crashes searcher after searcher: it was retried and
// hedged at others, and sent again each time that its caller came back.
#[tokio::test(start_paused = true)]
async fn request_that_crashes_every_shard_is_refused_from_then_on() {
    let mut deployment = Deployment::sharded();
    deployment.set_all(Behaviour::Crashes);
    let failure = deployment.forward(request("query")).await.unwrap_err();
    assert_eq!(failure.kind(), ErrorKind::SearcherFailed);
    let received = deployment.sim.transport.received_total();
    assert!(received as usize <= SHARDS, "{received} searchers got the request");
    let failure = deployment.forward(request("query")).await.unwrap_err();
    assert_eq!(failure.kind(), ErrorKind::Quarantined);
    assert_eq!(failure.kind().properties().execution(), Execution::NotRun);
    assert!(failure.retry_after().unwrap() <= FIRST_REFUSAL);
    assert_eq!(deployment.sim.transport.received_total(), received);
}

// Guards against a request that crashes two searchers of each shard: its hedges went out
// right before its first crash, although no shard had replied.
#[tokio::test(start_paused = true)]
async fn hedges_wait_a_little_while_no_shard_has_replied() {
    let mut deployment = Deployment::sharded();
    let hedge_delay = 60 * MS;
    let just_after = hedge_delay + 5 * MS;
    for searcher in deployment.sim.transport.searchers.lock().unwrap().values() {
        *searcher.service_time.lock().unwrap() = just_after;
    }
    // The hedge delay follows from the replies so far.
    for _ in 0..50 {
        assert!(deployment.forward(request("query")).await.is_ok());
    }
    let before = deployment.sim.transport.received_total();
    deployment.set_all(Behaviour::Crashes);
    assert!(deployment.forward(request("query")).await.is_err());
    let received = deployment.sim.transport.received_total() - before;
    assert!(received as usize <= SHARDS, "{received} searchers got the request");
}

#[tokio::test(start_paused = true)]
async fn request_to_one_searcher_is_refused_after_the_third() {
    let mut deployment = Deployment::single();
    deployment.set_all(Behaviour::Crashes);
    for _ in 0..3 {
        assert!(deployment.forward(request("single")).await.is_err());
    }
    assert_eq!(deployment.sim.transport.received_total() as usize, CRASH_LIMIT);
    assert!(deployment.is_refused(&request("single")));
}

// Guards against sound requests that are turned away: another one has other contents.
#[tokio::test(start_paused = true)]
async fn other_requests_on_the_route_are_served() {
    let mut deployment = Deployment::single();
    deployment.set_all(Behaviour::Crashes);
    for _ in 0..2 {
        assert!(deployment.forward(request("single")).await.is_err());
    }
    assert!(deployment.is_refused(&request("single")));
    deployment.set_all(Behaviour::Succeeds);
    advance(Duration::from_secs(5)).await;
    let other = RequestFingerprint::of([&b"another"[..]]);
    let req = ForwardRequest { fingerprint: other, ..request("single") };
    assert!(deployment.forward(req).await.is_ok());
}

cases! {
    // Guards against a false verdict: many searchers crash at once, or many connections
    // are reset, while a sound request runs on them.
    async fn sound_request_is_answered_and_not_suspected(shards: usize, behaviour: Behaviour) {
        let mut deployment = Deployment::sharded();
        deployment.set_shards_in_zone_a(0..shards, behaviour);
        let merged = expect_merged(deployment.forward(request("query")).await);
        assert_eq!(merged.missing, 0);
        assert_eq!(deployment.quarantine.get(request("query").fingerprint), None);
    }
    one_crash => (1, Behaviour::Crashes),
    a_third_crashes => (4, Behaviour::Crashes),
    all_but_one_crash => (9, Behaviour::Crashes),
    resets => (4, Behaviour::LosesReplies),
}

cases! {
    // What is no evidence: a connection that breaks while its searcher accepts others, a
    // searcher that never replies, and one that refuses connections from the start.
    async fn what_is_no_crash_is_not_reported(behaviour: Behaviour) {
        let mut deployment = Deployment::sharded();
        deployment.set_all(behaviour);
        for _ in 0..5 {
            assert!(deployment.forward(request("query")).await.is_err());
        }
        assert_eq!(deployment.quarantine.get(request("query").fingerprint), None);
    }
    resets => (Behaviour::LosesReplies),
    silence => (Behaviour::NeverReplies),
    refused_connections => (Behaviour::RefusesConnections),
}

#[tokio::test(start_paused = true)]
async fn reply_to_a_suspected_request_clears_it() {
    let mut deployment = Deployment::single();
    deployment.set_all(Behaviour::Crashes);
    let fingerprint = request("single").fingerprint;
    let one = vec![crashed("x1")];
    deployment.table.record_crashes(fingerprint, "h/q", one, Instant::now());
    deployment.quarantine.publish(&deployment.table);
    deployment.set_all(Behaviour::ReturnsErrors);
    assert!(deployment.forward(request("single")).await.is_ok());
    assert_eq!(deployment.quarantine.get(fingerprint), None);
}

fn crashed(name: &str) -> CrashedSearcher {
    CrashedSearcher { name: SearcherName::try_new(name).unwrap(), incarnation: 1 }
}

fn fingerprint(number: u32) -> RequestFingerprint {
    RequestFingerprint::of([&number.to_le_bytes()[..]])
}

/// Refuses a request that has crashed three searchers.
fn refuse(table: &mut CrashTable, fingerprint: RequestFingerprint) {
    let searchers = ["x1", "x2", "x3"].map(crashed).to_vec();
    table.record_crashes(fingerprint, "h/q", searchers, Instant::now());
}

fn merge_all(table: &mut CrashTable, reports: &[CrashEntryReport]) {
    for report in reports {
        table.merge(report, Instant::now());
    }
}

fn is_refused(table: &CrashTable, fingerprint: RequestFingerprint) -> bool {
    table.get(fingerprint).is_some_and(|entry| entry.refused_until().is_some())
}

#[tokio::test(start_paused = true)]
async fn the_same_searcher_counts_once() {
    let mut table = CrashTable::default();
    for _ in 0..3 {
        table.record_crashes(fingerprint(1), "h/q", vec![crashed("x1")], Instant::now());
    }
    assert!(!is_refused(&table, fingerprint(1)));
}

// A request is let in again for a trial after its time, and refused for twice the time if
// it crashes one more searcher.
#[tokio::test(start_paused = true)]
async fn refusal_ends_and_doubles() {
    let mut table = CrashTable::default();
    refuse(&mut table, fingerprint(1));
    advance(FIRST_REFUSAL - MS).await;
    table.remove_expired(Instant::now());
    assert!(is_refused(&table, fingerprint(1)));
    advance(MS).await;
    assert!(table.remove_expired(Instant::now()));
    assert!(!is_refused(&table, fingerprint(1)));
    let change = table.record_crashes(fingerprint(1), "h/q", vec![crashed("x9")], Instant::now());
    assert_eq!(change, TableChange::Refused);
    advance(FIRST_REFUSAL * 2 - MS).await;
    table.remove_expired(Instant::now());
    assert!(is_refused(&table, fingerprint(1)));
}

// Guards against a refusal that never ends, as instances tell each other of it again and
// again.
#[tokio::test(start_paused = true)]
async fn refusal_ends_on_all_instances_although_they_report_it() {
    let (mut one, mut two) = (CrashTable::default(), CrashTable::default());
    refuse(&mut one, fingerprint(1));
    for _ in 0..700 {
        advance(Duration::from_secs(1)).await;
        let now = Instant::now();
        one.remove_expired(now);
        two.remove_expired(now);
        merge_all(&mut two, &one.next_reports(now));
        merge_all(&mut one, &two.next_reports(now));
    }
    assert!(!is_refused(&one, fingerprint(1)) && !is_refused(&two, fingerprint(1)));
}

// Guards against a lift that is undone by a report that was on its way.
#[tokio::test(start_paused = true)]
async fn cleared_request_is_not_refused_by_an_older_report() {
    let (mut one, mut two) = (CrashTable::default(), CrashTable::default());
    refuse(&mut one, fingerprint(1));
    let old = one.next_reports(Instant::now());
    assert_eq!(two.merge(&old[0], Instant::now()), TableChange::Refused);
    assert_eq!(one.clear(fingerprint(1), Instant::now()), TableChange::Cleared);
    let news = one.next_reports(Instant::now());
    assert_eq!(two.merge(&news[0], Instant::now()), TableChange::Cleared);
    assert_eq!(two.merge(&old[0], Instant::now()), TableChange::None);
    assert!(!is_refused(&two, fingerprint(1)));
}

// Guards against memory that grows, and against an attacker who drops the refusals of
// others with many requests that crash one searcher each.
#[tokio::test(start_paused = true)]
async fn many_suspects_drop_no_refusal() {
    let mut table = CrashTable::default();
    refuse(&mut table, fingerprint(0));
    for number in 1..5000 {
        table.record_crashes(fingerprint(number), "h/q", vec![crashed("x1")], Instant::now());
    }
    assert!(is_refused(&table, fingerprint(0)));
    assert!(table.known().len() <= 2048);
    for number in 5000..8000 {
        refuse(&mut table, fingerprint(number));
    }
    assert!(table.known().len() <= 2048);
}

/// One step at one of two instances: a crash, a reply, or the reports of the other.
#[derive(Debug, Clone)]
enum Step {
    Crash(bool, u8),
    Reply(bool),
    Exchange,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (any::<bool>(), 0..5_u8).prop_map(|(instance, searcher)| Step::Crash(instance, searcher)),
        any::<bool>().prop_map(Step::Reply),
        Just(Step::Exchange),
    ]
}

/// Gives each table the reports of the other.
fn exchange(tables: &mut [CrashTable; 2]) {
    let now = Instant::now();
    let [one, two] = tables;
    let (from_one, from_two) = (one.next_reports(now), two.next_reports(now));
    merge_all(two, &from_one);
    merge_all(one, &from_two);
}

proptest! {
    // Guards against instances that disagree for good on what is refused.
    #[test]
    fn tables_agree_once_they_have_heard_of_each_other(steps in prop::collection::vec(step(), 0..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        runtime.block_on(async {
            let mut tables = [CrashTable::default(), CrashTable::default()];
            for step in steps {
                let now = Instant::now();
                match step {
                    Step::Crash(instance, searcher) => {
                        let searcher = crashed(&format!("x{searcher}"));
                        let table = &mut tables[usize::from(instance)];
                        table.record_crashes(fingerprint(1), "h/q", vec![searcher], now);
                    }
                    Step::Reply(instance) => {
                        tables[usize::from(instance)].clear(fingerprint(1), now);
                    }
                    Step::Exchange => exchange(&mut tables),
                }
            }
            exchange(&mut tables);
            let [one, two] = &tables;
            assert_eq!(is_refused(one, fingerprint(1)), is_refused(two, fingerprint(1)));
        });
    }
}
