//! The requesting side of a relay: sends the request to a sibling, receives its
//! replies and grants it the extra attempts.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use futures::stream::{Stream, unfold};
use tokio::time::Instant;

use super::{RelayClient, RelayError, RelayPlan, RelayReplies, RelayReply, RelayRequest};
use crate::{
    forward::{Context, ForwardTransport, sub_request::PriorAttempt},
    name::ZoneName,
    quarantine::RequestSuspicion,
    route::ShardSet,
    sibling::Sibling,
};

/// How long before the hedge delay the sibling must send its first reply, so
/// that the reply arrives in time.
const RETURN_MARGIN: Duration = Duration::from_millis(3);

/// How long after the hedge delay a sibling's first reply is overdue, which
/// includes the time for opening a connection to another zone.
const OVERDUE_MARGIN: Duration = Duration::from_millis(10);

/// How long a sibling is ejected after its first reply was overdue; doubled each
/// time until it replies in time.
const OVERDUE_EJECTION: Duration = Duration::from_millis(500);

/// How long a sibling is ejected after a request to it failed before any
/// reply.
const DOWN_EJECTION: Duration = Duration::from_secs(2);

/// Who may send the extra attempts for the shards of a relay. It changes once, so
/// that two instances never both send them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum ExtraAttemptsOwner {
    /// It is not decided; neither instance sends any.
    Undecided,
    /// The sibling, which has been granted them.
    Sibling,
    /// This instance, since the sibling was silent.
    ThisInstance,
}

/// A relay in progress.
#[derive(Debug)]
pub(in crate::forward) struct RelayTask {
    pub(in crate::forward) plan: RelayPlan,
    /// The zone of a silent sibling whose shards this relay takes over.
    attempted_in: Option<ZoneName>,
    /// An [`ExtraAttemptsOwner`].
    owner: AtomicU8,
}

impl RelayTask {
    /// Returns a relay of first attempts.
    pub(in crate::forward) fn first_attempts(plan: RelayPlan) -> Arc<Self> {
        let owner = AtomicU8::new(ExtraAttemptsOwner::Undecided as u8);
        Arc::new(Self { plan, attempted_in: None, owner })
    }

    /// Returns a relay of extra attempts, after a sibling of this zone was silent.
    pub(in crate::forward) fn extra_attempts(plan: RelayPlan, zone: ZoneName) -> Arc<Self> {
        let owner = AtomicU8::new(ExtraAttemptsOwner::Sibling as u8);
        Arc::new(Self { plan, attempted_in: Some(zone), owner })
    }

