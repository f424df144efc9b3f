//! Tests of the division of a limit that a searcher names among the instances.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use endivevale_cases::cases;
use endivevale_core::{
    name::{InstanceName, SearcherName, ZoneName},
    searcher::named_limit::{LimitStatement, NamedLimit, RequestRate, TierInstances},
};
use tokio::{
    runtime::Runtime,
    time::{Instant, advance},
};

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// From when on after it was first named a limit must be kept.
const STABLE_AFTER: Duration = Duration::from_secs(4);

/// The time between two rounds in which each instance sends all that it may.
const ROUND: Duration = Duration::from_millis(20);

fn zone(index: usize, zones: usize) -> ZoneName {
    ZoneName::try_new(&format!("z{}", index % zones)).unwrap()
}

fn instance(index: usize, zones: usize) -> (InstanceName, ZoneName) {
    (InstanceName::try_new(&format!("entry-{index}")).unwrap(), zone(index, zones))
}

/// Returns the limit of one searcher of the first zone as each instance has it.
fn limits(count: usize, zones: usize) -> Vec<NamedLimit> {
    let of = |own: usize| {
        let name = SearcherName::try_new("s1").unwrap();
        let limit = NamedLimit::new(name, zone(0, zones));
        let others = (0..count).filter(|other| *other != own).map(|i| instance(i, zones));
        limit.set_tier(&Arc::new(TierInstances {
            own: Some(instance(own, zones)),
            others: others.collect(),
            ..TierInstances::default()
        }));
        limit
    };
    (0..count).map(of).collect()
}

fn named(per_second: f64) -> LimitStatement {
    LimitStatement::Named(RequestRate::try_new(per_second).unwrap())
}

fn paused_runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
}

/// Lets each instance send all that it may for the time. Returns when each
/// request was sent.
async fn send_all(limits: &[NamedLimit], span: Duration) -> Vec<Instant> {
    let until = Instant::now() + span;
    let mut sent = Vec::new();
    while Instant::now() < until {
        for limit in limits {
            while limit.limit().is_some() && limit.try_acquire() {
                sent.push(Instant::now());
            }
        }
        advance(ROUND).await;
    }
    sent
}

cases! {
    fn all_instances_together_send_what_the_searcher_takes(
        count: usize, zones: usize, per_second: f64
    ) {
        paused_runtime().block_on(async {
            let limits = limits(count, zones);
            limits.iter().for_each(|limit| limit.record(named(per_second)));
            send_all(&limits, STABLE_AFTER).await;
            let sent = send_all(&limits, 5 * WINDOW).await;
            let count_from =
                |from: Instant| sent.iter().filter(|at| **at >= from && **at < from + WINDOW).count();
            let most = sent.iter().map(|from| count_from(*from)).max().unwrap();
            let allowed = 1.5 * per_second * WINDOW.as_secs_f64() + 5.0;
            assert!(most as f64 <= allowed, "{most} in a window, {allowed} allowed");
            // The shares are not so small that the limit stays unused.
            let used = sent.len() as f64 / (5.0 * WINDOW.as_secs_f64());
            assert!(used >= 0.8 * per_second, "{used} a second of {per_second}");
        });
    }
    alone => (1, 1, 3.0),
    nine_instances => (9, 4, 32.0),
    nine_instances_one_a_second => (9, 4, 1.0),
    sixty_five_instances_one_a_second => (65, 4, 1.0),
    three_hundred_instances_one_a_second => (300, 4, 1.0),
    eighty_seven_instances => (87, 4, 40.0),
    no_instance_in_the_zone_of_the_searcher => (3, 1, 5.0),
    one_request_in_two_seconds => (65, 4, 0.5),
}

#[tokio::test(start_paused = true)]
async fn searcher_without_a_limit_gets_every_request() {
    let limits = limits(2, 1);
    assert!((0..1_000).all(|_| limits[0].try_acquire()));
    assert!(limits[0].has_room());
}

#[tokio::test(start_paused = true)]
async fn limit_ends_with_a_later_answer_that_names_none() {
    let limits = limits(1, 1);
    limits[0].record(named(1.0));
    // An answer that was overtaken does not end it.
    advance(Duration::from_millis(10)).await;
    limits[0].record(LimitStatement::Unlimited);
    assert!(limits[0].limit().is_some());
    advance(Duration::from_secs(1)).await;
    limits[0].record(LimitStatement::Unsaid);
    assert!(limits[0].limit().is_some());
    limits[0].record(LimitStatement::Unlimited);
    assert!(limits[0].limit().is_none());
}

#[tokio::test(start_paused = true)]
async fn changed_limit_applies_at_once() {
    let limits = limits(1, 1);
    limits[0].record(named(1.0));
    assert!(!limits[0].has_room());
    limits[0].record(named(20.0));
    advance(Duration::from_secs(1)).await;
    let sent = send_all(&limits, Duration::from_secs(10)).await;
    assert!((180..=215).contains(&sent.len()), "{} in 10 s", sent.len());
}

#[tokio::test(start_paused = true)]
async fn share_follows_the_instances_of_the_tier() {
    let limits = limits(2, 1);
    limits[0].record(named(10.0));
    let alone =
        TierInstances { own: Some(instance(0, 1)), others: Vec::new(), ..TierInstances::default() };
    limits[0].set_tier(&Arc::new(alone));
    advance(Duration::from_secs(1)).await;
    let sent = send_all(&limits[..1], Duration::from_secs(10)).await;
    assert!(sent.len() >= 90, "{} in 10 s", sent.len());
}

cases! {
    fn rate_is_checked(per_second: f64, expected: Option<f64>) {
        assert_eq!(RequestRate::try_new(per_second).map(RequestRate::per_second), expected);
    }
    fraction => (0.25, Some(0.25)),
    zero => (0.0, Some(0.0)),
    negative => (-1.0, None),
    not_a_number => (f64::NAN, None),
    infinite => (f64::INFINITY, Some(1e6)),
}
