//! Relaying of sub-requests over TCP: the client that sends a request to a
//! sibling, and the server that carries out requests of siblings.
//!
//! A relay request names shards whose searchers are in the sibling's zone.
//! Connections are kept open between requests and carry one request at a time.
//! A client cancels a request by closing its connection, on which the server
//! stops the sub-requests at once.
//!
//! The request head is opaque to this module; a [`RequestHeadCodec`] encodes it.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use crossbeam_queue::ArrayQueue;
use endivevale_core::{
    forward::{
        ForwardTransport, RelayClient, RelayError, RelayReplies, RelayReply, RelayReplySink,
        RelayRequest, RelayServer,
    },
    intent::Rank,
    name::{RouteName, ServiceName},
    sibling::Sibling,
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream, tcp::OwnedWriteHalf},
    sync::Semaphore,
    time::{sleep, timeout},
};

use crate::{
    heartbeat::SiblingAddrs,
    state_sync::{ExchangeError, read_message, write_message},
    wire::{self, MessageKind, WireError},
};

/// Timeout for opening a connection to a sibling.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum number of idle connections that are kept for one sibling.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Maximum number of requests that are served concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 512;

/// Maximum size of an encoded request or reply, in bytes.
const MAX_RELAY_BYTES: usize = 512 * 1024;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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
    route: RouteName,
    shards: Vec<ServiceName>,
    max_records: u64,
    rank: Rank,
    first_reply_within: Duration,
    objective_in: Duration,
    deadline_in: Duration,
    head: Vec<u8>,
}

/// The encoded form of a [`RelayReply`].
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EncodedReply {
    body: Vec<u8>,
    parts: Vec<(u16, String)>,
    unreached: Vec<u16>,
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
        route: request.route.clone(),
        shards: request.shards.clone(),
        max_records: request.top as u64,
        rank: request.rank,
        first_reply_within: request.first_reply_within,
        objective_in: request.objective_in,
        deadline_in: request.deadline_in,
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
        route: request.route,
        shards: request.shards,
        top: usize::try_from(request.max_records).unwrap_or(usize::MAX),
        rank: request.rank,
        first_reply_within: request.first_reply_within,
        objective_in: request.objective_in,
        deadline_in: request.deadline_in,
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
        is_last: reply.is_last,
    })
}

/// The idle connections to one sibling.
type IdleConnections = Arc<ArrayQueue<TcpStream>>;

/// Sends relay requests to siblings over pooled TCP connections.
#[derive(Debug)]
pub struct TcpRelayClient<C> {
    idle_by_addr: ArcSwap<HashMap<SocketAddr, IdleConnections>>,
    codec: std::marker::PhantomData<fn() -> C>,
}

impl<C> Default for TcpRelayClient<C> {
    fn default() -> Self {
        Self { idle_by_addr: ArcSwap::default(), codec: std::marker::PhantomData }
    }
}

impl<C: RequestHeadCodec> TcpRelayClient<C> {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn idle_connections(&self, addr: SocketAddr) -> IdleConnections {
        if let Some(idle) = self.idle_by_addr.load().get(&addr) {
            return Arc::clone(idle);
        }
        let created: IdleConnections = Arc::new(ArrayQueue::new(MAX_IDLE_CONNECTIONS));
        self.idle_by_addr.rcu(|idle_by_addr| {
            let mut idle_by_addr = HashMap::clone(idle_by_addr);
            idle_by_addr.entry(addr).or_insert_with(|| Arc::clone(&created));
            idle_by_addr
        });
        self.idle_by_addr.load().get(&addr).map_or(created, Arc::clone)
    }
}

/// Takes an idle connection that is still usable, or opens a new one.
async fn checkout(addr: SocketAddr, idle: &IdleConnections) -> io::Result<TcpStream> {
    while let Some(stream) = idle.pop() {
        if is_reusable(&stream) {
            return Ok(stream);
        }
    }
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    endivevale_socket::set_tcp_options(&stream);
    Ok(stream)
}

/// Returns whether an idle connection is still open and has no unread bytes.
/// Bytes that follow the last reply would be read as the start of the next one.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

impl<C: RequestHeadCodec> RelayClient for TcpRelayClient<C> {
    type Head = C::Head;
    type Replies = TcpRelayReplies;

