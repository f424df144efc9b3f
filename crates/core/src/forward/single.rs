//! Forwards a request to one searcher of one service and returns its reply
//! unchanged.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use super::{Context, ForwardReply, ForwardTransport, RETRY_AFTER, not_run_failure, sub_request};
use crate::{
    error::{ErrorKind, Failure},
    view::ServiceView,
};

/// Returns when a caller should try again: once a searcher has room under the
/// limit that it names and wants requests again, and not before [`RETRY_AFTER`].
fn retry_after(service: Option<&Arc<ServiceView>>) -> Duration {
    let searchers = service.map_or(&[][..], |service| service.searchers());
    let live = searchers.iter().filter(|searcher| !searcher.is_leaving());
    let earliest = live.map(|searcher| searcher.time_to_room()).min();
    earliest.map_or(RETRY_AFTER, |wait| wait.max(RETRY_AFTER))
}

/// Forwards a request to one searcher of the service.
pub(super) async fn forward<C: ForwardTransport>(
    cx: &Context<'_, C>,
    service: Option<&Arc<ServiceView>>,
) -> Result<ForwardReply<C::ReplyHead>, Failure> {
    let failure = match sub_request::send(cx, service).await {
        Ok(reply) => return Ok(ForwardReply::Unmodified(reply)),
        Err(failure) => failure,
    };
    if let Some(reply) = failure.failure_reply {
        return Ok(ForwardReply::Unmodified(reply));
    }
    if let Some(evidence) = failure.evidence.not_run() {
        let failure = not_run_failure(evidence, "no searcher of the service took the request");
        return Err(failure.with_retry_after(retry_after(service)));
    }
    Err(match (cx.route.is_idempotent, Instant::now() >= cx.deadline) {
        (false, true) => Failure::new(ErrorKind::OutcomeUnknown, "no reply came in time"),
        (true, true) => Failure::new(ErrorKind::NothingCovered, "no reply came in time"),
        (_, false) => Failure::new(ErrorKind::SearcherFailed, "the exchange broke off"),
    })
}
