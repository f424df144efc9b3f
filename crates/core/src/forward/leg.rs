//! One leg of a request: one service, asked until it has a success, a reason
//! or no time left.
//!
//! A request that is not idempotent is sent again only on the evidence that
//! the attempt before was not run. An idempotent one may also be sent again
//! after a loss, and a second time while the first is still open. Every
//! further attempt that may reach a searcher draws on the service's budget.

use std::sync::Arc;

use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::{Duration, Instant, sleep_until, timeout_at};

use super::{Carrier, Context, Exchanged, Lost, Refused, Reply, Unreachable, trace::Event};
use crate::{
    attempt::{Attempt, Evidence, NotRun, Refusal, Unsent},
    gate::Permit,
    id::AttemptId,
    intent::Rank,
    name::ZoneName,
    nearest,
    quantile::Quantile,
    searcher::Searcher,
    view::ServiceView,
};

/// The most searchers that one leg tries to connect to.
const MAX_TRIES: usize = 6;

/// How long a searcher is passed over after it took no connection.
const CONNECT_EJECTION: Duration = Duration::from_millis(400);

/// How long a searcher is passed over after an exchange with it was lost.
const LOST_EJECTION: Duration = Duration::from_millis(100);

/// How long a searcher is passed over after it had no room.
const FULL_SPAN: Duration = Duration::from_millis(50);

/// How long a searcher is passed over after it did not answer as fast as
/// usual: as long as a pause usually lasts.
const PAUSE_SPAN: Duration = Duration::from_millis(150);

/// How long before the latency objective an attempt must start to be in
/// time, in usual durations.
const START_MARGIN: f64 = 1.5;

/// An exchange that was given up counts against its searcher after this many
/// usual durations.
const SUSPECT_AFTER: u32 = 2;

/// How a searcher is ejected after exchanges with it were given up.
const SLOW_EJECTION: Duration = Duration::from_millis(200);

/// Why a leg has no success.
pub(super) struct Miss<X> {
    /// The last failure that a searcher answered with.
    pub(super) failure: Option<Reply<X>>,
    /// Whether any attempt may have run.
    pub(super) evidence: Evidence,
    /// Whether any attempt reached a searcher, or may have.
    pub(super) has_arrived: bool,
}

/// How one attempt ended.
enum End<X> {
    Success(Reply<X>),
    Failure(Reply<X>),
    /// It was not run; whether it reached a searcher all the same.
    NotRun(NotRun, bool),
    Lost,
}

pub(super) struct Leg<'a, C: Carrier> {
    cx: &'a Context<'a, C>,
    service: &'a Arc<ServiceView>,
    before: Before,
    /// The searchers tried so far, in order.
    tried: Vec<Arc<Searcher>>,
    /// Attempts that reached a searcher, or may have.
    arrivals: u32,
    /// Attempts that are open.
    open: u32,
    evidence: Evidence,
    failure: Option<Reply<C::ReplyHead>>,
}

/// What came before a leg begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Before {
    /// No searcher was asked.
    Nothing,
    /// A sibling was to ask and did not; the attempt counts as made already.
    Unasked,
    /// A sibling asked a searcher in this zone, without success.
    AttemptIn(ZoneName),
}

/// Counts the first attempt of a shard, by whomever it is made. The instance
/// that would make the second one earns its share of the budget.
pub(super) fn count_first(service: &ServiceView) {
    service.state().budget.deposit();
    service.state().legs.needed.inc();
}

/// Asks one service.
pub(super) async fn ask<C: Carrier>(
    cx: &Context<'_, C>,
    service: Option<&Arc<ServiceView>>,
) -> Result<Reply<C::ReplyHead>, Miss<C::ReplyHead>> {
    ask_after(cx, service, Before::Nothing).await
}

/// Asks one service, after what came before.
pub(super) async fn ask_after<C: Carrier>(
    cx: &Context<'_, C>,
    service: Option<&Arc<ServiceView>>,
    before: Before,
) -> Result<Reply<C::ReplyHead>, Miss<C::ReplyHead>> {
    let has_arrived = matches!(before, Before::AttemptIn(_));
    let mut evidence = Evidence::default();
    if has_arrived {
        evidence.may_have_run();
    }
    let Some(service) = service else {
        return Err(Miss { failure: None, evidence, has_arrived });
    };
    let arrivals = u32::from(has_arrived);
    let leg =
        Leg { cx, service, before, tried: Vec::new(), arrivals, open: 0, evidence, failure: None };
    leg.run().await
}

