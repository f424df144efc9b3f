//! The engine on fake searchers, on a paused clock.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use endivevale_cases::cases;
use endivevale_core::{
    answer::MissReason,
    error::ErrorKind,
    intent::{Routing, ServiceIntent},
    layout::{IndexVersion, ShardId},
    name::IdempotencyKey,
    query::Submission,
};
use support::{Act, Bench, FakeTransport, MS, Mishap, V1, records, service_intent, submission};
use tokio::time::Instant;

/// Every searcher acts the same.
fn all(act: Act) -> Arc<FakeTransport> {
    FakeTransport::new(move |_, _| act.clone())
}

/// Replica 0 of each shard acts one way, the others another.
fn first_replica(first: Act, others: Act) -> Arc<FakeTransport> {
    FakeTransport::new(move |s, _| {
        if s.name().as_str().ends_with("r0") { first.clone() } else { others.clone() }
    })
}

fn order() -> ServiceIntent {
    ServiceIntent { repeatable: false, ..service_intent() }
}

#[tokio::test(start_paused = true)]
async fn a_whole_answer_has_every_shard_once_at_one_version() {
    let bench = Bench::new(service_intent(), &records(30, 2), all(Act::Part(5 * MS, V1)));
    let answer = bench.ask(submission()).await.unwrap();
    let shards: HashSet<_> = answer.parts().iter().map(|p| p.shard).collect();
    assert_eq!((answer.parts().len(), shards.len()), (30, 30));
    assert!(answer.is_whole() && answer.parts().iter().all(|p| p.version == V1));
    assert_eq!(bench.transport.ran_count(), 30);
}

cases! {
    async fn one_replica_decides_what_the_caller_is_told(
        act: Act, repeatable: bool, want: ErrorKind, ran: usize,
    ) {
        let service = ServiceIntent { repeatable, ..service_intent() };
        let bench = Bench::new(service, &records(1, 1), all(act));
        let failure = bench.ask(submission()).await.unwrap_err();
        assert_eq!(failure.kind(), want);
        assert_eq!(bench.transport.ran_count(), ran);
    }
    silent_query => (Act::Silent, true, ErrorKind::NothingCovered, 1),
    silent_order => (Act::Silent, false, ErrorKind::OutcomeUnknown, 1),
    broken_query => (Act::Break(MS), true, ErrorKind::NothingCovered, 1),
    broken_order => (Act::Break(MS), false, ErrorKind::OutcomeUnknown, 1),
    refused_query => (Act::Refuse(MS), true, ErrorKind::NotRun, 0),
    refused_order => (Act::Refuse(MS), false, ErrorKind::NotRun, 0),
    unreachable_order => (Act::NoConnection, false, ErrorKind::NotRun, 0),
    refusal_of_another_attempt => (Act::RefuseOther, false, ErrorKind::OutcomeUnknown, 0),
    order_of_another_version =>
        (Act::Part(MS, IndexVersion::new(1, 2)), false, ErrorKind::OutcomeUnknown, 1),
}

cases! {
    async fn a_second_replica_makes_up_for_the_first(first: Act, repeatable: bool) {
        let service = ServiceIntent { repeatable, ..service_intent() };
        for _ in 0..20 {
            let transport = first_replica(first.clone(), Act::Part(5 * MS, V1));
            let bench = Bench::new(service.clone(), &records(1, 2), transport);
            assert!(bench.ask(submission()).await.unwrap().is_whole());
        }
    }
    query_refused => (Act::Refuse(MS), true),
    query_broken => (Act::Break(MS), true),
    query_silent => (Act::Silent, true),
    query_unreachable => (Act::NoConnection, true),
    order_refused => (Act::Refuse(MS), false),
    order_unreachable => (Act::NoConnection, false),
}

cases! {
    async fn an_order_that_may_have_run_is_never_sent_again(act: Act) {
        for _ in 0..20 {
            let bench = Bench::new(order(), &records(1, 3), all(act.clone()));
            let failure = bench.ask(submission()).await.unwrap_err();
            assert_eq!(failure.kind(), ErrorKind::OutcomeUnknown);
            assert_eq!(bench.transport.ran_count(), 1);
        }
    }
    silent => (Act::Silent),
    broken => (Act::Break(MS)),
    late => (Act::Part(500 * MS, V1)),
    of_another_version => (Act::Part(MS, IndexVersion::new(9, 9))),
}

