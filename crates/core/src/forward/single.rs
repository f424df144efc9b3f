//! A request to one searcher of one service, whose reply passes unchanged.

use std::sync::Arc;

use tokio::time::Instant;

use super::{Carrier, Context, Outbound, leg, refusal};
use crate::{
    error::{ErrorKind, Failure},
    view::ServiceView,
};

/// Forwards a request to one searcher.
pub(super) async fn forward<C: Carrier>(
    cx: &Context<'_, C>,
    service: Option<&Arc<ServiceView>>,
) -> Result<Outbound<C::ReplyHead>, Failure> {
    let miss = match leg::ask(cx, service).await {
        Ok(reply) => return Ok(Outbound::Whole(reply)),
        Err(miss) => miss,
    };
    if let Some(failure) = miss.failure {
        return Ok(Outbound::Whole(failure));
    }
    if let Some(evidence) = miss.evidence.whole() {
        return Err(refusal(evidence, "no searcher of the service took the request"));
    }
    Err(match (cx.route.is_idempotent, Instant::now() >= cx.by) {
        (false, true) => Failure::new(ErrorKind::OutcomeUnknown, "no reply came in time"),
        (true, true) => Failure::new(ErrorKind::NothingCovered, "no reply came in time"),
        (_, false) => Failure::new(ErrorKind::SearcherFailed, "the exchange broke off"),
    })
}