impl<'a, C: Carrier> Leg<'a, C> {
    async fn run(mut self) -> Result<Reply<C::ReplyHead>, Miss<C::ReplyHead>> {
        let began = Instant::now();
        let mut open = FuturesUnordered::new();
        match self.first() {
            Some(first) => open.push(self.start(first)),
            None => {
                self.note(None, Event::NoSearcher);
                return Err(self.into_miss());
            }
        }
        let is_second = matches!(self.before, Before::AttemptIn(_));
        let hedge_at = self.cx.hedge.delay().filter(|_| !is_second).map(|delay| began + delay);
        let hedge = sleep_until(hedge_at.unwrap_or(self.cx.by));
        tokio::pin!(hedge);
        let mut may_hedge = hedge_at.is_some();
        loop {
            tokio::select! {
                Some(end) = open.next() => {
                    self.open -= 1;
                    if let Some(reply) = self.take(end) {
                        self.cx.state.latency.record(began.elapsed());
                        return Ok(reply);
                    }
                    if open.is_empty() {
                        match self.next_after_end() {
                            Some(next) => open.push(self.start(next)),
                            None => return Err(self.into_miss()),
                        }
                    }
                }
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    if let Some(last) = self.tried.last() {
                        if !last.pulse().was_heard_since(began) {
                            last.pulse().pass_over(PAUSE_SPAN);
                        }
                        self.note(Some(last), Event::Slow);
                    }
                    if let Some(next) = self.hedge() {
                        open.push(self.start(next));
                    }
                }
            }
        }
    }

    fn start(
        &mut self,
        searcher: Arc<Searcher>,
    ) -> impl Future<Output = End<C::ReplyHead>> + use<'a, C> {
        self.tried.push(Arc::clone(&searcher));
        self.open += 1;
        let unsent = Attempt::new(AttemptId::new(self.cx.request, self.tried.len() as u32));
        attempt(self.cx, self.service, searcher, unsent)
    }

    /// Takes in how an attempt ended; returns a success.
    fn take(&mut self, end: End<C::ReplyHead>) -> Option<Reply<C::ReplyHead>> {
        match end {
            End::Success(reply) => return Some(reply),
            End::Failure(reply) => {
                self.failure = Some(reply);
                self.evidence.may_have_run();
                self.arrivals += 1;
            }
            End::NotRun(evidence, has_arrived) => {
                self.evidence.add(evidence);
                self.arrivals += u32::from(has_arrived);
            }
            End::Lost => {
                self.evidence.may_have_run();
                self.arrivals += 1;
            }
        }
        None
    }

    fn note(&self, searcher: Option<&Arc<Searcher>>, event: Event) {
        note(self.cx, self.service, searcher, event);
    }

    /// The first searcher to ask. After an attempt of a sibling it is a
    /// second attempt, which draws on the budget.
    fn first(&mut self) -> Option<Arc<Searcher>> {
        let state = self.service.state();
        match self.before {
            Before::Nothing => {
                count_first(self.service);
                return self.choose();
            }
            Before::Unasked => return self.choose(),
            Before::AttemptIn(_) => {}
        }
        if !self.may_arrive_again() {
            return None;
        }
        let first = self.choose()?;
        if !state.budget.try_withdraw() {
            self.note(None, Event::OverBudget);
            return None;
        }
        state.legs.retried.inc();
        Some(first)
    }

    fn choose(&self) -> Option<Arc<Searcher>> {
        let searchers = self.service.searchers();
        if let Before::AttemptIn(zone) = &self.before {
            let elsewhere = searchers.iter().filter(|s| s.zone() != zone && nearest::is_sound(s));
            let elsewhere: Vec<_> = elsewhere.cloned().collect();
            let chosen = nearest::choose(&elsewhere, &self.tried, self.cx.zone);
            if chosen.is_some() {
                return chosen;
            }
        }
        nearest::choose(searchers, &self.tried, self.cx.zone)
    }

    /// Whether one more attempt may reach a searcher.
    fn may_arrive_again(&self) -> bool {
        self.arrivals + self.open < self.cx.route.max_attempts && Instant::now() < self.cx.by
    }

    /// Another searcher for a second attempt, if the budget allows one.
    fn hedge(&mut self) -> Option<Arc<Searcher>> {
        if !self.may_arrive_again() {
            return None;
        }
        let next = self.choose().filter(|s| nearest::is_sound(s) && s.gate().has_room())?;
        let state = self.service.state();
        if !state.budget.try_withdraw() {
            self.note(None, Event::OverBudget);
            return None;
        }
        state.legs.hedged.inc();
        Some(next)
    }

    /// The searcher for another try, after every open attempt has ended.
    fn next_after_end(&mut self) -> Option<Arc<Searcher>> {
        if self.tried.len() >= MAX_TRIES || !self.may_arrive_again() {
            return None;
        }
        if !self.cx.route.is_idempotent && self.evidence.whole().is_none() {
            return None;
        }
        let next = self.choose()?;
        let state = self.service.state();
        // An attempt that reached nobody was no load, so the next is a first.
        if self.arrivals > 0 && !state.budget.try_withdraw() {
            self.note(None, Event::OverBudget);
            return None;
        }
        state.legs.retried.inc();
        Some(next)
    }

    fn into_miss(self) -> Miss<C::ReplyHead> {
        let has_arrived = self.arrivals > 0;
        Miss { failure: self.failure, evidence: self.evidence, has_arrived }
    }
}

fn note<C: Carrier>(
    cx: &Context<'_, C>,
    service: &ServiceView,
    searcher: Option<&Arc<Searcher>>,
    event: Event,
) {
    cx.trace.note(&service.intent().name, searcher.map(|s| s.name()), event);
}

/// Makes one attempt: a place behind the gate, a connection, one exchange.
async fn attempt<C: Carrier>(
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
fn not_run<X>(sent: Attempt<crate::attempt::Sent>, id: AttemptId, has_arrived: bool) -> End<X> {
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
