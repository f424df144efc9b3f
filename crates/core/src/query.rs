//! The life cycle of a query, as a typestate.
//!
//! A query in [`Admitted`] has been checked against the intent and let in;
//! nothing has been asked of a searcher, so it can still be refused as not
//! run. Dispatching consumes that state: a [`Dispatched`] query ends in an
//! answer or in a failure that is computed from what its shards said.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{name::CallerName, query::Submission};
//!
//! let caller = CallerName::try_new("sales-desk").unwrap();
//! let submission = Submission::new("stock-search", caller, "{}".into());
//! assert!(submission.shards.is_none());
//! ```

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    admission::Ticket,
    answer::{Answer, Merge, MissReason, Part},
    attempt::{Evidence, NotRun},
    error::{ErrorKind, Failure},
    id::RequestId,
    intent::{Intent, Rank, Routing},
    layout::ShardId,
    name::{CallerName, IdempotencyKey},
    pin::{Pin, Target},
    view::ServiceView,
};

/// The part of a deadline that is kept for the merge and the way back, as a
/// divisor.
const MERGE_RESERVE_DIVISOR: u32 = 20;

/// The most time that is kept for the merge and the way back.
const MERGE_RESERVE_MAX: Duration = Duration::from_millis(2);

/// A request as a front end hands it over, not yet checked.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The service to ask, as the caller wrote it.
    pub service: String,
    /// Who asks.
    pub caller: CallerName,
    /// What to ask: opaque bytes.
    pub body: Bytes,
    /// The shards to reach, if the caller names them.
    pub shards: Option<Vec<ShardId>>,
    /// The key whose hash chooses the shard, if the caller names one.
    pub key: Option<String>,
    /// How long the caller waits, from `received`.
    pub deadline: Option<Duration>,
    /// Whether the caller allows repetition.
    pub repeatable: Option<bool>,
    /// The key that makes the request idempotent.
    pub idempotency_key: Option<IdempotencyKey>,
    /// When the request came in.
    pub received: Instant,
}

impl Submission {
    /// A request that leaves everything else to the service's intent.
    #[must_use]
    pub fn new(service: impl Into<String>, caller: CallerName, body: Bytes) -> Self {
        Self {
            service: service.into(),
            caller,
            body,
            shards: None,
            key: None,
            deadline: None,
            repeatable: None,
            idempotency_key: None,
            received: Instant::now(),
        }
    }
}

/// How a checked request chooses its shards.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Choice {
    All,
    Shards(Vec<ShardId>),
    Hash(u64),
}

/// A request that satisfies the service's intent.
#[derive(Debug, Clone)]
pub struct Request {
    /// The request's fresh identifier.
    pub id: RequestId,
    /// Who asks.
    pub caller: CallerName,
    /// The caller's rank.
    pub rank: Rank,
    /// What to ask.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether the request may be sent more than once. Invariant: only if
    /// both the intent and the caller allow it.
    pub repeatable: bool,
    /// The key that makes the request idempotent.
    pub idempotency_key: Option<IdempotencyKey>,
    choice: Choice,
}

impl Request {
    /// Checks a submission against the service's intent.
    ///
    /// # Errors
    ///
    /// A [`Failure`] that names the field at fault; nothing was run.
    pub fn check(
        submission: Submission,
        intent: &Intent,
        cx: &ServiceView,
    ) -> Result<Self, Failure> {
        let service = cx.intent();
        check_body(&submission, service.max_body_bytes)?;
        let patience = check_deadline(&submission, service.default_deadline, service.max_deadline)?;
        let choice = check_choice(&submission, service.routing)?;
        Ok(Self {
            id: RequestId::fresh(),
            rank: intent.rank_of(&submission.caller),
            caller: submission.caller,
            body: submission.body,
            deadline: submission.received + patience,
            repeatable: service.repeatable && submission.repeatable.unwrap_or(true),
            idempotency_key: submission.idempotency_key,
            choice,
        })
    }

