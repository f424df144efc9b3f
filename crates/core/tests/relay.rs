//! Shards that are asked through a sibling: what is merged, what goes
//! straight, and what a sibling that fails costs.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use endivevale_cases::cases;
use endivevale_core::{
    forward::{AnswerSink, Relay, RelayAnswer, RelayAnswers, RelayAsk, RelayError, RelayService},
    sibling::Sibling,
};
use tokio::time::{Instant, sleep};

mod sim;

use sim::{Behaviour, MS, Sim, merged, request, shard_route, zone};

/// What a sibling does, in order.
#[derive(Debug, Clone)]
enum Act {
    /// It sends the parts of these places after a while.
    Parts(Duration, Vec<u16>, bool),
    /// It says that these places were not asked.
    Unasked(Duration, Vec<u16>),
    /// Its connection ends.
    Breaks(Duration),
    /// It says nothing more.
    Hangs,
}

#[derive(Debug, Clone, Default)]
struct Script {
    acts: Arc<Mutex<Vec<Act>>>,
    is_down: bool,
    asked: Arc<AtomicU32>,
}

#[derive(Debug)]
struct ScriptAnswers(VecDeque<Act>);

impl Relay for Script {
    type Head = ();
    type Answers = ScriptAnswers;

    async fn ask(&self, _: &Sibling, ask: RelayAsk<()>) -> Result<ScriptAnswers, RelayError> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        assert!(ask.answer_within < ask.objective);
        if self.is_down {
            return Err(RelayError::Down);
        }
        Ok(ScriptAnswers(self.acts.lock().unwrap().clone().into()))
    }
}

impl RelayAnswers for ScriptAnswers {
    async fn next(&mut self) -> Result<RelayAnswer, RelayError> {
        match self.0.pop_front() {
            Some(Act::Parts(after, places, is_last)) => {
                sleep(after).await;
                let record = |place: &u16| format!("{:0>16}", format!("r{place}"));
                let body: String = places.iter().map(record).collect();
                let parts = places.iter().map(|p| (*p, Arc::from(format!("relayed-{p}"))));
                Ok(RelayAnswer {
                    body: Bytes::from(body),
                    parts: parts.collect(),
                    unasked: vec![],
                    is_last,
                })
            }
            Some(Act::Unasked(after, places)) => {
                sleep(after).await;
                Ok(RelayAnswer { unasked: places, is_last: true, ..RelayAnswer::default() })
            }
            Some(Act::Breaks(after)) => {
                sleep(after).await;
                Err(RelayError::Lost)
            }
            Some(Act::Hangs) | None => std::future::pending().await,
        }
    }
}

/// Two shards with a searcher in the own zone and two without.
fn sim() -> Sim {
    sim_with(20.0)
}

/// The same with an allowance of second attempts beyond their share.
fn sim_with(allowance: f64) -> Sim {
    let mut sim = Sim::new();
    sim.allowance = allowance;
    for (shard, zones) in
        [("s0", ["a", "b"]), ("s1", ["a", "b"]), ("s2", ["b", "c"]), ("s3", ["b", "c"])]
    {
        for zone in zones {
            sim.add(shard, &format!("{shard}{zone}"), zone, 20 * MS);
        }
    }
    sim.add_sibling("entry-b", "b");
    sim.publish(vec![shard_route(&["s0", "s1", "s2", "s3"], 0.75)]);
    sim
}

fn script(acts: Vec<Act>) -> Script {
    Script { acts: Arc::new(Mutex::new(acts)), ..Script::default() }
}

async fn ask(sim: &Sim, script: &Script) -> (Vec<String>, usize, Duration) {
    let began = Instant::now();
    let answer = merged(sim.forwarder_with(script.clone()).forward(request("query")).await);
    let mut signatures: Vec<String> = answer.signatures.iter().map(ToString::to_string).collect();
    signatures.sort();
    (signatures, answer.missing, began.elapsed())
}

fn straight_arrivals(sim: &Sim) -> u32 {
    ["s2b", "s2c", "s3b", "s3c"].iter().map(|name| sim.carrier.counts(name).arrived).sum()
}

#[tokio::test(start_paused = true)]
async fn shards_without_a_searcher_in_the_zone_come_through_a_sibling() {
    let sim = sim();
    let script = script(vec![Act::Parts(25 * MS, vec![0, 1], true)]);
    let (signatures, missing, _) = ask(&sim, &script).await;
    assert_eq!((signatures.len(), missing), (4, 0));
    assert_eq!(signatures[..2], ["relayed-0", "relayed-1"]);
    assert_eq!(straight_arrivals(&sim), 0);
}

