//! A searcher that is leaving gets no new work after three seconds, although
//! the list lags by half a minute and flaps back to live.

use std::time::Duration;

use endivevale_standin::{load, platform::PlatformFaults};
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::{Recorder, expect_whole, fleet, open_loop, specs};

const SPAN: Duration = Duration::from_secs(8);
const PER_SECOND: f64 = 80.0;

/// How long after it began to leave a searcher may still get new work.
const BOUND: Duration = Duration::from_secs(3);

pub async fn prove(seed: u64) {
    let fleet = fleet(specs("stock-search", 4, 3, seed), 3).await;
    let callers = fleet.callers();
    let recorder = Recorder::default();
    let client = load::client();
    let platform = &fleet.deployment.platform;
    platform.set_faults(PlatformFaults {
        list_lag: Duration::from_secs(30),
        ..PlatformFaults::default()
    });
    let left_at = Instant::now() + Duration::from_secs(1);
    let queries = open_loop(PER_SECOND, SPAN, |number| {
        let target = callers[number as usize % callers.len()];
        // One instance alone is asked for the shard of the first searcher,
        // so that the others learn of its leaving from that instance.
        let shards = if target == callers[0] { json!([0, 1, 2, 3]) } else { json!([1, 2, 3]) };
        let document = json!({
            "service": "stock-search", "caller": "sales-desk",
            "body": format!("l-{seed}-{number}"), "shards": shards,
        });
        let (client, recorder) = (client.clone(), recorder.clone());
        async move { recorder.ask(&client, target, document, false).await }
    });
    let leaving = &fleet.deployment.searchers[..2];
    let chaos = async {
        sleep(Duration::from_secs(1)).await;
        leaving.iter().for_each(|searcher| searcher.leave());
        // The list flaps: the leaving searchers show as live again, with a
        // higher version of the list each time.
        platform.set_faults(PlatformFaults::default());
        for round in 0..8 {
            sleep(Duration::from_millis(700)).await;
            let mut records = fleet.deployment.records();
            if round % 2 == 0 {
                for record in &mut records {
                    record.state = endivevale_core::layout::SearcherState::Live;
                }
            }
            platform.set_searchers(records);
        }
    };
    tokio::join!(queries, chaos);

    let history = recorder.history();
    println!("leaving, seed {seed}: {}", history.tally());
    let late: Vec<String> = leaving
        .iter()
        .flat_map(|s| s.after_leaving().into_iter().map(move |at| (s.spec().name.clone(), at)))
        .filter(|(_, at)| *at > left_at + BOUND)
        .map(|(name, at)| format!("{name} got work {:?} after it left", at - left_at))
        .collect();
    expect_whole("leaving", &late);
    expect_whole("leaving", &history.check(&fleet.deployment.searchers));
    assert_eq!(history.tally().whole, history.entries.len(), "{}", history.tally());
}
