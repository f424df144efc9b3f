//! What searchers say about themselves: that they are leaving, and for how long
//! they want no requests.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use endivevale_core::{
    searcher::requested_pause::{MAX_PAUSE, RequestedPause},
    searcher::{Searcher, SearcherReport},
};
use tokio::time::advance;

mod sim;

use sim::{MS, Sim, reply_status, request, single_route};

/// Returns a deployment of one service with searchers in two zones.
fn two_replicas() -> Sim {
    let mut sim = Sim::new();
    sim.add_searcher("s1", "s1a", "a", MS);
    sim.add_searcher("s1", "s1b", "b", MS);
    sim.apply_routes(vec![single_route("s1", false)]);
    sim
}

fn searcher(sim: &Sim, name: &str) -> Arc<Searcher> {
    let view = sim.views.load();
    let found = view.searchers().find(|s| s.name().as_str() == name);
    Arc::clone(found.unwrap())
}

fn asks_for(pause: Duration) -> SearcherReport {
    SearcherReport { pause: Some(pause), ..SearcherReport::default() }
}

fn is_leaving() -> SearcherReport {
    SearcherReport { is_leaving: true, ..SearcherReport::default() }
}

#[tokio::test(start_paused = true)]
async fn searcher_that_asked_for_a_pause_gets_no_request_until_it_is_over() {
    let sim = two_replicas();
    let forwarder = sim.forwarder();
    searcher(&sim, "s1a").apply_report(asks_for(Duration::from_secs(2)));
    for _ in 0..20 {
        advance(95 * MS).await;
        assert_eq!(reply_status(&forwarder.forward(request("single")).await), Some(200));
    }
    assert_eq!(sim.transport.counts("s1a").received, 0);
    advance(Duration::from_secs(1)).await;
    for _ in 0..10 {
        forwarder.forward(request("single")).await.unwrap();
    }
    assert!(sim.transport.counts("s1a").received > 0);
}

/// A request that no searcher takes is rejected at once, with the time after which
/// one does.
#[tokio::test(start_paused = true)]
async fn request_is_rejected_with_the_earliest_return_of_a_searcher() {
    let sim = two_replicas();
    searcher(&sim, "s1a").apply_report(asks_for(Duration::from_secs(5)));
    searcher(&sim, "s1b").apply_report(asks_for(Duration::from_secs(3)));
    let failure = sim.forwarder().forward(request("single")).await.unwrap_err();
    let retry_after = failure.retry_after().unwrap();
    assert!(retry_after >= Duration::from_secs(3), "{retry_after:?}");
    assert!(retry_after <= Duration::from_millis(3600), "{retry_after:?}");
    assert_eq!(sim.transport.received_total(), 0);
}

/// Queued work is checked again right before it is sent.
#[tokio::test(start_paused = true)]
async fn request_that_waited_for_a_permit_is_not_sent_into_a_pause() {
    let mut sim = Sim::new();
    sim.connections = 1;
    sim.add_searcher("s1", "s1a", "a", 100 * MS);
    sim.apply_routes(vec![single_route("s1", false)]);
    let forwarder = sim.forwarder();
    let first = tokio::spawn({
        let forwarder = Arc::clone(&forwarder);
        async move { forwarder.forward(request("single")).await }
    });
    tokio::time::sleep(10 * MS).await;
    let second = tokio::spawn(async move { forwarder.forward(request("single")).await });
    tokio::time::sleep(10 * MS).await;
    searcher(&sim, "s1a").apply_report(asks_for(Duration::from_secs(2)));
    assert!(first.await.unwrap().is_ok());
    assert!(second.await.unwrap().is_err());
    assert_eq!(sim.transport.counts("s1a").received, 1);
}

#[tokio::test(start_paused = true)]
async fn absurd_pause_is_bounded_and_a_shorter_one_does_not_end_it() {
    let pause = RequestedPause::new();
    pause.record(Duration::from_secs(1_000_000));
    assert!(pause.remaining() <= MAX_PAUSE.mul_f64(1.2));
    pause.record(MS);
    assert!(pause.remaining() >= MAX_PAUSE);
}

/// Guards against a searcher that all instances use again in the same moment.
#[tokio::test(start_paused = true)]
async fn instances_return_one_after_the_other() {
    let pauses: Vec<_> = (0..100).map(|_| RequestedPause::new()).collect();
    pauses.iter().for_each(|pause| pause.record(Duration::from_secs(10)));
    let mut ends: Vec<_> = pauses.iter().map(RequestedPause::remaining).collect();
    ends.sort_unstable();
    assert!(ends[0] >= Duration::from_secs(10));
    assert!(ends[99] - ends[0] > Duration::from_secs(1), "{ends:?}");
}

#[tokio::test(start_paused = true)]
async fn searcher_that_says_it_leaves_gets_no_request() {
    let sim = two_replicas();
    searcher(&sim, "s1a").apply_report(is_leaving());
    let forwarder = sim.forwarder();
    for _ in 0..20 {
        assert_eq!(reply_status(&forwarder.forward(request("single")).await), Some(200));
    }
    assert_eq!(sim.transport.counts("s1a").received, 0);
}

/// The entry of a searcher may be removed while the store is away and come back.
#[tokio::test(start_paused = true)]
async fn searcher_stays_leaving_until_it_is_started_again() {
    let mut sim = two_replicas();
    searcher(&sim, "s1a").apply_report(is_leaving());
    let entry = sim.records.remove(0);
    sim.publish_view();
    sim.records.push(entry);
    sim.publish_view();
    assert!(searcher(&sim, "s1a").is_leaving());
    sim.records.last_mut().unwrap().incarnation += 1;
    sim.publish_view();
    assert!(!searcher(&sim, "s1a").is_leaving());
}
