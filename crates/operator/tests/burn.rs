//! What an instance remembers for the burn report, on a paused clock.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use endivevale_core::{
    intent::{ConfigVersion, Configuration, Intent, Rank},
    name::ServiceName,
    register::ConfigRegister,
    view::{View, ViewBuilder},
};
use endivevale_operator::{
    burn::{History, Kind, READ_INTERVAL, Subject, WINDOWS},
    file,
};

fn view() -> View {
    let text = include_str!("../../../examples/sfax.yaml");
    let intent: Intent = file::read("f.yaml", text).unwrap();
    let register = ConfigRegister::new();
    let checked = Configuration::draft(text).parse(|_| Ok::<_, ()>(intent)).unwrap();
    register.replace_if_newer(checked.accepted(ConfigVersion::new(1)));
    ViewBuilder::new().build(register.current(), &[], 1)
}

fn ask(view: &View, count: u64) {
    let service = view.service(&ServiceName::try_new("stock-search").unwrap()).unwrap();
    let stats = service.state().rank(Rank::new(2));
    stats.whole.add(count);
    stats.in_time.add(count);
}

/// Lets time pass with a reading each interval.
async fn pass(history: &History, view: &View, span: Duration) {
    for _ in 0..span.as_secs() / READ_INTERVAL.as_secs() {
        tokio::time::advance(READ_INTERVAL).await;
        history.read(view);
    }
}

/// What each window says of the requests, and how much of it is covered.
fn asked(history: &History, view: &View) -> Vec<(u64, u64)> {
    let document = history.document("entry-1", view);
    let count =
        |w: &endivevale_operator::burn::WindowTally| w.subjects.iter().map(|s| s.tally.asked).sum();
    document.windows.iter().map(|w| (count(w), w.covered_s)).collect()
}

#[tokio::test(start_paused = true)]
async fn each_window_counts_what_came_within_it() {
    let (history, view) = (History::default(), view());
    history.read(&view);
    ask(&view, 10);
    pass(&history, &view, Duration::from_secs(600)).await;
    ask(&view, 3);
    pass(&history, &view, Duration::from_secs(60)).await;
    assert_eq!(asked(&history, &view), [(3, 300), (13, 660)]);
    // After an hour the first requests are outside of both.
    pass(&history, &view, WINDOWS[1]).await;
    assert_eq!(asked(&history, &view), [(0, 300), (0, 3600)]);
}

#[tokio::test(start_paused = true)]
async fn an_instance_that_has_just_started_says_how_little_it_covers() {
    let (history, view) = (History::default(), view());
    history.read(&view);
    ask(&view, 4);
    tokio::time::advance(Duration::from_secs(7)).await;
    assert_eq!(asked(&history, &view), [(4, 7), (4, 7)]);
}

#[tokio::test(start_paused = true)]
async fn subjects_are_told_with_their_rank_and_targets() {
    let (history, view) = (Arc::new(History::default()), view());
    history.read(&view);
    ask(&view, 1);
    let document = history.document("entry-1", &view);
    let subject = &document.windows[0].subjects[0];
    let want = Subject { kind: Kind::Service, name: "stock-search".into(), rank: 2 };
    assert_eq!(subject.subject, want);
    assert!((subject.targets.in_time - 0.99).abs() < 1e-9);
}