cases! {
    async fn what_the_sibling_does_not_bring_goes_straight(acts: Vec<Act>, straight: u32) {
        let sim = sim();
        let (signatures, missing, took) = ask(&sim, &script(acts)).await;
        assert_eq!((signatures.len(), missing), (4, 0), "{signatures:?}");
        assert!(took < 136 * MS, "{took:?}");
        assert_eq!(straight_arrivals(&sim), straight);
    }
    one_part_is_late => (vec![Act::Parts(25 * MS, vec![0], false), Act::Hangs], 1),
    it_hangs => (vec![Act::Hangs], 2),
    it_breaks_off => (vec![Act::Breaks(5 * MS)], 2),
    it_breaks_off_after_a_part => (vec![Act::Parts(MS, vec![1], false), Act::Breaks(MS)], 1),
    it_asked_nobody => (vec![Act::Unasked(MS, vec![0, 1])], 2),
}

#[tokio::test(start_paused = true)]
async fn a_sibling_that_is_down_costs_no_time_and_is_not_asked_again_at_once() {
    let sim = sim();
    let script = Script { is_down: true, ..Script::default() };
    let (_, missing, took) = ask(&sim, &script).await;
    assert_eq!(missing, 0);
    assert!(took < 30 * MS, "{took:?}");
    ask(&sim, &script).await;
    assert_eq!(script.asked.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn a_part_that_comes_twice_counts_once() {
    let sim = sim();
    for name in ["s2c", "s3c"] {
        *sim.carrier.searcher(name).work.lock().unwrap() = 15 * MS;
    }
    // The second attempts are faster than the sibling's own parts, and one
    // shard of the own zone holds the answer open until these are in.
    *sim.carrier.searcher("s0a").work.lock().unwrap() = 120 * MS;
    sim.carrier.set("s0b", Behaviour::Silent);
    let acts = vec![
        Act::Parts(Duration::ZERO, vec![], false),
        Act::Parts(80 * MS, vec![0], false),
        Act::Parts(MS, vec![1], true),
    ];
    let (signatures, missing, _) = ask(&sim, &script(acts)).await;
    assert_eq!((signatures.len(), missing), (4, 0));
    assert!(signatures.iter().all(|s| !s.starts_with("relayed")), "{signatures:?}");
}

/// Collects what a service sends.
#[derive(Default)]
struct Collected(Vec<RelayAnswer>);

impl AnswerSink for Collected {
    async fn send(&mut self, answer: RelayAnswer) -> bool {
        self.0.push(answer);
        true
    }
}

fn question(shards: &[&str]) -> RelayAsk<()> {
    RelayAsk {
        route: endivevale_core::name::RouteName::try_new("query").unwrap(),
        shards: shards.iter().map(|name| sim::service(name)).collect(),
        top: 2,
        rank: endivevale_core::intent::Rank::new(1),
        answer_within: 40 * MS,
        objective: 136 * MS,
        patience: 800 * MS,
        head: Arc::new(()),
    }
}

#[tokio::test(start_paused = true)]
async fn a_service_merges_what_is_in_and_sends_the_rest_one_by_one() {
    let sim = sim();
    *sim.carrier.searcher("s3b").work.lock().unwrap() = 90 * MS;
    let service = RelayService::new(Arc::clone(&sim.views), Arc::clone(&sim.carrier), zone("b"));
    let mut collected = Collected::default();
    service.answer(question(&["s0", "s1", "s2", "s3"]), &mut collected).await;
    let [merged, late] = &collected.0[..] else { panic!("{:?}", collected.0) };
    assert_eq!((merged.parts.len(), merged.is_last), (3, false));
    assert_eq!(merged.body.len(), 32);
    assert_eq!((late.parts.len(), late.parts[0].0, late.is_last), (1, 3, true));
}

#[tokio::test(start_paused = true)]
async fn a_service_makes_first_attempts_only_and_says_what_it_did_not_ask() {
    let sim = sim();
    sim.carrier.set("s2b", Behaviour::Sheds(1.0));
    let service = RelayService::new(Arc::clone(&sim.views), Arc::clone(&sim.carrier), zone("b"));
    let mut collected = Collected::default();
    service.answer(question(&["s2", "unknown"]), &mut collected).await;
    // The refusal reached a searcher, so its shard does not count as unasked.
    let unasked: Vec<u16> = collected.0.iter().flat_map(|a| a.unasked.clone()).collect();
    assert_eq!(unasked, [1]);
    assert_eq!(sim.carrier.arrivals(), 1);
}

/// Pattern: a zone lacks some shards, so all their first attempts are made by
/// siblings, and second attempts by this instance.
#[tokio::test(start_paused = true)]
async fn the_budget_for_second_attempts_grows_with_relayed_first_attempts() {
    let sim = sim_with(0.0);
    let good = script(vec![Act::Parts(20 * MS, vec![0, 1], true)]);
    let forwarder = sim.forwarder_with(good.clone());
    for _ in 0..50 {
        forwarder.forward(request("query")).await.unwrap();
    }
    *good.acts.lock().unwrap() = vec![Act::Hangs];
    let answer = merged(forwarder.forward(request("query")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (4, 0));
}
