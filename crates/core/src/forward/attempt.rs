//! One attempt at one searcher: a place behind its gate, a connection, one
//! exchange, and what it shows of the searcher.
//!
//! The attempt's typestate carries the promise "not run": only an attempt
//! that was not handed to a connection, or that the searcher says it did not
//! run, ends as [`End::NotRun`].

use std::sync::Arc;

use tokio::time::{Duration, Instant, timeout_at};

use super::{Carrier, Context, Exchanged, Lost, Refused, Reply, Unreachable, trace::Event};
use crate::{
    attempt::{Attempt, NotRun, Refusal, Sent, Unsent},
    gate::Permit,
    id::AttemptId,
    intent::Rank,
    quantile::Quantile,
    searcher::Searcher,
    view::ServiceView,
};

/// How long a searcher is passed over after it took no connection.
const CONNECT_EJECTION: Duration = Duration::from_millis(400);

/// How long a searcher is passed over after an exchange with it was lost.
const LOST_EJECTION: Duration = Duration::from_millis(100);

/// How long a searcher is passed over after it had no room.
const FULL_SPAN: Duration = Duration::from_millis(50);

/// How long before the latency objective an attempt must start to be in
/// time, in usual durations.
const START_MARGIN: f64 = 1.5;

/// An exchange that was given up counts against its searcher after this many
/// usual durations.
const SUSPECT_AFTER: u32 = 2;

/// How a searcher is ejected after exchanges with it were given up.
const SLOW_EJECTION: Duration = Duration::from_millis(200);

/// How one attempt ended.
pub(super) enum End<X> {
    /// The searcher succeeded.
    Success(Reply<X>),
    /// The searcher ran the request and failed.
    Failure(Reply<X>),
    /// It was not run; whether it reached a searcher all the same.
    NotRun(NotRun, bool),
    /// The request may have run, and no reply came.
    Lost,
}

/// Notes an event of the request's trace.
pub(super) fn note<C: Carrier>(
    cx: &Context<'_, C>,
    service: &ServiceView,
    searcher: Option<&Arc<Searcher>>,
    event: Event,
) {
    cx.trace.note(&service.intent().name, searcher.map(|s| s.name()), event);
}

/// Makes one attempt: a place behind the gate, a connection, one exchange.
pub(super) async fn run<C: Carrier>(
    cx: &Context<'_, C>,
    service: &Arc<ServiceView>,
    searcher: Arc<Searcher>,
    unsent: Attempt<Unsent>,
) -> End<C::ReplyHead> {
    let Some(permit) = enter(cx, &searcher).await else {
        note(cx, service, Some(&searcher), Event::NoPlace);
        return End::NotRun(unsent.not_run(), false);
    };
    let channel = match cx.carrier.open(&searcher, cx.by).await {
        Ok(channel) => channel,
        Err(why) => {
            searcher.stats().connect_refused.inc();
            note(cx, service, Some(&searcher), Event::NotConnected(why));
            if why == Unreachable::Refused || Instant::now() < cx.by {
                searcher.eject_for(CONNECT_EJECTION);
            }
            return End::NotRun(unsent.not_run(), false);
        }
    };
    // A searcher that was seen leaving while this attempt waited gets no new
    // work, and work that has expired is dropped before sending.
    if Instant::now() >= cx.by || searcher.is_leaving() {
        note(cx, service, Some(&searcher), Event::Left);
        return End::NotRun(unsent.not_run(), false);
    }
    service.state().legs.sent.inc();
    let end = exchange(cx, service, &searcher, unsent, channel).await;
    drop::<Permit>(permit);
    end
}

/// Waits for a place behind the searcher's gate. A request that would get
/// one too late for its latency objective lets all others pass, so that a
/// searcher with more work than it can do works on what can still be in time.
async fn enter<C: Carrier>(cx: &Context<'_, C>, searcher: &Searcher) -> Option<Permit> {
    let usual = cx.state.usual.get().mul_f64(START_MARGIN);
    let latest_start = cx.in_time_by.checked_sub(usual).unwrap_or(cx.in_time_by).min(cx.by);
    if Instant::now() < latest_start
        && let Some(permit) = searcher.gate().enter(cx.route.rank, latest_start).await
    {
        return Some(permit);
    }
    searcher.gate().enter(Rank::LAST, cx.by).await
}

