//! `endivectl leave`: makes an instance leave by a planned stop.
//!
//! # Example
//!
//! `endivectl --platform http://127.0.0.1:7000 leave entry-3`

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use super::{platform, unreachable};
use crate::{cli::Common, fleet, outcome::Outcome};

/// The pause between two looks at the instance.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Asks an instance to leave and waits until it has.
pub async fn run(cx: &Common, instance: &str, timeout: Duration) -> Outcome {
    let platform = match platform(cx) {
        Ok(platform) => platform,
        Err(outcome) => return outcome,
    };
    let listing = match platform.listing().await {
        Ok(listing) => listing,
        Err(e) => return unreachable(&e),
    };
    let Some(record) = listing.instances.iter().find(|i| i.name.as_str() == instance) else {
        eprintln!("{instance}: is not in the platform's list");
        return Outcome::Failed;
    };
    if let Err(e) = fleet::leave(record).await {
        eprintln!("{instance}: could not be asked: {e}");
        return Outcome::Failed;
    }
    let by = Instant::now() + timeout;
    let mut has_left = false;
    while !has_left && Instant::now() < by {
        sleep(LOOK_PAUSE).await;
        let asked = fleet::statuses(std::slice::from_ref(record)).await;
        has_left = asked.iter().all(|(_, status)| status.is_err());
    }
    cx.output.write(&json!({ "instance": instance, "has_left": has_left }), || {
        let state = if has_left { "has left" } else { "is still leaving" };
        format!("{instance} {state}")
    });
    if has_left { Outcome::Done } else { Outcome::Failed }
}
