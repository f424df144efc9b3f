//! One attempt of a sub-request at one searcher: acquires a permit from the
//! searcher's concurrency limiter, opens a connection, carries out one
//! exchange and records its outcome and latency in the searcher's health.
//!
//! The attempt's typestate guarantees that "not run" is never reported by
//! mistake: only an attempt that was not handed to a connection, or that the
//! searcher says it did not run, ends as [`AttemptOutcome::NotRun`].

use std::sync::Arc;

use tokio::time::{Duration, Instant, timeout_at};

use super::{
    ConnectError, Context, ExchangeOutcome, ForwardTransport, LossReason, RejectionReason, Reply,
    trace::Event,
};
use crate::{
    attempt::{Attempt, NotRun, Rejection, Sent, Unsent},
    id::AttemptId,
    intent::Rank,
    quantile_estimator::QuantileEstimator,
    quarantine::CrashedSearcher,
    searcher::Searcher,
    searcher::concurrency_limiter::Permit,
    view::ServiceView,
};

/// How long a searcher is ejected after it could not be connected to.
const CONNECT_EJECTION: Duration = Duration::from_millis(400);

/// How long to wait for a searcher that has closed a connection to accept or refuse
/// another one.
const GONE_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// How long a searcher is ejected after repeated failures: failed requests, or
/// exchanges that ended without a reply. A single failure does not eject it.
const FAILED_EJECTION: Duration = Duration::from_millis(100);

/// How long a searcher is avoided after it rejected a request because it had no
/// capacity.
const FULL_AVOIDANCE: Duration = Duration::from_millis(50);

/// How long before the latency objective an attempt must start to meet it,
/// as a multiple of the route's typical exchange time.
const START_MARGIN_FACTOR: f64 = 1.5;

/// An abandoned exchange counts as a failure of its searcher if it was open
/// for longer than this multiple of the route's typical exchange time.
const SLOW_FACTOR: u32 = 2;

/// How long a searcher is ejected after repeated failures when the last one
/// was a slow exchange that was abandoned.
const SLOW_EJECTION: Duration = Duration::from_millis(200);

/// How one attempt ended.
pub(super) enum AttemptOutcome<X> {
    /// The searcher ran the request and succeeded.
    Success(Reply<X>),
    /// The searcher ran the request and failed.
    Failure(Reply<X>),
    /// The request was not run. The flag is true if it reached the searcher,
    /// which rejected it.
    NotRun(NotRun, bool),
    /// The request may have run, and no reply came.
    NoReply,
}

/// Records an event in the request's trace.
pub(super) fn record_event<C: ForwardTransport>(
    cx: &Context<'_, C>,
    service: &ServiceView,
    searcher: Option<&Arc<Searcher>>,
    event: Event,
) {
    cx.trace.record(&service.intent().name, searcher.map(|s| s.name()), event);
}

/// Makes one attempt: acquires a permit, opens a connection and carries out
/// one exchange.
pub(super) async fn run<C: ForwardTransport>(
    cx: &Context<'_, C>,
    service: &Arc<ServiceView>,
    searcher: Arc<Searcher>,
    unsent: Attempt<Unsent>,
) -> AttemptOutcome<C::ReplyHead> {
    let Some(permit) = acquire_permit(cx, &searcher).await else {
        record_event(cx, service, Some(&searcher), Event::NoPermit);
        return AttemptOutcome::NotRun(unsent.not_run(), false);
    };
    let channel = match cx.transport.open(&searcher, cx.deadline).await {
        Ok(channel) => channel,
        Err(reason) => {
            searcher.stats().connect_refused.inc();
            record_event(cx, service, Some(&searcher), Event::NotConnected(reason));
            if reason == ConnectError::Refused || Instant::now() < cx.deadline {
                searcher.eject_for(CONNECT_EJECTION);
            }
            return AttemptOutcome::NotRun(unsent.not_run(), false);
        }
    };
    // Nothing is sent to a searcher that began to leave during the wait, nor
    // after the deadline.
    if Instant::now() >= cx.deadline || searcher.is_leaving() {
        record_event(cx, service, Some(&searcher), Event::LeavingOrExpired);
        return AttemptOutcome::NotRun(unsent.not_run(), false);
    }
    if searcher.requested_pause().is_paused() {
        searcher.stats().paused.inc();
        record_event(cx, service, Some(&searcher), Event::Paused);
        return AttemptOutcome::NotRun(unsent.not_run(), false);
    }
    if !searcher.named_limit().try_acquire() {
        searcher.stats().limited.inc();
        record_event(cx, service, Some(&searcher), Event::Limited);
        return AttemptOutcome::NotRun(unsent.not_run(), false);
    }
    service.state().sub_requests.sent.inc();
    let outcome = exchange(cx, service, &searcher, unsent, channel).await;
    drop::<Permit>(permit);
    outcome
}

