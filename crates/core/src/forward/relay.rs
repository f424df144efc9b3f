//! Shards that have no searcher in the own zone, asked through one sibling in
//! another.
//!
//! Parts of such shards would each cross between zones. A sibling that stands
//! beside their searchers asks them, merges their parts and sends only the
//! greatest records back. It makes first attempts only. What is in when
//! second attempts begin leaves as one answer; each later part follows by
//! itself, so that it can be left out if a second attempt was faster. Second
//! attempts, and whatever the sibling could not cover, go straight to
//! searchers, so a sibling that fails costs no shard.

use std::{
    collections::HashMap, future::Future, marker::PhantomData, pin::pin, sync::Arc, time::Duration,
};

use bytes::Bytes;
use futures::stream::{FuturesUnordered, Stream, StreamExt, unfold};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::{
    Carrier, Context, HedgePlan, Reply,
    leg::{self, Before},
    trace::Trace,
};
use crate::{
    id::RequestId,
    intent::Rank,
    name::{RouteName, ServiceName, ZoneName},
    nearest, records,
    route::{Route, ShardSet, Target},
    sibling::{self, Sibling},
    view::{ServiceView, View, ViewCell},
};

/// The fewest shards for which a sibling is asked. One part crosses between
/// zones as cheaply by itself.
const MIN_SHARDS: usize = 2;

/// How long before second attempts begin the sibling must answer, for its
/// answer's way back.
const WAY_BACK: Duration = Duration::from_millis(3);

/// How long after second attempts begin a sibling's first answer is late.
const LATE_MARGIN: Duration = Duration::from_millis(3);

/// How long a sibling is passed over that did not answer in time.
const LATE_EJECTION: Duration = Duration::from_millis(500);

/// How long a sibling is passed over that took no request.
const DOWN_EJECTION: Duration = Duration::from_secs(2);

/// What a sibling is asked.
#[derive(Debug, Clone)]
pub struct RelayAsk<H> {
    /// The route, whose figures its attempts count for.
    pub route: RouteName,
    /// The shards to ask. Invariant: not empty, each once.
    pub shards: Vec<ServiceName>,
    /// The number of records to send back: the greatest ones.
    pub top: usize,
    /// Which requests come first.
    pub rank: Rank,
    /// Within this time an answer must leave with what is there.
    pub answer_within: Duration,
    /// What is left until the latency objective.
    pub objective: Duration,
    /// What is left of the deadline.
    pub patience: Duration,
    /// What the carrier sends on.
    pub head: Arc<H>,
}

/// A part of what a sibling answers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayAnswer {
    /// The greatest records of the parts.
    pub body: Bytes,
    /// The parts that were merged: the shard's place in the question, and the
    /// searcher's signature. Invariant: each place at most once.
    pub parts: Vec<(u16, Arc<str>)>,
    /// The shards that no searcher was asked for, by their places.
    pub unasked: Vec<u16>,
    /// Whether nothing follows.
    pub is_last: bool,
}

/// Why a sibling did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RelayError {
    /// It took no request.
    Down,
    /// It may have asked searchers, and no answer came.
    Lost,
}

/// Reaches siblings.
pub trait Relay: Send + Sync + 'static {
    /// What of a request is sent on.
    type Head: Send + Sync + 'static;
    /// The answers to one question.
    type Answers: RelayAnswers;

    /// Asks a sibling. Dropping the answers ends the sibling's work.
    fn ask(
        &self,
        sibling: &Sibling,
        ask: RelayAsk<Self::Head>,
    ) -> impl Future<Output = Result<Self::Answers, RelayError>> + Send;
}

/// The answers of a sibling to one question.
pub trait RelayAnswers: Send {
    /// The next answer. After the last one, or an error, none follows.
    fn next(&mut self) -> impl Future<Output = Result<RelayAnswer, RelayError>> + Send;
}

/// Reaches no sibling: every shard is asked straight.
#[derive(Debug)]
pub struct NoRelay<H>(PhantomData<fn() -> H>);

impl<H> Default for NoRelay<H> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<H: Send + Sync + 'static> Relay for NoRelay<H> {
    type Head = H;
    type Answers = NoAnswers;

    async fn ask(&self, _: &Sibling, _: RelayAsk<H>) -> Result<NoAnswers, RelayError> {
        Err(RelayError::Down)
    }
}

/// No answer.
#[derive(Debug)]
pub struct NoAnswers;

impl RelayAnswers for NoAnswers {
    async fn next(&mut self) -> Result<RelayAnswer, RelayError> {
        Err(RelayError::Down)
    }
}

