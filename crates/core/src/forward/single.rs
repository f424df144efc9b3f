//! Forwards a request to one searcher of one service and returns its reply
//! unchanged.

use std::sync::Arc;

use tokio::time::Instant;

use super::{Context, ForwardReply, ForwardTransport, not_run_failure, sub_request};
use crate::{
    error::{ErrorKind, Failure},
    view::ServiceView,
};

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
        return Err(not_run_failure(evidence, "no searcher of the service took the request"));
    }
    Err(match (cx.route.is_idempotent, Instant::now() >= cx.deadline) {
        (false, true) => Failure::new(ErrorKind::OutcomeUnknown, "no reply came in time"),
        (true, true) => Failure::new(ErrorKind::NothingCovered, "no reply came in time"),
        (_, false) => Failure::new(ErrorKind::SearcherFailed, "the exchange broke off"),
    })
}
