//! Forwarding under load. Each test states the failure that it guards against.
//! The clock is paused and searchers are simulated, so each run takes
//! milliseconds.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use endivevale_core::{
    attempt_budget::ExtraAttemptBudget, forward::ForwardReply, intent::AttemptAllowance,
    route::Route,
};
use tokio::{
    task::JoinSet,
    time::{Instant, interval},
};

mod sim;

use sim::{Behaviour, ForwardResult, MS, Sim, request, shard_route, single_route};

/// The results of a run of requests.
#[derive(Debug, Default)]
struct LoadResult {
    sent: u32,
    in_time: u32,
    complete_in_time: u32,
    failed: u32,
}

impl LoadResult {
    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent)
    }
}

/// Sends `count` requests on a route, one per `period`, and waits until all have
/// ended. Answers within `objective` count as in time.
async fn run_load(
    sim: &Sim,
    route: &str,
    count: u32,
    period: Duration,
    objective: Duration,
) -> LoadResult {
    let forwarder = sim.forwarder();
    let mut ticks = interval(period);
    let mut open = JoinSet::new();
    for _ in 0..count {
        ticks.tick().await;
        let (forwarder, req) = (Arc::clone(&forwarder), request(route));
        open.spawn(async move {
            let began = Instant::now();
            let outcome: ForwardResult = forwarder.forward(req).await;
            (outcome, began.elapsed())
        });
    }
    let mut result = LoadResult { sent: count, ..LoadResult::default() };
    while let Some(ended) = open.join_next().await {
        let (outcome, took) = ended.unwrap();
        match outcome {
            Ok(reply) if took <= objective => {
                result.in_time += 1;
                let is_complete = !matches!(&reply, ForwardReply::Merged(m) if m.missing > 0);
                result.complete_in_time += u32::from(is_complete);
            }
            Ok(_) => {}
            Err(_) => result.failed += 1,
        }
    }
    result
}

fn shard_names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("s{n}")).collect()
}

fn route_for_shards(names: &[String], min_coverage: f64) -> Route {
    let shards: Vec<&str> = names.iter().map(String::as_str).collect();
    shard_route(&shards, min_coverage)
}

/// Guards against slow searchers that keep their traffic because none of their
/// requests fail: a tenth of the searchers take ten times as long, for many
/// seconds.
#[tokio::test(start_paused = true)]
async fn slow_searchers_without_failures_are_avoided() {
    let mut sim = Sim::new();
    sim.add_shards(10, &["a", "b", "c"], 20 * MS);
    for name in ["s1a", "s4a", "s7a"] {
        *sim.transport.searcher(name).service_time.lock().unwrap() = 200 * MS;
    }
    sim.apply_routes(vec![route_for_shards(&shard_names(10), 0.89)]);
    let result = run_load(&sim, "query", 1000, 10 * MS, 150 * MS).await;
    assert!(result.complete_in_time >= 990, "{result:?}");
    let slow_requests = sim.transport.counts("s1a").received;
    assert!(slow_requests < 100, "{slow_requests} of 1000 requests went to a slow searcher");
}

/// Guards against an overloaded searcher that answers every request late: one
/// shard has a single searcher, which gets more requests than it can serve. The
/// requests that it does serve must be in time.
#[tokio::test(start_paused = true)]
async fn overloaded_searcher_serves_requests_that_can_be_in_time() {
    let mut sim = Sim::new();
    sim.add_searcher("s0", "s0a", "a", 20 * MS);
    sim.add_searcher("s1", "s1a", "a", 20 * MS);
    sim.add_searcher("s1", "s1b", "b", 20 * MS);
    sim.add_searcher("s1", "s1c", "c", 20 * MS);
    sim.connections = 12;
    sim.apply_routes(vec![route_for_shards(&shard_names(2), 1.0)]);
    // Three slots serve 150 requests of 20 ms per second; 200 are sent.
    let result = run_load(&sim, "query", 1000, 5 * MS, 150 * MS).await;
    let served_share = 0.75;
    assert!(result.in_time_share() > served_share * 0.9, "{result:?}");
}

/// Guards against extra attempts that multiply the load: for seconds, healthy
/// searchers reject most requests. Extra attempts must stay within the shared
/// budget.
#[tokio::test(start_paused = true)]
async fn rejections_by_all_searchers_do_not_multiply_the_load() {
    let mut sim = Sim::new();
    sim.add_shards(1, &["a", "b", "c"], 10 * MS);
    for name in ["s0a", "s0b", "s0c"] {
        sim.transport.set_behaviour(name, Behaviour::Rejects(0.6));
    }
    sim.apply_routes(vec![route_for_shards(&shard_names(1), 1.0)]);
    run_load(&sim, "query", 2000, 5 * MS, 150 * MS).await;
    // 2,000 first attempts in a window of 10 s, a fifth of that as extra attempts,
    // and the allowance.
    let allowed = 2000.0 * 1.2 + sim.extra_attempt_allowance;
    assert!(
        f64::from(sim.transport.received_total()) <= allowed,
        "{}",
        sim.transport.received_total()
    );
}

/// Guards against a searcher that keeps its traffic although it rejects most
/// requests: one of three searchers does so, and the other two are healthy.
#[tokio::test(start_paused = true)]
async fn searcher_that_rejects_most_requests_is_avoided() {
    let mut sim = Sim::new();
    sim.add_shards(1, &["a", "b", "c"], 10 * MS);
    sim.transport.set_behaviour("s0a", Behaviour::Rejects(0.7));
    sim.apply_routes(vec![route_for_shards(&shard_names(1), 1.0)]);
    let result = run_load(&sim, "query", 1000, 10 * MS, 150 * MS).await;
    assert!(result.in_time >= 995, "{result:?}");
    assert!(sim.transport.counts("s0a").received < 250, "{:?}", sim.transport.counts("s0a"));
}