    /// The shards that the request asks for.
    #[must_use]
    pub fn target(&self) -> Target<'_> {
        match &self.choice {
            Choice::All => Target::All,
            Choice::Shards(shards) => Target::Shards(shards),
            Choice::Hash(hash) => Target::Hash(*hash),
        }
    }

    /// When a searcher's part must be in, so that the answer is in time.
    #[must_use]
    pub fn part_deadline(&self, now: Instant) -> Instant {
        let left = self.deadline.saturating_duration_since(now);
        self.deadline - (left / MERGE_RESERVE_DIVISOR).min(MERGE_RESERVE_MAX)
    }
}

fn check_body(submission: &Submission, limit: usize) -> Result<(), Failure> {
    let size = submission.body.len();
    if size > limit {
        let text = format!("body: {size} bytes are over the service's limit of {limit}");
        return Err(Failure::new(ErrorKind::BodyTooLarge, text));
    }
    Ok(())
}

fn check_deadline(
    submission: &Submission,
    default: Duration,
    cap: Duration,
) -> Result<Duration, Failure> {
    let patience = submission.deadline.unwrap_or(default);
    if patience.is_zero() {
        return Err(Failure::new(ErrorKind::BadDeadline, "deadline_ms: must be above zero"));
    }
    if patience > cap {
        let text = format!("deadline_ms: must be at most {}", cap.as_millis());
        return Err(Failure::new(ErrorKind::BadDeadline, text));
    }
    Ok(patience)
}

fn check_choice(submission: &Submission, routing: Routing) -> Result<Choice, Failure> {
    let refuse = |text: &str| Err(Failure::new(ErrorKind::RoutingNotAllowed, text));
    match (routing, &submission.shards, &submission.key) {
        (Routing::All, None, None) | (Routing::Shards, None, None) => Ok(Choice::All),
        (Routing::Shards, Some(shards), None) => check_shards(shards),
        (Routing::Key, None, Some(key)) => {
            Ok(Choice::Hash(xxhash_rust::xxh3::xxh3_64(key.as_bytes())))
        }
        (Routing::Key, _, None) => refuse("key: this service needs a key"),
        (Routing::Key, Some(_), _) => refuse("shards: this service chooses the shard by key"),
        (_, _, Some(_)) => refuse("key: this service does not choose shards by key"),
        (Routing::All, Some(_), _) => refuse("shards: this service always reaches every shard"),
    }
}

fn check_shards(shards: &[ShardId]) -> Result<Choice, Failure> {
    if shards.is_empty() {
        let text = "shards: must name at least one shard";
        return Err(Failure::new(ErrorKind::UnknownShard, text));
    }
    let mut shards = shards.to_vec();
    shards.sort_unstable();
    shards.dedup();
    Ok(Choice::Shards(shards))
}

/// Let in; nothing has been asked of a searcher.
#[derive(Debug)]
pub enum Admitted {}

/// Searchers may have been asked.
#[derive(Debug)]
pub enum Dispatched {}

/// A query in state `S`.
#[derive(Debug)]
pub struct Query<S> {
    req: Arc<Request>,
    service: Arc<ServiceView>,
    ticket: Ticket,
    /// Invariant: present from [`Dispatched`] on.
    merge: Option<Merge>,
    /// Covers every attempt so far, those at an earlier pin among them.
    evidence: Evidence,
    state: std::marker::PhantomData<S>,
}

impl<S> Query<S> {
    /// The checked request.
    #[must_use]
    pub const fn req(&self) -> &Arc<Request> {
        &self.req
    }

    /// The service as the query sees it to its end.
    #[must_use]
    pub const fn service(&self) -> &Arc<ServiceView> {
        &self.service
    }
}

impl Query<Admitted> {
    /// A query that was let in with this ticket.
    #[must_use]
    pub fn admitted(req: Request, service: Arc<ServiceView>, ticket: Ticket) -> Self {
        let state = std::marker::PhantomData;
        Self {
            req: Arc::new(req),
            service,
            ticket,
            merge: None,
            evidence: Evidence::default(),
            state,
        }
    }

