//! Forwarding: what a caller gets, whatever searchers do. No network, paused
//! clock.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use endivevale_cases::cases;
use endivevale_core::{
    error::{ErrorKind, Run},
    layout::SearcherState,
};
use tokio::time::{Instant, advance, sleep, timeout};

mod sim;

use sim::{Answered, Behaviour, MS, Sim, merged, request, shard_route, single_route, status};

/// One service with two searchers.
fn pair(is_idempotent: bool) -> Sim {
    let mut sim = Sim::new();
    sim.add("s", "one", "a", 20 * MS);
    sim.add("s", "two", "b", 20 * MS);
    sim.publish(vec![single_route("s", is_idempotent)]);
    sim
}

async fn ask(sim: &Sim, route: &str) -> Answered {
    sim.forwarder().forward(request(route)).await
}

fn kind(answered: &Answered) -> Option<ErrorKind> {
    answered.as_ref().err().map(|f| f.kind())
}

#[tokio::test(start_paused = true)]
async fn without_a_configuration_the_caller_is_told_to_come_back() {
    let failure = ask(&Sim::new(), "single").await.unwrap_err();
    assert_eq!(failure.kind(), ErrorKind::NotReady);
    assert!(failure.comes_back_after().is_some());
}

#[tokio::test(start_paused = true)]
async fn a_path_without_a_route_is_unknown() {
    assert_eq!(kind(&ask(&pair(true), "other").await), Some(ErrorKind::UnknownRoute));
}

cases! {
    async fn an_idempotent_request_is_asked_elsewhere(first: Behaviour) {
        let sim = pair(true);
        sim.carrier.set("one", first);
        assert_eq!(status(&ask(&sim, "single").await), Some(200));
        assert_eq!(sim.carrier.counts("two").ran, 1);
    }
    after_a_refusal => (Behaviour::Sheds(1.0)),
    after_a_loss => (Behaviour::LosesAnswers),
    after_a_failure => (Behaviour::Fails),
    after_silence => (Behaviour::Silent),
    without_a_connection => (Behaviour::Down),
    when_the_address_is_anothers => (Behaviour::Elsewhere),
}

cases! {
    async fn an_unrepeatable_request_is_asked_again_only_if_it_was_not_run(
        first: Behaviour,
        want: Option<u16>,
        runs: u32,
    ) {
        let sim = pair(false);
        sim.carrier.set("one", first);
        let answered = ask(&sim, "single").await;
        assert_eq!(status(&answered), want);
        let ran = sim.carrier.counts("one").ran + sim.carrier.counts("two").ran;
        assert_eq!(ran, runs);
        if let Err(failure) = answered {
            assert_eq!(failure.kind().verdict().run(), Run::Unknown);
        }
    }
    refused => (Behaviour::Sheds(1.0), Some(200), 1),
    not_connected => (Behaviour::Down, Some(200), 1),
    connection_closed => (Behaviour::ClosedConnection, Some(200), 1),
    address_is_anothers => (Behaviour::Elsewhere, Some(200), 1),
    answer_lost => (Behaviour::LosesAnswers, None, 1),
    failed => (Behaviour::Fails, Some(500), 1),
    silent => (Behaviour::Silent, None, 1),
}

