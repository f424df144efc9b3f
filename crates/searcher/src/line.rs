//! One HTTP connection to a searcher.
//!
//! The HTTP library pools connections without a bound of its own, so each
//! line is a client of its own that keeps one connection. This makes the
//! life of a connection explicit and lets the pool count it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use endivevale_core::{
    connection::{Connection, Opening, Ready, Suspect},
    engine::OpenError,
    searcher::{Searcher, SearcherNews},
};
use reqwest::{Client, Method, RequestBuilder, redirect, retry};
use tokio::time::{Instant, timeout_at};

use crate::protocol;

/// The longest time that opening a connection may take.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Without an answer to a probe for this long, a connection is dead.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// One counted connection to one searcher.
#[derive(Debug)]
pub(crate) struct Line {
    client: Client,
    addr: SocketAddr,
    _place: Place,
}

/// A place among the connections that may be open; given back on drop.
#[derive(Debug)]
pub(crate) struct Place(Arc<AtomicU32>);

impl Place {
    /// Takes a place if fewer than `limit` are taken.
    pub(crate) fn take(open: &Arc<AtomicU32>, limit: u32) -> Option<Self> {
        open.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| (n < limit).then_some(n + 1))
            .is_ok()
            .then(|| Self(Arc::clone(open)))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Line {
    fn try_new(addr: SocketAddr, place: Place) -> Result<Self, OpenError> {
        let client = Client::builder()
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(1)
            .pool_idle_timeout(None)
            .connect_timeout(OPEN_TIMEOUT)
            .build()
            .map_err(|_| OpenError::Refused)?;
        Ok(Self { client, addr, _place: place })
    }

    /// A request on this line.
    pub(crate) fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client.request(method, format!("http://{}{path}", self.addr))
    }

    /// Asks for the searcher's state, by the deadline.
    async fn probe(&self, by: Instant) -> Result<SearcherNews, OpenError> {
        let exchange = async {
            let res = self.request(Method::GET, protocol::HEALTH_PATH).send().await?;
            let news = protocol::read_news(res.headers());
            res.bytes().await?;
            Ok::<_, reqwest::Error>(news)
        };
        match timeout_at(by, exchange).await {
            Ok(Ok(news)) => Ok(news),
            Ok(Err(_)) => Err(OpenError::Refused),
            Err(_) => Err(OpenError::TimedOut),
        }
    }
}

/// Opens a connection and hears the searcher's state on it.
pub(crate) async fn open(
    searcher: &Searcher,
    place: Place,
    by: Instant,
) -> Result<Connection<Line, Ready>, OpenError> {
    let line = Line::try_new(searcher.addr(), place)?;
    let opening: Connection<Line, Opening> = Connection::opening(line);
    let by = by.min(Instant::now() + OPEN_TIMEOUT);
    let news = opening.channel().probe(by).await?;
    searcher.observe(news);
    Ok(opening.opened())
}

/// Probes a connection that has been silent; `None` when it is dead.
pub(crate) async fn probe(
    searcher: &Searcher,
    suspect: Connection<Line, Suspect>,
) -> Option<Connection<Line, Ready>> {
    let by = Instant::now() + PROBE_TIMEOUT;
    match suspect.channel().probe(by).await {
        Ok(news) => {
            searcher.observe(news);
            Some(suspect.answered())
        }
        Err(_) => {
            searcher.stats().silent.inc();
            None
        }
    }
}
