//! Sub-requests relayed through a sibling: the merge of their parts, direct
//! sub-requests, and failures of the sibling.

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
    forward::{
        ExtraAttempts, RelayClient, RelayError, RelayReplies, RelayReply, RelayReplySink,
        RelayRequest, RelayServer,
    },
    name::SearcherName,
    quarantine::{CrashTable, CrashedSearcher, Quarantine, RequestFingerprint},
    sibling::Sibling,
};
use tokio::time::{Instant, sleep};

mod sim;

use sim::{Behaviour, MS, Sim, expect_merged, request, shard_route, zone_name};

/// One step of a scripted sibling.
#[derive(Debug, Clone)]
enum SiblingStep {
    /// Sends the parts of the shards at these indices after the delay; the flag
    /// marks the last reply.
    Parts(Duration, Vec<u16>, bool),
    /// Reports after the delay that the sub-requests for the shards at these
    /// indices reached no searcher.
    Unreached(Duration, Vec<u16>),
    /// Closes the connection after the delay.
    Disconnect(Duration),
    /// Sends nothing more.
    Hang,
}

/// A sibling that carries out the same steps for each request.
#[derive(Debug, Clone, Default)]
struct ScriptedRelay {
    steps: Arc<Mutex<Vec<SiblingStep>>>,
    /// Whether each request fails with [`RelayError::Down`].
    is_down: bool,
    /// The time after which a request fails if the sibling is down.
    time_to_fail: Duration,
    /// The number of requests.
    request_count: Arc<AtomicU32>,
    /// The number of requests whose extra attempts were granted.
    grant_count: Arc<AtomicU32>,
}

/// The steps that are left of one request.
#[derive(Debug)]
struct ScriptedReplies {
    steps: VecDeque<SiblingStep>,
    grant_count: Arc<AtomicU32>,
}

impl RelayClient for ScriptedRelay {
    type Head = ();
    type Replies = ScriptedReplies;

    async fn send(
        &self,
        _: &Sibling,
        request: RelayRequest<()>,
    ) -> Result<ScriptedReplies, RelayError> {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        assert!(request.first_reply_within < request.objective_in);
        if self.is_down {
            sleep(self.time_to_fail).await;
            return Err(RelayError::Down);
        }
        let steps = self.steps.lock().unwrap().clone().into();
        Ok(ScriptedReplies { steps, grant_count: Arc::clone(&self.grant_count) })
    }
}

impl RelayReplies for ScriptedReplies {
    async fn next(&mut self) -> Result<RelayReply, RelayError> {
        match self.steps.pop_front() {
            Some(SiblingStep::Parts(delay, indices, is_last)) => {
                sleep(delay).await;
                let record = |index: &u16| format!("{:0>16}", format!("r{index}"));
                let body: String = indices.iter().map(record).collect();
                let parts =
                    indices.iter().map(|index| (*index, Arc::from(format!("relayed-{index}"))));
                Ok(RelayReply {
                    body: Bytes::from(body),
                    parts: parts.collect(),
                    unreached: vec![],
                    leaving: vec![(SearcherName::try_new("s2c").unwrap(), 1)],
                    crashed: vec![],
                    is_last,
                })
            }
            Some(SiblingStep::Unreached(delay, indices)) => {
                sleep(delay).await;
                Ok(RelayReply { unreached: indices, is_last: true, ..RelayReply::default() })
            }
            Some(SiblingStep::Disconnect(delay)) => {
                sleep(delay).await;
                Err(RelayError::Lost)
            }
            Some(SiblingStep::Hang) | None => std::future::pending().await,
        }
    }

    async fn grant_extra_attempts(&mut self) -> bool {
        self.grant_count.fetch_add(1, Ordering::Relaxed);
        true
    }
}

/// Returns a deployment of two shards with a searcher in the local zone `a` and
/// two shards without one.
fn four_shards() -> Sim {
    four_shards_with_allowance(20.0)
}

