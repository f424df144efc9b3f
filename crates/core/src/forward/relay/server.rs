//! The serving side of a relay: sends the sub-requests for the shards that a
//! sibling requests, merges the parts received in time and returns each later
//! part by itself.

use std::{future::Future, sync::Arc};

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::{Instant, sleep_until};

use super::{RelayReply, RelayRequest};
use crate::{
    forward::{
        Context, ExtraAttempts, ForwardTransport, HedgePlan, Reply,
        sub_request::{self, PriorAttempt},
        trace::{LogLimiter, Trace},
    },
    id::RequestId,
    name::{SearcherName, ServiceName, ZoneName},
    quarantine::{Quarantine, RequestSuspicion},
    records,
    route::{Route, ShardSet, Target},
    view::{View, ViewCell},
};

/// Serves the relayed requests of siblings.
#[derive(Debug)]
pub struct RelayServer<C> {
    views: Arc<ViewCell>,
    transport: Arc<C>,
    zone: ZoneName,
    quarantine: Arc<Quarantine>,
    log_limiter: LogLimiter,
}

impl<C: ForwardTransport> RelayServer<C> {
    /// Returns the relay service of an instance in `zone`.
    #[must_use]
    pub fn new(views: Arc<ViewCell>, transport: Arc<C>, zone: ZoneName) -> Self {
        let quarantine = Arc::default();
        Self { views, transport, zone, quarantine, log_limiter: LogLimiter::new() }
    }

    /// Rejects the requests of this quarantine.
    #[must_use]
    pub fn with_quarantine(mut self, quarantine: Arc<Quarantine>) -> Self {
        self.quarantine = quarantine;
        self
    }

    /// Sends the sub-requests for each shard of the request, and the replies with
    /// the received parts to `sink`. `extra_attempts` says whether the requesting
    /// sibling has granted the extra attempts.
    pub async fn serve<S: RelayReplySink>(
        &self,
        request: RelayRequest<C::Head>,
        extra_attempts: ExtraAttempts,
        sink: &mut S,
    ) {
        if self.quarantine.refused_for(request.fingerprint).is_some() {
            sink.send(RelayReply::rejecting(&request)).await;
            return;
        }
        let received = Instant::now();
        let view = self.views.load();
        let route = sub_request_route(&request);
        let state = view.route_state(&route);
        let trace = Trace::new(received);
        let cx = Context {
            transport: &*self.transport,
            zone: &self.zone,
            route: &route,
            state: &state,
            head: &request.head,
            caller_id: &request.id,
            request_id: RequestId::random(),
            hedge: HedgePlan::for_route(&route, &state.sub_request_latency),
            extra_attempts,
            suspicion: RequestSuspicion::of_relayed(&self.quarantine, request.fingerprint),
            trace: &trace,
            objective_deadline: received + request.objective_in,
            deadline: received + request.deadline_in,
        };
        send_parts(&cx, &view, &request, received + request.first_reply_within, sink).await;
        self.log(&view, &request, received, &trace);
    }

    /// Logs a request whose trace has entries, unless the rate limit on log lines
    /// is reached.
    fn log(&self, view: &View, request: &RelayRequest<C::Head>, received: Instant, trace: &Trace) {
        if trace.is_empty() || !log::log_enabled!(target: "sibling", log::Level::Info) {
            return;
        }
        let Some(suppressed) = self.log_limiter.try_log() else { return };
        let version = view.config().map_or(0, |config| config.version().number());
        log::info!(
            target: "sibling",
            "request={} route={} version={version} relayed shards={} ms={:.1} patience_ms={} left_out={suppressed} events={trace}",
            request.id,
            request.route,
            request.shards.len(),
            received.elapsed().as_secs_f64() * 1e3,
            request.deadline_in.as_millis(),
        );
    }
}

/// Sends the replies to one relayed request.
pub trait RelayReplySink: Send {
    /// Sends one reply. Returns whether the requesting sibling still waits for
    /// more.
    fn send(&mut self, reply: RelayReply) -> impl Future<Output = bool> + Send;
}

