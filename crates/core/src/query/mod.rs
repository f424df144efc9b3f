//! The life cycle of a query, as a typestate.
//!
//! A query in [`Admitted`] has passed the checks against the configuration and
//! has been admitted; nothing has been sent to a searcher, so it can still fail
//! as not run. Dispatching consumes that state. A [`Dispatched`] query ends in
//! an answer, or in a failure that is derived from the results of its shards.
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

use std::sync::Arc;

use crate::{
    admission::AdmissionGuard,
    answer::{Answer, Merge, MissingReason, Part},
    attempt::{CombinedEvidence, NotRun},
    error::{ErrorKind, Failure},
    layout::ShardId,
    version_pin::VersionPin,
    view::ServiceView,
};

mod request;

pub use request::{Destination, Request, Submission};

/// Admitted; nothing has been sent to a searcher.
#[derive(Debug)]
pub enum Admitted {}

/// Sub-requests may have been sent to searchers.
#[derive(Debug)]
pub enum Dispatched {}

/// A query in state `S`.
#[derive(Debug)]
pub struct Query<S> {
    req: Arc<Request>,
    service: Arc<ServiceView>,
    guard: AdmissionGuard,
    /// Invariant: present from [`Dispatched`] on.
    merge: Option<Merge>,
    /// The evidence of every attempt so far, including those at an earlier
    /// pinned version.
    evidence: CombinedEvidence,
    state: std::marker::PhantomData<S>,
}

impl<S> Query<S> {
    /// Returns the checked request.
    #[must_use]
    pub const fn req(&self) -> &Arc<Request> {
        &self.req
    }

    /// Returns the view of the service that the query keeps until it ends.
    #[must_use]
    pub const fn service(&self) -> &Arc<ServiceView> {
        &self.service
    }
}

impl Query<Admitted> {
    /// Creates a query that was admitted with this guard.
    #[must_use]
    pub fn admitted(req: Request, service: Arc<ServiceView>, guard: AdmissionGuard) -> Self {
        let state = std::marker::PhantomData;
        Self {
            req: Arc::new(req),
            service,
            guard,
            merge: None,
            evidence: CombinedEvidence::default(),
            state,
        }
    }

    /// Ends the query with a failure. Nothing has been sent, so it was not run.
    #[must_use]
    pub fn fail_unsent(self, kind: ErrorKind, context: &str) -> Failure {
        Failure::new(kind, context).with_request(self.req.id)
    }

    /// Moves the query to [`Dispatched`], with an empty merge for the pinned
    /// version.
    #[must_use]
    pub fn dispatch(self, pin: &VersionPin) -> Query<Dispatched> {
        Query {
            req: self.req,
            service: self.service,
            guard: self.guard,
            merge: Some(Merge::new(pin.version())),
            evidence: self.evidence,
            state: std::marker::PhantomData,
        }
    }
}

/// The reason why a shard has no part, with the evidence if it was not run.
#[derive(Debug)]
pub enum ShardFailure {
    /// No attempt of the shard's sub-request was run.
    NotRun(NotRun, MissingReason),
    /// Some attempt of the shard's sub-request may have been run.
    Unknown(MissingReason),
}

/// The result of a query that ended without an answer.
#[derive(Debug)]
pub struct QueryFailure {
    /// The failure that is returned to the caller.
    pub failure: Failure,
    /// The evidence that no attempt was run; present only if the failure says
    /// that the query was not run.
    pub evidence: Option<NotRun>,
}

impl Query<Dispatched> {
    /// Records the result of one shard.
    ///
    /// # Panics
    ///
    /// Never: a dispatched query has a merge.
    pub fn record_shard(&mut self, shard: ShardId, result: Result<Part, ShardFailure>) {
        let merge = self.merge.as_mut().expect("a dispatched query has a merge");
        match result {
            Ok(part) => {
                self.evidence.mark_may_have_run();
                if merge.add(part).is_err() {
                    merge.add_missing(shard, MissingReason::Failed);
                }
            }
            Err(ShardFailure::NotRun(evidence, reason)) => {
                self.evidence.add_not_run(evidence);
                merge.add_missing(shard, reason);
            }
            Err(ShardFailure::Unknown(reason)) => {
                self.evidence.mark_may_have_run();
                merge.add_missing(shard, reason);
            }
        }
    }

    /// Whether the shard has a part or a reason why it has none.
    #[must_use]
    pub fn has_shard_result(&self, shard: ShardId) -> bool {
        self.merge.as_ref().is_some_and(|merge| merge.has_result_for(shard))
    }

    /// Whether the query may be restarted at another version: a shard is
    /// missing because its replicas dropped the pinned version, and a restart
    /// cannot run a non-repeatable request twice.
    #[must_use]
    pub fn may_repin(&self) -> bool {
        let lacks_version =
            |merge: &Merge| merge.reasons().any(|reason| reason == MissingReason::VersionGone);
        let can_restart = self.req.repeatable || self.evidence.not_run().is_some();
        can_restart && self.merge.as_ref().is_some_and(lacks_version)
    }

    /// Restarts the query at another version and drops the parts of the old one.
    /// The evidence of the attempts so far is kept.
    pub fn repin(&mut self, pin: &VersionPin) {
        self.merge = Some(Merge::new(pin.version()));
    }

    /// Ends the query with an answer if any shard has a part, otherwise with
    /// the failure that follows from the shards' reasons.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotRun`] or [`ErrorKind::ExpiredUnsent`] with the
    /// evidence if no attempt was run, otherwise [`ErrorKind::OutcomeUnknown`]
    /// for a non-repeatable request or [`ErrorKind::NothingCovered`] for a
    /// repeatable one.
    ///
    /// # Panics
    ///
    /// Never: a dispatched query has a merge.
    pub fn finish(self) -> Result<Answer, QueryFailure> {
        self.guard.record_latency();
        let merge = self.merge.expect("a dispatched query has a merge");
        if !merge.is_empty() {
            return Ok(merge.into_answer(self.req.id, self.service.intent().name.clone()));
        }
        let evidence = self.evidence.not_run();
        let is_expired = merge.reasons().all(|reason| reason == MissingReason::NotSent);
        let kind = match (&evidence, self.req.repeatable) {
            (Some(_), _) if is_expired => ErrorKind::ExpiredUnsent,
            (Some(_), _) => ErrorKind::NotRun,
            (None, true) => ErrorKind::NothingCovered,
            (None, false) => ErrorKind::OutcomeUnknown,
        };
        let failure = Failure::new(kind, format_reasons(merge.reasons())).with_request(self.req.id);
        Err(QueryFailure { failure, evidence })
    }
}

/// Formats the distinct reasons as a sentence of context for a failure.
fn format_reasons(reasons: impl Iterator<Item = MissingReason>) -> String {
    let mut names: Vec<&'static str> = reasons.map(Into::into).collect();
    names.sort_unstable();
    names.dedup();
    format!("no shard is covered: {}", names.join(", "))
}
