//! The engine: takes a submission through every decision to its answer.
//!
//! The engine knows no encoding. A front end hands it a [`Submission`] and
//! gets an [`Answer`] or a [`Failure`]; searchers are reached through a
//! [`Transport`] and claims are made through a [`ClaimStore`].
//!
//! # Example
//!
//! Any front end works with the engine through [`QueryService`]:
//!
//! ```
//! use endivevale_core::{
//!     answer::{Answer, MissReason},
//!     engine::{BoxFuture, QueryService},
//!     error::{ErrorKind, Failure},
//!     query::Submission,
//! };
//!
//! struct Closed;
//!
//! impl QueryService for Closed {
//!     fn serve(&self, _: Submission) -> BoxFuture<'_, Result<Answer, Failure>> {
//!         Box::pin(async { Err(Failure::new(ErrorKind::Leaving, "closed")) })
//!     }
//! }
//! ```

use std::{future::Future, pin::Pin as Boxed, sync::Arc};

use tokio::{task::JoinSet, time::Instant};

use crate::{
    answer::{Answer, MissReason},
    claim::{Claim, ClaimKey, ClaimStore, Held},
    error::{ErrorKind, Failure, Run},
    intent::Objective,
    name::ServiceName,
    pin::{self, Pin},
    policy::Policy,
    query::{Admitted, Dispatched, Ended, Miss, Query, Request, Submission},
    routing::Router,
    stats::RankStats,
    view::{ServiceView, View, ViewCell},
};

mod leg;
mod transport;

pub use transport::{LegReply, LegRequest, LostReason, OpenError, Transport};

/// The most times that a query is pinned anew after its version was gone.
const MAX_REPINS: usize = 2;

/// The legs that one task sends, so that a wide query leaves on several
/// threads at once.
const LEGS_PER_TASK: usize = 8;

/// A boxed future, for interfaces that are used as trait objects.
pub type BoxFuture<'a, T> = Boxed<Box<dyn Future<Output = T> + Send + 'a>>;

/// What a front end asks for answers.
pub trait QueryService: Send + Sync + 'static {
    /// Takes a submission to its answer.
    fn serve(&self, submission: Submission) -> BoxFuture<'_, Result<Answer, Failure>>;
}

/// Answers queries over searchers reached by `T`, with claims kept in `C`.
#[derive(Debug)]
pub struct Engine<T, C> {
    views: Arc<ViewCell>,
    router: Router,
    policy: Policy,
    transport: Arc<T>,
    claims: C,
}

impl<T: Transport, C: ClaimStore> QueryService for Engine<T, C> {
    fn serve(&self, submission: Submission) -> BoxFuture<'_, Result<Answer, Failure>> {
        Box::pin(self.answer(submission))
    }
}

impl<T: Transport, C: ClaimStore> Engine<T, C> {
    /// An engine with these policies.
    #[must_use]
    pub fn new(views: Arc<ViewCell>, policy: Policy, transport: Arc<T>, claims: C) -> Self {
        Self { views, router: Router::new(policy), policy, transport, claims }
    }

    /// Takes a submission to its answer.
    ///
    /// # Errors
    ///
    /// A [`Failure`] of the closed list; its kind says whether the request
    /// was run.
    pub async fn answer(&self, submission: Submission) -> Result<Answer, Failure> {
        let received = submission.received;
        let view = self.views.load();
        let service = find_service(&view, &submission.service)?;
        let intent = view.intent().ok_or_else(not_ready)?;
        let req = Request::check(submission, intent, &service)?;
        let rank = req.rank;
        let result = self.admit_and_run(req, Arc::clone(&service), intent.objective).await;
        count(service.state().rank(rank), &service, received, &result);
        result
    }

    async fn admit_and_run(
        &self,
        req: Request,
        service: Arc<ServiceView>,
        objective: Objective,
    ) -> Result<Answer, Failure> {
        let admission = &service.state().admission;
        let ticket = match self.policy.admission {
            true => admission.try_admit(req.rank),
            false => Some(admission.admit()),
        };
        let Some(ticket) = ticket else {
            let text = "no room for a request of this rank";
            return Err(Failure::new(ErrorKind::Overloaded, text).for_request(req.id));
        };
        let query = Query::admitted(req, service, ticket);
        let pin = match choose_pin(&query) {
            Ok(pin) => pin,
            Err((kind, text)) => return Err(query.refuse(kind, text)),
        };
        let claim = match self.claim(&query).await {
            Ok(claim) => claim,
            Err(kind) => return Err(query.refuse(kind, "the idempotency key was not claimed")),
        };
        self.run(query.dispatch(&pin), pin, claim, objective).await
    }

