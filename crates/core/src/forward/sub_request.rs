//! One sub-request: sends attempts to the searchers of one service until one
//! succeeds, no further attempt is allowed or the deadline passes.
//!
//! A request that is not idempotent is retried only with evidence that every
//! earlier attempt was not run. An idempotent one may also be retried after an
//! attempt that may have run, and hedged while the first attempt is still open.
//! Every hedge, and every retry after an attempt that reached a searcher or may
//! have, withdraws a token from the service's budget.

use std::sync::Arc;

use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::{Duration, Instant, sleep_until};

use super::{
    Context, ForwardTransport, Reply,
    attempt::{self, AttemptOutcome},
    trace::Event,
};
use crate::{
    attempt::{Attempt, CombinedEvidence},
    id::AttemptId,
    name::ZoneName,
    searcher::Searcher,
    searcher::choice,
    view::ServiceView,
};

/// The number of searchers tried, whether reached or not, after which a
/// sub-request is not retried.
const MAX_TRIES: usize = 6;

/// How much longer a hedge waits if no shard of the request has replied, as a fraction of
/// the hedge delay.
const HEDGE_HOLD_FRACTION: f64 = 0.33;

/// How long a searcher is avoided after it did not reply to any request within
/// the hedge delay. Pauses of a searcher usually end within this time.
const PAUSE_AVOIDANCE: Duration = Duration::from_millis(150);

/// The result of a sub-request without a successful reply.
pub(crate) struct SubRequestFailure<X> {
    /// The last failure reply of a searcher.
    pub(crate) failure_reply: Option<Reply<X>>,
    /// The evidence of whether any attempt may have run.
    pub(crate) evidence: CombinedEvidence,
    /// Whether any attempt reached a searcher, or may have.
    pub(crate) reached_searcher: bool,
}

pub(super) struct SubRequest<'a, C: ForwardTransport> {
    cx: &'a Context<'a, C>,
    service: &'a Arc<ServiceView>,
    prior: PriorAttempt,
    /// The searchers tried so far, in order.
    tried: Vec<Arc<Searcher>>,
    /// The number of ended attempts that reached a searcher, or may have.
    reached_attempts: u32,
    /// The number of open attempts.
    open_attempts: u32,
    evidence: CombinedEvidence,
    failure_reply: Option<Reply<C::ReplyHead>>,
}

/// The attempt for a shard that was made or counted before this sub-request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PriorAttempt {
    /// No attempt was made or counted.
    None,
    /// No attempt was made. A sibling relayed the sub-request to this instance and
    /// keeps [`RELAYING_DEPOSIT`] of its deposit for extra attempts of its own.
    NoneForSibling,
    /// The first attempt has been counted, since a sibling was to send it, but
    /// it has not been sent.
    CountedUnsent,
    /// A sibling sent an attempt to a searcher in this zone, which has not
    /// succeeded so far.
    SentInZone(ZoneName),
}

/// The fraction of the deposit for a relayed first attempt that the instance which
/// relays it keeps. The aggregator, which sends most of the extra attempts, makes
/// the rest of the deposit.
const RELAYING_DEPOSIT: f64 = 0.25;

/// Counts the first attempt for a shard that is relayed to a sibling.
pub(super) fn count_relayed_attempt(service: &ServiceView) {
    service.state().budget.deposit_fraction(RELAYING_DEPOSIT);
    service.state().sub_requests.needed.inc();
}

/// Runs a sub-request for one service.
pub(super) async fn send<C: ForwardTransport>(
    cx: &Context<'_, C>,
    service: Option<&Arc<ServiceView>>,
) -> Result<Reply<C::ReplyHead>, SubRequestFailure<C::ReplyHead>> {
    send_after(cx, service, PriorAttempt::None).await
}

/// Runs a sub-request for one service, given the attempt made before it.
pub(super) async fn send_after<C: ForwardTransport>(
    cx: &Context<'_, C>,
    service: Option<&Arc<ServiceView>>,
    prior: PriorAttempt,
) -> Result<Reply<C::ReplyHead>, SubRequestFailure<C::ReplyHead>> {
    let reached_searcher = matches!(prior, PriorAttempt::SentInZone(_));
    let mut evidence = CombinedEvidence::default();
    if reached_searcher {
        evidence.mark_may_have_run();
    }
    let Some(service) = service else {
        return Err(SubRequestFailure { failure_reply: None, evidence, reached_searcher });
    };
    let reached_attempts = u32::from(reached_searcher);
    let sub_request = SubRequest {
        cx,
        service,
        prior,
        tried: Vec::new(),
        reached_attempts,
        open_attempts: 0,
        evidence,
        failure_reply: None,
    };
    sub_request.run().await
}

