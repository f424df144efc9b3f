//! One HTTP/1.1 connection to a searcher that carries one exchange at a time.
//!
//! The exchange drives its connection itself, so that nothing runs for a
//! connection that is idle, and dropping an exchange closes its connection:
//! a searcher stops work whose connection has ended.
//!
//! A connection is used again only if the whole reply is in, nothing came
//! after it, and the searcher has neither announced nor reached its end.

use std::{net::SocketAddr, pin::Pin, task::Poll, time::Duration};

use bytes::{Bytes, BytesMut};
use endivevale_core::{
    connection::{Connection, Opening, Ready},
    forward::ConnectError,
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

/// The longest time that opening a connection may take.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection stays idle whose searcher names no limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// The part of the searcher's idle limit, in percent, after which a
/// connection is not used again, so that its end is not met on the way.
const IDLE_PERCENT: u32 = 60;

/// The largest reply body that is taken, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The largest reply head that is taken, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why an exchange has no whole reply.
#[derive(Debug)]
pub enum LinkError {
    /// The connection had ended and took no byte of the request.
    Unsent,
    /// The connection ended, or carried what is no reply, after the request
    /// may have been sent.
    Broken(hyper::Error),
    /// The connection ended within the reply.
    Cut,
    /// The reply's body is larger than is taken.
    TooLarge,
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LinkError::Unsent => f.write_str("the connection had ended before the request"),
            LinkError::Broken(e) => write!(f, "the exchange broke off: {e}"),
            LinkError::Cut => f.write_str("the connection ended within the reply"),
            LinkError::TooLarge => write!(f, "the reply is over {MAX_BODY_BYTES} bytes"),
        }
    }
}

impl std::error::Error for LinkError {}

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// The two halves of a connection: what takes requests and what moves bytes.
#[derive(Debug)]
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    /// Whether the driver has ended, and with it the connection.
    is_over: bool,
    /// How long the connection may stay idle.
    idle_limit: Duration,
}

/// A connection that is ready for an exchange.
pub type ReadyLink = Connection<Link, Ready>;

/// Opens a connection, by the deadline.
///
/// # Errors
///
/// [`ConnectError`] when the searcher took no connection in time.
pub async fn open(addr: SocketAddr, by: Instant) -> Result<ReadyLink, ConnectError> {
    let by = by.min(Instant::now() + OPEN_TIMEOUT);
    let stream = match timeout_at(by, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err(ConnectError::Refused),
        Err(_) => return Err(ConnectError::TimedOut),
    };
    endivevale_socket::set_options(&stream);
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake::<_, Full<Bytes>>(TokioIo::new(stream));
    let (sender, driver) = handshake.await.map_err(|_| ConnectError::Refused)?;
    let link = Link { sender, driver: Box::pin(driver), is_over: false, idle_limit: DEFAULT_IDLE };
    let opening: Connection<Link, Opening> = Connection::opening(link);
    Ok(opening.mark_ready())
}

/// Whether an idle connection can carry an exchange: it is open, nothing came
/// on it unasked, and its searcher does not close it soon.
pub(crate) fn is_usable(connection: &mut ReadyLink) -> bool {
    let idle = connection.last_reply_at().elapsed();
    let link = connection.channel_mut();
    idle < link.idle_limit && link.is_open()
}

/// Carries out one exchange. Gives the reply, and the connection if it can
/// carry another.
///
/// # Errors
///
/// A [`LinkError`], which says whether the request may have been sent.
pub async fn exchange(
    mut connection: ReadyLink,
    req: Request<Full<Bytes>>,
) -> Result<(Response<Bytes>, Option<ReadyLink>), LinkError> {
    let link = connection.channel_mut();
    let (head, body) = link.send(req).await?.into_parts();
    let body = link.read(body).await?;
    link.idle_limit = idle_limit(&head.headers);
    let can_go_on = !says_close(&head.headers) && link.is_open();
    let reply = Response::from_parts(head, body);
    Ok((reply, can_go_on.then(|| connection.record_reply())))
}

impl Link {
    /// Moves bytes without waiting, and tells whether the connection can take
    /// a request.
    fn is_open(&mut self) -> bool {
        if !self.is_over && self.driver.as_mut().now_or_never().is_some() {
            self.is_over = true;
        }
        !self.is_over && self.sender.is_ready()
    }

    async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, LinkError> {
        let sending = self.sender.try_send_request(req);
        tokio::pin!(sending);
        let (driver, is_over) = (&mut self.driver, &mut self.is_over);
        let sent = poll_fn(|cx| {
            if !*is_over && driver.as_mut().poll(cx).is_ready() {
                *is_over = true;
            }
            sending.as_mut().poll(cx)
        });
        sent.await.map_err(|mut e| match e.take_message() {
            // The library hands a request back only if none of it was written.
            Some(_) => LinkError::Unsent,
            None => LinkError::Broken(e.into_error()),
        })
    }

    async fn read(&mut self, mut body: Incoming) -> Result<Bytes, LinkError> {
        let mut whole = BytesMut::new();
        loop {
            let (driver, is_over) = (&mut self.driver, &mut self.is_over);
            let frame = poll_fn(|cx| {
                if !*is_over && driver.as_mut().poll(cx).is_ready() {
                    *is_over = true;
                }
                match Pin::new(&mut body).poll_frame(cx) {
                    Poll::Pending if *is_over => Poll::Ready(Err(LinkError::Cut)),
                    frame => frame.map(Ok),
                }
            });
            match frame.await? {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        whole.extend_from_slice(&data);
                    }
                    if whole.len() > MAX_BODY_BYTES {
                        return Err(LinkError::TooLarge);
                    }
                }
                Some(Err(e)) => return Err(LinkError::Broken(e)),
                None => return Ok(whole.freeze()),
            }
        }
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

/// How long the connection may stay idle, by the searcher's `Keep-Alive`.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let Some(value) = headers.get("keep-alive").and_then(|v| v.to_str().ok()) else {
        return DEFAULT_IDLE;
    };
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse::<u32>().ok());
    match seconds {
        Some(seconds) => (Duration::from_secs(1) * seconds * IDLE_PERCENT / 100).min(DEFAULT_IDLE),
        None => DEFAULT_IDLE,
    }
}