/// Returns the deployment of [`four_shards`] with this allowance of extra
/// attempts.
fn four_shards_with_allowance(allowance: f64) -> Sim {
    let mut sim = Sim::new();
    sim.extra_attempt_allowance = allowance;
    for (shard, zones) in
        [("s0", ["a", "b"]), ("s1", ["a", "b"]), ("s2", ["b", "c"]), ("s3", ["b", "c"])]
    {
        for zone in zones {
            sim.add_searcher(shard, &format!("{shard}{zone}"), zone, 20 * MS);
        }
    }
    sim.add_sibling("entry-b", "b");
    sim.apply_routes(vec![shard_route(&["s0", "s1", "s2", "s3"], 0.75)]);
    sim
}

fn scripted_relay(steps: Vec<SiblingStep>) -> ScriptedRelay {
    ScriptedRelay { steps: Arc::new(Mutex::new(steps)), ..ScriptedRelay::default() }
}

/// Forwards a query. Returns the sorted signatures of the parts, the number of
/// missing shards, and the time taken.
async fn forward_query(sim: &Sim, relay: &ScriptedRelay) -> (Vec<String>, usize, Duration) {
    let began = Instant::now();
    let answer = expect_merged(sim.forwarder_with(relay.clone()).forward(request("query")).await);
    let mut signatures: Vec<String> = answer.signatures.iter().map(ToString::to_string).collect();
    signatures.sort();
    (signatures, answer.missing, began.elapsed())
}

/// Returns the number of sub-requests that reached searchers of the shards
/// without a local searcher.
fn direct_request_count(sim: &Sim) -> u32 {
    ["s2b", "s2c", "s3b", "s3c"].iter().map(|name| sim.transport.counts(name).received).sum()
}

#[tokio::test(start_paused = true)]
async fn shards_without_a_searcher_in_the_zone_are_relayed() {
    let sim = four_shards();
    let relay = scripted_relay(vec![SiblingStep::Parts(25 * MS, vec![0, 1], true)]);
    let (signatures, missing, _) = forward_query(&sim, &relay).await;
    assert_eq!((signatures.len(), missing), (4, 0));
    assert_eq!(signatures[..2], ["relayed-0", "relayed-1"]);
    assert_eq!(direct_request_count(&sim), 0);
}

/// A searcher that says it is leaving says so to the sibling that asks it, and this
/// instance must not send to it either.
#[tokio::test(start_paused = true)]
async fn searcher_that_a_sibling_found_to_be_leaving_gets_no_direct_request() {
    let sim = four_shards();
    let relay = scripted_relay(vec![SiblingStep::Parts(25 * MS, vec![0, 1], true)]);
    forward_query(&sim, &relay).await;
    let view = sim.views.load();
    let leaving = view.searchers().filter(|s| s.is_leaving()).map(|s| s.name().to_string());
    assert_eq!(leaving.collect::<Vec<_>>(), ["s2c"]);
}

cases! {
    async fn shards_that_the_sibling_does_not_return_get_direct_sub_requests(
        steps: Vec<SiblingStep>, direct: u32,
    ) {
        let sim = four_shards();
        let (signatures, missing, took) = forward_query(&sim, &scripted_relay(steps)).await;
        assert_eq!((signatures.len(), missing), (4, 0), "{signatures:?}");
        assert!(took < 136 * MS, "{took:?}");
        assert_eq!(direct_request_count(&sim), direct);
    }
    no_reply => (vec![SiblingStep::Hang], 2),
    disconnect => (vec![SiblingStep::Disconnect(5 * MS)], 2),
    no_shard_was_reached => (vec![SiblingStep::Unreached(MS, vec![0, 1])], 2),
    first_reply_is_overdue => (vec![SiblingStep::Parts(80 * MS, vec![], false), SiblingStep::Hang], 2),
}

