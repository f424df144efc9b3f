//! Forwards a routed request to one searcher, or to every shard of a set, and
//! returns the reply or the merged replies.
//!
//! The forwarder is independent of any encoding. A front end passes a
//! [`ForwardRequest`] with a head that is opaque here; a [`ForwardTransport`],
//! which interprets heads, exchanges messages with searchers and reports how
//! each exchange ended. This module decides which searcher gets an attempt,
//! when a hedge or a retry is sent, when a partial answer is sent and when a
//! request fails as not run.
//!
//! A request uses one [`View`] from start to end, so that all parts of an
//! answer belong to the shards of one configuration.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    attempt::NotRun,
    error::{ErrorKind, Execution, Failure},
    id::RequestId,
    lifecycle::StopDeadline,
    name::{ServiceName, ZoneName},
    quarantine::{Quarantine, ReportOnDrop, RequestFingerprint, RequestSuspicion},
    route::{Route, Target},
    searcher::Searcher,
    stats::RankStats,
    view::{RouteState, ServiceView, View, ViewCell},
};

mod attempt;
mod extra_attempts;
mod hedge;
pub(crate) mod parts;
mod relay;
mod sharded;
mod single;
pub(crate) mod sub_request;
mod trace;

pub use extra_attempts::{ExtraAttempts, ExtraAttemptsGrant};
pub use hedge::HedgePlan;
pub use relay::{
    NoRelay, NoReplies, RelayClient, RelayError, RelayReplies, RelayReply, RelayReplySink,
    RelayRequest, RelayServer,
};
use trace::{LogLimiter, Trace};

/// The retry delay reported to callers when no better estimate is known. A lost
/// searcher is usually replaced, a configuration received or capacity freed
/// within this time.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// How long before the request's deadline, which is the caller's timeout or the
/// route's if that is shorter, the reply must leave the process.
const FINAL_MARGIN: Duration = Duration::from_millis(10);

/// A request received by a front end.
#[derive(Debug)]
pub struct ForwardRequest<H> {
    /// The identifier that the caller gave the request; empty if none.
    pub id: Arc<str>,
    /// The host that the request is addressed to.
    pub host: Arc<str>,
    /// The path that the request is addressed to, without the query string.
    pub path: Arc<str>,
    /// The caller's timeout, counted from `received_at`, if it set one.
    pub timeout: Option<Duration>,
    /// When the request was received.
    pub received_at: Instant,
    /// What identifies the request if it is sent again.
    pub fingerprint: RequestFingerprint,
    /// What the transport forwards to searchers; opaque here.
    pub head: Arc<H>,
}

/// A complete reply of a searcher.
#[derive(Debug)]
pub struct Reply<X> {
    /// The searcher's signature, if the reply has one.
    pub signature: Option<Arc<str>>,
    /// The complete body.
    pub body: Bytes,
    /// The rest of the reply; opaque here.
    pub head: X,
}

/// How an exchange with a searcher ended.
#[derive(Debug)]
pub enum ExchangeOutcome<X> {
    /// The searcher ran the request and succeeded.
    Success(Reply<X>),
    /// The searcher ran the request and failed.
    Failure(Reply<X>),
    /// The searcher rejected the request without running it.
    Rejected(RejectionReason),
    /// No byte of the request was written.
    Unsent,
    /// No valid reply came; the request may have run.
    Lost(LossReason),
}

/// Why a searcher rejected a request without running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RejectionReason {
    /// The searcher has no capacity left.
    Full,
    /// Another searcher listens at the address.
    NotThere,
}

/// Why an exchange ended without a valid reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum LossReason {
    /// The connection closed before the reply was complete.
    Broken,
    /// The reply belongs to another request.
    Crossed,
    /// The reply lacks a required element or has an invalid one.
    Malformed,
    /// The deadline passed.
    TimedOut,
}

/// Why no connection to a searcher could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectError {
    /// The searcher did not accept a connection.
    Refused,
    /// No connection was available before the deadline.
    TimedOut,
}

/// Opens connections to searchers and carries out exchanges on them.
pub trait ForwardTransport: Send + Sync + 'static {
    /// What is forwarded of a request.
    type Head: Send + Sync + 'static;
    /// What a reply holds besides its signature and body.
    type ReplyHead: Send + 'static;
    /// A connection that is ready for one exchange.
    type Channel: Send;

    /// Returns a connection to a searcher, reused or new, by the deadline.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError`] if no connection could be opened in time.
    fn open(
        &self,
        searcher: &Arc<Searcher>,
        deadline: Instant,
    ) -> impl Future<Output = Result<Self::Channel, ConnectError>> + Send;

    /// Carries out one exchange. Dropping the future cancels the request at the
    /// searcher.
    fn exchange(
        &self,
        channel: Self::Channel,
        searcher: &Arc<Searcher>,
        head: &Arc<Self::Head>,
        deadline: Instant,
    ) -> impl Future<Output = ExchangeOutcome<Self::ReplyHead>> + Send;

    /// Returns whether a searcher refuses connections, after one to it has broken. One
    /// that does not reply in time may still be there.
    fn is_gone(
        &self,
        searcher: &Arc<Searcher>,
        deadline: Instant,
    ) -> impl Future<Output = bool> + Send;
}

