//! A stand-in searcher: slots, a connection limit, a time to open, service
//! times with a spread, index versions, deadlines, cancellation, drain, and
//! a log of what it ran.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() -> std::io::Result<()> {
//! use endivevale_standin::searcher::{SearcherSpec, StandinSearcher};
//!
//! let searcher = StandinSearcher::start(SearcherSpec::new("stock-0", "stock-search")).await?;
//! searcher.set_slowness(10.0);
//! println!("{:?}", searcher.log());
//! # Ok(())
//! # }
//! ```

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use endivevale_core::{
    id::AttemptId,
    layout::{Holding, IndexVersion, SearcherRecord, SearcherState, ShardId},
    name::{SearcherName, ServiceName, ZoneName},
};
use endivevale_searcher::protocol;
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    net::TcpListener,
    sync::{Notify, Semaphore},
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};

use crate::http::{ConnectionCounts, Limits, Reply, serve};

/// What a stand-in searcher is like.
#[derive(Debug, Clone)]
pub struct SearcherSpec {
    /// Its name.
    pub name: SearcherName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Grows each time it starts anew.
    pub incarnation: u64,
    /// Requests that it runs at the same time.
    pub slots: usize,
    /// Connections that it takes.
    pub connections: u32,
    /// The time that opening a connection takes.
    pub open_delay: Duration,
    /// The mean service time.
    pub service_time: Duration,
    /// What it holds.
    pub holdings: Vec<Holding>,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The seed of its service times and faults.
    pub seed: u64,
}

impl SearcherSpec {
    /// A searcher of one shard at one version.
    ///
    /// # Panics
    ///
    /// Panics when a name is not valid.
    #[must_use]
    pub fn new(name: &str, service: &str) -> Self {
        let holding =
            Holding { generation: 1, of: 1, shards: vec![ShardId::new(0)], versions: vec![1] };
        Self {
            name: SearcherName::try_new(name).expect("a valid name"),
            service: ServiceName::try_new(service).expect("a valid name"),
            zone: ZoneName::try_new("a").expect("a valid name"),
            incarnation: 1,
            slots: 3,
            connections: 30,
            open_delay: Duration::ZERO,
            service_time: Duration::from_millis(2),
            holdings: vec![holding],
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            seed: 1,
        }
    }
}

/// Shares of replies that go wrong, each from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReplyFaults {
    /// Run, but the connection ends without a reply.
    pub dropped: f64,
    /// Run, but the reply is cut short.
    pub cut_short: f64,
    /// Run, but the reply is the one of the attempt before.
    pub crossed: f64,
    /// Run, but the reply comes late by [`LATE_BY`].
    pub late: f64,
}

/// How late a late reply comes.
pub const LATE_BY: Duration = Duration::from_millis(400);

/// One entry of the log of what was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ran {
    /// The attempt.
    pub attempt: AttemptId,
    /// The shard.
    pub shard: ShardId,
    /// The version that was read.
    pub version: IndexVersion,
    /// The request's body.
    pub body: Bytes,
    /// When it began.
    pub at: Instant,
}

#[derive(Debug)]
struct State {
    spec: SearcherSpec,
    slots: Semaphore,
    inner: Mutex<Inner>,
    counts: Arc<ConnectionCounts>,
}

#[derive(Debug)]
struct Inner {
    slowness: f64,
    faults: ReplyFaults,
    leaving: bool,
    holdings: Vec<Holding>,
    log: Vec<Ran>,
    /// When each attempt came in after the searcher began to leave.
    after_leaving: Vec<Instant>,
    waiting: HashMap<AttemptId, Arc<Notify>>,
    /// The reply before, which a crossed one repeats.
    before: Option<(AttemptId, Bytes)>,
    rng: StdRng,
}

