//! The single decisions, each on its own.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::{collections::HashSet, sync::Arc, time::Duration};

use endivevale_cases::cases;
use endivevale_core::{
    admission::Admission,
    departure::Departures,
    duty::{WATCHERS, is_watcher},
    error::{ErrorKind, Run},
    gate::Gate,
    intent::{ConfigVersion, Proposal, Rank},
    layout::{Holding, IndexVersion, Layout, SearcherRecord, SearcherState, ShardId},
    membership::{DEAD_AFTER, FORGOTTEN_AFTER, Heartbeat, Membership, Sighting},
    name::{IdempotencyKey, InstanceName, SearcherName, ServiceName},
    pin::{self, Target},
    register::ConfigRegister,
    share::{FleetSize, HEADROOM_INSTANCES, SETTLE_TIME, share_of},
    view::ViewBuilder,
};
use proptest::prelude::*;
use strum::IntoEnumIterator;
use support::{MS, intent, record, records, service_intent, service_name, view};
use tokio::time::{Instant, advance};

#[test]
fn every_error_kind_has_a_name_and_an_error_status() {
    let names: HashSet<String> = ErrorKind::iter().map(|kind| kind.to_string()).collect();
    assert_eq!(names.len(), ErrorKind::iter().count());
    assert!(ErrorKind::iter().all(|kind| (400..600).contains(&kind.verdict().status())));
    // A fault of the request is told before anything is run.
    let bad = ErrorKind::iter().filter(|k| (400..423).contains(&k.verdict().status()));
    assert!(bad.filter(|k| *k != ErrorKind::KeyClaimed).all(|k| k.verdict().run() == Run::NotRun));
}

cases! {
    fn names_are_checked(text: &str, is_name: bool, is_key: bool) {
        assert_eq!(ServiceName::try_new(text).is_ok(), is_name);
        assert_eq!(IdempotencyKey::try_new(text).is_ok(), is_key);
    }
    plain => ("stock-search", true, true),
    empty => ("", false, false),
    blank => ("a b", false, false),
    slash => ("a/b", false, true),
    accent => ("\u{e9}", false, false),
    long => (&"a".repeat(65), false, true),
    longer => (&"a".repeat(129), false, false),
}

#[tokio::test(start_paused = true)]
async fn a_gate_serves_the_first_rank_and_then_the_earliest_deadline() {
    let gate = Gate::new(1);
    let held = gate.try_enter().unwrap();
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    for (name, rank, wait) in [("c", 2, 50), ("d", 2, 90), ("a", 1, 80), ("b", 1, 90)] {
        let (gate, tx) = (Arc::clone(&gate), tx.clone());
        tokio::spawn(async move {
            let by = Instant::now() + wait * MS;
            let permit = gate.enter(Rank::new(rank), by).await.unwrap();
            tx.send(name).unwrap();
            drop(permit);
        });
    }
    advance(MS).await;
    drop(held);
    let mut served = String::new();
    for _ in 0..4 {
        served.push_str(rx.recv().await.unwrap());
    }
    assert_eq!(served, "abcd");
}

