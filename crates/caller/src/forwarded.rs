//! The HTTP front of forwarded requests.
//!
//! It stands on hyper, the HTTP layer under rocket: when a caller hangs up,
//! hyper drops the future that answers it at once, and with it all work that
//! was begun for it. Rocket goes on until the answer is ready.
//!
//! The front reads whole requests within the limits in force, hands them to a
//! [`Handler`] and writes whole answers. It decides nothing.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_core::{intent::CallerLimits, lifecycle::Phase, lifecycle::PhaseHandle};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::yield_now,
    time::{Instant, sleep},
};

use crate::InFlight;

/// The pause after the system would not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The smallest buffer for request heads that hyper takes, in bytes.
const MIN_BUF_BYTES: usize = 8 * 1024;

/// Answers forwarded requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropping the future ends all work for it.
    fn handle(
        &self,
        req: Request<Bytes>,
        received: Instant,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;

    /// What callers may send now.
    fn limits(&self) -> CallerLimits;
}

/// A front that listens.
#[derive(Debug)]
pub struct ForwardedFront {
    addr: SocketAddr,
    closing: watch::Sender<bool>,
    /// Counts the task that accepts, for as long as it does.
    accepting: Arc<InFlight>,
    in_flight: Arc<InFlight>,
}

impl ForwardedFront {
    /// Begins to accept connections.
    ///
    /// # Errors
    ///
    /// The system's error when the address cannot be had.
    pub async fn listen<H: Handler>(
        addr: SocketAddr,
        handler: Arc<H>,
        phase: PhaseHandle,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (closing, closed) = watch::channel(false);
        let (accepting, in_flight) = (Arc::<InFlight>::default(), Arc::<InFlight>::default());
        let cx = Arc::new(Context { handler, phase, in_flight: Arc::clone(&in_flight) });
        let while_accepting = accepting.begin();
        tokio::spawn(async move {
            accept(listener, cx, closed).await;
            drop(while_accepting);
        });
        Ok(Self { addr, closing, accepting, in_flight })
    }

    /// Where the front listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The connections that are open.
    #[must_use]
    pub const fn in_flight(&self) -> &Arc<InFlight> {
        &self.in_flight
    }

    /// Accepts no more, closes idle connections, and ends each other one
    /// after the answer that is due on it.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until the front that was closed accepts no more and no
    /// connection is open: nothing begins any more.
    pub async fn ended(&self) {
        self.accepting.idle().await;
        self.in_flight.idle().await;
    }
}

struct Context<H> {
    handler: Arc<H>,
    phase: PhaseHandle,
    /// Counts open connections.
    in_flight: Arc<InFlight>,
}

async fn accept<H: Handler>(
    listener: TcpListener,
    cx: Arc<Context<H>>,
    mut closed: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = is_closed(&mut closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                endivevale_socket::set_options(&stream);
                // Counted before the task runs, so that none goes unseen.
                let open = cx.in_flight.begin();
                let serving = serve(stream, Arc::clone(&cx), closed.clone());
                tokio::spawn(async move {
                    serving.await;
                    drop(open);
                });
            }
            Err(e) => {
                log::warn!(target: "caller", "A connection was not accepted: {e}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until the front is closed or dropped.
async fn is_closed(closed: &mut watch::Receiver<bool>) {
    let is_dropped = closed.wait_for(|is_closed| *is_closed).await.is_err();
    if is_dropped {
        log::debug!(target: "caller", "The front was dropped before it was closed.");
    }
}

async fn serve<H: Handler>(
    stream: TcpStream,
    cx: Arc<Context<H>>,
    mut closed: watch::Receiver<bool>,
) {
    let limits = cx.handler.limits();
    let service = service_fn(|req| answer(&cx, req));
    // A kept connection may be idle for the idle timeout, and hyper's limit on
    // reading a head runs while a connection is idle, too.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUF_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = is_closed(&mut closed) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!(target: "caller", "A connection ended early: {e}.");
    }
}

async fn answer<H: Handler>(
    cx: &Context<H>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let received = Instant::now();
    let limit = cx.handler.limits().max_body_bytes;
    let (head, body) = req.into_parts();
    let mut res = match Limited::new(body, limit).collect().await {
        Ok(body) => {
            // Lets hyper read on first: if the caller has hung up already,
            // this future ends here and no searcher is asked.
            yield_now().await;
            let req = Request::from_parts(head, body.to_bytes());
            cx.handler.handle(req, received).await
        }
        Err(e) => unreadable(&*e),
    };
    if cx.phase.get() == Phase::Leaving {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res)
}

/// The answer to a request whose body was not read to its end.
fn unreadable(e: &(dyn std::error::Error + 'static)) -> Response<Full<Bytes>> {
    let status = if e.is::<LengthLimitError>() {
        StatusCode::PAYLOAD_TOO_LARGE
    } else {
        log::debug!(target: "caller", "A request body broke off: {e}.");
        StatusCode::BAD_REQUEST
    };
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    res
}