impl<'a, C: ForwardTransport> SubRequest<'a, C> {
    async fn run(mut self) -> Result<Reply<C::ReplyHead>, SubRequestFailure<C::ReplyHead>> {
        let started_at = Instant::now();
        let mut open = FuturesUnordered::new();
        match self.first_searcher() {
            Some(first) => open.push(self.start_attempt(first)),
            None => {
                self.record_event(None, Event::NoSearcher);
                return Err(self.into_failure());
            }
        }
        let is_extra = matches!(self.prior, PriorAttempt::SentInZone(_));
        let hedge_at = self.cx.hedge.delay().filter(|_| !is_extra).map(|delay| started_at + delay);
        let slow_timer = sleep_until(hedge_at.unwrap_or(self.cx.deadline));
        let extra_allowed = self.cx.extra_attempts.wait_until(self.cx.deadline);
        tokio::pin!(slow_timer, extra_allowed);
        let mut is_slow = false;
        let mut may_hedge = hedge_at.is_some();
        let mut was_held = false;
        let mut awaits_grant = !self.cx.extra_attempts.are_allowed();
        loop {
            tokio::select! {
                Some(outcome) = open.next() => {
                    self.open_attempts -= 1;
                    if let Some(reply) = self.record_outcome(outcome) {
                        self.cx.state.sub_request_latency.record(started_at.elapsed());
                        return Ok(reply);
                    }
                    if open.is_empty() {
                        self.wait_for_clearance().await;
                        match self.retry_searcher() {
                            Some(next) => open.push(self.start_attempt(next)),
                            None if awaits_grant && self.may_send_another() => {}
                            None => return Err(self.into_failure()),
                        }
                    }
                }
                () = &mut slow_timer, if may_hedge && !is_slow => {
                    if !was_held && self.cx.suspicion.should_hold_hedges() {
                        was_held = true;
                        slow_timer.as_mut().reset(Instant::now() + self.hedge_hold());
                        continue;
                    }
                    is_slow = true;
                    self.note_slow(started_at);
                }
                is_allowed = &mut extra_allowed, if awaits_grant => {
                    awaits_grant = false;
                    if open.is_empty() {
                        match self.retry_searcher().filter(|_| is_allowed) {
                            Some(next) => open.push(self.start_attempt(next)),
                            None => return Err(self.into_failure()),
                        }
                    }
                }
            }
            if is_slow && may_hedge && !awaits_grant && !open.is_empty() {
                may_hedge = false;
                if let Some(next) = self.hedge_searcher() {
                    open.push(self.start_attempt(next));
                }
            }
        }
    }

    /// Returns how much longer a hedge waits if no shard has replied.
    fn hedge_hold(&self) -> Duration {
        self.cx.hedge.delay().unwrap_or_default().mul_f64(HEDGE_HOLD_FRACTION)
    }

    /// Waits, if the request may have crashed a searcher, until that is cleared or the
    /// time for it is over. No attempt must be open.
    async fn wait_for_clearance(&mut self) {
        let suspicion = &self.cx.suspicion;
        let may_retry = self.tried.len() < MAX_TRIES && self.may_send_another();
        if may_retry && !suspicion.wait_for_clearance().await {
            self.record_event(None, Event::Withheld);
        }
    }

    /// Records that the open attempt has not been answered within the hedge delay.
    /// If the searcher has answered nothing since, first attempts avoid it.
    fn note_slow(&self, started_at: Instant) {
        let Some(last) = self.tried.last() else { return };
        if !last.responsiveness().has_replied_since(started_at) {
            last.responsiveness().avoid_for(PAUSE_AVOIDANCE);
        }
        self.record_event(Some(last), Event::Slow);
    }