#[tokio::test(start_paused = true)]
async fn a_gate_gives_up_at_the_deadline_and_leaks_no_place() {
    let gate = Gate::new(2);
    let held: Vec<_> = (0..2).map(|_| gate.try_enter().unwrap()).collect();
    assert!(gate.enter(Rank::new(1), Instant::now() + 10 * MS).await.is_none());
    assert_eq!((gate.waiting(), gate.in_flight()), (0, 2));
    drop(held);
    assert_eq!(gate.in_flight(), 0);
    assert!(gate.enter(Rank::new(1), Instant::now() + 10 * MS).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn raising_a_gates_limit_lets_a_waiting_request_in() {
    let gate = Gate::new(1);
    let _held = gate.try_enter().unwrap();
    let waiting = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.enter(Rank::new(1), Instant::now() + 100 * MS).await.is_some() }
    });
    advance(MS).await;
    gate.set_limit(2);
    assert!(waiting.await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn admission_refuses_the_last_rank_first() {
    let admission = Admission::new(95 * MS);
    let mut tickets = Vec::new();
    let mut filled = Vec::new();
    for rank in [3, 2, 1] {
        while let Some(ticket) = admission.try_admit(Rank::new(rank)) {
            tickets.push(ticket);
        }
        filled.push(tickets.len());
    }
    assert_eq!(filled, [16, 32, 64]);
    drop(tickets);
    assert_eq!(admission.in_flight(), 0);
}

#[tokio::test(start_paused = true)]
async fn admission_shrinks_under_late_answers_and_grows_back() {
    let admission = Admission::new(95 * MS);
    let before = admission.limit();
    for _ in 0..20 {
        let ticket = admission.try_admit(Rank::new(1)).unwrap();
        advance(100 * MS).await;
        ticket.report();
    }
    let shrunk = admission.limit();
    assert!(shrunk < before / 2, "{shrunk} of {before}");
    for _ in 0..200 {
        let tickets: Vec<_> = std::iter::from_fn(|| admission.try_admit(Rank::new(1))).collect();
        tickets.iter().for_each(|ticket| ticket.report());
    }
    assert!(admission.limit() > before);
}

#[tokio::test(start_paused = true)]
async fn admission_shrinks_under_late_answers_that_come_thick() {
    let admission = Admission::new(95 * MS);
    let before = admission.limit();
    let tickets: Vec<_> = (0..300).map(|_| admission.admit()).collect();
    advance(100 * MS).await;
    // A late answer each 10 ms for three seconds.
    for ticket in tickets {
        advance(10 * MS).await;
        ticket.report();
    }
    assert!(admission.limit() < before / 4, "{} of {before}", admission.limit());
}

#[tokio::test(start_paused = true)]
async fn shares_fall_at_once_and_rise_after_the_settle_time() {
    let mut fleet = FleetSize::new(8);
    assert_eq!(fleet.observe(9, Instant::now()), 9);
    assert_eq!(fleet.observe(8, Instant::now()), 9);
    advance(SETTLE_TIME / 2).await;
    assert_eq!(fleet.observe(8, Instant::now()), 9);
    advance(SETTLE_TIME).await;
    assert_eq!(fleet.observe(8, Instant::now()), 8);
}

proptest! {
    /// With as many newcomers as the headroom, the shares of all instances
    /// together stay within the searcher's limit.
    #[test]
    fn shares_never_add_up_to_more_than_the_limit(limit in 1_u32..500, instances in 1_u32..60) {
        let share = share_of(limit, instances);
        if limit >= instances + HEADROOM_INSTANCES {
            prop_assert!(share * (instances + HEADROOM_INSTANCES) <= limit);
        }
        prop_assert!(share >= 1);
    }

    /// Whatever order versions come in, the register never goes back.
    #[test]
    fn a_register_never_goes_back(versions in proptest::collection::vec(1_u64..20, 1..40)) {
        let register = ConfigRegister::new();
        let mut highest = 0;
        for version in versions {
            let checked = Proposal::draft("t").check(|_| Ok::<_, ()>(intent(service_intent())));
            let adopted = register.adopt(checked.unwrap().accepted(ConfigVersion::new(version)));
            prop_assert_eq!(adopted, version > highest);
            highest = highest.max(version);
            prop_assert_eq!(register.version().number(), highest);
        }
    }
}

fn beat(sender: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        sender: InstanceName::try_new(sender).unwrap(),
        incarnation,
        sequence,
        leaving: false,
        config: ConfigVersion::new(sequence),
        hears: vec![],
        departures: vec![],
        load: vec![],
    }
}

#[tokio::test(start_paused = true)]
async fn heartbeats_that_are_late_or_doubled_are_stale() {
    let mut members = Membership::new(InstanceName::try_new("me").unwrap());
    let now = Instant::now();
    let sightings = [(1, 5), (1, 6), (1, 5), (1, 6), (2, 1), (1, 9)]
        .map(|(incarnation, sequence)| members.observe(&beat("a", incarnation, sequence), now));
    use Sighting::{Fresh, Newcomer, Stale};
    assert_eq!(sightings, [Newcomer, Fresh, Stale, Stale, Newcomer, Stale]);
    assert_eq!(members.observe(&beat("me", 1, 1), now), Sighting::Own);
}

#[tokio::test(start_paused = true)]
async fn a_silent_sibling_is_dead_before_it_is_forgotten() {
    let mut members = Membership::new(InstanceName::try_new("me").unwrap());
    members.observe(&beat("a", 1, 7), Instant::now());
    assert_eq!(members.live(Instant::now()).count(), 1);
    advance(DEAD_AFTER).await;
    assert_eq!(members.live(Instant::now()).count(), 0);
    assert!(members.ahead_of(ConfigVersion::NONE, Instant::now()).is_none());
    // A paused instance keeps its connections, so it still counts for shares.
    assert_eq!(members.seen_lately(Instant::now()), 2);
    advance(FORGOTTEN_AFTER).await;
    members.forget_silent(Instant::now());
    assert_eq!(members.seen_lately(Instant::now()), 1);
}

#[tokio::test(start_paused = true)]
async fn the_sibling_with_the_highest_configuration_is_asked() {
    let mut members = Membership::new(InstanceName::try_new("me").unwrap());
    for (name, sequence) in [("a", 3), ("b", 9), ("c", 5)] {
        members.observe(&beat(name, 1, sequence), Instant::now());
    }
    let ahead = members.ahead_of(ConfigVersion::new(4), Instant::now());
    assert_eq!(ahead.map(|name| name.as_str()), Some("b"));
    assert!(members.ahead_of(ConfigVersion::new(9), Instant::now()).is_none());
}

