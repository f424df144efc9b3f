//! A query to every shard of a set, answered with the greatest records.
//!
//! A whole answer leaves at once. At the latency objective an answer leaves
//! in part if it covers enough; after it, as soon as it does. When too many
//! shards have failed for any answer, the caller is told at once.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::{Instant, sleep_until};

use super::{Carrier, Context, Merged, Outbound, Reply, leg, refusal};
use crate::{
    attempt::Evidence,
    error::{ErrorKind, Failure},
    records,
    route::ShardSet,
    view::ServiceView,
};

/// The parts of a query while they come in.
struct Gathering<'a> {
    set: &'a ShardSet,
    bodies: Vec<Bytes>,
    /// Invariant: one for each of `bodies`.
    signatures: Vec<Arc<str>>,
    failed: usize,
    evidence: Evidence,
}

impl<'a> Gathering<'a> {
    fn new(set: &'a ShardSet) -> Self {
        Self {
            set,
            bodies: Vec::with_capacity(set.shards.len()),
            signatures: Vec::with_capacity(set.shards.len()),
            failed: 0,
            evidence: Evidence::default(),
        }
    }

    fn take<X>(&mut self, end: Result<Reply<X>, leg::Miss<X>>) {
        match end {
            Ok(Reply { signature: Some(signature), body, .. }) => {
                self.signatures.push(signature);
                self.bodies.push(body);
            }
            // A reply without a signature is not a part.
            Ok(_) => self.fail(false),
            Err(miss) => self.fail(miss.evidence.whole().is_some()),
        }
    }

    const fn fail(&mut self, is_not_run: bool) {
        self.failed += 1;
        if !is_not_run {
            self.evidence.may_have_run();
        }
    }

    fn covers_enough(&self) -> bool {
        self.signatures.len() >= self.set.least_shards()
    }

    /// Whether nothing that may still come changes the outcome.
    fn is_decided(&self) -> bool {
        let total = self.set.shards.len();
        self.signatures.len() + self.failed == total
            || total - self.failed < self.set.least_shards()
    }

    fn into_merged(self) -> Merged {
        Merged {
            body: records::greatest(&self.bodies, self.set.top),
            missing: self.set.shards.len() - self.signatures.len(),
            signatures: self.signatures,
        }
    }

    fn into_failure(self, is_late: bool) -> Failure {
        let (have, least) = (self.signatures.len(), self.set.least_shards());
        let text =
            format!("{have} of {} shards answered, {least} are needed", self.set.shards.len());
        // A leg that is still open, or whose part is dropped, may have run.
        let is_over = self.failed == self.set.shards.len();
        if is_over && let Some(evidence) = self.evidence.whole() {
            return refusal(evidence, &text);
        }
        let kind = if is_late { ErrorKind::NothingCovered } else { ErrorKind::SearcherFailed };
        Failure::new(kind, text)
    }
}

/// Forwards a query to every shard of the set.
pub(super) async fn forward<C: Carrier>(
    cx: &Context<'_, C>,
    set: &ShardSet,
    shards: &[Option<&Arc<ServiceView>>],
) -> Result<Outbound<C::ReplyHead>, Failure> {
    let usable = shards.iter().flatten().filter(|s| has_searcher(s)).count();
    if usable < set.least_shards() {
        let text = format!("{usable} of {} shards have a searcher", shards.len());
        return Err(Failure::new(ErrorKind::NotRun, text).retry_after(super::RETRY_AFTER));
    }
    let mut gathering = Gathering::new(set);
    let mut legs: FuturesUnordered<_> = shards.iter().map(|shard| leg::ask(cx, *shard)).collect();
    let objective = sleep_until(cx.in_time_by);
    let last = sleep_until(cx.by);
    tokio::pin!(objective, last);
    let mut is_late = false;
    loop {
        tokio::select! {
            biased;
            Some(end) = legs.next() => gathering.take(end),
            () = &mut objective, if !is_late => is_late = true,
            () = &mut last => break,
        }
        if gathering.is_decided() || (is_late && gathering.covers_enough()) {
            break;
        }
    }
    drop(legs);
    if gathering.covers_enough() {
        Ok(Outbound::Merged(gathering.into_merged()))
    } else {
        Err(gathering.into_failure(Instant::now() >= cx.by))
    }
}

fn has_searcher(service: &ServiceView) -> bool {
    service.searchers().iter().any(|s| !s.is_leaving())
}
