//! The searchers' interface: paths, headers and how a reply is read.
//!
//! Reading a reply only translates. Whether a refusal or a part is believed
//! is decided by the engine.
//!
//! # Example
//!
//! ```
//! use endivevale_core::layout::{IndexVersion, ShardId};
//! use endivevale_searcher::protocol;
//!
//! let path = protocol::shard_path(IndexVersion::new(2, 7), ShardId::new(4));
//! assert_eq!(path, "/v1/shards/2/4");
//! ```

use endivevale_core::{
    answer::{BodyKind, Part},
    engine::{LegReply, LegRequest, LostReason},
    id::AttemptId,
    layout::{IndexVersion, ShardId},
    searcher::SearcherNews,
};
use reqwest::{
    StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap},
};

/// The identifier of the attempt, in a request and echoed in its reply.
pub const ATTEMPT: &str = "x-attempt";

/// The pinned version in a request, the version read in its reply.
pub const INDEX_VERSION: &str = "x-index-version";

/// The versions that the searcher holds, separated by commas.
pub const INDEX_HELD: &str = "x-index-held";

/// What is left of the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";

/// Whether the searcher is live or leaving.
pub const SEARCHER_STATE: &str = "x-searcher-state";

/// Why the searcher did not run the attempt; present only if it did not.
pub const NOT_RUN: &str = "x-not-run";

/// The value of [`NOT_RUN`] when the pinned version is not held.
pub const NOT_RUN_NOT_HELD: &str = "not_held";

/// The value of [`SEARCHER_STATE`] when the searcher is leaving.
pub const STATE_LEAVING: &str = "leaving";

/// Where a searcher tells its state.
pub const HEALTH_PATH: &str = "/v1/health";

/// Where a shard is asked.
#[must_use]
pub fn shard_path(version: IndexVersion, shard: ShardId) -> String {
    format!("/v1/shards/{}/{shard}", version.generation())
}

/// Where an attempt is cancelled.
#[must_use]
pub fn attempt_path(id: AttemptId) -> String {
    format!("/v1/attempts/{id}")
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads what a searcher says of itself with any reply.
#[must_use]
pub fn read_news(headers: &HeaderMap) -> SearcherNews {
    let held = text(headers, INDEX_HELD).unwrap_or_default();
    SearcherNews {
        held: held.split(',').filter_map(|v| v.trim().parse().ok()).collect(),
        leaving: text(headers, SEARCHER_STATE) == Some(STATE_LEAVING),
    }
}

/// What the head of a reply says, before its body is read.
#[derive(Debug)]
pub enum Head {
    /// A part of this version follows.
    Part(IndexVersion, BodyKind),
    /// The reply is complete as it is.
    Reply(LegReply),
}

/// Reads the head of the reply to a sub-request.
#[must_use]
pub fn read_head(req: &LegRequest, status: StatusCode, headers: &HeaderMap) -> Head {
    let echo = text(headers, ATTEMPT).and_then(|id| id.parse::<AttemptId>().ok());
    let Some(echo) = echo else { return Head::Reply(LegReply::Lost(LostReason::Malformed)) };
    if echo != req.attempt {
        return Head::Reply(LegReply::Lost(LostReason::Crossed));
    }
    match text(headers, NOT_RUN) {
        Some(NOT_RUN_NOT_HELD) => Head::Reply(LegReply::NotHeld(echo)),
        Some(_) => Head::Reply(LegReply::Refused(echo)),
        None => read_part_head(status, headers),
    }
}

/// A part must say how long it is, or a body cut short would pass as whole.
fn read_part_head(status: StatusCode, headers: &HeaderMap) -> Head {
    let version = text(headers, INDEX_VERSION).and_then(|v| v.parse().ok());
    match version {
        Some(version) if status == StatusCode::OK && headers.contains_key(CONTENT_LENGTH) => {
            Head::Part(version, body_kind(headers))
        }
        _ => Head::Reply(LegReply::Lost(LostReason::Malformed)),
    }
}

fn body_kind(headers: &HeaderMap) -> BodyKind {
    let is_json =
        headers.get(CONTENT_TYPE).is_some_and(|t| t.as_bytes().starts_with(b"application/json"));
    if is_json { BodyKind::Json } else { BodyKind::Opaque }
}

/// Builds the part of a reply whose body came in whole.
#[must_use]
pub fn part(req: &LegRequest, version: IndexVersion, kind: BodyKind, body: bytes::Bytes) -> Part {
    Part { shard: req.shard, version, kind, body }
}