#[tokio::test(start_paused = true)]
async fn a_late_part_is_not_counted_as_covered() {
    let transport = FakeTransport::new(|s, _| match s.name().as_str() {
        "s1r0" => Act::Part(500 * MS, V1),
        _ => Act::Part(5 * MS, V1),
    });
    let bench = Bench::new(service_intent(), &records(3, 1), transport);
    let began = Instant::now();
    let answer = bench.ask(submission()).await.unwrap();
    assert_eq!(answer.missing(), [(ShardId::new(1), MissReason::TimedOut)]);
    assert_eq!(answer.parts().len(), 2);
    assert!(began.elapsed() <= 200 * MS);
}

#[tokio::test(start_paused = true)]
async fn a_version_that_is_gone_is_replaced_as_a_whole() {
    let v2 = IndexVersion::new(1, 2);
    let transport = FakeTransport::new(move |s, req| match req {
        Some(req) if req.version == v2 => Act::Part(MS, v2),
        Some(_) if s.name().as_str() == "s2r0" => Act::NotHeld(vec![v2]),
        _ => Act::Part(MS, V1),
    });
    let bench = Bench::new(service_intent(), &records(3, 1), transport);
    for searcher in bench.views.load().searchers() {
        searcher.learn_held(vec![V1, v2]);
    }
    // The newest version that covers every shard would be chosen at once, so
    // one searcher is known to hold only the old one.
    let view = bench.views.load();
    view.searchers().find(|s| s.name().as_str() == "s2r0").unwrap().learn_held(vec![V1]);
    let answer = bench.ask(submission()).await.unwrap();
    assert!(answer.is_whole());
    assert_eq!(answer.version(), v2);
    assert!(answer.parts().iter().all(|p| p.version == v2));
}

