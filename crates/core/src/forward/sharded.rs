//! Forwards a query to every shard of a set and merges the greatest records
//! of the replies.
//!
//! A complete answer is sent as soon as every shard has replied. A partial
//! answer is sent at the latency objective or, if it does not cover enough
//! shards by then, as soon as it does. When so many shards have failed that the
//! minimum coverage cannot be reached, the query fails at once.

use std::{collections::HashMap, sync::Arc};

use futures::{
    future::{AbortHandle, Abortable, BoxFuture},
    stream::{FuturesUnordered, StreamExt},
};
use tokio::time::{Instant, sleep_until};

use super::{
    Context, ForwardReply, ForwardTransport, RETRY_AFTER, RelayClient, Reply,
    parts::PartCollector,
    relay::{self, RelayEvent, RelayPlan},
    sub_request::{self, PriorAttempt, SubRequestFailure},
};
use crate::{
    error::{ErrorKind, Failure},
    route::ShardSet,
    sibling::Sibling,
    view::ServiceView,
};

/// The index of a shard in its set, and the result of a sub-request for it.
type SubRequestResult<X> = (usize, Result<Reply<X>, SubRequestFailure<X>>);

/// Forwards a query to every shard of the set.
pub(super) async fn forward<C: ForwardTransport, R: RelayClient<Head = C::Head>>(
    cx: &Context<'_, C>,
    relay: &R,
    siblings: &[Arc<Sibling>],
    set: &ShardSet,
    shards: &[Option<&Arc<ServiceView>>],
) -> Result<ForwardReply<C::ReplyHead>, Failure> {
    let usable = shards.iter().flatten().filter(|s| has_available_searcher(s)).count();
    if usable < set.min_shards() {
        let text = format!("{usable} of {} shards have a searcher", shards.len());
        return Err(Failure::new(ErrorKind::NotRun, text).with_retry_after(RETRY_AFTER));
    }
    let plan = relay::plan_relay(cx, siblings, shards);
    let mut query = ShardedQuery {
        cx,
        shards,
        parts: PartCollector::new(set),
        sub_requests: FuturesUnordered::new(),
        abort_handles: HashMap::new(),
    };
    query.start(plan.as_ref());
    match plan {
        Some(plan) => query.run_with_relay(relay, set, plan).await,
        None => query.run().await,
    }
    let ShardedQuery { parts, sub_requests, .. } = query;
    // Cancels the sub-requests that are still open, also at their searchers.
    drop(sub_requests);
    if parts.has_min_coverage() {
        Ok(ForwardReply::Merged(parts.into_merged()))
    } else {
        Err(parts.into_failure(Instant::now() >= cx.deadline))
    }
}

fn has_available_searcher(service: &ServiceView) -> bool {
    service.searchers().iter().any(|s| !s.is_leaving())
}

/// The open sub-requests of one query, and the parts received so far.
struct ShardedQuery<'a, C: ForwardTransport> {
    cx: &'a Context<'a, C>,
    shards: &'a [Option<&'a Arc<ServiceView>>],
    parts: PartCollector<'a>,
    sub_requests: FuturesUnordered<Abortable<BoxFuture<'a, SubRequestResult<C::ReplyHead>>>>,
    /// Handles by shard index that abort a sub-request once a sibling has sent
    /// the shard's part.
    abort_handles: HashMap<usize, AbortHandle>,
}

impl<'a, C: ForwardTransport> ShardedQuery<'a, C> {
    /// Starts a sub-request for every shard that is not relayed.
    fn start(&mut self, plan: Option<&RelayPlan>) {
        for index in 0..self.shards.len() {
            match plan {
                Some(plan) if plan.shard_indices.contains(&index) => {
                    if let Some(service) = self.shards[index] {
                        sub_request::count_first_attempt(service);
                    }
                    self.parts.begin_relay(index);
                }
                _ => self.start_sub_request(index, PriorAttempt::None),
            }
        }
    }

