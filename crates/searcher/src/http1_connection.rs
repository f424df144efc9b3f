//! One HTTP/1.1 connection to a searcher that carries one exchange at a time.
//!
//! The future of an exchange drives its connection, so that an idle connection
//! needs no task. Dropping the future closes the connection, and a searcher
//! stops working on a request whose connection has closed.
//!
//! A connection is reused only if the reply was received completely, no bytes
//! followed it, and the searcher has neither announced that it closes the
//! connection nor closed it.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::Poll,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use endivevale_core::{
    byte_budget::{BudgetExhausted, ByteBudget},
    forward::ConnectError,
    searcher::connection::{Connection, Opening, Ready},
};
use futures::{FutureExt, future::poll_fn};
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, HeaderMap},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

/// The limit on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The default and maximum time that a connection may stay idle. A searcher can
/// set a lower limit with a `Keep-Alive` header.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);

/// The percentage of the searcher's idle timeout after which a connection is no
/// longer reused. The margin keeps a request from being sent while the searcher
/// closes the connection.
const IDLE_LIMIT_PERCENT: u32 = 60;

/// The largest reply body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The largest reply head that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The largest number of interim replies (status 1xx) before a reply.
const MAX_INTERIM_REPLIES: u32 = 16;

/// The reason why an exchange has no complete reply.
#[derive(Debug)]
pub enum HttpExchangeError {
    /// The connection was already closed and no byte of the request was sent.
    Unsent,
    /// The connection closed, or the searcher sent invalid HTTP, when the
    /// request may already have been sent.
    Http(hyper::Error),
    /// The connection closed before the end of the reply's body.
    TruncatedReply,
    /// The reply's body is larger than the limit.
    ReplyTooLarge,
    /// More interim replies came than the limit allows.
    TooManyInterimReplies,
    /// The instance holds too many bytes of other replies.
    BudgetExhausted,
}

impl From<BudgetExhausted> for HttpExchangeError {
    fn from(_: BudgetExhausted) -> Self {
        HttpExchangeError::BudgetExhausted
    }
}

impl std::fmt::Display for HttpExchangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HttpExchangeError::Unsent => {
                f.write_str("the connection was closed before the request was sent")
            }
            HttpExchangeError::Http(e) => {
                write!(f, "the connection failed or the reply is invalid: {e}")
            }
            HttpExchangeError::TruncatedReply => {
                f.write_str("the connection closed before the end of the reply")
            }
            HttpExchangeError::ReplyTooLarge => {
                write!(f, "the reply body is over the limit of {MAX_BODY_BYTES} bytes")
            }
            HttpExchangeError::TooManyInterimReplies => {
                write!(f, "over {MAX_INTERIM_REPLIES} interim replies came before the reply")
            }
            HttpExchangeError::BudgetExhausted => BudgetExhausted.fmt(f),
        }
    }
}

impl std::error::Error for HttpExchangeError {}

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// An HTTP/1.1 connection as the two halves that hyper provides: the sender, which
/// accepts requests, and the driver, which does the I/O.
#[derive(Debug)]
pub struct Http1Channel {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    /// Whether the driver has finished, which closes the connection.
    is_closed: bool,
    /// How long the connection may stay idle.
    idle_limit: Duration,
}

/// A connection that is ready for an exchange.
pub type ReadyConnection = Connection<Http1Channel, Ready>;

/// Opens a connection. Waits until `deadline`, but no longer than 250 ms.
///
/// # Errors
///
/// [`ConnectError`] if the searcher did not accept a connection in time.
pub async fn connect(addr: SocketAddr, deadline: Instant) -> Result<ReadyConnection, ConnectError> {
    let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = match timeout_at(deadline, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err(ConnectError::Refused),
        Err(_) => return Err(ConnectError::TimedOut),
    };
    endivevale_socket::set_tcp_options(&stream);
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake::<_, Full<Bytes>>(TokioIo::new(stream));
    let (sender, driver) = handshake.await.map_err(|_| ConnectError::Refused)?;
    let channel = Http1Channel {
        sender,
        driver: Box::pin(driver),
        is_closed: false,
        idle_limit: DEFAULT_IDLE_LIMIT,
    };
    let opening: Connection<Http1Channel, Opening> = Connection::opening(channel);
    Ok(opening.mark_ready())
}

/// Returns whether an idle connection can carry an exchange: it is open, has
/// received no unsolicited bytes, and is within its idle limit.
pub(crate) fn is_usable(connection: &mut ReadyConnection) -> bool {
    let idle = connection.last_reply_at().elapsed();
    let channel = connection.channel_mut();
    idle < channel.idle_limit && channel.is_open()
}

