//! Relays the sub-requests for a shard through one of its aggregators: an
//! instance of the local zone that keeps connections to the shard's searchers, or
//! one of another zone if the local zone has no searcher of the shard.
//!
//! The aggregator sends the sub-requests for several shards, merges the parts and
//! returns only the greatest records. The parts that it receives until shortly
//! before the hedge delay are returned as one reply; each later part is returned
//! in a reply of its own, so that it can be discarded if another attempt was
//! faster.
//!
//! The aggregator sends first attempts, and others only with the evidence that a
//! searcher did not run the request. If its first reply comes in time, this
//! instance grants it the extra attempts; if not, this instance has another
//! aggregator send them, or sends them itself. Either happens, never both, so that no shard sees more
//! attempts than the route allows, and a silent aggregator does not make shards
//! unavailable.

use std::{future::Future, marker::PhantomData, sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    intent::Rank,
    name::{RouteName, SearcherName, ServiceName, ZoneName},
    quarantine::{CrashedSearcher, RequestFingerprint},
    sibling::Sibling,
};

mod client;
mod plan;
mod server;

pub(in crate::forward) use client::{RelayEvent, RelayTask, overdue_delay, record_overdue, send};
pub(in crate::forward) use plan::{RelayPlan, plan_relays, plan_take_over};
pub use server::{RelayReplySink, RelayServer};

/// A request to a sibling to send the sub-requests of several shards.
#[derive(Debug, Clone)]
pub struct RelayRequest<H> {
    /// The identifier that the caller gave the request; empty if none.
    pub id: Arc<str>,
    /// The route, in whose statistics the sibling's attempts are counted.
    pub route: RouteName,
    /// The shards to send sub-requests for, each once; none in a probe.
    pub shards: Vec<ServiceName>,
    /// The maximum number of records to return; the greatest are kept.
    pub top_k: usize,
    /// The maximum number of searchers at which the request may run for each
    /// shard; above one only with a grant.
    pub max_attempts: u32,
    /// The zone of another sibling that may have sent the first attempts, if the
    /// ones requested are extra attempts.
    pub attempted_in: Option<ZoneName>,
    /// The rank that decides which requests are served first.
    pub rank: Rank,
    /// The time after which the first reply must be sent, with the parts
    /// received so far.
    pub first_reply_within: Duration,
    /// The time left until the latency objective.
    pub objective_in: Duration,
    /// The time left until the deadline.
    pub deadline_in: Duration,
    /// What identifies the request if it is sent again.
    pub fingerprint: RequestFingerprint,
    /// What the transport forwards to searchers.
    pub head: Arc<H>,
}

/// One of the replies of a sibling to a relayed request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayReply {
    /// The greatest records of the merged parts.
    pub body: Bytes,
    /// The merged parts: the shard's position in the request, and the searcher's
    /// signature. Invariant: each position at most once.
    pub parts: Vec<(u16, Arc<str>)>,
    /// The positions of shards whose sub-requests reached no searcher.
    pub unreached: Vec<u16>,
    /// The searchers of the requested shards that are known to be leaving, with
    /// their incarnations.
    pub leaving: Vec<(SearcherName, u64)>,
    /// Searchers that ended while they ran the request, not told in an earlier reply.
    pub crashed: Vec<CrashedSearcher>,
    /// Whether this is the last reply to the request.
    pub is_last: bool,
}

impl RelayReply {
    /// Returns the only reply to a request of which no sub-request was sent.
    #[must_use]
    pub fn rejecting<H>(request: &RelayRequest<H>) -> Self {
        let unreached = (0..request.shards.len()).map(|position| position as u16);
        Self { unreached: unreached.collect(), is_last: true, ..Self::default() }
    }
}

/// Why a sibling did not reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RelayError {
    /// The sibling did not accept the request, so nothing was run.
    Down,
    /// The sibling may have sent sub-requests, and no reply came.
    Lost,
}

/// Sends requests to siblings.
pub trait RelayClient: Send + Sync + 'static {
    /// What is forwarded of a request.
    type Head: Send + Sync + 'static;
    /// The replies to one request.
    type Replies: RelayReplies;

    /// Sends a request to a sibling. Dropping the replies cancels the request.
    ///
    /// # Errors
    ///
    /// Returns a [`RelayError`] that says whether the sibling may have sent
    /// sub-requests.
    fn send(
        &self,
        sibling: &Sibling,
        request: RelayRequest<Self::Head>,
    ) -> impl Future<Output = Result<Self::Replies, RelayError>> + Send;
}

/// The replies of a sibling to one request.
pub trait RelayReplies: Send {
    /// Receives the next reply. Nothing can be received after the last reply or
    /// an error.
    ///
    /// # Errors
    ///
    /// Returns a [`RelayError`] if the connection fails before the last reply.
    fn next(&mut self) -> impl Future<Output = Result<RelayReply, RelayError>> + Send;

    /// Grants the sibling the extra attempts for the shards whose parts are
    /// missing. Returns whether the grant was sent; if not, the sibling may or may
    /// not have received it.
    fn grant_extra_attempts(&mut self) -> impl Future<Output = bool> + Send;
}

/// A relay that reaches no sibling, so that every sub-request is sent directly.
#[derive(Debug)]
pub struct NoRelay<H>(PhantomData<fn() -> H>);

impl<H> Default for NoRelay<H> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<H: Send + Sync + 'static> RelayClient for NoRelay<H> {
    type Head = H;
    type Replies = NoReplies;

    async fn send(&self, _: &Sibling, _: RelayRequest<H>) -> Result<NoReplies, RelayError> {
        Err(RelayError::Down)
    }
}

/// The replies of [`NoRelay`], of which there are none.
#[derive(Debug)]
pub struct NoReplies;

impl RelayReplies for NoReplies {
    async fn next(&mut self) -> Result<RelayReply, RelayError> {
        Err(RelayError::Down)
    }

    async fn grant_extra_attempts(&mut self) -> bool {
        false
    }
}
