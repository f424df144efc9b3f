//! `endivectl status`: shows what every instance is doing.
//!
//! # Example
//!
//! `endivectl --platform http://127.0.0.1:7000 status --service stock-search`

use std::fmt::Write;

use endivevale_core::layout::InstanceRecord;
use endivevale_operator::status::{InstanceStatus, RankCounts, SearcherStatus, ServiceStatus};
use serde_json::json;

use super::{platform, unreachable};
use crate::{cli::Common, fleet, outcome::Outcome};

type Asked = (InstanceRecord, Result<InstanceStatus, String>);

/// Shows every instance, and the searchers of one service if asked to.
pub async fn run(cx: &Common, service: Option<&str>) -> Outcome {
    let platform = match platform(cx) {
        Ok(platform) => platform,
        Err(outcome) => return outcome,
    };
    let listing = match platform.listing().await {
        Ok(listing) => listing,
        Err(e) => return unreachable(&e),
    };
    let asked = fleet::statuses(&listing.instances).await;
    let is_whole = asked.iter().all(|(_, status)| status.is_ok());
    let instances: Vec<_> = asked
        .iter()
        .map(|(instance, status)| match status {
            Ok(status) => json!({ "instance": instance.name, "status": status }),
            Err(e) => json!({ "instance": instance.name, "error": e }),
        })
        .collect();
    cx.output.write(&json!({ "instances": instances }), || describe(&asked, service));
    if is_whole { Outcome::Done } else { Outcome::Failed }
}

fn describe(asked: &[Asked], service: Option<&str>) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    for (instance, status) in asked {
        let _ = match status {
            Ok(status) => writeln!(
                out,
                "{:16} {:9} config {:6} sees {} instances",
                instance.name, status.phase, status.config_version, status.instances_seen
            ),
            Err(e) => writeln!(out, "{:16} could not be asked: {e}", instance.name),
        };
        for service_status in status.iter().flat_map(|s| &s.services) {
            describe_service(&mut out, service_status);
            if service == Some(service_status.name.as_str()) {
                describe_searchers(&mut out, &service_status.searchers);
            }
        }
    }
    out
}

fn describe_service(out: &mut String, service: &ServiceStatus) {
    let sum = |count: fn(&RankCounts) -> u64| service.ranks.iter().map(count).sum::<u64>();
    let share = |n: u64| 100.0 * n as f64 / service.legs.needed.max(1) as f64;
    let _ = writeln!(
        out,
        "  {:16} {}/{} whole {} partial {} refused {} unknown {}; extra {:.2}% hedged {:.2}% \
         retried {:.2}%",
        service.name,
        service.in_flight,
        service.limit,
        sum(|r| r.whole),
        sum(|r| r.partial),
        sum(|r| r.refused),
        sum(|r| r.unknown),
        share(service.legs.sent.saturating_sub(service.legs.needed)),
        share(service.legs.hedged),
        share(service.legs.retried),
    );
}

fn describe_searchers(out: &mut String, searchers: &[SearcherStatus]) {
    for s in searchers {
        let state = match (s.leaving, s.ejected) {
            (true, _) => "leaving",
            (_, true) => "ejected",
            _ => "live",
        };
        let _ = writeln!(
            out,
            "    {:20} {:8} {}/{} +{} load {} {:.1} ms sent {} failed {} refused {} silent {}",
            s.name,
            state,
            s.in_flight,
            s.share,
            s.waiting,
            s.load,
            s.latency_us as f64 / 1000.0,
            s.sent,
            s.failed,
            s.refused,
            s.silent,
        );
    }
}