/// A sibling, and the places of the shards that it is asked for.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) sibling: Arc<Sibling>,
    pub(super) places: Vec<usize>,
}

/// What a sibling did.
#[derive(Debug)]
pub(super) enum Step {
    /// It sent parts.
    Answer(RelayAnswer),
    /// It does no more.
    End {
        /// Whether searchers may have been asked for the shards without a
        /// part.
        may_have_run: bool,
    },
}

/// Chooses a sibling for the shards that have no searcher in the own zone.
pub(super) fn plan<C: Carrier>(
    cx: &Context<'_, C>,
    siblings: &[Arc<Sibling>],
    shards: &[Option<&Arc<ServiceView>>],
) -> Option<Plan> {
    // Without a time for second attempts, nothing would bound the wait.
    cx.hedge.delay()?;
    if siblings.is_empty() {
        return None;
    }
    let mut places: HashMap<&ZoneName, Vec<usize>> = HashMap::new();
    for (place, shard) in shards.iter().enumerate() {
        let Some(service) = shard else { continue };
        if service.searchers().iter().any(|s| !s.is_leaving() && s.zone() == cx.zone) {
            continue;
        }
        let sound = service.searchers().iter().filter(|s| !s.is_leaving() && nearest::is_sound(s));
        let mut zones: Vec<&ZoneName> = sound.map(|s| s.zone()).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones.into_iter().filter(|zone| *zone != cx.zone) {
            places.entry(zone).or_default().push(place);
        }
    }
    let mut zones: Vec<_> = places.into_iter().filter(|(_, p)| p.len() >= MIN_SHARDS).collect();
    // Of the zones that cover as many shards, each query takes another.
    zones.sort_unstable_by_key(|(zone, places)| (places.len(), rand::random::<u32>(), *zone));
    zones.into_iter().rev().find_map(|(zone, places)| {
        let sibling = sibling::choose_in(siblings, zone)?;
        Some(Plan { sibling, places })
    })
}

/// Asks the sibling of a plan. The steps end with [`Step::End`].
pub(super) fn ask<'a, C: Carrier, R: Relay<Head = C::Head>>(
    cx: &'a Context<'_, C>,
    relay: &'a R,
    set: &ShardSet,
    plan: &'a Plan,
) -> impl Stream<Item = Step> + Send + use<'a, C, R> {
    let now = Instant::now();
    let delay = cx.hedge.delay().unwrap_or_default();
    let question = RelayAsk {
        route: cx.route.name.clone(),
        shards: plan.places.iter().map(|place| set.shards[*place].clone()).collect(),
        top: set.top,
        rank: cx.route.rank,
        answer_within: delay.saturating_sub(WAY_BACK),
        objective: cx.in_time_by.saturating_duration_since(now),
        patience: cx.by.saturating_duration_since(now),
        head: Arc::clone(cx.head),
    };
    let begin = State::Ask(relay, &plan.sibling, question, now + delay + LATE_MARGIN);
    unfold(begin, |state| async move {
        match state {
            State::Ask(relay, sibling, question, due) => first(relay, sibling, question, due).await,
            State::Follow(mut answers) => {
                let next = answers.next().await;
                Some(follow(next, answers))
            }
            State::End { may_have_run } => Some((Step::End { may_have_run }, State::Over)),
            State::Over => None,
        }
    })
}

/// Where the answers of a sibling stand.
enum State<'a, R: Relay> {
    /// It has not been asked; the first answer is due at the time.
    Ask(&'a R, &'a Sibling, RelayAsk<R::Head>, Instant),
    /// It has more to send.
    Follow(R::Answers),
    /// It has no more to send.
    End { may_have_run: bool },
    /// Its end was told.
    Over,
}

async fn first<'a, R: Relay>(
    relay: &'a R,
    sibling: &'a Sibling,
    question: RelayAsk<R::Head>,
    due: Instant,
) -> Option<(Step, State<'a, R>)> {
    let mut answers = match relay.ask(sibling, question).await {
        Ok(answers) => answers,
        Err(e) => {
            sibling.eject_for(DOWN_EJECTION);
            let may_have_run = e != RelayError::Down;
            return Some((Step::End { may_have_run }, State::Over));
        }
    };
    let answer = first_answer(&mut answers, sibling, due).await;
    Some(follow(answer, answers))
}

/// The first answer. A sibling whose first answer is late is passed over for
/// a while, but may still answer.
async fn first_answer(
    answers: &mut impl RelayAnswers,
    sibling: &Sibling,
    due: Instant,
) -> Result<RelayAnswer, RelayError> {
    let mut next = pin!(answers.next());
    if let Ok(answer) = timeout_at(due, &mut next).await {
        return answer;
    }
    log::debug!(target: "sibling", "{} does not answer in time.", sibling.name());
    sibling.eject_for(LATE_EJECTION);
    next.await
}