/// A stand-in searcher that runs in this process.
#[derive(Debug)]
pub struct StandinSearcher {
    state: Arc<State>,
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for StandinSearcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StandinSearcher {
    /// Starts a searcher.
    ///
    /// # Errors
    ///
    /// The system's error when its address cannot be had.
    pub async fn start(spec: SearcherSpec) -> std::io::Result<Self> {
        let listener = TcpListener::bind(spec.listen).await?;
        let addr = listener.local_addr()?;
        let counts = Arc::new(ConnectionCounts::default());
        let limits = Limits {
            connections: spec.connections,
            open_delay: spec.open_delay,
            counts: Arc::clone(&counts),
        };
        let inner = Inner {
            slowness: 1.0,
            faults: ReplyFaults::default(),
            leaving: false,
            holdings: spec.holdings.clone(),
            log: Vec::new(),
            after_leaving: Vec::new(),
            waiting: HashMap::new(),
            before: None,
            rng: StdRng::seed_from_u64(spec.seed),
        };
        let slots = Semaphore::new(spec.slots);
        let state = Arc::new(State { spec, slots, inner: Mutex::new(inner), counts });
        let handler_state = Arc::clone(&state);
        let handler = move |req| handle(Arc::clone(&handler_state), req);
        let task = serve(listener, limits, handler);
        Ok(Self { state, addr, task })
    }

    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its record for the platform's list, reached at `addr`.
    #[must_use]
    pub fn record_at(&self, addr: SocketAddr) -> SearcherRecord {
        let spec = &self.state.spec;
        let inner = self.state.lock();
        SearcherRecord {
            name: spec.name.clone(),
            incarnation: spec.incarnation,
            service: spec.service.clone(),
            zone: spec.zone.clone(),
            addr,
            state: if inner.leaving { SearcherState::Leaving } else { SearcherState::Live },
            holdings: inner.holdings.clone(),
        }
    }

    /// Its record for the platform's list.
    #[must_use]
    pub fn record(&self) -> SearcherRecord {
        self.record_at(self.addr)
    }

    /// What it was started as.
    #[must_use]
    pub fn spec(&self) -> &SearcherSpec {
        &self.state.spec
    }

    /// Multiplies service times from now on.
    pub fn set_slowness(&self, factor: f64) {
        self.state.lock().slowness = factor;
    }

    /// Sets which replies go wrong from now on.
    pub fn set_faults(&self, faults: ReplyFaults) {
        self.state.lock().faults = faults;
    }

    /// Begins to leave: it runs nothing new.
    pub fn leave(&self) {
        self.state.lock().leaving = true;
    }

    /// Replaces what it holds.
    pub fn set_holdings(&self, holdings: Vec<Holding>) {
        self.state.lock().holdings = holdings;
    }

    /// What it ran so far.
    #[must_use]
    pub fn log(&self) -> Vec<Ran> {
        self.state.lock().log.clone()
    }

    /// The number of attempts that it ran so far.
    #[must_use]
    pub fn ran_count(&self) -> usize {
        self.state.lock().log.len()
    }

    /// When attempts came in after it began to leave.
    #[must_use]
    pub fn after_leaving(&self) -> Vec<Instant> {
        self.state.lock().after_leaving.clone()
    }

    /// Counts of its connections.
    #[must_use]
    pub fn connections(&self) -> &ConnectionCounts {
        &self.state.counts
    }
}

/// How an attempt goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Good,
    Dropped,
    CutShort,
    Crossed,
    Late,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A service time: most of the mean is fixed, the rest is drawn from an
    /// exponential distribution.
    fn draw_service_time(&self) -> Duration {
        let mut inner = self.lock();
        let uniform: f64 = inner.rng.random_range(f64::EPSILON..1.0);
        let factor = (0.6 - 0.4 * uniform.ln()) * inner.slowness;
        self.spec.service_time.mul_f64(factor)
    }

    fn draw_fate(&self) -> Fate {
        let mut inner = self.lock();
        let faults = inner.faults;
        let mut draw: f64 = inner.rng.random_range(0.0..1.0);
        let fates = [
            (faults.dropped, Fate::Dropped),
            (faults.cut_short, Fate::CutShort),
            (faults.crossed, Fate::Crossed),
            (faults.late, Fate::Late),
        ];
        for (share, fate) in fates {
            if draw < share {
                return fate;
            }
            draw -= share;
        }
        Fate::Good
    }

    fn holds(&self, shard: ShardId, version: IndexVersion) -> bool {
        self.lock().holdings.iter().any(|h| {
            h.generation == version.generation()
                && h.shards.contains(&shard)
                && h.versions.contains(&version.number())
        })
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Reply {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, protocol::HEALTH_PATH) => Reply::Whole(build(&state, StatusCode::OK)),
        (&Method::DELETE, path) => cancel(&state, path),
        (&Method::POST, path) => match parse_path(path) {
            Some((generation, shard)) => ask(&state, generation, shard, req).await,
            None => Reply::status(StatusCode::NOT_FOUND),
        },
        _ => Reply::status(StatusCode::NOT_FOUND),
    }
}

fn parse_path(path: &str) -> Option<(u32, ShardId)> {
    let (generation, shard) = path.strip_prefix("/v1/shards/")?.split_once('/')?;
    Some((generation.parse().ok()?, ShardId::new(shard.parse().ok()?)))
}

fn cancel(state: &State, path: &str) -> Reply {
    let id = path.strip_prefix("/v1/attempts/").and_then(|id| id.parse::<AttemptId>().ok());
    let waiting = id.and_then(|id| state.lock().waiting.get(&id).cloned());
    if let Some(notify) = waiting {
        notify.notify_one();
    }
    Reply::Whole(build(state, StatusCode::OK))
}