// Guards against two instances that both send the extra attempts of a shard,
// which would then run at more searchers than the route allows: a sibling that
// has been granted them keeps them, whatever happens to it.
cases! {
    async fn extra_attempts_are_granted_to_a_sibling_or_sent_directly(
        steps: Vec<SiblingStep>, missing: usize, grants: u32, direct: u32,
    ) {
        let sim = four_shards();
        let relay = scripted_relay(steps);
        let answer = forward_query(&sim, &relay).await;
        assert_eq!(answer.1, missing, "{answer:?}");
        assert_eq!(relay.grant_count.load(Ordering::Relaxed), grants);
        assert_eq!(direct_request_count(&sim), direct);
    }
    all_parts_come_at_once => (vec![SiblingStep::Parts(25 * MS, vec![0, 1], true)], 0, 0, 0),
    a_part_follows => (
        vec![SiblingStep::Parts(25 * MS, vec![0], false), SiblingStep::Parts(30 * MS, vec![1], true)],
        0, 1, 0,
    ),
    silent_after_the_grant =>
        (vec![SiblingStep::Parts(25 * MS, vec![0], false), SiblingStep::Hang], 1, 1, 0),
    disconnect_after_the_grant =>
        (vec![SiblingStep::Parts(MS, vec![1], false), SiblingStep::Disconnect(MS)], 1, 1, 0),
    first_reply_is_overdue =>
        (vec![SiblingStep::Parts(52 * MS, vec![0], false), SiblingStep::Hang], 0, 0, 2),
}

#[tokio::test(start_paused = true)]
async fn unreachable_sibling_adds_no_delay_and_is_ejected() {
    let sim = four_shards();
    let relay = ScriptedRelay { is_down: true, ..ScriptedRelay::default() };
    let (_, missing, took) = forward_query(&sim, &relay).await;
    assert_eq!(missing, 0);
    assert!(took < 30 * MS, "{took:?}");
    forward_query(&sim, &relay).await;
    assert_eq!(relay.request_count.load(Ordering::Relaxed), 1);
}

/// Guards against more attempts than the route allows when a connection to a sibling
/// fails only after its shards were taken over.
#[tokio::test(start_paused = true)]
async fn sibling_that_is_found_down_late_leads_to_no_further_attempts() {
    let sim = four_shards();
    for name in ["s2b", "s2c", "s3b", "s3c"] {
        sim.transport.set_behaviour(name, Behaviour::ReturnsErrors);
    }
    let time_to_fail = 90 * MS;
    let relay = ScriptedRelay { is_down: true, time_to_fail, ..ScriptedRelay::default() };
    let result = sim.forwarder_with(relay).forward(request("query")).await;
    assert!(result.is_err());
    // One extra attempt for each of the two shards, when they were taken over.
    assert_eq!(direct_request_count(&sim), 2);
}

#[tokio::test(start_paused = true)]
async fn part_received_twice_is_counted_once() {
    let sim = four_shards();
    for name in ["s2c", "s3c"] {
        *sim.transport.searcher(name).service_time.lock().unwrap() = 15 * MS;
    }
    // The sibling's first reply is overdue, and the direct extra attempts are
    // faster than its parts. A slow
    // shard in the local zone delays the answer until the sibling's parts have
    // been received too.
    *sim.transport.searcher("s0a").service_time.lock().unwrap() = 120 * MS;
    sim.transport.set_behaviour("s0b", Behaviour::NeverReplies);
    let steps = vec![
        SiblingStep::Parts(60 * MS, vec![], false),
        SiblingStep::Parts(20 * MS, vec![0], false),
        SiblingStep::Parts(MS, vec![1], true),
    ];
    let (signatures, missing, _) = forward_query(&sim, &scripted_relay(steps)).await;
    assert_eq!((signatures.len(), missing), (4, 0));
    assert!(signatures.iter().all(|s| !s.starts_with("relayed")), "{signatures:?}");
}

/// Collects the replies that a relay server sends.
#[derive(Default)]
struct CollectedReplies(Vec<RelayReply>);