/// The step of an answer, and where the answers stand after it.
fn follow<'a, R: Relay>(
    answer: Result<RelayAnswer, RelayError>,
    answers: R::Answers,
) -> (Step, State<'a, R>) {
    match answer {
        Ok(answer) if answer.is_last => (Step::Answer(answer), State::End { may_have_run: true }),
        Ok(answer) => (Step::Answer(answer), State::Follow(answers)),
        Err(_) => (Step::End { may_have_run: true }, State::Over),
    }
}

/// Answers what siblings ask.
#[derive(Debug)]
pub struct RelayService<C> {
    views: Arc<ViewCell>,
    carrier: Arc<C>,
    zone: ZoneName,
}

impl<C: Carrier> RelayService<C> {
    /// A service for an instance in `zone`.
    #[must_use]
    pub const fn new(views: Arc<ViewCell>, carrier: Arc<C>, zone: ZoneName) -> Self {
        Self { views, carrier, zone }
    }

    /// Asks the shards once each, and sends what comes in.
    pub async fn answer<S: AnswerSink>(&self, ask: RelayAsk<C::Head>, sink: &mut S) {
        let received = Instant::now();
        let view = self.views.load();
        let route = first_attempts_of(&ask);
        let state = view.route_state(&route);
        let trace = Trace::new(received);
        let cx = Context {
            carrier: &*self.carrier,
            zone: &self.zone,
            route: &route,
            state: &state,
            head: &ask.head,
            request: RequestId::fresh(),
            hedge: HedgePlan::none(),
            trace: &trace,
            in_time_by: received + ask.objective,
            by: received + ask.patience,
        };
        gather(&cx, &view, &ask, received + ask.answer_within, sink).await;
    }
}

/// Where the answers to a question go.
pub trait AnswerSink: Send {
    /// Sends one answer. Returns whether the asker is still there.
    fn send(&mut self, answer: RelayAnswer) -> impl Future<Output = bool> + Send;
}

/// A route that allows the first attempts of a question only.
fn first_attempts_of<H>(ask: &RelayAsk<H>) -> Route {
    let target = Target::Shards(ShardSet { shards: Vec::new(), top: ask.top, least_coverage: 0.0 });
    let mut route = Route::new(ask.route.clone(), target);
    route.is_idempotent = true;
    route.rank = ask.rank;
    route.timeout = ask.patience;
    route.objective = ask.objective;
    route.max_attempts = 1;
    route
}

async fn gather<C: Carrier, S: AnswerSink>(
    cx: &Context<'_, C>,
    view: &View,
    ask: &RelayAsk<C::Head>,
    merge_until: Instant,
    sink: &mut S,
) {
    let legs = ask.shards.iter().enumerate().map(|(place, name)| async move {
        // The asker has counted this attempt.
        (place as u16, leg::ask_after(cx, view.service(name), Before::Unasked).await)
    });
    let mut legs: FuturesUnordered<_> = legs.collect();
    let mut answer = RelayAnswer::default();
    let mut bodies = Vec::with_capacity(ask.shards.len());
    let over = sleep_until(merge_until);
    tokio::pin!(over);
    while !legs.is_empty() {
        tokio::select! {
            biased;
            Some((place, end)) = legs.next() => bodies.extend(note(&mut answer, place, end)),
            () = &mut over => break,
        }
    }
    answer.body = Bytes::from(records::greatest(&bodies, ask.top));
    answer.is_last = legs.is_empty();
    if !sink.send(answer).await {
        return;
    }
    while let Some((place, end)) = legs.next().await {
        let mut answer = RelayAnswer::default();
        if let Some(body) = note(&mut answer, place, end) {
            answer.body = Bytes::from(records::greatest(&[body], ask.top));
        }
        answer.is_last = legs.is_empty();
        if !sink.send(answer).await {
            return;
        }
    }
}

/// Notes how a shard's leg ended; returns its part.
fn note<X>(
    answer: &mut RelayAnswer,
    place: u16,
    end: Result<Reply<X>, leg::Miss<X>>,
) -> Option<Bytes> {
    match end {
        Ok(Reply { signature: Some(signature), body, .. }) => {
            answer.parts.push((place, signature));
            Some(body)
        }
        Err(miss) if !miss.has_arrived => {
            answer.unasked.push(place);
            None
        }
        _ => None,
    }
}
