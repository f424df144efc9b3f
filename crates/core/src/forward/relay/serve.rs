//! The serving side of a relay: sends the first attempts for a sibling's shards,
//! merges the parts received in time and returns each later part by itself.

use std::{future::Future, sync::Arc};

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::{Instant, sleep_until};

use super::{RelayAnswer, RelayAsk};
use crate::{
    forward::{
        Carrier, Context, HedgePlan, Reply,
        leg::{self, PriorAttempt},
        trace::Trace,
    },
    id::RequestId,
    name::ZoneName,
    records,
    route::{Route, ShardSet, Target},
    view::{View, ViewCell},
};

/// Serves the relayed requests of siblings.
#[derive(Debug)]
pub struct RelayService<C> {
    views: Arc<ViewCell>,
    carrier: Arc<C>,
    zone: ZoneName,
}

impl<C: Carrier> RelayService<C> {
    /// Returns the relay service of an instance in `zone`.
    #[must_use]
    pub const fn new(views: Arc<ViewCell>, carrier: Arc<C>, zone: ZoneName) -> Self {
        Self { views, carrier, zone }
    }

    /// Sends one attempt for each shard of the request, and the received parts
    /// to the sink.
    pub async fn answer<S: AnswerSink>(&self, request: RelayAsk<C::Head>, sink: &mut S) {
        let received = Instant::now();
        let view = self.views.load();
        let route = first_attempt_route(&request);
        let state = view.route_state(&route);
        let trace = Trace::new(received);
        let cx = Context {
            carrier: &*self.carrier,
            zone: &self.zone,
            route: &route,
            state: &state,
            head: &request.head,
            request_id: RequestId::fresh(),
            hedge: HedgePlan::disabled(),
            trace: &trace,
            objective_deadline: received + request.objective,
            deadline: received + request.patience,
        };
        send_parts(&cx, &view, &request, received + request.answer_within, sink).await;
    }
}

/// Sends the replies to one relayed request.
pub trait AnswerSink: Send {
    /// Sends one reply. Returns whether the requesting sibling still waits for
    /// more.
    fn send(&mut self, reply: RelayAnswer) -> impl Future<Output = bool> + Send;
}

/// Returns a route that allows one attempt per shard, for a relayed request.
fn first_attempt_route<H>(request: &RelayAsk<H>) -> Route {
    let target =
        Target::Shards(ShardSet { shards: Vec::new(), top: request.top, least_coverage: 0.0 });
    let mut route = Route::new(request.route.clone(), target);
    route.is_idempotent = true;
    route.rank = request.rank;
    route.timeout = request.patience;
    route.objective = request.objective;
    route.max_attempts = 1;
    route
}

/// Sends the sub-requests. Sends the parts received before `merge_until`, or
/// all of them if they come earlier, as one reply, and each later result as a
/// reply of its own.
async fn send_parts<C: Carrier, S: AnswerSink>(
    cx: &Context<'_, C>,
    view: &View,
    request: &RelayAsk<C::Head>,
    merge_until: Instant,
    sink: &mut S,
) {
    let sub_requests = request.shards.iter().enumerate().map(|(position, name)| async move {
        // The requesting sibling has counted the first attempt.
        (
            position as u16,
            leg::send_after(cx, view.service(name), PriorAttempt::CountedUnsent).await,
        )
    });
    let mut sub_requests: FuturesUnordered<_> = sub_requests.collect();
    let mut reply = RelayAnswer::default();
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
    reply.body = Bytes::from(records::greatest(&bodies, request.top));
    reply.is_last = sub_requests.is_empty();
    if !sink.send(reply).await {
        return;
    }
    while let Some((position, result)) = sub_requests.next().await {
        let mut reply = RelayAnswer::default();
        if let Some(body) = add_result(&mut reply, position, result) {
            reply.body = Bytes::from(records::greatest(&[body], request.top));
        }
        reply.is_last = sub_requests.is_empty();
        if !sink.send(reply).await {
            return;
        }
    }
}

/// Adds the result of a shard's sub-request to a reply. Returns the body of the
/// part, if there is one.
fn add_result<X>(
    reply: &mut RelayAnswer,
    position: u16,
    result: Result<Reply<X>, leg::Miss<X>>,
) -> Option<Bytes> {
    match result {
        Ok(Reply { signature: Some(signature), body, .. }) => {
            reply.parts.push((position, signature));
            Some(body)
        }
        Err(miss) if !miss.has_arrived => {
            reply.unasked.push(position);
            None
        }
        _ => None,
    }
}
