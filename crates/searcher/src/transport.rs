//! The transport that the engine sends sub-requests through.

use std::sync::Arc;

use arc_swap::ArcSwap;
use endivevale_core::{
    connection::{Connection, Ready},
    engine::{LegReply, LegRequest, LostReason, OpenError, Transport},
    gate::Permit,
    searcher::{Searcher, SearcherKey},
};
use slotmap::SecondaryMap;
use tokio::{sync::oneshot, time::Instant};

use crate::{exchange, line::Line, pool::Pool};

type Pools = SecondaryMap<SearcherKey, Arc<Pool>>;

/// Carries sub-requests over kept HTTP/1.1 connections.
#[derive(Debug, Default)]
pub struct HttpTransport {
    /// Replaced as a whole when a pool comes or goes.
    pools: ArcSwap<Pools>,
}

/// A connection that is leased for one exchange.
#[derive(Debug)]
pub struct Lease {
    connection: Connection<Line, Ready>,
    permit: Permit,
    pool: Arc<Pool>,
}

impl HttpTransport {
    /// A transport with no connection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The pool of a searcher, made if there is none.
    pub(crate) fn pool(&self, searcher: &Arc<Searcher>) -> Arc<Pool> {
        if let Some(pool) = self.pools.load().get(searcher.key()) {
            return Arc::clone(pool);
        }
        let fresh = Arc::new(Pool::new(Arc::clone(searcher)));
        self.pools.rcu(|pools| {
            let mut pools = Pools::clone(pools);
            if !pools.contains_key(searcher.key()) {
                pools.insert(searcher.key(), Arc::clone(&fresh));
            }
            pools
        });
        self.pools.load().get(searcher.key()).map_or(fresh, Arc::clone)
    }

    /// Forgets the pools of searchers that are not among these keys.
    pub(crate) fn retain(&self, is_listed: impl Fn(SearcherKey) -> bool) {
        if self.pools.load().keys().all(&is_listed) {
            return;
        }
        self.pools.rcu(|pools| {
            let mut pools = Pools::clone(pools);
            pools.retain(|key, _| is_listed(key));
            pools
        });
    }

    /// The connections open to a searcher.
    #[must_use]
    pub fn open_connections(&self, searcher: &Searcher) -> u32 {
        self.pools.load().get(searcher.key()).map_or(0, |pool| pool.open_count())
    }
}

impl Transport for HttpTransport {
    type Channel = Lease;

    async fn open(
        &self,
        searcher: &Arc<Searcher>,
        permit: Permit,
        by: Instant,
    ) -> Result<Lease, OpenError> {
        let pool = self.pool(searcher);
        let connection = pool.checkout(by).await?;
        Ok(Lease { connection, permit, pool })
    }

    async fn send(&self, lease: Lease, req: LegRequest) -> LegReply {
        let (tx, rx) = oneshot::channel();
        tokio::spawn(exchange::run(lease.connection, lease.permit, lease.pool, req, tx));
        rx.await.unwrap_or(LegReply::Lost(LostReason::Broken))
    }
}
