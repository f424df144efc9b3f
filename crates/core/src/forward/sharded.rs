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
    stream::{FuturesUnordered, StreamExt, select_all},
};
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    Context, ForwardReply, ForwardTransport, RETRY_AFTER, RelayClient, Reply,
    parts::PartCollector,
    relay::{self, RelayEvent, RelayTask},
    sub_request::{self, PriorAttempt, SubRequestFailure},
    trace::Event,
};
use crate::{
    error::{ErrorKind, Failure},
    name::SearcherName,
    route::ShardSet,
    view::ServiceView,
};

/// The index of a shard in its set, and the result of a sub-request for it.
type SubRequestResult<X> = (usize, Result<Reply<X>, SubRequestFailure<X>>);

/// Forwards a query to every shard of the set.
pub(super) async fn forward<C: ForwardTransport, R: RelayClient<Head = C::Head>>(
    cx: &Context<'_, C>,
    relay: &R,
    set: &ShardSet,
    shards: &[Option<&Arc<ServiceView>>],
) -> Result<ForwardReply<C::ReplyHead>, Failure> {
    let usable = shards.iter().flatten().filter(|s| has_available_searcher(s)).count();
    if usable < set.min_shards() {
        let text = format!("{usable} of {} shards have a searcher", shards.len());
        return Err(Failure::new(ErrorKind::NotRun, text).with_retry_after(RETRY_AFTER));
    }
    let plans = relay::plan_relays(cx, shards);
    let relays: Vec<_> = plans.into_iter().map(RelayTask::first_attempts).collect();
    let mut query = ShardedQuery {
        cx,
        shards,
        parts: PartCollector::new(set),
        sub_requests: FuturesUnordered::new(),
        abort_handles: HashMap::new(),
    };
    query.start(&relays);
    query.run(relay, set, relays).await;
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
    fn start(&mut self, relays: &[Arc<RelayTask>]) {
        let mut is_relayed = vec![false; self.shards.len()];
        for index in relays.iter().flat_map(|relay| &relay.plan.shard_indices) {
            is_relayed[*index] = true;
        }
        for (index, is_relayed) in is_relayed.into_iter().enumerate() {
            match self.shards[index] {
                Some(service) if is_relayed => {
                    sub_request::count_relayed_attempt(service);
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

    fn is_finished(&self, objective_passed: bool) -> bool {
        self.parts.is_outcome_final() || (objective_passed && self.parts.has_min_coverage())
    }

    /// Receives parts until the query is finished, those of relayed shards through
    /// siblings.
    /// This instance takes over the shards of each sibling whose first reply is
    /// overdue.
    async fn run<R: RelayClient<Head = C::Head>>(
        &mut self,
        relay: &R,
        set: &ShardSet,
        relays: Vec<Arc<RelayTask>>,
    ) {
        let cx = self.cx;
        let open_relay = |task: Arc<RelayTask>| {
            let events = relay::send(cx, relay, set, Arc::clone(&task));
            events.map(move |event| (Arc::clone(&task), event)).boxed()
        };
        let take_over_timer = sleep(relay::overdue_delay(cx));
        let objective = sleep_until(cx.objective_deadline);
        let deadline = sleep_until(cx.deadline);
        let mut events = select_all(relays.iter().cloned().map(open_relay));
        tokio::pin!(take_over_timer, objective, deadline);
        let (mut objective_passed, mut may_take_over) = (false, !relays.is_empty());
        while !self.is_finished(objective_passed) {
            tokio::select! {
                biased;
                Some(result) = self.sub_requests.next() => {
                    if let Ok(result) = result {
                        self.record_result(result);
                    }
                }
                Some((task, event)) = events.next() => self.handle_relay_event(event, &task),
                () = &mut take_over_timer, if may_take_over => {
                    may_take_over = false;
                    let extra = self.take_over_overdue(&relays);
                    events.extend(extra.into_iter().map(open_relay));
                }
                () = &mut objective, if !objective_passed => objective_passed = true,
                () = cx.suspicion.wait_for_condemnation() => return,
                () = &mut deadline => return,
            }
        }
    }

    fn handle_relay_event(&mut self, event: RelayEvent, task: &RelayTask) {
        let shard_indices = &task.plan.shard_indices;
        match event {
            RelayEvent::Reply(reply) => {
                // Crashes and replies were recorded when the reply came.
                self.mark_leaving(shard_indices, &reply.leaving);
                for index in self.parts.add_relayed(shard_indices, &reply) {
                    if let Some(abort_handle) = self.abort_handles.get(&index) {
                        abort_handle.abort();
                    }
                }
                for position in reply.unreached {
                    if let Some(index) = shard_indices.get(usize::from(position)) {
                        self.end_relay(*index, PriorAttempt::CountedUnsent);
                    }
                }
            }
            // The sibling may have used up the attempts that the route allows, or
            // the shards were taken over before.
            RelayEvent::End { .. } if !task.try_take_over() => {
                for index in shard_indices {
                    self.parts.end_relay(*index, true);
                }
            }
            RelayEvent::End { may_have_run } => {
                for index in shard_indices.iter().copied() {
                    self.end_relay(index, task.prior_attempt(may_have_run));
                }
            }
        }
    }

    /// Marks the searchers of these shards that a sibling found to be leaving.
    fn mark_leaving(&self, shard_indices: &[usize], leaving: &[(SearcherName, u64)]) {
        if leaving.is_empty() {
            return;
        }
        let services = shard_indices.iter().filter_map(|index| self.shards[*index]);
        for searcher in services.flat_map(|service| service.searchers()) {
            let is_same = |(name, incarnation): &(SearcherName, u64)| {
                name == searcher.name() && *incarnation == searcher.incarnation()
            };
            if leaving.iter().any(is_same) {
                searcher.mark_leaving();
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

    /// Takes over the shards of each sibling whose first reply is overdue. Returns
    /// the relays of extra attempts through other siblings.
    fn take_over_overdue(&mut self, relays: &[Arc<RelayTask>]) -> Vec<Arc<RelayTask>> {
        let mut overdue = Vec::new();
        for task in relays.iter().filter(|task| task.try_take_over()) {
            let missing = self.only_relayed_shards(task);
            if !missing.is_empty() {
                // All are recorded before the first is taken over, so that none is
                // relayed to a zone that is silent as a whole.
                relay::record_overdue(&task.plan.sibling);
                overdue.push((task, missing));
            }
        }
        overdue.into_iter().flat_map(|(task, missing)| self.take_over(task, &missing)).collect()
    }

    /// Returns the shards of a relay whose parts can come from siblings only.
    fn only_relayed_shards(&self, task: &RelayTask) -> Vec<usize> {
        let shards = task.plan.shard_indices.iter().copied();
        shards.filter(|index| self.parts.is_only_relayed(*index)).collect()
    }

    /// Takes over the missing shards of a silent sibling. Returns the relays of extra
    /// attempts through other siblings; starts a sub-request from this instance for
    /// each shard that is in none of them.
    fn take_over(&mut self, task: &RelayTask, missing: &[usize]) -> Vec<Arc<RelayTask>> {
        let sibling = &task.plan.sibling;
        for service in missing.iter().filter_map(|index| self.shards[*index]) {
            let name = &service.intent().name;
            self.cx.trace.record_relay(name, sibling.name(), Event::AggregatorOverdue);
        }
        sibling.zone_state().stats.taken_over.inc();
        let zone = sibling.zone();
        let plans = relay::plan_take_over(self.cx, self.shards, missing);
        for index in missing.iter().copied() {
            if plans.iter().any(|plan| plan.shard_indices.contains(&index)) {
                self.parts.begin_relay(index);
            } else {
                self.start_sub_request(index, PriorAttempt::SentInZone(zone.clone()));
            }
        }
        let relay_extra = |plan| RelayTask::extra_attempts(plan, zone.clone());
        plans.into_iter().map(relay_extra).collect()
    }
}