#[test]
fn a_few_instances_watch_and_all_agree_which() {
    let names: Vec<_> =
        (0..9).map(|i| InstanceName::try_new(&format!("entry-{i}")).unwrap()).collect();
    let watches = |me: &&InstanceName| is_watcher(me, names.iter().filter(|n| n != me));
    assert_eq!(names.iter().filter(watches).count(), WATCHERS);
}

#[tokio::test(start_paused = true)]
async fn the_first_sign_of_leaving_wins_until_a_new_incarnation() {
    let mut builder = ViewBuilder::new();
    let mut listed = vec![record("s0", 1, 0, &[1])];
    let leaving = |view: &endivevale_core::view::View| {
        view.searchers().map(|s| s.is_leaving()).collect::<Vec<_>>()
    };
    let name = SearcherName::try_new("s0").unwrap();
    builder.departures().record(name, 1);
    assert_eq!(leaving(&view(&mut builder, intent(service_intent()), &listed)), [true]);
    // The list vanishes and flaps back to live.
    view(&mut builder, intent(service_intent()), &[]);
    assert_eq!(leaving(&view(&mut builder, intent(service_intent()), &listed)), [true]);
    listed[0].incarnation = 2;
    assert_eq!(leaving(&view(&mut builder, intent(service_intent()), &listed)), [false]);
    listed[0].state = SearcherState::Leaving;
    assert_eq!(leaving(&view(&mut builder, intent(service_intent()), &listed)), [true]);
    // A list that lags shows the earlier incarnation as live.
    listed[0].incarnation = 1;
    listed[0].state = SearcherState::Live;
    assert_eq!(leaving(&view(&mut builder, intent(service_intent()), &listed)), [true]);
}

#[test]
fn departures_tell_the_newest_first() {
    let mut departures = Departures::default();
    for i in 0..20 {
        departures.record(SearcherName::try_new(&format!("s{i}")).unwrap(), 1);
    }
    let newest = departures.recent().next().map(|(name, _)| name.to_string());
    assert_eq!(newest.as_deref(), Some("s19"));
    assert_eq!(departures.recent().count(), 16);
}

/// Searchers of two shards, written as `NAME:SHARD:VERSION,VERSION...`.
fn holding(text: &str) -> Vec<SearcherRecord> {
    let read = |word: &str| {
        let fields: Vec<&str> = word.split(':').collect();
        let shard = fields[1].parse().unwrap();
        let held = fields[2].split(',').map(|v| v.parse::<IndexVersion>().unwrap());
        let holding = |v: IndexVersion| Holding {
            generation: v.generation(),
            of: 2,
            shards: vec![ShardId::new(shard)],
            versions: vec![v.number()],
        };
        SearcherRecord { holdings: held.map(holding).collect(), ..record(fields[0], 2, shard, &[]) }
    };
    text.split(' ').map(read).collect()
}

cases! {
    async fn a_query_is_pinned_to_the_newest_version_that_covers_it(held: &str, want: &str) {
        let mut builder = ViewBuilder::new();
        let view = view(&mut builder, intent(service_intent()), &holding(held));
        let service = view.service(&service_name()).unwrap();
        let pin = pin::choose(service.layout(), Target::All).unwrap();
        assert_eq!(pin.version().to_string(), want);
        assert_eq!(pin.shards().len(), 2);
    }
    both_hold_both => ("a:0:1.1,1.2 b:1:1.1,1.2", "1.2"),
    one_is_behind => ("a:0:1.1,1.2 b:1:1.1", "1.1"),
    a_replica_is_ahead => ("a:0:1.1 c:0:1.2 b:1:1.1", "1.1"),
    nothing_in_common => ("a:0:1.1 b:1:1.2", "1.2"),
    new_generation_half_there => ("a:0:1.9,2.1 b:1:1.9", "1.9"),
    new_generation_there => ("a:0:1.9,2.1 b:1:1.9,2.1", "2.1"),
}

#[tokio::test(start_paused = true)]
async fn shard_counts_of_two_generations_are_kept_apart() {
    let mut builder = ViewBuilder::new();
    let mut listed = records(2, 1);
    listed.push(record("wrong", 3, 2, &[1]));
    let view = view(&mut builder, intent(service_intent()), &listed);
    let layout: &Layout = view.service(&service_name()).unwrap().layout();
    assert_eq!(layout.generation(1).unwrap().shard_count(), 2);
    assert!(!layout.generation(1).unwrap().has(ShardId::new(2)));
}

#[tokio::test(start_paused = true)]
async fn a_searcher_keeps_what_was_learnt_from_view_to_view() {
    let mut builder = ViewBuilder::new();
    let listed = records(1, 1);
    let before = view(&mut builder, intent(service_intent()), &listed);
    before.searchers().next().unwrap().record_latency(Duration::from_millis(9));
    let after = view(&mut builder, intent(service_intent()), &listed);
    assert_eq!(after.searchers().next().unwrap().latency(), Duration::from_millis(9));
}
