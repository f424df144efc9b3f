//! A query to every shard of a set, answered with the greatest records.
//!
//! A whole answer leaves at once. At the latency objective an answer leaves
//! in part if it covers enough; after it, as soon as it does. When too many
//! shards have failed for any answer, the caller is told at once.

use std::{collections::HashMap, sync::Arc};

use futures::{
    future::{AbortHandle, Abortable, BoxFuture},
    stream::{FuturesUnordered, StreamExt},
};
use tokio::time::{Instant, sleep_until};

use super::{
    Carrier, Context, Outbound, RETRY_AFTER, Relay, Reply,
    leg::{self, Before, Miss},
    parts::Parts,
    relay::{self, Plan, Step},
};
use crate::{
    error::{ErrorKind, Failure},
    route::ShardSet,
    sibling::Sibling,
    view::ServiceView,
};

type LegEnd<X> = (usize, Result<Reply<X>, Miss<X>>);

/// Forwards a query to every shard of the set.
pub(super) async fn forward<C: Carrier, R: Relay<Head = C::Head>>(
    cx: &Context<'_, C>,
    relay: &R,
    siblings: &[Arc<Sibling>],
    set: &ShardSet,
    shards: &[Option<&Arc<ServiceView>>],
) -> Result<Outbound<C::ReplyHead>, Failure> {
    let usable = shards.iter().flatten().filter(|s| has_searcher(s)).count();
    if usable < set.least_shards() {
        let text = format!("{usable} of {} shards have a searcher", shards.len());
        return Err(Failure::new(ErrorKind::NotRun, text).retry_after(RETRY_AFTER));
    }
    let plan = relay::plan(cx, siblings, shards);
    let mut gathering = Gathering {
        cx,
        shards,
        parts: Parts::new(set),
        legs: FuturesUnordered::new(),
        aborts: HashMap::new(),
    };
    gathering.begin(plan.as_ref());
    match plan {
        Some(plan) => gathering.run_relayed(relay, set, plan).await,
        None => gathering.run().await,
    }
    let Gathering { parts, legs, .. } = gathering;
    // What is still open ends here, also at the searchers.
    drop(legs);
    if parts.cover_enough() {
        Ok(Outbound::Merged(parts.into_merged()))
    } else {
        Err(parts.into_failure(Instant::now() >= cx.by))
    }
}

fn has_searcher(service: &ServiceView) -> bool {
    service.searchers().iter().any(|s| !s.is_leaving())
}

/// The legs of one query, and the parts that they brought.
struct Gathering<'a, C: Carrier> {
    cx: &'a Context<'a, C>,
    shards: &'a [Option<&'a Arc<ServiceView>>],
    parts: Parts<'a>,
    legs: FuturesUnordered<Abortable<BoxFuture<'a, LegEnd<C::ReplyHead>>>>,
    /// Ends the leg of a shard whose part has come from a sibling.
    aborts: HashMap<usize, AbortHandle>,
}

impl<'a, C: Carrier> Gathering<'a, C> {
    /// Asks every shard that the plan leaves.
    fn begin(&mut self, plan: Option<&Plan>) {
        for place in 0..self.shards.len() {
            match plan {
                Some(plan) if plan.places.contains(&place) => {
                    if let Some(service) = self.shards[place] {
                        leg::count_first(service);
                    }
                    self.parts.begin_relay(place);
                }
                _ => self.ask(place, Before::Nothing),
            }
        }
    }

    fn ask(&mut self, place: usize, before: Before) {
        let (cx, shard) = (self.cx, self.shards[place]);
        let leg = async move { (place, leg::ask_after(cx, shard, before).await) };
        let (abort, registration) = AbortHandle::new_pair();
        self.legs.push(Abortable::new(Box::pin(leg), registration));
        self.aborts.insert(place, abort);
        self.parts.begin_leg(place);
    }

    fn take(&mut self, end: LegEnd<C::ReplyHead>) {
        self.parts.end_leg(end.0, end.1);
    }

    /// Gathers without a sibling.
    async fn run(&mut self) {
        let objective = sleep_until(self.cx.in_time_by);
        let last = sleep_until(self.cx.by);
        tokio::pin!(objective, last);
        let mut is_late = false;
        while !self.is_over(is_late) {
            tokio::select! {
                biased;
                Some(end) = self.legs.next() => {
                    if let Ok(end) = end {
                        self.take(end);
                    }
                }
                () = &mut objective, if !is_late => is_late = true,
                () = &mut last => return,
            }
        }
    }

    fn is_over(&self, is_late: bool) -> bool {
        self.parts.are_decided() || (is_late && self.parts.cover_enough())
    }

    /// Gathers with a sibling's help. When second attempts begin, the shards
    /// that the sibling has not brought get theirs from this instance.
    async fn run_relayed<R: Relay<Head = C::Head>>(
        &mut self,
        relay: &R,
        set: &ShardSet,
        plan: Plan,
    ) {
        let second_at = Instant::now() + self.cx.hedge.delay().unwrap_or_default();
        let second = sleep_until(second_at);
        let objective = sleep_until(self.cx.in_time_by);
        let last = sleep_until(self.cx.by);
        let steps = relay::ask(self.cx, relay, set, &plan).fuse();
        tokio::pin!(second, objective, last, steps);
        let (mut is_late, mut is_second_due) = (false, true);
        while !self.is_over(is_late) {
            tokio::select! {
                biased;
                Some(end) = self.legs.next() => {
                    if let Ok(end) = end {
                        self.take(end);
                    }
                }
                Some(step) = steps.next() => self.take_step(step, &plan),
                () = &mut second, if is_second_due => {
                    is_second_due = false;
                    self.second_attempts(&plan);
                }
                () = &mut objective, if !is_late => is_late = true,
                () = &mut last => return,
            }
        }
    }

    fn take_step(&mut self, step: Step, plan: &Plan) {
        match step {
            Step::Answer(answer) => {
                for place in self.parts.take_relayed(&plan.places, &answer) {
                    if let Some(abort) = self.aborts.get(&place) {
                        abort.abort();
                    }
                }
                for at in answer.unasked {
                    if let Some(place) = plan.places.get(usize::from(at)) {
                        self.end_relay(*place, Before::Unasked);
                    }
                }
            }
            Step::End { may_have_run } => {
                for place in plan.places.iter().copied() {
                    let before = match may_have_run {
                        true => Before::AttemptIn(plan.sibling.zone().clone()),
                        false => Before::Unasked,
                    };
                    self.end_relay(place, before);
                }
            }
        }
    }

    /// The sibling does no more for a shard; nobody else may work on it.
    fn end_relay(&mut self, place: usize, before: Before) {
        if self.parts.end_relay(place, before != Before::Unasked) {
            self.ask(place, before);
        }
    }

    fn second_attempts(&mut self, plan: &Plan) {
        for place in plan.places.iter().copied() {
            if self.parts.is_only_relayed(place) {
                self.ask(place, Before::AttemptIn(plan.sibling.zone().clone()));
            }
        }
    }
}