/// Sends a request and receives its reply, whose body counts against `budget`.
/// Returns the reply, and the connection if it can be reused.
///
/// # Errors
///
/// An [`HttpExchangeError`]. The request may have been sent unless the error is
/// [`HttpExchangeError::Unsent`].
pub async fn exchange(
    mut connection: ReadyConnection,
    req: Request<Full<Bytes>>,
    budget: &ByteBudget,
) -> Result<(Response<Bytes>, Option<ReadyConnection>), HttpExchangeError> {
    let channel = connection.channel_mut();
    let (head, body) = channel.send(req).await?.into_parts();
    let body = channel.read_body(body, budget).await?;
    channel.idle_limit = parse_idle_limit(&head.headers);
    let is_reusable = !has_connection_close(&head.headers) && channel.is_open();
    let reply = Response::from_parts(head, body);
    Ok((reply, is_reusable.then(|| connection.record_reply())))
}

impl Http1Channel {
    /// Polls the driver once without waiting, and returns whether the connection
    /// can accept a request.
    fn is_open(&mut self) -> bool {
        if !self.is_closed && self.driver.as_mut().now_or_never().is_some() {
            self.is_closed = true;
        }
        !self.is_closed && self.sender.is_ready()
    }

    async fn send(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpExchangeError> {
        let interim_replies = count_interim_replies(&mut req);
        let sending = self.sender.try_send_request(req);
        tokio::pin!(sending);
        let (driver, is_closed) = (&mut self.driver, &mut self.is_closed);
        let response = poll_fn(|cx| {
            if !*is_closed && driver.as_mut().poll(cx).is_ready() {
                *is_closed = true;
            }
            if interim_replies.load(Ordering::Relaxed) > MAX_INTERIM_REPLIES {
                return Poll::Ready(Err(HttpExchangeError::TooManyInterimReplies));
            }
            sending.as_mut().poll(cx).map_err(|mut e| match e.take_message() {
                // Hyper returns the request only if no byte of it was written.
                Some(_) => HttpExchangeError::Unsent,
                None => HttpExchangeError::Http(e.into_error()),
            })
        });
        response.await
    }

    /// Reads a body while driving the connection.
    async fn read_body(
        &mut self,
        mut body: Incoming,
        budget: &ByteBudget,
    ) -> Result<Bytes, HttpExchangeError> {
        let mut lease = budget.lease();
        let mut data = BytesMut::new();
        loop {
            let (driver, is_closed) = (&mut self.driver, &mut self.is_closed);
            let frame = poll_fn(|cx| {
                if !*is_closed && driver.as_mut().poll(cx).is_ready() {
                    *is_closed = true;
                }
                match Pin::new(&mut body).poll_frame(cx) {
                    Poll::Pending if *is_closed => {
                        Poll::Ready(Err(HttpExchangeError::TruncatedReply))
                    }
                    frame => frame.map(Ok),
                }
            });
            match frame.await? {
                Some(Ok(frame)) => {
                    let Ok(chunk) = frame.into_data() else { continue };
                    if data.len() + chunk.len() > MAX_BODY_BYTES {
                        return Err(HttpExchangeError::ReplyTooLarge);
                    }
                    lease.try_add(chunk.len())?;
                    data.extend_from_slice(&chunk);
                }
                Some(Err(e)) => return Err(HttpExchangeError::Http(e)),
                None => return Ok(lease.attach(data.freeze())),
            }
        }
    }
}

/// Returns a counter of the interim replies to a request.
fn count_interim_replies(req: &mut Request<Full<Bytes>>) -> Arc<AtomicU32> {
    let counter = Arc::<AtomicU32>::default();
    let counted = Arc::clone(&counter);
    hyper::ext::on_informational(req, move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
    });
    counter
}

/// Returns whether a `Connection` header contains the option `close`.
fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

/// Returns how long the connection may stay idle: [`IDLE_LIMIT_PERCENT`] of the
/// timeout in the searcher's `Keep-Alive` header, up to [`DEFAULT_IDLE_LIMIT`].
fn parse_idle_limit(headers: &HeaderMap) -> Duration {
    let Some(value) = headers.get("keep-alive").and_then(|v| v.to_str().ok()) else {
        return DEFAULT_IDLE_LIMIT;
    };
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse::<u32>().ok());
    match seconds {
        Some(seconds) => {
            (Duration::from_secs(1) * seconds * IDLE_LIMIT_PERCENT / 100).min(DEFAULT_IDLE_LIMIT)
        }
        None => DEFAULT_IDLE_LIMIT,
    }
}
