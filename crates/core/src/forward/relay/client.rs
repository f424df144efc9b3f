//! The requesting side of a relay: chooses the shards and the sibling, sends
//! the request and receives the sibling's replies.

use std::{collections::HashMap, pin::pin, sync::Arc, time::Duration};

use futures::stream::{Stream, unfold};
use tokio::time::{Instant, timeout_at};

use super::{RelayClient, RelayError, RelayReplies, RelayReply, RelayRequest};
use crate::{
    forward::{Context, ForwardTransport},
    name::ZoneName,
    route::ShardSet,
    searcher::choice,
    sibling::{self, Sibling},
    view::ServiceView,
};

/// The fewest shards that are relayed. For a single shard, a relay moves as
/// many bytes between zones as a direct sub-request.
const MIN_SHARDS: usize = 2;

/// How long before the hedge delay the sibling must send its first reply, so
/// that the reply arrives in time.
const RETURN_MARGIN: Duration = Duration::from_millis(3);

/// How long after the hedge delay a sibling's first reply is overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(3);

/// How long a sibling is ejected after its first reply was overdue.
const OVERDUE_EJECTION: Duration = Duration::from_millis(500);

/// How long a sibling is ejected after a request to it failed before any
/// reply.
const DOWN_EJECTION: Duration = Duration::from_secs(2);

/// The sibling for a relay, and the shards that are requested from it.
#[derive(Debug)]
pub(in crate::forward) struct RelayPlan {
    pub(in crate::forward) sibling: Arc<Sibling>,
    /// The indices of the shards in their set, in the order of the request.
    pub(in crate::forward) shard_indices: Vec<usize>,
}

/// An event of a relay.
#[derive(Debug)]
pub(in crate::forward) enum RelayEvent {
    /// The sibling sent a reply.
    Reply(RelayReply),
    /// The sibling sends nothing more.
    End {
        /// Whether searchers may have run the sub-requests of shards whose
        /// parts did not come.
        may_have_run: bool,
    },
}

/// Plans a relay for shards that have no searcher in the local zone. Returns
/// `None` if hedging is disabled, if no other zone has searchers for at least
/// [`MIN_SHARDS`] of them or if no sibling in such a zone is available.
pub(in crate::forward) fn plan_relay<C: ForwardTransport>(
    cx: &Context<'_, C>,
    siblings: &[Arc<Sibling>],
    shards: &[Option<&Arc<ServiceView>>],
) -> Option<RelayPlan> {
    // Only the hedge delay bounds the wait for a sibling.
    cx.hedge.delay()?;
    if siblings.is_empty() {
        return None;
    }
    let mut shards_by_zone: HashMap<&ZoneName, Vec<usize>> = HashMap::new();
    for (index, shard) in shards.iter().enumerate() {
        let Some(service) = shard else { continue };
        if service.searchers().iter().any(|s| !s.is_leaving() && s.zone() == cx.zone) {
            continue;
        }
        let usable =
            service.searchers().iter().filter(|s| !s.is_leaving() && choice::is_responsive(s));
        let mut zones: Vec<&ZoneName> = usable.map(|s| s.zone()).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones.into_iter().filter(|zone| *zone != cx.zone) {
            shards_by_zone.entry(zone).or_default().push(index);
        }
    }
    let mut zones: Vec<_> =
        shards_by_zone.into_iter().filter(|(_, indices)| indices.len() >= MIN_SHARDS).collect();
    // Zones with equally many shards are chosen at random for each query.
    zones.sort_unstable_by_key(|(zone, indices)| (indices.len(), rand::random::<u32>(), *zone));
    zones.into_iter().rev().find_map(|(zone, shard_indices)| {
        let sibling = sibling::choose_in_zone(siblings, zone)?;
        Some(RelayPlan { sibling, shard_indices })
    })
}