    /// Refuses the query; nothing was run.
    #[must_use]
    pub fn refuse(self, kind: ErrorKind, context: &str) -> Failure {
        Failure::new(kind, context).for_request(self.req.id)
    }

    /// Begins to ask searchers for the pinned snapshot.
    #[must_use]
    pub fn dispatch(self, pin: &Pin) -> Query<Dispatched> {
        Query {
            req: self.req,
            service: self.service,
            ticket: self.ticket,
            merge: Some(Merge::new(pin.version())),
            evidence: self.evidence,
            state: std::marker::PhantomData,
        }
    }
}

/// Why a shard has no part, with the evidence if it was not run.
#[derive(Debug)]
pub enum Miss {
    /// No attempt at the shard was run.
    NotRun(NotRun, MissReason),
    /// Some attempt at the shard may have been run.
    Unknown(MissReason),
}

/// The end of a query without an answer.
#[derive(Debug)]
pub struct Ended {
    /// What the caller is told.
    pub failure: Failure,
    /// The evidence that nothing was run, if the failure says so.
    pub evidence: Option<NotRun>,
}

impl Query<Dispatched> {
    /// Takes in what one shard came to.
    ///
    /// # Panics
    ///
    /// Never: a dispatched query has a merge.
    pub fn take(&mut self, shard: ShardId, result: Result<Part, Miss>) {
        let merge = self.merge.as_mut().expect("a dispatched query has a merge");
        match result {
            Ok(part) => {
                self.evidence.may_have_run();
                if merge.add(part).is_err() {
                    merge.miss(shard, MissReason::Failed);
                }
            }
            Err(Miss::NotRun(evidence, reason)) => {
                self.evidence.add(evidence);
                merge.miss(shard, reason);
            }
            Err(Miss::Unknown(reason)) => {
                self.evidence.may_have_run();
                merge.miss(shard, reason);
            }
        }
    }

    /// Whether a shard has come to a part or a reason.
    #[must_use]
    pub fn has_taken(&self, shard: ShardId) -> bool {
        self.merge.as_ref().is_some_and(|m| m.knows(shard))
    }

    /// Whether a shard is missing because its replicas dropped the pinned
    /// version, and beginning anew cannot run anything twice that must not
    /// be repeated.
    #[must_use]
    pub fn may_repin(&self) -> bool {
        let is_gone = |m: &Merge| m.reasons().any(|r| r == MissReason::VersionGone);
        let may_repeat = self.req.repeatable || self.evidence.whole().is_some();
        may_repeat && self.merge.as_ref().is_some_and(is_gone)
    }

    /// Begins anew at another snapshot; parts of the old one are dropped.
    pub fn repin(&mut self, pin: &Pin) {
        self.merge = Some(Merge::new(pin.version()));
    }

    /// Ends the query: an answer if any shard is covered, otherwise the
    /// failure that its shards' reasons add up to.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotRun`] with the evidence when no shard was run,
    /// [`ErrorKind::OutcomeUnknown`] or [`ErrorKind::NothingCovered`]
    /// otherwise.
    ///
    /// # Panics
    ///
    /// Never: a dispatched query has a merge.
    pub fn finish(self) -> Result<Answer, Ended> {
        self.ticket.report();
        let merge = self.merge.expect("a dispatched query has a merge");
        if !merge.is_empty() {
            return Ok(merge.into_answer(self.req.id, self.service.intent().name.clone()));
        }
        let evidence = self.evidence.whole();
        let kind = match (&evidence, self.req.repeatable) {
            (Some(_), _) => ErrorKind::NotRun,
            (None, true) => ErrorKind::NothingCovered,
            (None, false) => ErrorKind::OutcomeUnknown,
        };
        let failure = Failure::new(kind, describe(merge.reasons())).for_request(self.req.id);
        Err(Ended { failure, evidence })
    }
}

/// Lists the reasons, each once.
fn describe(reasons: impl Iterator<Item = MissReason>) -> String {
    let mut names: Vec<&'static str> = reasons.map(Into::into).collect();
    names.sort_unstable();
    names.dedup();
    format!("no shard is covered: {}", names.join(", "))
}
