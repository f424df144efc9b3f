//! The encoded forms of relay requests, replies and grants.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_core::{
    forward::{RelayReply, RelayRequest},
    intent::Rank,
    name::{RouteName, SearcherName, ServiceName, ZoneName},
    quarantine::{CrashedSearcher, RequestFingerprint},
};
use serde::{Deserialize, Serialize};

use crate::wire::{self, MessageKind, WireError};

/// Maximum size of an encoded request or reply, in bytes.
pub(super) const MAX_RELAY_BYTES: usize = 512 * 1024;

/// Encodes and decodes the head of a relayed request.
pub trait RequestHeadCodec: Send + Sync + 'static {
    /// The request head.
    type Head: Send + Sync + 'static;

    /// Encodes a request head.
    fn encode(head: &Self::Head) -> Vec<u8>;

    /// Decodes a request head. Returns `None` if the bytes are malformed.
    fn decode(bytes: &[u8]) -> Option<Self::Head>;
}

/// The encoded form of a [`RelayRequest`].
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EncodedRequest {
    id: String,
    route: RouteName,
    shards: Vec<ServiceName>,
    max_records: u64,
    max_attempts: u32,
    attempted_in: Option<ZoneName>,
    rank: Rank,
    first_reply_within: Duration,
    objective_in: Duration,
    deadline_in: Duration,
    fingerprint: RequestFingerprint,
    head: Vec<u8>,
}

/// The encoded form of a [`RelayReply`].
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EncodedReply {
    body: Vec<u8>,
    parts: Vec<(u16, String)>,
    unreached: Vec<u16>,
    leaving: Vec<(SearcherName, u64)>,
    crashed: Vec<CrashedSearcher>,
    is_last: bool,
}

/// Encodes a relay request.
///
/// # Errors
///
/// Returns [`WireError::Oversized`] if the encoded request is larger than
/// 512 KiB.
pub fn encode_relay_request<C: RequestHeadCodec>(
    request: &RelayRequest<C::Head>,
) -> Result<Vec<u8>, WireError> {
    let request = EncodedRequest {
        id: request.id.to_string(),
        route: request.route.clone(),
        shards: request.shards.clone(),
        max_records: request.top_k as u64,
        max_attempts: request.max_attempts,
        attempted_in: request.attempted_in.clone(),
        rank: request.rank,
        first_reply_within: request.first_reply_within,
        objective_in: request.objective_in,
        deadline_in: request.deadline_in,
        fingerprint: request.fingerprint,
        head: C::encode(&request.head),
    };
    wire::encode(MessageKind::RelayRequest, &request, MAX_RELAY_BYTES)
}

/// Decodes a relay request.
///
/// # Errors
///
/// Returns the reason to drop the message.
pub fn decode_relay_request<C: RequestHeadCodec>(
    bytes: &[u8],
) -> Result<RelayRequest<C::Head>, WireError> {
    let request: EncodedRequest = wire::decode(MessageKind::RelayRequest, bytes, MAX_RELAY_BYTES)?;
    let head = C::decode(&request.head).ok_or(WireError::Malformed)?;
    Ok(RelayRequest {
        id: Arc::from(request.id),
        route: request.route,
        shards: request.shards,
        top_k: usize::try_from(request.max_records).unwrap_or(usize::MAX),
        max_attempts: request.max_attempts,
        attempted_in: request.attempted_in,
        rank: request.rank,
        first_reply_within: request.first_reply_within,
        objective_in: request.objective_in,
        deadline_in: request.deadline_in,
        fingerprint: request.fingerprint,
        head: Arc::new(head),
    })
}

/// Encodes a relay reply.
///
/// # Errors
///
/// Returns [`WireError::Oversized`] if the encoded reply is larger than
/// 512 KiB.
pub fn encode_relay_reply(reply: &RelayReply) -> Result<Vec<u8>, WireError> {
    let parts = reply.parts.iter().map(|(shard, signature)| (*shard, signature.to_string()));
    let reply = EncodedReply {
        body: reply.body.to_vec(),
        parts: parts.collect(),
        unreached: reply.unreached.clone(),
        leaving: reply.leaving.clone(),
        crashed: reply.crashed.clone(),
        is_last: reply.is_last,
    };
    wire::encode(MessageKind::RelayReply, &reply, MAX_RELAY_BYTES)
}

/// Decodes a relay reply.
///
/// # Errors
///
/// Returns the reason to drop the message.
pub fn decode_relay_reply(bytes: &[u8]) -> Result<RelayReply, WireError> {
    let reply: EncodedReply = wire::decode(MessageKind::RelayReply, bytes, MAX_RELAY_BYTES)?;
    let parts = reply.parts.into_iter().map(|(shard, signature)| (shard, Arc::from(signature)));
    Ok(RelayReply {
        body: Bytes::from(reply.body),
        parts: parts.collect(),
        unreached: reply.unreached,
        leaving: reply.leaving,
        crashed: reply.crashed,
        is_last: reply.is_last,
    })
}

/// Encodes the message that grants the extra attempts of a request.
///
/// # Errors
///
/// Returns [`WireError::Malformed`] if it cannot be serialised.
pub fn encode_relay_grant() -> Result<Vec<u8>, WireError> {
    wire::encode(MessageKind::RelayGrant, &(), MAX_RELAY_BYTES)
}

/// Whether a message grants the extra attempts of a request.
pub(super) fn is_grant(message: &[u8]) -> bool {
    wire::decode::<()>(MessageKind::RelayGrant, message, MAX_RELAY_BYTES).is_ok()
}