/// Sends the request of a plan to its sibling. The stream ends after
/// [`RelayEvent::End`].
pub(in crate::forward) fn send<'a, C: ForwardTransport, R: RelayClient<Head = C::Head>>(
    cx: &'a Context<'_, C>,
    relay: &'a R,
    set: &ShardSet,
    plan: &'a RelayPlan,
) -> impl Stream<Item = RelayEvent> + Send + use<'a, C, R> {
    let now = Instant::now();
    let hedge_delay = cx.hedge.delay().unwrap_or_default();
    let request = RelayRequest {
        route: cx.route.name.clone(),
        shards: plan.shard_indices.iter().map(|index| set.shards[*index].clone()).collect(),
        top_k: set.top_k,
        rank: cx.route.rank,
        first_reply_within: hedge_delay.saturating_sub(RETURN_MARGIN),
        objective_in: cx.objective_deadline.saturating_duration_since(now),
        deadline_in: cx.deadline.saturating_duration_since(now),
        head: Arc::clone(cx.head),
    };
    let initial =
        RelayState::Request(relay, &plan.sibling, request, now + hedge_delay + OVERDUE_MARGIN);
    unfold(initial, |state| async move {
        match state {
            RelayState::Request(relay, sibling, request, due) => {
                send_request(relay, sibling, request, due).await
            }
            RelayState::Receive(mut replies) => {
                let next = replies.next().await;
                Some(handle_reply(next, replies))
            }
            RelayState::End { may_have_run } => {
                Some((RelayEvent::End { may_have_run }, RelayState::Done))
            }
            RelayState::Done => None,
        }
    })
}

/// The state of a relay.
enum RelayState<'a, R: RelayClient> {
    /// The request is to be sent; the instant is when the first reply is due.
    Request(&'a R, &'a Sibling, RelayRequest<R::Head>, Instant),
    /// More replies may come.
    Receive(R::Replies),
    /// The last reply came; [`RelayEvent::End`] is to be emitted.
    End { may_have_run: bool },
    /// [`RelayEvent::End`] was emitted.
    Done,
}

/// Sends the request and waits for the first reply.
async fn send_request<'a, R: RelayClient>(
    relay: &'a R,
    sibling: &'a Sibling,
    request: RelayRequest<R::Head>,
    due: Instant,
) -> Option<(RelayEvent, RelayState<'a, R>)> {
    let mut replies = match relay.send(sibling, request).await {
        Ok(replies) => replies,
        Err(e) => {
            sibling.eject_for(DOWN_EJECTION);
            let may_have_run = e != RelayError::Down;
            return Some((RelayEvent::End { may_have_run }, RelayState::Done));
        }
    };
    let reply = first_reply(&mut replies, sibling, due).await;
    Some(handle_reply(reply, replies))
}

/// Waits for the first reply. A sibling whose first reply is overdue is
/// ejected, but the reply is still awaited.
async fn first_reply(
    replies: &mut impl RelayReplies,
    sibling: &Sibling,
    due: Instant,
) -> Result<RelayReply, RelayError> {
    let mut next = pin!(replies.next());
    if let Ok(reply) = timeout_at(due, &mut next).await {
        return reply;
    }
    log::debug!(
        target: "sibling",
        "Sibling {} did not reply in time; ejecting it.",
        sibling.name(),
    );
    sibling.eject_for(OVERDUE_EJECTION);
    next.await
}

/// Returns the event for a reply, and the state after it.
fn handle_reply<'a, R: RelayClient>(
    reply: Result<RelayReply, RelayError>,
    replies: R::Replies,
) -> (RelayEvent, RelayState<'a, R>) {
    match reply {
        Ok(reply) if reply.is_last => {
            (RelayEvent::Reply(reply), RelayState::End { may_have_run: true })
        }
        Ok(reply) => (RelayEvent::Reply(reply), RelayState::Receive(replies)),
        Err(_) => (RelayEvent::End { may_have_run: true }, RelayState::Done),
    }
}
