//! The idle connections of this instance to all searchers.
//!
//! The concurrency limiter of a searcher bounds the exchanges with it by the
//! instance's share of the searcher's connections. A connection is kept idle
//! only while idle connections and exchanges together stay within that share.
//!
//! # Example
//!
//! ```
//! use endivevale_searcher::IdleConnections;
//!
//! let connections = IdleConnections::new();
//! connections.retain(|_| false);
//! ```

use std::{collections::HashMap, sync::Arc};

use arc_swap::ArcSwap;
use crossbeam_queue::ArrayQueue;
use endivevale_core::{
    forward::ConnectError,
    searcher::{Searcher, SearcherKey},
    stats::Counter,
};
use tokio::time::Instant;

use crate::http1_connection::{self, ReadyConnection};

/// The maximum number of idle connections to one searcher.
const MAX_IDLE_CONNECTIONS: usize = 16;

type IdleQueue = Arc<ArrayQueue<ReadyConnection>>;

/// The idle connections to each searcher.
#[derive(Debug, Default)]
pub struct IdleConnections {
    idle: ArcSwap<HashMap<SearcherKey, IdleQueue>>,
    connects: Counter,
    reuses: Counter,
}

impl IdleConnections {
    /// Creates a collection without any connection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many times a connection was opened, failures included.
    #[must_use]
    pub fn connect_count(&self) -> u64 {
        self.connects.get()
    }

    /// Returns how many times an idle connection was reused.
    #[must_use]
    pub fn reuse_count(&self) -> u64 {
        self.reuses.get()
    }

    /// Returns a usable idle connection, or opens one, waiting until `deadline` at
    /// most.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] if the searcher did not accept a connection in time.
    pub async fn checkout(
        &self,
        searcher: &Searcher,
        deadline: Instant,
    ) -> Result<ReadyConnection, ConnectError> {
        if let Some(idle) = self.idle.load().get(&searcher.key()) {
            while let Some(mut connection) = idle.pop() {
                if http1_connection::is_usable(&mut connection) {
                    self.reuses.inc();
                    return Ok(connection);
                }
            }
        }
        self.connects.inc();
        http1_connection::connect(searcher.addr(), deadline).await
    }

    /// Keeps a connection idle for the next exchange. Closes it if the searcher is
    /// leaving, if no connections to it are kept open, or if they would exceed the
    /// instance's share.
    pub fn checkin(&self, searcher: &Searcher, connection: ReadyConnection) {
        let idle = self.idle_queue(searcher.key());
        let open = idle.len() as u32 + searcher.limiter().in_flight();
        let is_full = open > searcher.connection_share();
        if searcher.is_leaving() || !searcher.keeps_connections() || is_full {
            drop(connection);
        } else {
            // A full queue returns the connection, and dropping it closes it.
            drop(idle.push(connection));
        }
    }

    /// Closes the idle connections to searchers for which `is_listed` returns
    /// false.
    pub fn retain(&self, is_listed: impl Fn(SearcherKey) -> bool) {
        if self.idle.load().keys().all(|key| is_listed(*key)) {
            return;
        }
        self.idle.rcu(|idle| {
            let retained = idle.iter().filter(|(key, _)| is_listed(**key));
            retained.map(|(key, idle)| (*key, Arc::clone(idle))).collect::<HashMap<_, _>>()
        });
    }

    /// Returns the queue of idle connections to a searcher, and creates an empty
    /// one if there is none.
    fn idle_queue(&self, key: SearcherKey) -> IdleQueue {
        if let Some(idle) = self.idle.load().get(&key) {
            return Arc::clone(idle);
        }
        let new_queue: IdleQueue = Arc::new(ArrayQueue::new(MAX_IDLE_CONNECTIONS));
        self.idle.rcu(|idle| {
            let mut idle = HashMap::clone(idle);
            idle.entry(key).or_insert_with(|| Arc::clone(&new_queue));
            idle
        });
        self.idle.load().get(&key).map_or(new_queue, Arc::clone)
    }
}
