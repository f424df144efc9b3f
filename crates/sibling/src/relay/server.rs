//! The server that carries out the relay requests of siblings.

use std::{io, sync::Arc, time::Duration};

use endivevale_core::{
    byte_budget::{ByteBudget, ByteLease, MAX_RELAY_BYTES_HELD},
    forward::{
        ExtraAttempts, ExtraAttemptsGrant, ForwardTransport, RelayReply, RelayReplySink,
        RelayServer,
    },
};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Semaphore, SemaphorePermit},
    time::sleep,
};

use super::codec::{
    MAX_RELAY_BYTES, RequestHeadCodec, decode_relay_request, encode_relay_reply, is_grant,
};
use crate::{
    heartbeat::SiblingAddrs,
    state_sync::{ExchangeError, read_message, write_message},
    wire::WireError,
};

/// Maximum number of requests that are served concurrently.
const MAX_CONCURRENT_REQUESTS: u32 = 512;

/// Maximum size of a grant, in bytes.
const MAX_GRANT_BYTES: usize = 16;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The permits for relay requests that are served at the same time.
#[derive(Debug, Clone)]
pub struct RelayPermits(Arc<Semaphore>);

impl Default for RelayPermits {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS as usize)))
    }
}

impl RelayPermits {
    /// Takes a permit, or returns `None` if none is free or the requests are being
    /// drained.
    fn try_acquire(&self) -> Option<SemaphorePermit<'_>> {
        self.0.try_acquire().ok()
    }

    /// Rejects further requests and waits until those in progress have ended. For
    /// the planned stop of an instance.
    pub async fn drain(&self) {
        match self.0.acquire_many(MAX_CONCURRENT_REQUESTS).await {
            Ok(permits) => permits.forget(),
            Err(e) => log::debug!(target: "sibling", "The relay permits were closed: {e}."),
        }
    }
}

/// Serves relay requests of listed siblings until the task is cancelled. Closes
/// connections from other addresses.
pub async fn serve_relay_requests<H: RequestHeadCodec, C: ForwardTransport<Head = H::Head>>(
    listener: TcpListener,
    siblings: Arc<SiblingAddrs>,
    relay_server: Arc<RelayServer<C>>,
    permits: RelayPermits,
) {
    let budget = ByteBudget::new(MAX_RELAY_BYTES_HELD);
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
        let (relay_server, permits) = (Arc::clone(&relay_server), permits.clone());
        let budget = budget.clone();
        tokio::spawn(async move {
            let serving = serve_connection::<H, C>(stream, &relay_server, &permits, &budget);
            if let Err(e) = serving.await {
                log::debug!(target: "sibling", "The relay connection from {peer_addr} ended: {e}.");
            }
        });
    }
}

/// Serves the requests of a connection one after the other until the client
/// closes it. Without a free permit, replies that no shard was reached, and the
/// client sends the sub-requests in another way.
async fn serve_connection<H: RequestHeadCodec, C: ForwardTransport<Head = H::Head>>(
    stream: TcpStream,
    relay_server: &RelayServer<C>,
    permits: &RelayPermits,
    budget: &ByteBudget,
) -> Result<(), ExchangeError> {
    let (mut reader, writer) = stream.into_split();
    let mut sink = TcpReplySink { writer };
    loop {
        // Held until the request has been served.
        let mut lease = budget.lease();
        let message = read_message(&mut reader, MAX_RELAY_BYTES, &mut lease).await?;
        // The last reply to the request before may have crossed its grant.
        if is_grant(&message) {
            continue;
        }
        let request = decode_relay_request::<H>(&message)?;
        let Some(_permit) = permits.try_acquire() else {
            if !sink.send(RelayReply::rejecting(&request)).await {
                return Ok(());
            }
            continue;
        };
        let (grant, extra_attempts) = ExtraAttempts::on_grant();
        let served = relay_server.serve(request, extra_attempts, &mut sink);
        tokio::select! {
            biased;
            // Polled first, so that no searcher gets a sub-request of a request
            // that was cancelled before it was read.
            ended = watch_client(&mut reader, grant, budget.lease()) => return ended,
            () = served => {}
        }
    }
}

/// Waits for the client's grant, and then for the end of the connection.
///
/// # Errors
///
/// Returns [`WireError::Malformed`] if anything but one grant comes.
async fn watch_client(
    reader: &mut OwnedReadHalf,
    grant: ExtraAttemptsGrant,
    mut lease: ByteLease,
) -> Result<(), ExchangeError> {
    // Waiting without reading loses no bytes when the request ends meanwhile.
    let mut byte = [0];
    if reader.peek(&mut byte).await? == 0 {
        return Ok(());
    }
    if !is_grant(&read_message(reader, MAX_GRANT_BYTES, &mut lease).await?) {
        return Err(WireError::Malformed.into());
    }
    grant.grant();
    match reader.peek(&mut byte).await? {
        0 => Ok(()),
        _ => Err(WireError::Malformed.into()),
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