    fn start_attempt(
        &mut self,
        searcher: Arc<Searcher>,
    ) -> impl Future<Output = AttemptOutcome<C::ReplyHead>> + use<'a, C> {
        self.tried.push(Arc::clone(&searcher));
        self.open_attempts += 1;
        let unsent = Attempt::new(AttemptId::new(self.cx.request_id, self.tried.len() as u32));
        attempt::run(self.cx, self.service, searcher, unsent)
    }

    /// Records how an attempt ended. Returns the reply if it succeeded.
    fn record_outcome(
        &mut self,
        outcome: AttemptOutcome<C::ReplyHead>,
    ) -> Option<Reply<C::ReplyHead>> {
        match outcome {
            AttemptOutcome::Success(reply) => return Some(reply),
            AttemptOutcome::Failure(reply) => {
                self.failure_reply = Some(reply);
                self.evidence.mark_may_have_run();
                self.reached_attempts += 1;
            }
            AttemptOutcome::NotRun(evidence, reached_searcher) => {
                self.evidence.add_not_run(evidence);
                self.reached_attempts += u32::from(reached_searcher);
            }
            AttemptOutcome::NoReply => {
                self.evidence.mark_may_have_run();
                self.reached_attempts += 1;
            }
        }
        None
    }

    fn record_event(&self, searcher: Option<&Arc<Searcher>>, event: Event) {
        attempt::record_event(self.cx, self.service, searcher, event);
    }

    /// Returns the searcher for the first attempt of this sub-request. If a
    /// sibling has sent one before, this one is an extra attempt and withdraws a
    /// token from the budget.
    fn first_searcher(&mut self) -> Option<Arc<Searcher>> {
        let state = self.service.state();
        match self.prior {
            PriorAttempt::None => {
                state.budget.deposit();
                state.sub_requests.needed.inc();
                return self.choose();
            }
            PriorAttempt::NoneForSibling => {
                state.budget.deposit_fraction(1.0 - RELAYING_DEPOSIT);
                return self.choose();
            }
            PriorAttempt::CountedUnsent => return self.choose(),
            PriorAttempt::SentInZone(_) => {}
        }
        if !self.may_send_another() || !self.cx.suspicion.allows_extra_attempts() {
            return None;
        }
        let first = self.choose()?;
        if !state.budget.try_withdraw() {
            self.record_event(None, Event::OverBudget);
            return None;
        }
        state.sub_requests.retried.inc();
        Some(first)
    }

    /// Chooses a searcher that has not been tried. After an attempt that a
    /// sibling sent, prefers responsive searchers outside of that zone.
    fn choose(&self) -> Option<Arc<Searcher>> {
        let searchers = self.service.searchers();
        if let PriorAttempt::SentInZone(zone) = &self.prior {
            let elsewhere =
                searchers.iter().filter(|s| s.zone() != zone && choice::is_responsive(s));
            let elsewhere: Vec<_> = elsewhere.cloned().collect();
            let chosen = choice::choose_searcher(&elsewhere, &self.tried, self.cx.zone);
            if chosen.is_some() {
                return chosen;
            }
        }
        choice::choose_searcher(searchers, &self.tried, self.cx.zone)
    }

    /// Returns whether the route's attempt limit and the deadline allow one
    /// more attempt.
    fn may_send_another(&self) -> bool {
        self.reached_attempts + self.open_attempts < self.cx.route.max_attempts
            && Instant::now() < self.cx.deadline
    }

    /// Returns the searcher for a hedge, if the budget allows one and the searcher
    /// chosen is responsive and has a permit available.
    fn hedge_searcher(&mut self) -> Option<Arc<Searcher>> {
        let are_allowed =
            self.cx.extra_attempts.are_allowed() && self.cx.suspicion.allows_extra_attempts();
        if !self.may_send_another() || !are_allowed {
            return None;
        }
        let next = self
            .choose()
            .filter(|s| choice::is_responsive(s) && s.limiter().has_available_permit())?;
        let state = self.service.state();
        if !state.budget.try_withdraw() {
            self.record_event(None, Event::OverBudget);
            return None;
        }
        state.sub_requests.hedged.inc();
        Some(next)
    }

    /// Returns the searcher for a retry, once no attempt is open.
    fn retry_searcher(&mut self) -> Option<Arc<Searcher>> {
        if self.tried.len() >= MAX_TRIES || !self.may_send_another() {
            return None;
        }
        let may_run_again = self.cx.route.is_idempotent
            && self.cx.extra_attempts.are_allowed()
            && self.cx.suspicion.allows_extra_attempts();
        if !may_run_again && self.evidence.not_run().is_none() {
            return None;
        }
        let next = self.choose()?;
        let state = self.service.state();
        // Attempts that reached no searcher added no load, so the retry counts
        // as the first attempt and does not withdraw from the budget.
        if self.reached_attempts > 0 && !state.budget.try_withdraw() {
            self.record_event(None, Event::OverBudget);
            return None;
        }
        state.sub_requests.retried.inc();
        Some(next)
    }

    fn into_failure(self) -> SubRequestFailure<C::ReplyHead> {
        let reached_searcher = self.reached_attempts > 0;
        SubRequestFailure {
            failure_reply: self.failure_reply,
            evidence: self.evidence,
            reached_searcher,
        }
    }
}
