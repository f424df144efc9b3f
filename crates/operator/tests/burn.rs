//! Tests of the counter history for the burn report, on a paused clock.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use endivevale_core::{
    distribution::register::ConfigRegister,
    intent::{ConfigVersion, Configuration, Intent, Rank},
    name::ServiceName,
    view::{View, ViewBuilder},
};
use endivevale_operator::{
    burn::{CounterHistory, SAMPLE_INTERVAL, Subject, SubjectKind, WINDOWS},
    config_file,
};

fn example_view() -> View {
    let text = include_str!("../../../examples/sfax.yaml");
    let intent: Intent = config_file::parse_config("f.yaml", text).unwrap();
    let register = ConfigRegister::new();
    let checked = Configuration::draft(text).parse(|_| Ok::<_, ()>(intent)).unwrap();
    register.replace_if_newer(checked.accepted(ConfigVersion::new(1)));
    ViewBuilder::new().build(register.current(), &[], 1)
}

fn add_requests(view: &View, count: u64) {
    let service = view.service(&ServiceName::try_new("stock-search").unwrap()).unwrap();
    let stats = service.state().rank(Rank::new(2));
    stats.whole.add(count);
    stats.in_time.add(count);
}

/// Advances the clock by `duration` and records a sample every
/// [`SAMPLE_INTERVAL`].
async fn advance(history: &CounterHistory, view: &View, duration: Duration) {
    for _ in 0..duration.as_secs() / SAMPLE_INTERVAL.as_secs() {
        tokio::time::advance(SAMPLE_INTERVAL).await;
        history.record_sample(view);
    }
}

/// Returns the number of requests and the covered seconds of each window.
fn requests_and_coverage(history: &CounterHistory, view: &View) -> Vec<(u64, u64)> {
    let tally = history.tally("entry-1", view);
    let count = |window: &endivevale_operator::burn::WindowTally| {
        window.subjects.iter().map(|subject| subject.tally.asked).sum()
    };
    tally.windows.iter().map(|window| (count(window), window.covered_s)).collect()
}

#[tokio::test(start_paused = true)]
async fn each_window_counts_its_own_requests() {
    let (history, view) = (CounterHistory::default(), example_view());
    history.record_sample(&view);
    add_requests(&view, 10);
    advance(&history, &view, Duration::from_secs(600)).await;
    add_requests(&view, 3);
    advance(&history, &view, Duration::from_secs(60)).await;
    assert_eq!(requests_and_coverage(&history, &view), [(3, 300), (13, 660)]);
    // An hour later, all requests are outside of both windows.
    advance(&history, &view, WINDOWS[1]).await;
    assert_eq!(requests_and_coverage(&history, &view), [(0, 300), (0, 3600)]);
}

#[tokio::test(start_paused = true)]
async fn coverage_is_the_time_since_the_first_sample() {
    let (history, view) = (CounterHistory::default(), example_view());
    history.record_sample(&view);
    add_requests(&view, 4);
    tokio::time::advance(Duration::from_secs(7)).await;
    assert_eq!(requests_and_coverage(&history, &view), [(4, 7), (4, 7)]);
}

#[tokio::test(start_paused = true)]
async fn subjects_have_rank_and_targets() {
    let (history, view) = (Arc::new(CounterHistory::default()), example_view());
    history.record_sample(&view);
    add_requests(&view, 1);
    let tally = history.tally("entry-1", &view);
    let subject = &tally.windows[0].subjects[0];
    let expected = Subject { kind: SubjectKind::Service, name: "stock-search".into(), rank: 2 };
    assert_eq!(subject.subject, expected);
    assert!((subject.targets.in_time - 0.99).abs() < 1e-9);
}