impl RelayReplySink for CollectedReplies {
    async fn send(&mut self, reply: RelayReply) -> bool {
        self.0.push(reply);
        true
    }
}

/// Returns extra attempts that are never granted.
fn no_grant() -> ExtraAttempts {
    let (grant, extra_attempts) = ExtraAttempts::on_grant();
    drop(grant);
    extra_attempts
}

fn relay_request(shards: &[&str]) -> RelayRequest<()> {
    RelayRequest {
        id: "r1".into(),
        route: endivevale_core::name::RouteName::try_new("query").unwrap(),
        shards: shards.iter().map(|name| sim::service_name(name)).collect(),
        top_k: 2,
        max_attempts: 2,
        attempted_in: None,
        rank: endivevale_core::intent::Rank::new(1),
        first_reply_within: 40 * MS,
        objective_in: 136 * MS,
        deadline_in: 800 * MS,
        fingerprint: RequestFingerprint::default(),
        head: Arc::new(()),
    }
}

#[tokio::test(start_paused = true)]
async fn relay_server_merges_early_parts_and_sends_late_ones_singly() {
    let sim = four_shards();
    *sim.transport.searcher("s3b").service_time.lock().unwrap() = 90 * MS;
    let server =
        RelayServer::new(Arc::clone(&sim.views), Arc::clone(&sim.transport), zone_name("b"));
    let mut collected = CollectedReplies::default();
    server.serve(relay_request(&["s0", "s1", "s2", "s3"]), no_grant(), &mut collected).await;
    let [merged, late] = &collected.0[..] else { panic!("{:?}", collected.0) };
    assert_eq!((merged.parts.len(), merged.is_last), (3, false));
    assert_eq!(merged.body.len(), 32);
    assert_eq!((late.parts.len(), late.parts[0].0, late.is_last), (1, 3, true));
}

// Guards against a searcher that is recorded as leaving for good: its entry had
// gone and come back, and a relay reply of that moment said that it leaves.
#[tokio::test(start_paused = true)]
async fn relay_reply_names_no_searcher_that_is_only_unlisted() {
    let mut sim = four_shards();
    *sim.transport.searcher("s3b").service_time.lock().unwrap() = 90 * MS;
    let server =
        RelayServer::new(Arc::clone(&sim.views), Arc::clone(&sim.transport), zone_name("b"));
    let serving = tokio::spawn(async move {
        let mut collected = CollectedReplies::default();
        server.serve(relay_request(&["s3"]), no_grant(), &mut collected).await;
        collected.0
    });
    sleep(10 * MS).await;
    sim.records.retain(|record| record.name.as_str() != "s3b");
    sim.publish_view();
    let replies = serving.await.unwrap();
    assert_eq!(replies.last().unwrap().parts.len(), 1);
    assert!(replies.iter().all(|reply| reply.leaving.is_empty()), "{replies:?}");
}

// Guards against a request that runs at two searchers although the requesting
// sibling may send it to a second one itself.
cases! {
    async fn relay_server_runs_a_request_again_only_with_a_grant(
        behaviour: Behaviour, is_granted: bool, received: u32, parts: usize,
    ) {
        let sim = four_shards();
        sim.transport.set_behaviour("s2b", behaviour);
        let server =
            RelayServer::new(Arc::clone(&sim.views), Arc::clone(&sim.transport), zone_name("b"));
        let mut collected = CollectedReplies::default();
        let (grant, extra_attempts) = ExtraAttempts::on_grant();
        if is_granted {
            grant.grant();
        }
        server.serve(relay_request(&["s2", "unknown"]), extra_attempts, &mut collected).await;
        // The sub-request for `s2` reached a searcher, so only the unknown shard is
        // reported as unreached.
        let unreached: Vec<u16> = collected.0.iter().flat_map(|r| r.unreached.clone()).collect();
        assert_eq!(unreached, [1]);
        assert_eq!(sim.transport.received_total(), received);
        assert_eq!(collected.0.iter().map(|r| r.parts.len()).sum::<usize>(), parts);
    }
    rejected_without_a_grant => (Behaviour::Rejects(1.0), false, 2, 1),
    rejected_with_a_grant => (Behaviour::Rejects(1.0), true, 2, 1),
    failed_without_a_grant => (Behaviour::ReturnsErrors, false, 1, 0),
    failed_with_a_grant => (Behaviour::ReturnsErrors, true, 2, 1),
    lost_without_a_grant => (Behaviour::LosesReplies, false, 1, 0),
    lost_with_a_grant => (Behaviour::LosesReplies, true, 2, 1),
    silent_without_a_grant => (Behaviour::NeverReplies, false, 1, 0),
    silent_with_a_grant => (Behaviour::NeverReplies, true, 2, 1),
}