/// Waits for a permit from the searcher's concurrency limiter. A request that
/// can no longer meet its latency objective waits at the last rank, so that an
/// overloaded searcher works on requests that can still meet theirs.
async fn acquire_permit<C: ForwardTransport>(
    cx: &Context<'_, C>,
    searcher: &Searcher,
) -> Option<Permit> {
    let margin = cx.state.typical_attempt_latency.get().mul_f64(START_MARGIN_FACTOR);
    let latest_start =
        cx.objective_deadline.checked_sub(margin).unwrap_or(cx.objective_deadline).min(cx.deadline);
    if Instant::now() < latest_start
        && let Some(permit) = searcher.limiter().acquire(cx.route.rank, latest_start).await
    {
        return Some(permit);
    }
    searcher.limiter().acquire(Rank::LAST, cx.deadline).await
}

async fn exchange<C: ForwardTransport>(
    cx: &Context<'_, C>,
    service: &Arc<ServiceView>,
    searcher: &Arc<Searcher>,
    unsent: Attempt<Unsent>,
    channel: C::Channel,
) -> AttemptOutcome<C::ReplyHead> {
    searcher.stats().sent.inc();
    let id = unsent.id();
    let sent = unsent.send();
    let record_event = |event| record_event(cx, service, Some(searcher), event);
    let mut open = OpenExchange::start(searcher, &cx.state.typical_attempt_latency, record_event);
    let reply =
        timeout_at(cx.deadline, cx.transport.exchange(channel, searcher, cx.head, cx.deadline))
            .await;
    match reply.unwrap_or(ExchangeOutcome::Lost(LossReason::TimedOut)) {
        ExchangeOutcome::Success(reply) => {
            open.on_reply();
            searcher.stats().parts.inc();
            searcher.health().record_outcome(true);
            searcher.clear_failures();
            cx.suspicion.record_reply();
            drop(sent.finish());
            AttemptOutcome::Success(reply)
        }
        ExchangeOutcome::Failure(reply) => {
            open.on_reply();
            record_event(Event::Failed);
            searcher.stats().failed.inc();
            searcher.health().record_outcome(false);
            searcher.eject_on_repeat(FAILED_EJECTION);
            cx.suspicion.record_reply();
            drop(sent.finish());
            AttemptOutcome::Failure(reply)
        }
        ExchangeOutcome::Rejected(reason) => {
            open.on_reply();
            record_event(Event::Rejected(reason));
            searcher.stats().refused.inc();
            searcher.health().record_outcome(false);
            handle_rejection(searcher, reason);
            into_not_run(sent, id, true)
        }
        // The connection had already closed, which says nothing about the
        // searcher's health.
        ExchangeOutcome::Unsent => {
            open.on_disconnect();
            record_event(Event::Unsent);
            into_not_run(sent, id, false)
        }
        ExchangeOutcome::Lost(reason) => {
            drop(sent.finish());
            searcher.stats().failed.inc();
            // After a time-out, dropping `open` records the exchange as abandoned.
            if reason != LossReason::TimedOut {
                searcher.health().record_outcome(false);
                open.on_disconnect();
                record_event(Event::NoReply(reason));
                searcher.eject_on_repeat(FAILED_EJECTION);
            }
            if reason == LossReason::Broken {
                check_for_crash(cx, service, searcher).await;
            }
            AttemptOutcome::NoReply
        }
    }
}