/// A response that tells the searcher's state.
fn build(state: &State, status: StatusCode) -> Response<Bytes> {
    let inner = state.lock();
    let held: Vec<String> = inner
        .holdings
        .iter()
        .flat_map(|h| h.versions.iter().map(|v| IndexVersion::new(h.generation, *v).to_string()))
        .collect();
    let mut res = Response::new(Bytes::new());
    *res.status_mut() = status;
    let headers = res.headers_mut();
    put(headers, protocol::INDEX_HELD, &held.join(","));
    put(headers, protocol::SEARCHER_STATE, if inner.leaving { "leaving" } else { "live" });
    res
}

fn put(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn refuse(state: &State, attempt: AttemptId, why: &str) -> Reply {
    let mut res = build(state, StatusCode::SERVICE_UNAVAILABLE);
    put(res.headers_mut(), protocol::ATTEMPT, &attempt.to_string());
    put(res.headers_mut(), protocol::NOT_RUN, why);
    Reply::Whole(res)
}

fn read<T: std::str::FromStr>(headers: &HeaderMap, name: HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn ask(state: &Arc<State>, generation: u32, shard: ShardId, req: Request<Incoming>) -> Reply {
    let headers = req.headers();
    let attempt: Option<AttemptId> = read(headers, protocol::ATTEMPT);
    let version: Option<IndexVersion> = read(headers, protocol::INDEX_VERSION);
    let left_ms: Option<u64> = read(headers, protocol::DEADLINE_MS);
    let (Some(attempt), Some(version), Some(left_ms)) = (attempt, version, left_ms) else {
        return Reply::status(StatusCode::BAD_REQUEST);
    };
    let by = Instant::now() + Duration::from_millis(left_ms);
    let Ok(body) = req.into_body().collect().await else {
        return Reply::Dropped;
    };
    let body = body.to_bytes();
    if state.lock().leaving {
        state.lock().after_leaving.push(Instant::now());
        return refuse(state, attempt, "leaving");
    }
    if version.generation() != generation || !state.holds(shard, version) {
        return refuse(state, attempt, protocol::NOT_RUN_NOT_HELD);
    }
    let stop = Arc::new(Notify::new());
    state.lock().waiting.insert(attempt, Arc::clone(&stop));
    let reply = run(state, Ask { attempt, shard, version, body, by }, &stop).await;
    state.lock().waiting.remove(&attempt);
    reply
}

struct Ask {
    attempt: AttemptId,
    shard: ShardId,
    version: IndexVersion,
    body: Bytes,
    by: Instant,
}

async fn run(state: &Arc<State>, ask: Ask, stop: &Notify) -> Reply {
    let slot = tokio::select! {
        slot = timeout_at(ask.by, state.slots.acquire()) => match slot {
            Ok(Ok(slot)) => slot,
            _ => return refuse(state, ask.attempt, "expired"),
        },
        () = stop.notified() => return refuse(state, ask.attempt, "cancelled"),
    };
    // The index may have moved on while the attempt waited for a slot.
    if !state.holds(ask.shard, ask.version) {
        return refuse(state, ask.attempt, protocol::NOT_RUN_NOT_HELD);
    }
    state.lock().log.push(Ran {
        attempt: ask.attempt,
        shard: ask.shard,
        version: ask.version,
        body: ask.body.clone(),
        at: Instant::now(),
    });
    let took = state.draw_service_time();
    tokio::select! {
        () = sleep(took) => {}
        () = stop.notified() => return Reply::status(StatusCode::INTERNAL_SERVER_ERROR),
    }
    drop(slot);
    finish(state, &ask).await
}

async fn finish(state: &State, ask: &Ask) -> Reply {
    let fate = state.draw_fate();
    if fate == Fate::Late {
        sleep(LATE_BY).await;
    }
    let own = (ask.attempt, part_body(ask));
    let before = state.lock().before.replace(own.clone());
    let (echo, body) = match (fate, before) {
        (Fate::Crossed, Some(before)) => before,
        _ => own,
    };
    let mut res = build(state, StatusCode::OK).map(|_| body);
    put(res.headers_mut(), protocol::ATTEMPT, &echo.to_string());
    put(res.headers_mut(), protocol::INDEX_VERSION, &ask.version.to_string());
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    match fate {
        Fate::Dropped => Reply::Dropped,
        Fate::CutShort => Reply::CutShort(res),
        _ => Reply::Whole(res),
    }
}

/// A part that tells what it answers, so that a history can be checked.
fn part_body(ask: &Ask) -> Bytes {
    let body = serde_json::json!({
        "request": ask.attempt.request().to_string(),
        "shard": ask.shard,
        "version": ask.version.to_string(),
        "echo": String::from_utf8_lossy(&ask.body),
    });
    Bytes::from(body.to_string())
}