/// Guards against a budget that stays empty when a zone lacks some shards:
/// siblings make the first attempts at these and this instance makes the extra
/// ones.
#[tokio::test(start_paused = true)]
async fn relayed_first_attempts_fill_the_budget_for_extra_attempts() {
    let sim = four_shards_with_allowance(0.0);
    let relay = scripted_relay(vec![SiblingStep::Parts(20 * MS, vec![0, 1], true)]);
    let forwarder = sim.forwarder_with(relay.clone());
    for _ in 0..50 {
        forwarder.forward(request("query")).await.unwrap();
    }
    *relay.steps.lock().unwrap() = vec![SiblingStep::Hang];
    let answer = expect_merged(forwarder.forward(request("query")).await);
    assert_eq!((answer.signatures.len(), answer.missing), (4, 0));
}

// Guards against a request that crashes searchers behind a sibling: nobody counted these,
// and the sibling retried as soon as it was granted that.
#[tokio::test(start_paused = true)]
async fn relay_replies_name_the_searchers_that_crashed() {
    let sim = four_shards();
    for shard in ["s0b", "s1b"] {
        sim.transport.set_behaviour(shard, Behaviour::Crashes);
    }
    *sim.transport.searcher("s1b").service_time.lock().unwrap() = 90 * MS;
    let server =
        RelayServer::new(Arc::clone(&sim.views), Arc::clone(&sim.transport), zone_name("b"));
    let mut collected = CollectedReplies::default();
    let mut request = relay_request(&["s0", "s1"]);
    request.max_attempts = 1;
    server.serve(request, no_grant(), &mut collected).await;
    let crashed: Vec<Vec<String>> = collected
        .0
        .iter()
        .map(|reply| reply.crashed.iter().map(|s| s.name.to_string()).collect())
        .collect();
    // The first is told with the merged reply, the second at once.
    assert_eq!(crashed[0], ["s0b"]);
    assert!(crashed[1..].concat().contains(&"s1b".to_owned()), "{crashed:?}");
}

#[tokio::test(start_paused = true)]
async fn refused_request_is_rejected_by_the_sibling() {
    let sim = four_shards();
    let quarantine = Arc::<Quarantine>::default();
    let mut table = CrashTable::default();
    let names = ["x1", "x2", "x3"].map(|name| SearcherName::try_new(name).unwrap());
    let searchers = names.map(|name| CrashedSearcher { name, incarnation: 1 });
    let request = relay_request(&["s0", "s1"]);
    table.record_crashes(request.fingerprint, "h/q", searchers.to_vec(), Instant::now());
    quarantine.publish(&table);
    let server =
        RelayServer::new(Arc::clone(&sim.views), Arc::clone(&sim.transport), zone_name("b"))
            .with_quarantine(quarantine);
    let mut collected = CollectedReplies::default();
    server.serve(request, no_grant(), &mut collected).await;
    assert_eq!(collected.0[0].unreached, [0, 1]);
    assert_eq!(sim.transport.received_total(), 0);
}