/// The reply to a caller.
#[derive(Debug)]
pub enum ForwardReply<X> {
    /// One searcher's reply, unchanged.
    Unmodified(Reply<X>),
    /// The merged records of several shards.
    Merged(Merged),
}

/// The merged records of a set of shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// The greatest records, greatest first.
    pub body: Vec<u8>,
    /// The searchers' signatures of the merged parts. Invariant: not empty.
    pub signatures: Vec<Arc<str>>,
    /// The number of shards whose records are missing.
    pub missing: usize,
}

/// The forwarding settings of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardSettings {
    /// How long before the latency objective an answer must leave the process
    /// to reach its caller in time.
    pub answer_margin: Duration,
}

/// Forwards requests to searchers through the transport `C`, and to siblings
/// through the relay `R`.
#[derive(Debug)]
pub struct Forwarder<C, R> {
    views: Arc<ViewCell>,
    transport: Arc<C>,
    relay: R,
    zone: ZoneName,
    settings: ForwardSettings,
    stop_deadline: StopDeadline,
    quarantine: Arc<Quarantine>,
    log_limiter: LogLimiter,
}

/// The data that all attempts of one request share.
struct Context<'a, C: ForwardTransport> {
    transport: &'a C,
    zone: &'a ZoneName,
    route: &'a Route,
    state: &'a RouteState,
    head: &'a Arc<C::Head>,
    /// The identifier that the caller gave the request, for logs.
    caller_id: &'a Arc<str>,
    request_id: RequestId,
    hedge: HedgePlan,
    /// Whether extra attempts that may run the request again are allowed.
    extra_attempts: ExtraAttempts,
    /// The evidence of whether the request crashes searchers.
    suspicion: Arc<RequestSuspicion>,
    trace: &'a Trace,
    /// When an answer must leave the process to meet the latency objective.
    objective_deadline: Instant,
    /// When the reply must leave the process at the latest.
    deadline: Instant,
}

impl<C: ForwardTransport, R: RelayClient<Head = C::Head>> Forwarder<C, R> {
    /// Returns a forwarder for an instance in `zone`.
    #[must_use]
    pub fn new(
        views: Arc<ViewCell>,
        transport: Arc<C>,
        relay: R,
        zone: ZoneName,
        settings: ForwardSettings,
    ) -> Self {
        Self {
            views,
            transport,
            relay,
            zone,
            settings,
            stop_deadline: StopDeadline::default(),
            quarantine: Arc::default(),
            log_limiter: LogLimiter::new(),
        }
    }

    /// Answers each request before this time once it is set, so that no request
    /// ends without an answer because the process does.
    #[must_use]
    pub fn with_stop_deadline(mut self, stop_deadline: StopDeadline) -> Self {
        self.stop_deadline = stop_deadline;
        self
    }

    /// Refuses the requests of this quarantine, and reports to it.
    #[must_use]
    pub fn with_quarantine(mut self, quarantine: Arc<Quarantine>) -> Self {
        self.quarantine = quarantine;
        self
    }

    /// Forwards a request and returns the reply for its caller.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] whose kind says whether the request may have run.
    pub async fn forward(
        &self,
        req: ForwardRequest<C::Head>,
    ) -> Result<ForwardReply<C::ReplyHead>, Failure> {
        let view = self.views.load();
        let route = find_route(&view, &req)?;
        let state = view.route_state(&route);
        let trace = Trace::new(req.received_at);
        let result = self.run(&view, &route, &state, &req, &trace).await;
        self.log(&view, &route, &req, &trace, &result);
        record_result(&state.stats, req.received_at.elapsed(), route.latency_objective, &result);
        result
    }

