//! One leg of a query: one shard, asked until it has a part, a reason or no
//! time left.
//!
//! A request that must not be repeated is sent again only on the evidence
//! that the attempt before was not run. A repeatable one may also be sent
//! again after a loss, and a second time while the first is still open; both
//! draw on the service's budget.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::{LegReply, LegRequest, LostReason, OpenError, Transport};
use crate::{
    answer::{MissReason, Part},
    attempt::{Attempt, NotRun, Refusal, Unsent},
    gate::Permit,
    id::AttemptId,
    intent::Objective,
    layout::{IndexVersion, ShardId},
    policy::Policy,
    query::{Miss, Request},
    routing::Router,
    searcher::Searcher,
    view::ServiceView,
};

/// The most attempts of one leg.
const MAX_ATTEMPTS: usize = 4;

/// How long a searcher is passed over after an exchange with it was lost.
const LOST_EJECTION: Duration = Duration::from_millis(250);

/// How long a searcher is passed over after it took no connection.
const CONNECT_EJECTION: Duration = Duration::from_millis(500);

/// How long a searcher is passed over after an exchange with it was given up.
const SLOW_EJECTION: Duration = Duration::from_millis(200);

/// Under the coverage objective a second attempt waits this many times
/// longer than under the tail objective.
const COVERAGE_PATIENCE: u32 = 2;

/// Numbers the attempts of one request.
#[derive(Debug, Default)]
pub(super) struct AttemptNumbers(AtomicU32);

impl AttemptNumbers {
    pub(super) fn next(&self) -> u32 {
        self.0.fetch_add(1, Ordering::Relaxed)
    }
}

/// What the legs of one query share.
pub(super) struct Context<T> {
    pub(super) transport: Arc<T>,
    pub(super) router: Router,
    pub(super) service: Arc<ServiceView>,
    pub(super) req: Arc<Request>,
    pub(super) version: IndexVersion,
    pub(super) by: Instant,
    pub(super) objective: Objective,
    pub(super) policy: Policy,
    pub(super) numbers: Arc<AttemptNumbers>,
}

impl<T> Context<T> {
    fn fresh_attempt(&self) -> Attempt<Unsent> {
        Attempt::new(AttemptId::new(self.req.id, self.numbers.next()))
    }
}

/// How one attempt ended.
enum Outcome {
    Part(Part),
    NotRun(NotRun, MissReason),
    Lost,
}

/// What one shard came to.
pub(super) type Taken = (ShardId, Result<Part, Miss>);

/// Asks several shards at once.
pub(super) async fn ask_all<T: Transport>(cx: Arc<Context<T>>, shards: Vec<ShardId>) -> Vec<Taken> {
    let legs: FuturesUnordered<_> = shards.iter().map(|shard| ask(&cx, *shard)).collect();
    legs.collect().await
}

async fn ask<T: Transport>(cx: &Context<T>, shard: ShardId) -> Taken {
    let leg = Leg { cx, shard, tried: Vec::new(), refusal: None, is_lost: false };
    (shard, leg.run().await)
}

struct Leg<'a, T> {
    cx: &'a Context<T>,
    shard: ShardId,
    /// The searchers asked so far, in order.
    tried: Vec<Arc<Searcher>>,
    /// Why the last attempt was not run, with the evidence.
    refusal: Option<(NotRun, MissReason)>,
    /// Whether some attempt may have run and has no reply.
    is_lost: bool,
}

impl<'a, T: Transport> Leg<'a, T> {
    async fn run(mut self) -> Result<Part, Miss> {
        let Some(first) = self.choose() else { return Err(self.into_miss()) };
        self.cx.service.state().budget.deposit();
        let mut open = FuturesUnordered::new();
        open.push(self.start(first, None));
        let hedge = sleep_until(self.hedge_at());
        tokio::pin!(hedge);
        let mut may_hedge = self.cx.req.repeatable && self.cx.policy.hedging;
        loop {
            tokio::select! {
                Some(outcome) = open.next() => {
                    match outcome {
                        Outcome::Part(part) => return Ok(part),
                        Outcome::NotRun(evidence, reason) => self.refusal = Some((evidence, reason)),
                        Outcome::Lost => self.is_lost = true,
                    }
                    if open.is_empty() {
                        let Some(next) = self.next_after_end() else { return Err(self.into_miss()) };
                        open.push(self.start(next, None));
                    }
                }
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    if let Some((next, permit)) = self.hedge() {
                        open.push(self.start(next, Some(permit)));
                    }
                }
            }
        }
    }

    fn start(
        &mut self,
        searcher: Arc<Searcher>,
        permit: Option<Permit>,
    ) -> impl Future<Output = Outcome> + Send + use<'a, T> {
        self.tried.push(Arc::clone(&searcher));
        attempt(self.cx, self.shard, searcher, permit)
    }

    /// When a second attempt may be sent.
    fn hedge_at(&self) -> Instant {
        let delay = self.cx.service.state().hedge_delay.get();
        let patience = match self.cx.objective {
            Objective::Tail => 1,
            Objective::Coverage => COVERAGE_PATIENCE,
        };
        Instant::now() + delay * patience
    }

    /// A second searcher that is free now, if the budget allows one.
    fn hedge(&mut self) -> Option<(Arc<Searcher>, Permit)> {
        let other = self.choose()?;
        let permit = other.gate().try_enter()?;
        let state = self.cx.service.state();
        if !state.budget.try_withdraw() {
            return None;
        }
        state.legs.hedged.inc();
        Some((other, permit))
    }

    /// The searcher for another try, after every open attempt has ended.
    fn next_after_end(&mut self) -> Option<Arc<Searcher>> {
        if self.tried.len() >= MAX_ATTEMPTS || Instant::now() >= self.cx.by {
            return None;
        }
        if self.is_lost && !self.cx.req.repeatable {
            return None;
        }
        let next = self.choose()?;
        let state = self.cx.service.state();
        // A refusal cost the searchers no work, so a retry after it is free.
        if self.is_lost && !state.budget.try_withdraw() {
            return None;
        }
        state.legs.retried.inc();
        Some(next)
    }

    fn choose(&self) -> Option<Arc<Searcher>> {
        let version = self.cx.version;
        let generation = self.cx.service.layout().generation(version.generation())?;
        let replicas = generation.replicas(self.shard);
        self.cx.router.choose(replicas, &self.tried, |s| s.holds(version))
    }

    /// Why the leg has no part.
    fn into_miss(self) -> Miss {
        if self.is_lost {
            return Miss::Unknown(match self.cx.req.repeatable {
                false => MissReason::OutcomeUnknown,
                true if Instant::now() >= self.cx.by => MissReason::TimedOut,
                true => MissReason::Failed,
            });
        }
        match self.refusal {
            Some((evidence, reason)) => Miss::NotRun(evidence, reason),
            None => Miss::NotRun(self.cx.fresh_attempt().not_run(), MissReason::NoReplica),
        }
    }
}