#[tokio::test(start_paused = true)]
async fn a_request_that_nobody_ran_is_refused_with_the_evidence() {
    let sim = pair(false);
    sim.carrier.set("one", Behaviour::Sheds(1.0));
    sim.carrier.set("two", Behaviour::Sheds(1.0));
    let failure = ask(&sim, "single").await.unwrap_err();
    assert_eq!(failure.kind(), ErrorKind::NotRun);
    assert!(failure.comes_back_after().is_some());
    assert_eq!(sim.carrier.arrivals(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_request_reaches_no_more_searchers_than_its_route_allows() {
    let mut sim = Sim::new();
    for name in ["one", "two", "three", "four"] {
        sim.add("s", name, "a", 20 * MS);
        sim.carrier.set(name, Behaviour::Fails);
    }
    sim.publish(vec![single_route("s", true)]);
    assert_eq!(status(&ask(&sim, "single").await), Some(500));
    assert_eq!(sim.carrier.arrivals(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_searcher_that_leaves_gets_no_new_work() {
    let mut sim = pair(true);
    sim.records[0].state = SearcherState::Leaving;
    sim.refresh();
    for _ in 0..20 {
        ask(&sim, "single").await.unwrap();
    }
    assert_eq!(sim.carrier.counts("one").arrived, 0);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waits_does_not_reach_a_searcher_that_left_meanwhile() {
    let mut sim = Sim::new();
    sim.add("s", "one", "a", 100 * MS);
    sim.connections = 1;
    sim.publish(vec![single_route("s", true)]);
    let forwarder = sim.forwarder();
    let first = tokio::spawn({
        let forwarder = Arc::clone(&forwarder);
        async move { forwarder.forward(request("single")).await }
    });
    sleep(10 * MS).await;
    let second = tokio::spawn(async move { forwarder.forward(request("single")).await });
    sleep(10 * MS).await;
    sim.records.clear();
    sim.refresh();
    assert!(first.await.unwrap().is_ok());
    assert_eq!(kind(&second.await.unwrap()), Some(ErrorKind::NotRun));
    assert_eq!(sim.carrier.counts("one").arrived, 1);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_ends_the_work_for_it() {
    let mut sim = Sim::new();
    sim.add_shards(3, &["a", "b"], 100 * MS);
    sim.publish(vec![shard_route(&["s0", "s1", "s2"], 1.0)]);
    let forwarder = sim.forwarder();
    assert!(timeout(30 * MS, forwarder.forward(request("query"))).await.is_err());
    for shard in 0..3 {
        let counts = sim.carrier.counts(&format!("s{shard}a"));
        assert_eq!((counts.ran, counts.cancelled, counts.ended), (1, 1, 0));
    }
    let second = sim.carrier.counts("s0b");
    assert_eq!(second.arrived, second.cancelled);
}

/// Ten shards with a searcher in each of two zones.
fn ten_shards() -> (Sim, Vec<String>) {
    let mut sim = Sim::new();
    sim.add_shards(10, &["a", "b"], 20 * MS);
    let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
    let shards: Vec<&str> = names.iter().map(String::as_str).collect();
    sim.publish(vec![shard_route(&shards, 0.89)]);
    (sim, names)
}

#[tokio::test(start_paused = true)]
async fn a_whole_answer_leaves_at_once() {
    let (sim, _) = ten_shards();
    let began = Instant::now();
    let answer = merged(ask(&sim, "query").await);
    assert_eq!((answer.signatures.len(), answer.missing), (10, 0));
    assert_eq!(answer.body.len(), 160);
    assert!(began.elapsed() < 25 * MS);
}

#[tokio::test(start_paused = true)]
async fn an_answer_leaves_in_part_at_the_objective_if_it_covers_enough() {
    let (sim, _) = ten_shards();
    sim.carrier.set("s3a", Behaviour::Silent);
    sim.carrier.set("s3b", Behaviour::Silent);
    let began = Instant::now();
    let answer = merged(ask(&sim, "query").await);
    assert_eq!((answer.signatures.len(), answer.missing), (9, 1));
    assert_eq!(began.elapsed(), 136 * MS);
    assert!(!answer.signatures.iter().any(|s| s.starts_with("s3")));
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_covers_too_little_at_the_objective_is_delivered_late() {
    let (sim, _) = ten_shards();
    for name in ["s3a", "s3b", "s4a", "s4b"] {
        *sim.carrier.searcher(name).work.lock().unwrap() = 300 * MS;
    }
    let began = Instant::now();
    let answer = merged(ask(&sim, "query").await);
    assert!(answer.missing <= 1);
    assert!(began.elapsed() >= 300 * MS && began.elapsed() < 400 * MS);
}

#[tokio::test(start_paused = true)]
async fn a_caller_is_told_at_once_when_too_many_shards_have_failed() {
    let (sim, _) = ten_shards();
    for name in ["s3a", "s3b", "s4a", "s4b"] {
        sim.carrier.set(name, Behaviour::LosesAnswers);
    }
    let began = Instant::now();
    assert_eq!(kind(&ask(&sim, "query").await), Some(ErrorKind::SearcherFailed));
    assert!(began.elapsed() < 60 * MS, "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_query_that_nobody_can_serve_is_refused_before_anyone_works_on_it() {
    let (mut sim, _) = ten_shards();
    sim.records.retain(|r| !["s3", "s4"].contains(&r.service.as_str()));
    sim.refresh();
    let began = Instant::now();
    let failure = ask(&sim, "query").await.unwrap_err();
    assert_eq!(failure.kind(), ErrorKind::NotRun);
    assert_eq!(began.elapsed(), Duration::ZERO);
    assert_eq!(sim.carrier.arrivals(), 0);
}

#[tokio::test(start_paused = true)]
async fn all_parts_are_of_the_set_that_the_query_began_with() {
    let (mut sim, _) = ten_shards();
    sim.add_shards(12, &["c"], 20 * MS);
    for shard in 0..10 {
        *sim.carrier.searcher(&format!("s{shard}a")).work.lock().unwrap() = 100 * MS;
        sim.carrier.set(&format!("s{shard}b"), Behaviour::Down);
    }
    let forwarder = sim.forwarder();
    let query = tokio::spawn(async move { forwarder.forward(request("query")).await });
    sleep(10 * MS).await;
    sim.publish(vec![shard_route(&["s10", "s11"], 1.0)]);
    let answer = merged(query.await.unwrap());
    assert_eq!(answer.signatures.len() + answer.missing, 10);
    let next = merged(ask(&sim, "query").await);
    assert_eq!((next.signatures.len(), next.missing), (2, 0));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_meets_a_pause_is_answered_by_another_searcher() {
    let (sim, _) = ten_shards();
    advance(MS).await;
    let until = Instant::now() + 200 * MS;
    *sim.carrier.searcher("s5a").paused_until.lock().unwrap() = Some(until);
    let began = Instant::now();
    let answer = merged(ask(&sim, "query").await);
    assert_eq!(answer.missing, 0);
    assert!(began.elapsed() < 80 * MS, "{:?}", began.elapsed());
    assert!(answer.signatures.iter().any(|s| &**s == "s5b"));
}

#[tokio::test(start_paused = true)]
async fn first_attempts_avoid_a_searcher_that_is_known_to_pause() {
    let (sim, _) = ten_shards();
    advance(MS).await;
    let until = Instant::now() + 200 * MS;
    *sim.carrier.searcher("s5a").paused_until.lock().unwrap() = Some(until);
    let forwarder = sim.forwarder();
    forwarder.forward(request("query")).await.unwrap();
    let before = sim.carrier.counts("s5a").arrived;
    for _ in 0..3 {
        forwarder.forward(request("query")).await.unwrap();
    }
    assert_eq!(sim.carrier.counts("s5a").arrived, before);
}

#[tokio::test(start_paused = true)]
async fn requests_stay_in_their_zone_while_the_searcher_there_answers() {
    let (sim, _) = ten_shards();
    let forwarder = sim.forwarder();
    for _ in 0..50 {
        forwarder.forward(request("query")).await.unwrap();
    }
    let crossed: u32 = (0..10).map(|n| sim.carrier.counts(&format!("s{n}b")).arrived).sum();
    assert_eq!(crossed, 0);
}