    async fn send(
        &self,
        sibling: &Sibling,
        request: RelayRequest<C::Head>,
    ) -> Result<TcpRelayReplies, RelayError> {
        let message = encode_relay_request::<C>(&request).map_err(|e| {
            log::debug!(
                target: "sibling",
                "Could not encode a relay request: {e}; it is not sent."
            );
            RelayError::Down
        })?;
        let idle = self.idle_connections(sibling.relay_addr());
        let mut stream = checkout(sibling.relay_addr(), &idle).await.map_err(|e| {
            log::debug!(
                target: "sibling",
                "Could not connect to {} for a relay: {e}.",
                sibling.name()
            );
            RelayError::Down
        })?;
        if let Err(e) = write_message(&mut stream, &message).await {
            log::debug!(
                target: "sibling",
                "Could not send a relay request to {}: {e}.",
                sibling.name()
            );
            return Err(RelayError::Lost);
        }
        Ok(TcpRelayReplies { stream: Some(stream), idle })
    }
}

/// The replies to one relay request, read from its connection. Dropping it
/// before the last reply closes the connection, which cancels the request.
#[derive(Debug)]
pub struct TcpRelayReplies {
    /// Invariant: `Some` until the last reply or an error.
    stream: Option<TcpStream>,
    /// The queue that the connection is returned to after the last reply.
    idle: IdleConnections,
}

impl RelayReplies for TcpRelayReplies {
    async fn next(&mut self) -> Result<RelayReply, RelayError> {
        let mut stream = self.stream.take().ok_or(RelayError::Lost)?;
        let reply = match read_relay_reply(&mut stream).await {
            Ok(reply) => reply,
            Err(e) => {
                log::debug!(target: "sibling", "Could not read a sibling's relay reply: {e}.");
                return Err(RelayError::Lost);
            }
        };
        match reply.is_last {
            // If the queue is full, `push` returns the connection and `drop`
            // closes it.
            true => drop(self.idle.push(stream)),
            false => self.stream = Some(stream),
        }
        Ok(reply)
    }
}

async fn read_relay_reply(stream: &mut TcpStream) -> Result<RelayReply, ExchangeError> {
    let message = read_message(stream, MAX_RELAY_BYTES).await?;
    Ok(decode_relay_reply(&message)?)
}

/// Serves relay requests of listed siblings until the task is cancelled. Closes
/// connections from other addresses.
pub async fn serve_relay_requests<H: RequestHeadCodec, C: ForwardTransport<Head = H::Head>>(
    listener: TcpListener,
    siblings: Arc<SiblingAddrs>,
    relay_server: Arc<RelayServer<C>>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    loop {
        let (stream, peer_addr) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!(
                    target: "sibling",
                    "Could not accept a relay connection: {e}; retrying."
                );
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if !siblings.is_listed_ip(&peer_addr) {
            log::debug!(
                target: "sibling",
                "Closed a connection from {peer_addr}, which is not the address of a listed sibling."
            );
            continue;
        }
        endivevale_socket::set_tcp_options(&stream);
        let (relay_server, permits) = (Arc::clone(&relay_server), Arc::clone(&permits));
        tokio::spawn(async move {
            if let Err(e) = serve_connection::<H, C>(stream, &relay_server, &permits).await {
                log::debug!(target: "sibling", "The relay connection from {peer_addr} ended: {e}.");
            }
        });
    }
}

/// Serves the requests of a connection one after the other until the client
/// closes it, or until no permit is free for a request.
async fn serve_connection<H: RequestHeadCodec, C: ForwardTransport<Head = H::Head>>(
    stream: TcpStream,
    relay_server: &RelayServer<C>,
    permits: &Semaphore,
) -> Result<(), ExchangeError> {
    let (mut reader, writer) = stream.into_split();
    let mut sink = TcpReplySink { writer };
    loop {
        let message = read_message(&mut reader, MAX_RELAY_BYTES).await?;
        let request = decode_relay_request::<H>(&message)?;
        // Without a free permit, closes the connection. The client then sends
        // the sub-requests directly to searchers.
        let Ok(_permit) = permits.try_acquire() else { return Ok(()) };
        let mut byte = [0];
        tokio::select! {
            biased;
            // The client sends nothing before it has the last reply, so the
            // connection was closed. Polled first, so that no searcher gets a
            // sub-request of a request that was cancelled before it was read.
            _ = reader.peek(&mut byte) => return Ok(()),
            () = relay_server.serve(request, &mut sink) => {}
        }
    }
}

/// Writes relay replies to a connection.
struct TcpReplySink {
    writer: OwnedWriteHalf,
}

impl RelayReplySink for TcpReplySink {
    async fn send(&mut self, reply: RelayReply) -> bool {
        let written = match encode_relay_reply(&reply) {
            Ok(message) => write_message(&mut self.writer, &message).await,
            Err(e) => Err(io::Error::other(e.to_string())),
        };
        if let Err(e) = &written {
            log::debug!(target: "sibling", "Could not send a relay reply: {e}.");
        }
        written.is_ok()
    }
}
