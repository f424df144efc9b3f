//! Upkeep of the pools: warm connections, probes of idle ones, and an end to
//! the pools of searchers that are gone.
//!
//! # Example
//!
//! See the [crate](crate).

use std::{collections::HashSet, sync::Arc, time::Duration};

use endivevale_core::{searcher::Searcher, view::ViewCell};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::{HttpTransport, line, pool::Pool};

/// The time between two rounds of upkeep.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// An idle connection that was last heard longer ago than this is probed.
const PROBE_IDLE_AFTER: Duration = Duration::from_secs(2);

/// Connections that are kept open to each searcher without any demand.
const WARM_CONNECTIONS: u32 = 1;

/// Keeps the pools of the searchers in view in order, for as long as the
/// task runs.
pub async fn run(transport: Arc<HttpTransport>, views: Arc<ViewCell>) {
    let mut ticks = interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let view = views.load();
        let listed: HashSet<_> = view.searchers().map(|s| s.key()).collect();
        transport.retain(|key| listed.contains(&key));
        for searcher in view.searchers().filter(|s| !s.is_leaving()) {
            tokio::spawn(keep(transport.pool(searcher), Arc::clone(searcher)));
        }
    }
}

/// One round for one pool.
async fn keep(pool: Arc<Pool>, searcher: Arc<Searcher>) {
    for _ in 0..pool.idle_count() {
        let Some(connection) = pool.take_any() else { break };
        if connection.heard().elapsed() < PROBE_IDLE_AFTER {
            pool.put(connection);
            continue;
        }
        match line::probe(&searcher, connection.silent()).await {
            Some(connection) => pool.put(connection),
            None => pool.closed(),
        }
    }
    if pool.open_count() < WARM_CONNECTIONS {
        let opened = pool.open_one(Instant::now() + ROUND_INTERVAL).await;
        if let Err(e) = opened {
            log::debug!(target: "searcher", "No connection to {}: {e}.", searcher.name());
        }
    }
}
