//! One exchange on one connection, from the first byte to the connection's
//! return or end.
//!
//! The exchange runs in a task of its own: when nobody waits for the reply
//! any more, the searcher is told to stop and the connection is drained, so
//! that it need not be opened anew.

use std::{sync::Arc, time::Duration};

use endivevale_core::{
    connection::{Connection, Ready},
    engine::{LegReply, LegRequest, LostReason},
    gate::Permit,
};
use reqwest::{Method, header::CONTENT_TYPE};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    line::{Line, PROBE_TIMEOUT},
    pool::Pool,
    protocol::{self, Head},
};

/// How long a cancelled exchange may take to end before its connection is
/// closed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs the exchange and gives back the connection and then the permit.
pub(crate) async fn run(
    connection: Connection<Line, Ready>,
    permit: Permit,
    pool: Arc<Pool>,
    req: LegRequest,
    mut tx: oneshot::Sender<LegReply>,
) {
    let outcome = {
        let exchange = exchange(connection.channel(), &pool, &req);
        tokio::pin!(exchange);
        tokio::select! {
            reply = &mut exchange => Some(reply),
            () = tx.closed() => {
                cancel(&pool, &req).await;
                timeout(DRAIN_TIMEOUT, exchange).await.ok()
            }
        }
    };
    match &outcome {
        Some(LegReply::Lost(_)) => drop(connection),
        Some(_) => pool.put(connection.refreshed()),
        None => {
            // Neither a reply nor an end came: the connection is silent.
            pool.searcher().stats().silent.inc();
            drop(connection.silent());
        }
    }
    pool.closed();
    drop(permit);
    if let Some(reply) = outcome {
        // A receiver that has gone leaves nothing to tell.
        drop(tx.send(reply));
    }
}

async fn exchange(line: &Line, pool: &Pool, req: &LegRequest) -> LegReply {
    let left = req.by.saturating_duration_since(Instant::now());
    let sending = line
        .request(Method::POST, &protocol::shard_path(req.version, req.shard))
        .header(protocol::ATTEMPT, req.attempt.to_string())
        .header(protocol::INDEX_VERSION, req.version.to_string())
        .header(protocol::DEADLINE_MS, left.as_millis().to_string())
        .header(CONTENT_TYPE, "application/octet-stream")
        .body(req.body.clone())
        .send();
    let res = match sending.await {
        Ok(res) => res,
        // Without a connection not one byte was written.
        Err(e) if e.is_connect() => return LegReply::Refused(req.attempt),
        Err(_) => return LegReply::Lost(LostReason::Broken),
    };
    let head = protocol::read_head(req, res.status(), res.headers());
    pool.searcher().observe(protocol::read_news(res.headers()));
    let body = match res.bytes().await {
        Ok(body) => body,
        Err(_) => return LegReply::Lost(LostReason::Broken),
    };
    match head {
        Head::Reply(reply) => reply,
        Head::Part(version, kind) => LegReply::Part(protocol::part(req, version, kind, body)),
    }
}

/// Tells the searcher to stop, on another connection if one is idle: opening
/// one for this would cost the searcher more than it saves.
async fn cancel(pool: &Arc<Pool>, req: &LegRequest) {
    let Some(connection) = pool.take_any() else { return };
    let by = Instant::now() + PROBE_TIMEOUT;
    let exchange = async {
        let path = protocol::attempt_path(req.attempt);
        let res = connection.channel().request(Method::DELETE, &path).send().await?;
        res.bytes().await
    };
    match timeout_at(by, exchange).await {
        Ok(Ok(_)) => pool.put(connection.refreshed()),
        _ => {
            drop(connection);
            pool.closed();
        }
    }
}