/// Returns the route of the sub-requests of a relayed request.
fn sub_request_route<H>(request: &RelayRequest<H>) -> Route {
    let target =
        Target::Shards(ShardSet { shards: Vec::new(), top_k: request.top_k, min_coverage: 0.0 });
    let mut route = Route::new(request.route.clone(), target);
    route.is_idempotent = true;
    route.rank = request.rank;
    route.timeout = request.deadline_in;
    route.latency_objective = request.objective_in;
    route.max_attempts = request.max_attempts;
    route
}

/// Sends the sub-requests. Sends the parts received before `merge_until`, or
/// all of them if they come earlier, as one reply, and each later result as a
/// reply of its own.
async fn send_parts<C: ForwardTransport, S: RelayReplySink>(
    cx: &Context<'_, C>,
    view: &View,
    request: &RelayRequest<C::Head>,
    merge_until: Instant,
    sink: &mut S,
) {
    let sub_requests = request.shards.iter().enumerate().map(|(position, name)| async move {
        let service = view.service(name);
        let prior = match &request.attempted_in {
            Some(zone) => PriorAttempt::SentInZone(zone.clone()),
            None => PriorAttempt::NoneForSibling,
        };
        let result = sub_request::send_after(cx, service, prior).await;
        (position as u16, result)
    });
    let mut sub_requests: FuturesUnordered<_> = sub_requests.collect();
    let mut reply = RelayReply::default();
    let mut bodies = Vec::with_capacity(request.shards.len());
    let merge_timer = sleep_until(merge_until);
    tokio::pin!(merge_timer);
    while !sub_requests.is_empty() {
        tokio::select! {
            biased;
            Some((position, result)) = sub_requests.next() => {
                bodies.extend(add_result(&mut reply, position, result))
            }
            () = &mut merge_timer => break,
        }
    }
    reply.body = Bytes::from(records::merge_greatest(&bodies, request.top_k));
    reply.is_last = sub_requests.is_empty();
    reply.leaving = leaving_searchers(view, &request.shards);
    reply.crashed = cx.suspicion.take_crashes();
    if !sink.send(reply).await {
        return;
    }
    loop {
        let (position, result) = tokio::select! {
            biased;
            () = cx.suspicion.wait_for_crash() => {
                let crashed = cx.suspicion.take_crashes();
                if !sink.send(RelayReply { crashed, ..RelayReply::default() }).await {
                    return;
                }
                continue;
            }
            next = sub_requests.next() => match next {
                Some(next) => next,
                None => return,
            },
        };
        let mut reply = RelayReply::default();
        if let Some(body) = add_result(&mut reply, position, result) {
            reply.body = Bytes::from(records::merge_greatest(&[body], request.top_k));
        }
        reply.is_last = sub_requests.is_empty();
        reply.leaving = leaving_searchers(view, &request.shards[usize::from(position)..][..1]);
        if !sink.send(reply).await {
            return;
        }
    }
}

/// Returns the searchers of these shards that are leaving. The requesting sibling
/// has not received what they say about themselves.
fn leaving_searchers(view: &View, shards: &[ServiceName]) -> Vec<(SearcherName, u64)> {
    let services = shards.iter().filter_map(|shard| view.service(shard));
    let searchers = services.flat_map(|service| service.searchers());
    let leaving = searchers.filter(|s| s.is_known_to_leave());
    leaving.map(|s| (s.name().clone(), s.incarnation())).collect()
}

/// Adds the result of a shard's sub-request to a reply. Returns the body of the
/// part, if there is one.
fn add_result<X>(
    reply: &mut RelayReply,
    position: u16,
    result: Result<Reply<X>, sub_request::SubRequestFailure<X>>,
) -> Option<Bytes> {
    match result {
        Ok(Reply { signature: Some(signature), body, .. }) => {
            reply.parts.push((position, signature));
            Some(body)
        }
        Err(failure) if !failure.reached_searcher => {
            reply.unreached.push(position);
            None
        }
        _ => None,
    }
}