/// Finds out whether the searcher is gone after the connection ended while it ran the
/// request. Does nothing if another searcher has replied to the request, which clears it.
async fn check_for_crash<C: ForwardTransport>(
    cx: &Context<'_, C>,
    service: &Arc<ServiceView>,
    searcher: &Arc<Searcher>,
) {
    if cx.suspicion.has_replied() {
        return;
    }
    let deadline = cx.deadline.min(Instant::now() + GONE_CHECK_TIMEOUT);
    if cx.transport.is_gone(searcher, deadline).await {
        searcher.eject_for(CONNECT_EJECTION);
        record_event(cx, service, Some(searcher), Event::Crashed);
        let (name, incarnation) = (searcher.name().clone(), searcher.incarnation());
        cx.suspicion.record_crash(CrashedSearcher { name, incarnation });
    }
}

fn handle_rejection(searcher: &Searcher, reason: RejectionReason) {
    match reason {
        RejectionReason::Full => searcher.responsiveness().avoid_for(FULL_AVOIDANCE),
        // Another searcher listens at the address, so this one has stopped.
        RejectionReason::NotThere => {
            searcher.mark_leaving();
        }
    }
}

/// Returns the outcome of an attempt that, according to the transport, was
/// rejected or had no byte written.
fn into_not_run<X>(
    sent: Attempt<Sent>,
    id: AttemptId,
    reached_searcher: bool,
) -> AttemptOutcome<X> {
    match sent.reject(&Rejection::new(id)) {
        Ok(unsent) => AttemptOutcome::NotRun(unsent.not_run(), reached_searcher),
        Err(sent) => {
            drop(sent.finish());
            AttemptOutcome::NoReply
        }
    }
}

/// Counts an exchange as open at its searcher until a reply comes, the
/// connection closes or the guard is dropped. An exchange that is abandoned,
/// because another attempt was faster or the deadline passed, is recorded with
/// the time that it took so far; without that, a searcher whose exchanges are
/// all abandoned would have no samples and look healthy.
struct OpenExchange<'a, F: Fn(Event)> {
    searcher: &'a Searcher,
    /// The typical duration of an exchange on the route.
    typical: &'a QuantileEstimator,
    started_at: Instant,
    is_finished: bool,
    record_event: F,
}

impl<'a, F: Fn(Event)> OpenExchange<'a, F> {
    fn start(searcher: &'a Searcher, typical: &'a QuantileEstimator, record_event: F) -> Self {
        searcher.responsiveness().record_start();
        Self { searcher, typical, started_at: Instant::now(), is_finished: false, record_event }
    }

    /// Records that a reply came.
    fn on_reply(&mut self) {
        self.is_finished = true;
        self.searcher.responsiveness().record_reply();
        let elapsed = self.started_at.elapsed();
        self.searcher.record_latency(elapsed);
        self.searcher.health().record_latency(elapsed, self.typical.get());
        self.searcher.adapt_concurrency_limit();
        self.typical.record(elapsed);
    }

    /// Records that the connection ended without a usable reply.
    fn on_disconnect(&mut self) {
        self.is_finished = true;
        self.searcher.responsiveness().record_no_reply();
    }
}

impl<F: Fn(Event)> Drop for OpenExchange<'_, F> {
    fn drop(&mut self) {
        if !self.is_finished {
            (self.record_event)(Event::Abandoned);
            self.searcher.responsiveness().record_no_reply();
            let elapsed = self.started_at.elapsed();
            self.searcher.record_abandoned_latency(elapsed);
            self.searcher.health().record_abandoned_latency(elapsed, self.typical.get());
            self.searcher.adapt_concurrency_limit();
            // An exchange that was cancelled early does not show whether the
            // searcher is slow.
            let is_slow = elapsed > self.typical.get() * SLOW_FACTOR;
            if is_slow && !self.searcher.responsiveness().has_replied_since(self.started_at) {
                self.searcher.eject_on_repeat(SLOW_EJECTION);
            }
        }
    }
}