#[tokio::test(start_paused = true)]
async fn a_hedge_is_bounded_by_the_budget() {
    let service = ServiceIntent { extra_attempts: 0.05, ..service_intent() };
    let transport = first_replica(Act::Part(60 * MS, V1), Act::Part(60 * MS, V1));
    let bench = Bench::new(service, &records(10, 3), transport);
    for _ in 0..200 {
        assert!(bench.ask(submission()).await.unwrap().is_whole());
    }
    let legs = 200 * 10;
    assert!(bench.transport.ran_count() <= legs + legs * 5 / 100);
    assert!(bench.transport.ran_count() > legs);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_searcher_gets_nothing_new() {
    let bench = Bench::new(service_intent(), &records(2, 2), all(Act::Part(MS, V1)));
    let view = bench.views.load();
    for searcher in view.searchers().filter(|s| s.name().as_str().ends_with("r1")) {
        searcher.mark_leaving();
    }
    for _ in 0..50 {
        assert!(bench.ask(submission()).await.unwrap().is_whole());
    }
    assert!(bench.transport.ran.lock().unwrap().iter().all(|(name, ..)| name.ends_with("r0")));
}

#[tokio::test(start_paused = true)]
async fn a_key_claimed_by_another_is_not_run() {
    let bench = Bench::new(order(), &records(1, 2), all(Act::Part(MS, V1)));
    let keyed = || Submission {
        idempotency_key: Some(IdempotencyKey::try_new("o-17").unwrap()),
        ..submission()
    };
    assert!(bench.ask(keyed()).await.is_ok());
    let failure = bench.ask(keyed()).await.unwrap_err();
    assert_eq!(failure.kind(), ErrorKind::KeyClaimed);
    assert_eq!(bench.transport.ran_count(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_lost_reply_to_a_claim_is_resolved_by_reading_back() {
    let bench = Bench::new(order(), &records(1, 2), all(Act::Part(MS, V1)));
    *bench.claims.mishaps.lock().unwrap() = vec![Mishap::LostReply];
    let keyed = Submission {
        idempotency_key: Some(IdempotencyKey::try_new("o-17").unwrap()),
        ..submission()
    };
    assert!(bench.ask(keyed).await.unwrap().is_whole());
}

#[tokio::test(start_paused = true)]
async fn an_order_is_refused_while_the_platform_is_out() {
    let bench = Bench::new(order(), &records(1, 2), all(Act::Part(MS, V1)));
    *bench.claims.mishaps.lock().unwrap() = vec![Mishap::LostCall; 1000];
    let keyed = Submission {
        idempotency_key: Some(IdempotencyKey::try_new("o-17").unwrap()),
        ..submission()
    };
    let failure = bench.ask(keyed).await.unwrap_err();
    assert_eq!(failure.kind(), ErrorKind::ClaimUnavailable);
    assert_eq!(bench.transport.ran_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_claim_is_given_back_when_nothing_was_run() {
    let tries = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&tries);
    let transport = FakeTransport::new(move |_, req| match req {
        Some(_) if counted.fetch_add(1, Ordering::Relaxed) == 0 => Act::Refuse(MS),
        _ => Act::Part(MS, V1),
    });
    let bench = Bench::new(order(), &records(1, 1), transport);
    let keyed = || Submission {
        idempotency_key: Some(IdempotencyKey::try_new("o-17").unwrap()),
        ..submission()
    };
    assert_eq!(bench.ask(keyed()).await.unwrap_err().kind(), ErrorKind::NotRun);
    assert!(bench.ask(keyed()).await.unwrap().is_whole());
    assert_eq!(bench.transport.ran_count(), 1);
}

cases! {
    async fn a_faulty_submission_runs_nothing(
        change: fn(&mut Submission), routing: Routing, want: ErrorKind,
    ) {
        let service = ServiceIntent { routing, ..service_intent() };
        let bench = Bench::new(service, &records(2, 1), all(Act::Part(MS, V1)));
        let mut faulty = submission();
        change(&mut faulty);
        assert_eq!(bench.ask(faulty).await.unwrap_err().kind(), want);
        assert_eq!(bench.transport.ran_count(), 0);
    }
    unknown_service => (|s: &mut Submission| s.service = "other".into(), Routing::All, ErrorKind::UnknownService),
    no_name_at_all => (|s: &mut Submission| s.service = " ".into(), Routing::All, ErrorKind::UnknownService),
    zero_deadline =>
        (|s: &mut Submission| s.deadline = Some(Duration::ZERO), Routing::All, ErrorKind::BadDeadline),
    deadline_over_the_cap =>
        (|s: &mut Submission| s.deadline = Some(1001 * MS), Routing::All, ErrorKind::BadDeadline),
    body_over_the_limit =>
        (|s: &mut Submission| s.body = vec![0; 101].into(), Routing::All, ErrorKind::BodyTooLarge),
    unknown_shard =>
        (|s: &mut Submission| s.shards = Some(vec![ShardId::new(2)]), Routing::Shards, ErrorKind::UnknownShard),
    no_shard => (|s: &mut Submission| s.shards = Some(vec![]), Routing::Shards, ErrorKind::UnknownShard),
    shards_where_all_are_reached =>
        (|s: &mut Submission| s.shards = Some(vec![ShardId::new(0)]), Routing::All, ErrorKind::RoutingNotAllowed),
    key_where_none_is_used =>
        (|s: &mut Submission| s.key = Some("k".into()), Routing::Shards, ErrorKind::RoutingNotAllowed),
    no_key_where_one_is_needed => (|_: &mut Submission| (), Routing::Key, ErrorKind::RoutingNotAllowed),
}

#[tokio::test(start_paused = true)]
async fn a_caller_can_forbid_repetition_but_not_allow_it() {
    let forbids = Submission { repeatable: Some(false), ..submission() };
    let bench = Bench::new(service_intent(), &records(1, 3), all(Act::Silent));
    bench.ask(forbids).await.unwrap_err();
    assert_eq!(bench.transport.ran_count(), 1);

    let allows = Submission { repeatable: Some(true), ..submission() };
    let bench = Bench::new(order(), &records(1, 3), all(Act::Silent));
    bench.ask(allows).await.unwrap_err();
    assert_eq!(bench.transport.ran_count(), 1);
}
