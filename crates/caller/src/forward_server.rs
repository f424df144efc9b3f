//! The HTTP/1.1 server for requests that are forwarded to searchers.
//!
//! The server uses hyper directly instead of rocket: when a caller
//! disconnects, hyper immediately drops the future that handles its request,
//! which cancels all work for the request. Rocket would run the handler to
//! completion.
//!
//! The server reads complete requests within the limits in force, passes
//! them to a [`ForwardHandler`] and writes complete responses. It makes no decisions
//! about forwarding.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_core::{
    byte_budget::{ByteBudget, MAX_REQUEST_BYTES_HELD},
    intent::CallerLimits,
    lifecycle::Phase,
    lifecycle::PhaseHandle,
};
use endivevale_socket::{BodyError, read_body};
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::yield_now,
    time::{Instant, sleep, timeout},
};

use crate::{BODY_TIMEOUT, InFlightCounter};

/// The delay after a failed `accept` call before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The smallest buffer size for request heads that hyper accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Handles requests that are to be forwarded.
pub trait ForwardHandler: Send + Sync + 'static {
    /// Handles one request, whose head was received at `received`. Dropping the
    /// future cancels all work for the request.
    fn handle(
        &self,
        req: Request<Bytes>,
        received: Instant,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;

    /// Returns the limits on requests and connections that are in force.
    fn limits(&self) -> CallerLimits;
}

/// An HTTP server that is bound to an address.
#[derive(Debug)]
pub struct ForwardServer {
    addr: SocketAddr,
    close_tx: watch::Sender<bool>,
    /// Counts the task that accepts connections: 1 until it ends.
    accepting: Arc<InFlightCounter>,
    open_connections: Arc<InFlightCounter>,
}

impl ForwardServer {
    /// Binds to `addr` and starts to accept connections.
    ///
    /// # Errors
    ///
    /// The I/O error if the address cannot be bound.
    pub async fn listen<H: ForwardHandler>(
        addr: SocketAddr,
        handler: Arc<H>,
        phase: PhaseHandle,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (close_tx, close_rx) = watch::channel(false);
        let (accepting, open_connections) =
            (Arc::<InFlightCounter>::default(), Arc::<InFlightCounter>::default());
        let cx = Arc::new(Context {
            handler,
            phase,
            request_budget: ByteBudget::new(MAX_REQUEST_BYTES_HELD),
            open_connections: Arc::clone(&open_connections),
        });
        let accepting_guard = accepting.track();
        tokio::spawn(async move {
            accept_connections(listener, cx, close_rx).await;
            drop(accepting_guard);
        });
        Ok(Self { addr, close_tx, accepting, open_connections })
    }

    /// Returns the address that the server is bound to.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the counter of open connections.
    #[must_use]
    pub const fn open_connections(&self) -> &Arc<InFlightCounter> {
        &self.open_connections
    }

    /// Stops accepting connections, closes idle ones, and closes each of the
    /// others after its pending response has been written.
    pub fn close(&self) {
        self.close_tx.send_replace(true);
    }

    /// Waits until a closed server has stopped accepting and its last
    /// connection has closed. No handler is started after that.
    pub async fn wait_closed(&self) {
        self.accepting.wait_idle().await;
        self.open_connections.wait_idle().await;
    }
}

struct Context<H> {
    handler: Arc<H>,
    phase: PhaseHandle,
    /// The budget of the bodies of all requests.
    request_budget: ByteBudget,
    /// Counts the open connections.
    open_connections: Arc<InFlightCounter>,
}

async fn accept_connections<H: ForwardHandler>(
    listener: TcpListener,
    cx: Arc<Context<H>>,
    mut close_rx: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_close(&mut close_rx) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                endivevale_socket::set_tcp_options(&stream);
                // Counts the connection before its task is spawned, so that
                // `wait_closed` cannot miss a connection whose task has not run yet.
                let connection_guard = cx.open_connections.track();
                let serving = serve_connection(stream, Arc::clone(&cx), close_rx.clone());
                tokio::spawn(async move {
                    serving.await;
                    drop(connection_guard);
                });
            }
            Err(e) => {
                log::warn!(
                    target: "caller",
                    "Could not accept a connection: {e}; retrying after a delay."
                );
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the server is closed or dropped.
async fn wait_for_close(close_rx: &mut watch::Receiver<bool>) {
    let is_dropped = close_rx.wait_for(|is_closed| *is_closed).await.is_err();
    if is_dropped {
        log::debug!(
            target: "caller",
            "The server was dropped without being closed; closing its connections."
        );
    }
}

async fn serve_connection<H: ForwardHandler>(
    stream: TcpStream,
    cx: Arc<Context<H>>,
    mut close_rx: watch::Receiver<bool>,
) {
    let limits = cx.handler.limits();
    let service = service_fn(|req| handle_request(&cx, req));
    // Hyper's timeout for reading a request head also runs while a kept-alive
    // connection is idle, so it serves as the idle timeout.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_for_close(&mut close_rx) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!(target: "caller", "A caller's connection was closed after an error: {e}.");
    }
}

async fn handle_request<H: ForwardHandler>(
    cx: &Context<H>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let received = Instant::now();
    let limit = cx.handler.limits().max_body_bytes;
    let (head, body) = req.into_parts();
    let reading = read_body(body, limit, &cx.request_budget);
    let mut res = match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => {
            // Lets hyper poll the socket first: if the caller has already
            // disconnected, hyper drops this future here and no sub-request is
            // sent.
            yield_now().await;
            let req = Request::from_parts(head, body);
            cx.handler.handle(req, received).await
        }
        Ok(Err(e)) => body_error_response(&e),
        Err(_) => body_timeout_response(),
    };
    if cx.phase.get() == Phase::Leaving {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res)
}

/// Builds the response to a request whose body could not be read completely:
/// 413 if it is over the limit, 503 if the instance holds too many bytes of other
/// requests, 400 otherwise.
fn body_error_response(e: &BodyError) -> Response<Full<Bytes>> {
    let status = match e {
        BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::BudgetExhausted => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::Broken(_) => StatusCode::BAD_REQUEST,
    };
    log::debug!(target: "caller", "Could not read a request body: {e}; answering {status}.");
    let mut res = closing_response(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        res.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    res
}

/// Builds the response to a request whose body did not come in time.
fn body_timeout_response() -> Response<Full<Bytes>> {
    log::debug!(
        target: "caller",
        "A request body did not come within {} ms; answering 408.",
        BODY_TIMEOUT.as_millis()
    );
    closing_response(StatusCode::REQUEST_TIMEOUT)
}

/// Builds an empty response that closes the connection.
fn closing_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    res
}