    fn decide(&self, owner: ExtraAttemptsOwner) -> bool {
        let undecided = ExtraAttemptsOwner::Undecided as u8;
        self.owner
            .compare_exchange(undecided, owner as u8, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// Takes the extra attempts for this instance. Returns false if the sibling has
    /// them or this instance has taken them before.
    pub(in crate::forward) fn try_take_over(&self) -> bool {
        self.decide(ExtraAttemptsOwner::ThisInstance)
    }

    /// Returns whether this instance has taken the extra attempts.
    fn is_taken_over(&self) -> bool {
        self.owner.load(Ordering::Acquire) == ExtraAttemptsOwner::ThisInstance as u8
    }

    /// Records that the sibling has not received the request, so that it cannot
    /// send extra attempts. Does nothing if this instance has taken them before.
    fn take_back(&self) {
        let (sibling, undecided) =
            (ExtraAttemptsOwner::Sibling as u8, ExtraAttemptsOwner::Undecided as u8);
        let taken_back =
            self.owner.compare_exchange(sibling, undecided, Ordering::AcqRel, Ordering::Acquire);
        if taken_back.is_err() {
            log::trace!(target: "sibling", "The extra attempts were not with the sibling.");
        }
    }

    /// Returns what is known of the attempts for the shards after the relay ended
    /// without their parts.
    pub(in crate::forward) fn prior_attempt(&self, may_have_run: bool) -> PriorAttempt {
        match (may_have_run, &self.attempted_in) {
            (true, _) => PriorAttempt::SentInZone(self.plan.sibling.zone().clone()),
            (false, Some(zone)) => PriorAttempt::SentInZone(zone.clone()),
            (false, None) => PriorAttempt::CountedUnsent,
        }
    }

    fn try_grant(&self) -> bool {
        self.decide(ExtraAttemptsOwner::Sibling)
    }
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

/// Returns how long after the start of a relay the sibling's first reply is
/// overdue.
pub(in crate::forward) fn overdue_delay<C: ForwardTransport>(cx: &Context<'_, C>) -> Duration {
    cx.hedge.delay().unwrap_or_default() + OVERDUE_MARGIN
}

/// Sends the request of a plan to its sibling. The stream ends after
/// [`RelayEvent::End`].
pub(in crate::forward) fn send<'a, C: ForwardTransport, R: RelayClient<Head = C::Head>>(
    cx: &'a Context<'_, C>,
    relay: &'a R,
    set: &ShardSet,
    task: Arc<RelayTask>,
) -> impl Stream<Item = RelayEvent> + Send + use<'a, C, R> {
    let now = Instant::now();
    let hedge_delay = cx.hedge.delay().unwrap_or_default();
    let request = RelayRequest {
        id: Arc::clone(cx.caller_id),
        route: cx.route.name.clone(),
        shards: task.plan.shard_indices.iter().map(|index| set.shards[*index].clone()).collect(),
        top_k: set.top_k,
        max_attempts: cx.route.max_attempts,
        attempted_in: task.attempted_in.clone(),
        rank: cx.route.rank,
        first_reply_within: hedge_delay.saturating_sub(RETURN_MARGIN),
        objective_in: cx.objective_deadline.saturating_duration_since(now),
        deadline_in: cx.deadline.saturating_duration_since(now),
        fingerprint: cx.suspicion.fingerprint(),
        head: Arc::clone(cx.head),
    };
    let suspicion = Arc::clone(&cx.suspicion);
    unfold(RelayState::Request(relay, task, request, suspicion), |state| async move {
        match state {
            RelayState::Request(relay, task, request, suspicion) => {
                send_request(relay, &task, request, suspicion).await
            }
            RelayState::Receive(mut replies, suspicion) => {
                let next = replies.next().await;
                record_evidence(&suspicion, &next);
                Some(handle_reply(next, replies, suspicion))
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
    /// The request is to be sent.
    Request(&'a R, Arc<RelayTask>, RelayRequest<R::Head>, Arc<RequestSuspicion>),
    /// More replies may come.
    Receive(R::Replies, Arc<RequestSuspicion>),
    /// The last reply came; [`RelayEvent::End`] is to be emitted.
    End { may_have_run: bool },
    /// [`RelayEvent::End`] was emitted.
    Done,
}

/// Sends the request, waits for the first reply and, if more replies are to come,
/// grants the sibling the extra attempts.
async fn send_request<'a, R: RelayClient>(
    relay: &'a R,
    task: &RelayTask,
    request: RelayRequest<R::Head>,
    suspicion: Arc<RequestSuspicion>,
) -> Option<(RelayEvent, RelayState<'a, R>)> {
    let sibling = &*task.plan.sibling;
    sibling.zone_state().stats.sent.inc();
    let mut replies = match relay.send(sibling, request).await {
        Ok(replies) => replies,
        Err(e) => {
            sibling.eject_for(DOWN_EJECTION);
            sibling.zone_state().breaker.record_failure();
            sibling.zone_state().stats.unreachable.inc();
            let may_have_run = e != RelayError::Down;
            if !may_have_run {
                task.take_back();
            }
            return Some((RelayEvent::End { may_have_run }, RelayState::Done));
        }
    };
    let reply = replies.next().await;
    match &reply {
        Ok(_) if task.is_taken_over() => {}
        Ok(_) => sibling.record_reply(),
        Err(_) => sibling.zone_state().breaker.record_failure(),
    }
    record_evidence(&suspicion, &reply);
    let has_more = reply.as_ref().is_ok_and(|reply| !reply.is_last);
    // A reply with parts is cleared by them and does not wait.
    if has_more && suspicion.wait_for_clearance().await && task.try_grant() {
        sibling.zone_state().stats.granted.inc();
        if !replies.grant_extra_attempts().await {
            log::debug!(
                target: "sibling",
                "Could not grant extra attempts to sibling {}; none are sent.",
                sibling.name(),
            );
        }
    }
    Some(handle_reply(reply, replies, suspicion))
}

/// Records what a reply shows of whether the request crashes searchers.
fn record_evidence(suspicion: &RequestSuspicion, reply: &Result<RelayReply, RelayError>) {
    let Ok(reply) = reply else { return };
    if !reply.parts.is_empty() {
        suspicion.record_reply();
    }
    for searcher in &reply.crashed {
        suspicion.record_crash(searcher.clone());
    }
}

/// Ejects a sibling whose first reply is overdue, unless it is ejected already. Its
/// reply is still awaited.
pub(in crate::forward) fn record_overdue(sibling: &Sibling) {
    log::debug!(
        target: "sibling",
        "Sibling {} did not reply in time; ejecting it.",
        sibling.name(),
    );
    sibling.zone_state().breaker.record_failure();
    if !sibling.is_ejected() {
        sibling.eject_doubling(OVERDUE_EJECTION);
    }
}

/// Returns the event for a reply, and the state after it.
fn handle_reply<'a, R: RelayClient>(
    reply: Result<RelayReply, RelayError>,
    replies: R::Replies,
    suspicion: Arc<RequestSuspicion>,
) -> (RelayEvent, RelayState<'a, R>) {
    match reply {
        Ok(reply) if reply.is_last => {
            (RelayEvent::Reply(reply), RelayState::End { may_have_run: true })
        }
        Ok(reply) => (RelayEvent::Reply(reply), RelayState::Receive(replies, suspicion)),
        Err(_) => (RelayEvent::End { may_have_run: true }, RelayState::Done),
    }
}