async fn exchange<C: Carrier>(
    cx: &Context<'_, C>,
    service: &Arc<ServiceView>,
    searcher: &Arc<Searcher>,
    unsent: Attempt<Unsent>,
    channel: C::Channel,
) -> End<C::ReplyHead> {
    searcher.stats().sent.inc();
    let id = unsent.id();
    let sent = unsent.send();
    let note = |event| note(cx, service, Some(searcher), event);
    let mut open = OpenExchange::begin(searcher, &cx.state.usual, note);
    let reply = timeout_at(cx.by, cx.carrier.exchange(channel, searcher, cx.head, cx.by)).await;
    match reply.unwrap_or(Exchanged::Lost(Lost::TimedOut)) {
        Exchanged::Success(reply) => {
            open.heard();
            searcher.stats().parts.inc();
            searcher.standing().record_outcome(true);
            searcher.forgive();
            drop(sent.settle());
            End::Success(reply)
        }
        Exchanged::Failure(reply) => {
            open.heard();
            note(Event::Failed);
            searcher.stats().failed.inc();
            searcher.standing().record_outcome(false);
            searcher.suspect(LOST_EJECTION);
            drop(sent.settle());
            End::Failure(reply)
        }
        Exchanged::Refused(why) => {
            open.heard();
            note(Event::Refused(why));
            searcher.stats().refused.inc();
            searcher.standing().record_outcome(false);
            note_refusal(searcher, why);
            not_run(sent, id, true)
        }
        // Only the connection was dead; that says nothing of the searcher.
        Exchanged::Unsent => {
            open.broke_off();
            note(Event::NotSent);
            not_run(sent, id, false)
        }
        Exchanged::Lost(why) => {
            drop(sent.settle());
            searcher.stats().failed.inc();
            if why != Lost::TimedOut {
                searcher.standing().record_outcome(false);
                open.broke_off();
                note(Event::Lost(why));
                searcher.suspect(LOST_EJECTION);
            }
            End::Lost
        }
    }
}

fn note_refusal(searcher: &Searcher, why: Refused) {
    match why {
        Refused::Full => searcher.pulse().pass_over(FULL_SPAN),
        // Its address belongs to another searcher now.
        Refused::NotThere => {
            searcher.mark_leaving();
        }
    }
}

/// Takes an attempt back that was not run by the evidence of its carrier.
fn not_run<X>(sent: Attempt<Sent>, id: AttemptId, has_arrived: bool) -> End<X> {
    match sent.refused(&Refusal::of(id)) {
        Ok(unsent) => End::NotRun(unsent.not_run(), has_arrived),
        Err(sent) => {
            drop(sent.settle());
            End::Lost
        }
    }
}

/// Counts an exchange as open at its searcher. One that is given up, since
/// another attempt was faster or the time is over, counts with the time that
/// it took so far, or a searcher for which nobody waits would not show.
struct OpenExchange<'a, N: Fn(Event)> {
    searcher: &'a Searcher,
    /// What such an exchange usually takes.
    usual: &'a Quantile,
    began: Instant,
    is_over: bool,
    note: N,
}

impl<'a, N: Fn(Event)> OpenExchange<'a, N> {
    fn begin(searcher: &'a Searcher, usual: &'a Quantile, note: N) -> Self {
        searcher.pulse().begin();
        Self { searcher, usual, began: Instant::now(), is_over: false, note }
    }

    /// A reply came.
    fn heard(&mut self) {
        self.is_over = true;
        self.searcher.pulse().hear();
        let took = self.began.elapsed();
        self.searcher.record_latency(took);
        self.searcher.standing().record(took, self.usual.get());
        self.searcher.adapt_limit();
        self.usual.record(took);
    }

    /// The connection ended.
    fn broke_off(&mut self) {
        self.is_over = true;
        self.searcher.pulse().give_up();
    }
}

impl<N: Fn(Event)> Drop for OpenExchange<'_, N> {
    fn drop(&mut self) {
        if !self.is_over {
            (self.note)(Event::Open);
            self.searcher.pulse().give_up();
            let elapsed = self.began.elapsed();
            self.searcher.record_given_up(elapsed);
            self.searcher.standing().record_given_up(elapsed, self.usual.get());
            self.searcher.adapt_limit();
            // One that was cancelled soon says nothing of its searcher.
            let is_long = elapsed > self.usual.get() * SUSPECT_AFTER;
            if is_long && !self.searcher.pulse().was_heard_since(self.began) {
                self.searcher.suspect(SLOW_EJECTION);
            }
        }
    }
}