    async fn run(
        &self,
        view: &View,
        route: &Route,
        state: &RouteState,
        req: &ForwardRequest<C::Head>,
        trace: &Trace,
    ) -> Result<ForwardReply<C::ReplyHead>, Failure> {
        if let Some(left) = self.quarantine.refused_for(req.fingerprint) {
            self.quarantine.refused.inc();
            let text = format!("request {} has crashed searchers", req.fingerprint);
            return Err(Failure::new(ErrorKind::Quarantined, text).with_retry_after(left));
        }
        if route.max_attempts == 0 {
            let failure = Failure::new(ErrorKind::NotRun, "the route allows no attempt");
            return Err(failure.with_retry_after(RETRY_AFTER));
        }
        let timeout = req.timeout.map_or(route.timeout, |t| t.min(route.timeout));
        let deadline = req.received_at + timeout.saturating_sub(FINAL_MARGIN);
        let hedge = HedgePlan::for_route(route, &state.sub_request_latency);
        let cx = Context {
            transport: &*self.transport,
            zone: &self.zone,
            route,
            state,
            head: &req.head,
            caller_id: &req.id,
            request_id: RequestId::random(),
            hedge,
            extra_attempts: ExtraAttempts::allowed(),
            suspicion: self.suspicion(route, req, hedge),
            trace,
            objective_deadline: req.received_at
                + route.latency_objective.saturating_sub(self.settings.answer_margin),
            deadline: self.stop_deadline.get().map_or(deadline, |stop| stop.min(deadline)),
        };
        let _report_on_drop = ReportOnDrop(Arc::clone(&cx.suspicion));
        match &route.target {
            Target::Service(service) => single::forward(&cx, find_service(view, service)).await,
            Target::Weighted(services) => {
                single::forward(&cx, find_service(view, route.next_service(services))).await
            }
            Target::Shards(set) => {
                let shards: Vec<_> = set.shards.iter().map(|s| find_service(view, s)).collect();
                sharded::forward(&cx, &self.relay, set, &shards).await
            }
        }
    }

    fn suspicion(
        &self,
        route: &Route,
        req: &ForwardRequest<C::Head>,
        hedge: HedgePlan,
    ) -> Arc<RequestSuspicion> {
        let address = (&req.host, &req.path);
        match &route.target {
            Target::Shards(_) => {
                let usual_time = hedge.delay().unwrap_or(route.latency_objective);
                RequestSuspicion::of_sharded(&self.quarantine, req.fingerprint, address, usual_time)
            }
            _ => RequestSuspicion::of_single(&self.quarantine, req.fingerprint, address),
        }
    }
}

impl<C: ForwardTransport, R: RelayClient<Head = C::Head>> Forwarder<C, R> {
    /// Logs a request that failed or whose trace has entries, unless the rate
    /// limit on log lines is reached.
    fn log(
        &self,
        view: &View,
        route: &Route,
        req: &ForwardRequest<C::Head>,
        trace: &Trace,
        result: &Result<ForwardReply<C::ReplyHead>, Failure>,
    ) {
        if (result.is_ok() && trace.is_empty())
            || !log::log_enabled!(target: "caller", log::Level::Info)
        {
            return;
        }
        let Some(suppressed) = self.log_limiter.try_log() else { return };
        let outcome = match result {
            Ok(ForwardReply::Unmodified(_)) => "answered".to_owned(),
            Ok(ForwardReply::Merged(merged)) => format!("answered missing={}", merged.missing),
            Err(f) => format!("failed kind={} why={:?}", f.kind(), f.context()),
        };
        let version = view.config().map_or(0, |config| config.version().number());
        log::info!(
            target: "caller",
            "request={} route={} version={version} {outcome} ms={:.1} patience_ms={} left_out={suppressed} events={trace}",
            req.id,
            route.name,
            req.received_at.elapsed().as_secs_f64() * 1e3,
            req.timeout.unwrap_or_default().as_millis(),
        );
    }
}

fn find_service<'a>(view: &'a View, name: &ServiceName) -> Option<&'a Arc<ServiceView>> {
    view.service(name)
}

fn find_route<H>(view: &View, req: &ForwardRequest<H>) -> Result<Arc<Route>, Failure> {
    let Some(intent) = view.intent() else {
        let failure = Failure::new(ErrorKind::NotReady, "no configuration is known yet");
        return Err(failure.with_retry_after(RETRY_AFTER));
    };
    match intent.routes.find(&req.host, &req.path) {
        Some(route) => Ok(Arc::clone(route)),
        None => Err(Failure::new(ErrorKind::UnknownRoute, "no route has this host and path")),
    }
}

/// Returns the failure that reports a request as not run. Requires the evidence
/// for that.
fn not_run_failure(_evidence: NotRun, context: &str) -> Failure {
    Failure::new(ErrorKind::NotRun, context).with_retry_after(RETRY_AFTER)
}

/// Records the outcome of a request and, if it was answered, its latency.
fn record_result<X>(
    stats: &RankStats,
    latency: Duration,
    objective: Duration,
    result: &Result<ForwardReply<X>, Failure>,
) {
    let counter = match result {
        Ok(ForwardReply::Merged(merged)) if merged.missing > 0 => &stats.partial,
        Ok(_) => &stats.whole,
        Err(f) if f.kind().properties().execution() == Execution::NotRun => &stats.refused,
        Err(_) => &stats.unknown,
    };
    counter.inc();
    if result.is_ok() {
        stats.latency.record(latency);
    }
    let is_complete = std::ptr::eq(counter, &stats.whole);
    if is_complete && latency <= objective {
        stats.in_time.inc();
    }
}
