//! The client that sends relay requests to siblings.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use crossbeam_queue::ArrayQueue;
use endivevale_core::{
    byte_budget::{ByteBudget, ByteLease, MAX_RELAY_BYTES_HELD},
    forward::{RelayClient, RelayError, RelayReplies, RelayReply, RelayRequest},
    sibling::Sibling,
};
use tokio::{net::TcpStream, time::timeout};

use super::codec::{
    MAX_RELAY_BYTES, RequestHeadCodec, decode_relay_reply, encode_relay_grant, encode_relay_request,
};
use crate::state_sync::{ExchangeError, read_message, write_message};

/// Timeout for opening a connection to a sibling.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum number of idle connections that are kept for one sibling.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The idle connections to one sibling.
type IdleConnections = Arc<ArrayQueue<TcpStream>>;

/// Sends relay requests to siblings over pooled TCP connections.
#[derive(Debug)]
pub struct TcpRelayClient<C> {
    idle_by_addr: ArcSwap<HashMap<SocketAddr, IdleConnections>>,
    /// The budget of the replies of all siblings.
    reply_budget: ByteBudget,
    codec: std::marker::PhantomData<fn() -> C>,
}

impl<C> Default for TcpRelayClient<C> {
    fn default() -> Self {
        Self {
            idle_by_addr: ArcSwap::default(),
            reply_budget: ByteBudget::new(MAX_RELAY_BYTES_HELD),
            codec: std::marker::PhantomData,
        }
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
        Ok(TcpRelayReplies { stream: Some(stream), lease: self.reply_budget.lease(), idle })
    }
}

/// The replies to one relay request, read from its connection. Dropping it
/// before the last reply closes the connection, which cancels the request.
#[derive(Debug)]
pub struct TcpRelayReplies {
    /// Invariant: `Some` until the last reply or an error.
    stream: Option<TcpStream>,
    /// The bytes of all replies to the request.
    lease: ByteLease,
    /// The queue that the connection is returned to after the last reply.
    idle: IdleConnections,
}

impl RelayReplies for TcpRelayReplies {
    async fn next(&mut self) -> Result<RelayReply, RelayError> {
        let mut stream = self.stream.take().ok_or(RelayError::Lost)?;
        let reply = match read_relay_reply(&mut stream, &mut self.lease).await {
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

    async fn grant_extra_attempts(&mut self) -> bool {
        let (Some(stream), Ok(message)) = (&mut self.stream, encode_relay_grant()) else {
            return false;
        };
        match write_message(stream, &message).await {
            Ok(()) => true,
            Err(e) => {
                log::debug!(target: "sibling", "Could not send a relay grant: {e}.");
                false
            }
        }
    }
}

async fn read_relay_reply(
    stream: &mut TcpStream,
    lease: &mut ByteLease,
) -> Result<RelayReply, ExchangeError> {
    let message = read_message(stream, MAX_RELAY_BYTES, lease).await?;
    Ok(decode_relay_reply(&message)?)
}