    fn start_sub_request(&mut self, index: usize, prior: PriorAttempt) {
        let (cx, shard) = (self.cx, self.shards[index]);
        let sub_request = async move { (index, sub_request::send_after(cx, shard, prior).await) };
        let (abort_handle, registration) = AbortHandle::new_pair();
        self.sub_requests.push(Abortable::new(Box::pin(sub_request), registration));
        self.abort_handles.insert(index, abort_handle);
        self.parts.start_sub_request(index);
    }

    fn record_result(&mut self, result: SubRequestResult<C::ReplyHead>) {
        self.parts.finish_sub_request(result.0, result.1);
    }

    /// Receives parts until the query is finished, without a relay.
    async fn run(&mut self) {
        let objective = sleep_until(self.cx.objective_deadline);
        let deadline = sleep_until(self.cx.deadline);
        tokio::pin!(objective, deadline);
        let mut objective_passed = false;
        while !self.is_finished(objective_passed) {
            tokio::select! {
                biased;
                Some(result) = self.sub_requests.next() => {
                    if let Ok(result) = result {
                        self.record_result(result);
                    }
                }
                () = &mut objective, if !objective_passed => objective_passed = true,
                () = &mut deadline => return,
            }
        }
    }

    fn is_finished(&self, objective_passed: bool) -> bool {
        self.parts.is_outcome_final() || (objective_passed && self.parts.has_min_coverage())
    }

    /// Receives parts until the query is finished, some of them through a
    /// sibling. At the hedge delay, this instance sends hedges for the shards
    /// whose parts the sibling has not sent by then.
    async fn run_with_relay<R: RelayClient<Head = C::Head>>(
        &mut self,
        relay: &R,
        set: &ShardSet,
        plan: RelayPlan,
    ) {
        let hedge_at = Instant::now() + self.cx.hedge.delay().unwrap_or_default();
        let hedge_timer = sleep_until(hedge_at);
        let objective = sleep_until(self.cx.objective_deadline);
        let deadline = sleep_until(self.cx.deadline);
        let relay_events = relay::send(self.cx, relay, set, &plan).fuse();
        tokio::pin!(hedge_timer, objective, deadline, relay_events);
        let (mut objective_passed, mut is_hedge_pending) = (false, true);
        while !self.is_finished(objective_passed) {
            tokio::select! {
                biased;
                Some(result) = self.sub_requests.next() => {
                    if let Ok(result) = result {
                        self.record_result(result);
                    }
                }
                Some(event) = relay_events.next() => self.handle_relay_event(event, &plan),
                () = &mut hedge_timer, if is_hedge_pending => {
                    is_hedge_pending = false;
                    self.send_hedges(&plan);
                }
                () = &mut objective, if !objective_passed => objective_passed = true,
                () = &mut deadline => return,
            }
        }
    }

    fn handle_relay_event(&mut self, event: RelayEvent, plan: &RelayPlan) {
        match event {
            RelayEvent::Reply(reply) => {
                for index in self.parts.add_relayed(&plan.shard_indices, &reply) {
                    if let Some(abort_handle) = self.abort_handles.get(&index) {
                        abort_handle.abort();
                    }
                }
                for position in reply.unreached {
                    if let Some(index) = plan.shard_indices.get(usize::from(position)) {
                        self.end_relay(*index, PriorAttempt::CountedUnsent);
                    }
                }
            }
            RelayEvent::End { may_have_run } => {
                for index in plan.shard_indices.iter().copied() {
                    let prior = match may_have_run {
                        true => PriorAttempt::SentInZone(plan.sibling.zone().clone()),
                        false => PriorAttempt::CountedUnsent,
                    };
                    self.end_relay(index, prior);
                }
            }
        }
    }

    /// Records that the sibling sends nothing more for a shard. If the shard
    /// has no part and no open sub-request, starts one from this instance.
    fn end_relay(&mut self, index: usize, prior: PriorAttempt) {
        if self.parts.end_relay(index, prior != PriorAttempt::CountedUnsent) {
            self.start_sub_request(index, prior);
        }
    }

    fn send_hedges(&mut self, plan: &RelayPlan) {
        for index in plan.shard_indices.iter().copied() {
            if self.parts.is_only_relayed(index) {
                self.start_sub_request(
                    index,
                    PriorAttempt::SentInZone(plan.sibling.zone().clone()),
                );
            }
        }
    }
}
