//! The idle connections of this instance to every searcher.
//!
//! An instance has at most its share of a searcher's connections open: each
//! exchange holds a place behind the searcher's gate, whose limit is the
//! share, and a connection is kept idle only while the sum stays within it.
//!
//! # Example
//!
//! ```
//! use endivevale_searcher::Links;
//!
//! let links = Links::new();
//! links.retain(|_| false);
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

use crate::link::{self, ReadyLink};

/// The most connections that are kept idle for one searcher.
const IDLE_CAPACITY: usize = 16;

type Idle = Arc<ArrayQueue<ReadyLink>>;

/// Idle connections by searcher.
#[derive(Debug, Default)]
pub struct Links {
    idle: ArcSwap<HashMap<SearcherKey, Idle>>,
    opened: Counter,
    reused: Counter,
}

impl Links {
    /// No connection is open.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Exchanges so far that used a kept connection.
    #[must_use]
    pub fn reused(&self) -> u64 {
        self.reused.get()
    }

    /// Gets a connection that is idle, or opens one by the deadline.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] when the searcher took no connection in time.
    pub async fn checkout(
        &self,
        searcher: &Searcher,
        by: Instant,
    ) -> Result<ReadyLink, ConnectError> {
        if let Some(idle) = self.idle.load().get(&searcher.key()) {
            while let Some(mut connection) = idle.pop() {
                if link::is_usable(&mut connection) {
                    self.reused.inc();
                    return Ok(connection);
                }
            }
        }
        self.opened.inc();
        link::open(searcher.addr(), by).await
    }

    /// Keeps a connection for the next exchange, unless the searcher is
    /// leaving or has enough.
    pub fn put(&self, searcher: &Searcher, connection: ReadyLink) {
        let idle = self.idle_of(searcher.key());
        let open = idle.len() as u32 + searcher.limiter().in_flight();
        if searcher.is_leaving() || open > searcher.connection_share() {
            drop(connection);
        } else {
            // A full queue hands the connection back, and dropping closes it.
            drop(idle.push(connection));
        }
    }

    /// Closes the idle connections of searchers that `is_known` does not
    /// know.
    pub fn retain(&self, is_known: impl Fn(SearcherKey) -> bool) {
        if self.idle.load().keys().all(|key| is_known(*key)) {
            return;
        }
        self.idle.rcu(|idle| {
            let known = idle.iter().filter(|(key, _)| is_known(**key));
            known.map(|(key, idle)| (*key, Arc::clone(idle))).collect::<HashMap<_, _>>()
        });
    }

    fn idle_of(&self, key: SearcherKey) -> Idle {
        if let Some(idle) = self.idle.load().get(&key) {
            return Arc::clone(idle);
        }
        let fresh: Idle = Arc::new(ArrayQueue::new(IDLE_CAPACITY));
        self.idle.rcu(|idle| {
            let mut idle = HashMap::clone(idle);
            idle.entry(key).or_insert_with(|| Arc::clone(&fresh));
            idle
        });
        self.idle.load().get(&key).map_or(fresh, Arc::clone)
    }
}