/// Makes one attempt: a place behind the gate, a connection, one exchange.
async fn attempt<T: Transport>(
    cx: &Context<T>,
    shard: ShardId,
    searcher: Arc<Searcher>,
    permit: Option<Permit>,
) -> Outcome {
    let unsent = cx.fresh_attempt();
    let permit = match permit {
        Some(permit) => permit,
        None => match searcher.gate().enter(cx.req.rank, cx.by).await {
            Some(permit) => permit,
            None => return Outcome::NotRun(unsent.not_run(), MissReason::NotSent),
        },
    };
    match cx.transport.open(&searcher, permit, cx.by).await {
        Ok(channel) => exchange(cx, shard, &searcher, unsent, channel).await,
        Err(OpenError::TimedOut) => Outcome::NotRun(unsent.not_run(), MissReason::NotSent),
        Err(OpenError::Refused) => {
            searcher.stats().connect_refused.inc();
            searcher.eject_for(CONNECT_EJECTION);
            Outcome::NotRun(unsent.not_run(), MissReason::Refused)
        }
    }
}

async fn exchange<T: Transport>(
    cx: &Context<T>,
    shard: ShardId,
    searcher: &Arc<Searcher>,
    unsent: Attempt<Unsent>,
    channel: T::Channel,
) -> Outcome {
    let began = Instant::now();
    // A searcher that was seen leaving while this attempt waited gets no new
    // work, and work that has expired is dropped before sending.
    if began >= cx.by || searcher.is_leaving() {
        return Outcome::NotRun(unsent.not_run(), MissReason::NotSent);
    }
    let req = LegRequest {
        attempt: unsent.id(),
        service: cx.service.intent().name.clone(),
        shard,
        version: cx.version,
        by: cx.by,
        body: cx.req.body.clone(),
    };
    cx.service.state().legs.sent.inc();
    searcher.stats().sent.inc();
    let sent = unsent.send();
    let mut timing = Timing { searcher, began, is_over: false };
    let reply = timeout_at(cx.by, cx.transport.send(channel, req)).await;
    timing.is_over = reply.is_ok();
    drop(timing);
    match reply.unwrap_or(LegReply::Lost(LostReason::TimedOut)) {
        // A part of another snapshot or shard answers something else.
        LegReply::Part(part) if part.version != cx.version || part.shard != shard => {
            drop(sent.settle());
            record_loss(cx, searcher, LostReason::Malformed);
            Outcome::Lost
        }
        LegReply::Part(part) => {
            drop(sent.settle());
            record_part(cx, searcher, began);
            Outcome::Part(part)
        }
        LegReply::Refused(id) => refused(searcher, sent, id, MissReason::Refused),
        LegReply::NotHeld(id) => refused(searcher, sent, id, MissReason::VersionGone),
        LegReply::Lost(why) => {
            drop(sent.settle());
            record_loss(cx, searcher, why);
            Outcome::Lost
        }
    }
}

/// Times one exchange. One that is given up, since another attempt was faster
/// or the deadline passed, counts with the time it took so far: otherwise a
/// slow searcher would not show, because nobody waits for it to the end.
struct Timing<'a> {
    searcher: &'a Searcher,
    began: Instant,
    is_over: bool,
}

impl Drop for Timing<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.searcher.record_given_up(self.began.elapsed());
            self.searcher.eject_for(SLOW_EJECTION);
        }
    }
}

fn refused(
    searcher: &Searcher,
    sent: Attempt<crate::attempt::Sent>,
    id: AttemptId,
    reason: MissReason,
) -> Outcome {
    searcher.stats().refused.inc();
    match sent.refused(&Refusal::of(id)) {
        Ok(unsent) => Outcome::NotRun(unsent.not_run(), reason),
        Err(sent) => {
            drop(sent.settle());
            Outcome::Lost
        }
    }
}

fn record_part<T>(cx: &Context<T>, searcher: &Searcher, began: Instant) {
    let latency = began.elapsed();
    searcher.stats().parts.inc();
    searcher.forgive();
    searcher.record_latency(latency);
    cx.service.state().hedge_delay.record(latency);
}

fn record_loss<T>(cx: &Context<T>, searcher: &Searcher, why: LostReason) {
    searcher.stats().failed.inc();
    if why == LostReason::Crossed {
        cx.service.state().legs.crossed.inc();
    }
    if why != LostReason::TimedOut {
        searcher.eject_for(LOST_EJECTION);
    }
}