    /// Claims the idempotency key of a request that must not be repeated.
    async fn claim(&self, query: &Query<Admitted>) -> Result<Option<Claim<Held>>, ErrorKind> {
        let req = query.req();
        let Some(key) = req.idempotency_key.as_ref().filter(|_| !req.repeatable) else {
            return Ok(None);
        };
        let name = &query.service().intent().name;
        let wanted = Claim::wanted(ClaimKey::new(name, &req.caller, key));
        wanted.make(&self.claims, req.part_deadline(Instant::now())).await.map(Some)
    }

    async fn run(
        &self,
        mut query: Query<Dispatched>,
        mut pin: Pin,
        claim: Option<Claim<Held>>,
        objective: Objective,
    ) -> Result<Answer, Failure> {
        let numbers = Arc::new(leg::AttemptNumbers::default());
        for _ in 0..=MAX_REPINS {
            self.ask_shards(&mut query, &pin, &numbers, objective).await;
            match next_pin(&query, &pin) {
                Some(next) => pin = next,
                None => break,
            }
            query.service().state().legs.repinned.inc();
            query.repin(&pin);
        }
        match query.finish() {
            Ok(answer) => Ok(answer),
            Err(Ended { failure, evidence }) => {
                if let (Some(claim), Some(evidence)) = (claim, evidence) {
                    claim.release(&self.claims, &evidence).await;
                }
                Err(failure)
            }
        }
    }

    /// Asks every pinned shard at once and merges what comes.
    async fn ask_shards(
        &self,
        query: &mut Query<Dispatched>,
        pin: &Pin,
        numbers: &Arc<leg::AttemptNumbers>,
        objective: Objective,
    ) {
        let req = Arc::clone(query.req());
        let service = Arc::clone(query.service());
        service.state().legs.needed.add(pin.shards().len() as u64);
        let cx = Arc::new(leg::Context {
            by: req.part_deadline(Instant::now()),
            transport: Arc::clone(&self.transport),
            router: self.router.clone(),
            service,
            req,
            version: pin.version(),
            objective,
            policy: self.policy,
            numbers: Arc::clone(numbers),
        });
        let mut tasks = JoinSet::new();
        for shards in pin.shards().chunks(LEGS_PER_TASK) {
            tasks.spawn(leg::ask_all(Arc::clone(&cx), shards.to_vec()));
        }
        while let Some(ended) = tasks.join_next().await {
            // The shards of a task that failed are found missing below.
            for (shard, result) in ended.unwrap_or_default() {
                query.take(shard, result);
            }
        }
        for shard in pin.shards() {
            if !query.has_taken(*shard) {
                query.take(*shard, Err(Miss::Unknown(MissReason::Failed)));
            }
        }
    }
}

fn not_ready() -> Failure {
    Failure::new(ErrorKind::NotReady, "no configuration is in force yet")
}

fn find_service(view: &View, name: &str) -> Result<Arc<ServiceView>, Failure> {
    if view.config().is_none() {
        return Err(not_ready());
    }
    let found = ServiceName::try_new(name).ok().and_then(|name| view.service(&name).cloned());
    found.ok_or_else(|| {
        let text = format!("service: {name:?} is not declared");
        Failure::new(ErrorKind::UnknownService, text)
    })
}

fn choose_pin(query: &Query<Admitted>) -> Result<Pin, (ErrorKind, &'static str)> {
    let (layout, target) = (query.service().layout(), query.req().target());
    match pin::choose(layout, target) {
        Some(pin) => Ok(pin),
        None if layout.is_empty() || pin::exists(layout, target) => {
            Err((ErrorKind::NotReady, "no index version of the service is known"))
        }
        None => Err((ErrorKind::UnknownShard, "shards: no layout has all of them")),
    }
}

/// The snapshot to begin anew at, when a replica said that the pinned one is
/// gone and beginning anew is allowed.
fn next_pin(query: &Query<Dispatched>, pin: &Pin) -> Option<Pin> {
    let now = Instant::now();
    if !query.may_repin() || now >= query.req().part_deadline(now) {
        return None;
    }
    let next = pin::choose(query.service().layout(), query.req().target())?;
    (next.version() != pin.version()).then_some(next)
}

fn count(
    stats: &RankStats,
    service: &ServiceView,
    received: Instant,
    result: &Result<Answer, Failure>,
) {
    let latency = received.elapsed();
    match result {
        Ok(answer) => {
            stats.latency.record(latency);
            let counter = if answer.is_whole() { &stats.whole } else { &stats.partial };
            counter.inc();
            if answer.is_whole() && latency <= service.intent().objectives.latency {
                stats.in_time.inc();
            }
        }
        Err(failure) if failure.kind().verdict().run() == Run::NotRun => stats.refused.inc(),
        Err(_) => stats.unknown.inc(),
    }
}
