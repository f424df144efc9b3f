//! Queries by host and path, answered along the routes of the operator's
//! configuration.
//!
//! A route leads to one service, to one of several services by weight, or to a
//! set of shards, each of which is a service. The parts of a set are merged
//! into its greatest records. If some parts have not been received by the
//! route's latency objective, the answer is returned without them, provided that
//! it covers the required share of the set. All parts belong to one
//! configuration, because the query keeps the view that it started with.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::sleep_until;

use super::{Engine, QueryAnswer, Transport, not_ready};
use crate::{
    answer::{Answer, Part},
    attempt::CombinedEvidence,
    claim::ClaimStore,
    error::{ErrorKind, Execution, Failure},
    forward::{Reply, parts::PartCollector, sub_request::SubRequestFailure},
    intent::ConfigVersion,
    layout::IndexVersion,
    name::{RouteName, ServiceName},
    query::Submission,
    route::{Route, ShardSet, Target},
    view::{ServiceView, View},
};

/// The merged records of a set of shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordsAnswer {
    /// The route that matched the request.
    pub route: RouteName,
    /// The version of the configuration that declares the set of shards.
    pub config: ConfigVersion,
    /// The greatest records, greatest first.
    pub records: Bytes,
    /// The shards whose records were merged, each with its index version.
    /// Invariant: not empty, in the order of the set.
    pub covered: Vec<(ServiceName, IndexVersion)>,
    /// The shards whose records are missing, in the order of the set.
    pub missing: Vec<ServiceName>,
}

/// Answers a submission along the route for its host and path.
pub(super) async fn answer<T: Transport, C: ClaimStore>(
    engine: &Engine<T, C>,
    view: &View,
    submission: Submission,
    host: &str,
    path: &str,
) -> Result<QueryAnswer, Failure> {
    let intent = view.intent().ok_or_else(not_ready)?;
    let route = intent
        .routes
        .find(host, path)
        .ok_or_else(|| Failure::new(ErrorKind::UnknownRoute, "no route has this host and path"))?;
    let submission = apply_route(submission, route)?;
    match &route.target {
        Target::Service(name) => {
            let service = find_declared(view, name)?;
            engine.answer_service(view, service, submission).await.map(QueryAnswer::Parts)
        }
        Target::Weighted(services) => {
            let service = find_declared(view, route.next_service(services))?;
            engine.answer_service(view, service, submission).await.map(QueryAnswer::Parts)
        }
        Target::Shards(shard_set) => {
            let records = query_shards(engine, view, route, shard_set, submission).await?;
            Ok(QueryAnswer::Records(records))
        }
    }
}

/// Returns the submission with the route's rank, and with its deadline and
/// repeatability restricted by the route.
fn apply_route(submission: Submission, route: &Route) -> Result<Submission, Failure> {
    let deadline = submission.deadline.unwrap_or(route.timeout).min(route.timeout);
    if deadline.is_zero() {
        return Err(Failure::new(ErrorKind::BadDeadline, "deadline_ms: must be above zero"));
    }
    Ok(Submission {
        rank: route.rank,
        deadline: Some(deadline),
        repeatable: Some(route.is_idempotent && submission.repeatable.unwrap_or(true)),
        ..submission
    })
}

fn find_declared(view: &View, name: &ServiceName) -> Result<Arc<ServiceView>, Failure> {
    view.service(name).cloned().ok_or_else(|| {
        Failure::new(ErrorKind::UnknownService, format!("service: {name} is not declared"))
    })
}

/// Queries every shard of a set and merges the parts received. Waits until no
/// further part can change the outcome; after the latency objective, only until
/// the minimum coverage is reached.
async fn query_shards<T: Transport, C: ClaimStore>(
    engine: &Engine<T, C>,
    view: &View,
    route: &Route,
    shard_set: &ShardSet,
    submission: Submission,
) -> Result<RecordsAnswer, Failure> {
    let objective = sleep_until(submission.received_at + route.latency_objective);
    tokio::pin!(objective);
    let mut parts = PartCollector::new(shard_set);
    let mut versions: Vec<Option<IndexVersion>> = vec![None; shard_set.shards.len()];
    let mut sub_requests = FuturesUnordered::new();
    for (index, name) in shard_set.shards.iter().enumerate() {
        let submission = submission.clone();
        parts.start_sub_request(index);
        sub_requests.push(async move {
            let result = match find_declared(view, name) {
                Ok(service) => engine.answer_service(view, service, submission).await,
                Err(failure) => Err(failure),
            };
            (index, result)
        });
    }
    let mut is_past_objective = false;
    while !(parts.is_outcome_final() || (is_past_objective && parts.has_min_coverage())) {
        tokio::select! {
            biased;
            Some((index, result)) = sub_requests.next() => {
                let result = to_part(result);
                versions[index] = result.as_ref().ok().map(|reply| reply.head);
                parts.finish_sub_request(index, result);
            }
            () = &mut objective, if !is_past_objective => is_past_objective = true,
        }
    }
    // Dropping the open sub-requests also cancels them at the searchers.
    drop(sub_requests);
    if !parts.has_min_coverage() {
        return Err(parts.into_failure(is_past_objective));
    }
    let version = view.config().map_or(ConfigVersion::NONE, |config| config.version());
    Ok(records_answer(route, version, shard_set, parts, &versions))
}

/// Converts the result of one service of the set to a part of the set, or to
/// the evidence of whether it may have been run. A partial answer of the service
/// is not a part, since it lacks records.
fn to_part(
    result: Result<Answer, Failure>,
) -> Result<Reply<IndexVersion>, SubRequestFailure<IndexVersion>> {
    let mut evidence = CombinedEvidence::default();
    match result {
        Ok(answer) if answer.is_whole() => {
            let version = answer.version();
            let signature = Some(Arc::from(version.to_string()));
            return Ok(Reply { signature, body: concat_bodies(answer.parts()), head: version });
        }
        Err(failure) if failure.kind().properties().execution() == Execution::NotRun => {}
        _ => evidence.mark_may_have_run(),
    }
    let reached_searcher = evidence.not_run().is_none();
    Err(SubRequestFailure { failure_reply: None, evidence, reached_searcher })
}

fn concat_bodies(parts: &[Part]) -> Bytes {
    match parts {
        [part] => part.body.clone(),
        parts => parts.iter().flat_map(|part| part.body.iter().copied()).collect(),
    }
}

fn records_answer(
    route: &Route,
    config: ConfigVersion,
    shard_set: &ShardSet,
    parts: PartCollector<'_>,
    versions: &[Option<IndexVersion>],
) -> RecordsAnswer {
    let mut covered = Vec::with_capacity(shard_set.shards.len());
    let mut missing = Vec::new();
    for (name, version) in shard_set.shards.iter().zip(versions) {
        match version {
            Some(version) => covered.push((name.clone(), *version)),
            None => missing.push(name.clone()),
        }
    }
    let records = Bytes::from(parts.into_merged().body);
    RecordsAnswer { route: route.name.clone(), config, records, covered, missing }
}