/// Guards against a burst of extra attempts after a long time without failures:
/// every searcher stops replying at the same moment. The tokens saved up until
/// then must not be spent all at once.
#[tokio::test(start_paused = true)]
async fn time_without_failures_does_not_allow_a_burst_of_extra_attempts() {
    let mut sim = Sim::new();
    sim.add_shards(1, &["a", "b", "c"], 10 * MS);
    sim.apply_routes(vec![route_for_shards(&shard_names(1), 1.0)]);
    run_load(&sim, "query", 5000, 10 * MS, 150 * MS).await;
    let before = sim.transport.received_total();
    for name in ["s0a", "s0b", "s0c"] {
        sim.transport.set_behaviour(name, Behaviour::NeverReplies);
    }
    run_load(&sim, "query", 200, 10 * MS, 150 * MS).await;
    let extra = f64::from(sim.transport.received_total() - before) - 200.0;
    assert!(extra <= 200.0 * 0.2 + sim.extra_attempt_allowance, "{extra} extra attempts");
}

/// Guards against answers that are late or incomplete because searchers pause:
/// they pause in turn for 200 ms, each of them once in 4.5 s.
#[tokio::test(start_paused = true)]
async fn pauses_in_turn_delay_few_answers() {
    let mut sim = Sim::new();
    sim.add_shards(10, &["a", "b", "c"], 20 * MS);
    sim.apply_routes(vec![route_for_shards(&shard_names(10), 0.89)]);
    let transport = Arc::clone(&sim.transport);
    let pauses = tokio::spawn(async move {
        let mut ticks = interval(150 * MS);
        for round in 0.. {
            ticks.tick().await;
            let zone = ["a", "b", "c"][round / 10 % 3];
            let searcher = transport.searcher(&format!("s{}{zone}", round % 10));
            *searcher.paused_until.lock().unwrap() = Some(Instant::now() + 200 * MS);
        }
    });
    let result = run_load(&sim, "query", 1000, 10 * MS, 150 * MS).await;
    pauses.abort();
    assert!(result.complete_in_time >= 980, "{result:?}");
    assert_eq!(result.failed, 0);
}

/// Guards against requests that stay in an overloaded zone: the searcher in the
/// local zone gets more requests than it can serve, while searchers in other
/// zones are idle.
#[tokio::test(start_paused = true)]
async fn requests_leave_the_zone_when_its_searcher_is_overloaded() {
    let mut sim = Sim::new();
    sim.add_shards(1, &["a", "b"], 20 * MS);
    sim.apply_routes(vec![route_for_shards(&shard_names(1), 1.0)]);
    let result = run_load(&sim, "query", 1000, 4 * MS, 150 * MS).await;
    assert!(result.in_time >= 990, "{result:?}");
    assert!(sim.transport.counts("s0b").received > 100);
}

/// Guards against a slow recovery after all searchers were unreachable for a
/// moment, for example because they are all still ejected.
#[tokio::test(start_paused = true)]
async fn requests_succeed_as_soon_as_searchers_are_reachable_again() {
    let mut sim = Sim::new();
    sim.add_searcher("s", "one", "a", 20 * MS);
    sim.add_searcher("s", "two", "b", 20 * MS);
    sim.apply_routes(vec![single_route("s", true)]);
    sim.transport.set_behaviour("one", Behaviour::RefusesConnections);
    sim.transport.set_behaviour("two", Behaviour::RefusesConnections);
    let while_down = run_load(&sim, "single", 100, 20 * MS, 600 * MS).await;
    assert_eq!(while_down.in_time, 0);
    sim.transport.set_behaviour("one", Behaviour::Succeeds);
    sim.transport.set_behaviour("two", Behaviour::Succeeds);
    let after_recovery = run_load(&sim, "single", 100, 20 * MS, 600 * MS).await;
    assert_eq!(after_recovery.in_time, 100, "{after_recovery:?}");
}

/// Returns the number of extra attempts that the budgets of all instances for one
/// shard grant within one window, when each instance withdraws as much as it can
/// after a long idle time.
async fn granted_extra_attempts(instances: u32, allowance: f64) -> f64 {
    let window = Duration::from_secs(10);
    let budgets: Vec<ExtraAttemptBudget> =
        (0..instances).map(|_| ExtraAttemptBudget::new(0.18)).collect();
    for budget in &budgets {
        budget.set_allowance(AttemptAllowance { count: allowance, window }, instances);
        (0..1000).for_each(|_| budget.deposit());
    }
    tokio::time::advance(window * 6).await;
    let mut granted = 0;
    for _ in 0..100 {
        granted += budgets.iter().map(|b| u32::from(b.try_withdraw())).sum::<u32>();
        tokio::time::advance(window / 100).await;
    }
    f64::from(granted)
}

// Guards against instances that stay within their own part and still exceed the
// shared allowance together.
endivevale_cases::cases! {
    async fn extra_attempts_of_all_instances_stay_within_the_allowance(
        instances: u32, allowance: f64,
    ) {
        let granted = granted_extra_attempts(instances, allowance).await;
        assert!(granted <= allowance, "{granted} extra attempts granted, allowance is {allowance}");
    }
    one => (1, 58.0),
    nine => (9, 58.0),
    sixty_five => (65, 170.0),
    eighty_seven => (87, 214.0),
}
