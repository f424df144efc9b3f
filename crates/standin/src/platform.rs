//! A stand-in platform: an object API with versions, conditional updates and
//! watches, a list that lags, counted calls, and switchable faults.
//!
//! A platform that runs on its own is administered over HTTP: `PUT
//! /admin/searcher` and `/admin/instance` with a record of the list, and `PUT
//! /admin/faults` with [`PlatformFaults`], all as JSON.
//!
//! # Example
//!
//! See the [crate](crate).

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use endivevale_core::layout::{InstanceRecord, Listing, SearcherRecord};
use endivevale_platform::MAX_OBJECT_BYTES;
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{ETAG, HeaderMap, HeaderName, HeaderValue, IF_MATCH, IF_NONE_MATCH},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Deserializer};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};

use crate::http::{Limits, Reply, serve};

/// The versions of an object that stale reads can show.
const KEPT_VERSIONS: usize = 4;

/// The lists that are kept for a list that lags.
const KEPT_LISTS: usize = 256;

/// Faults of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Every call fails.
    pub out: bool,
    /// Every call takes this much longer.
    #[serde(rename = "delay_ms", deserialize_with = "millis")]
    pub delay: Duration,
    /// The share of writes whose reply is lost after they took effect.
    pub lost_replies: f64,
    /// The share of reads that show an earlier version.
    pub stale_reads: f64,
    /// How far the list lags.
    #[serde(rename = "list_lag_ms", deserialize_with = "millis")]
    pub list_lag: Duration,
}

fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

/// Counts of calls.
#[derive(Debug, Default)]
pub struct Calls {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    lists: AtomicU64,
}

impl Calls {
    /// All calls, a waiting watch as one.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.reads() + self.writes() + self.watches() + self.lists()
    }

    /// Reads of objects.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Writes of objects.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Watches.
    #[must_use]
    pub fn watches(&self) -> u64 {
        self.watches.load(Ordering::Relaxed)
    }

    /// Reads of the list.
    #[must_use]
    pub fn lists(&self) -> u64 {
        self.lists.load(Ordering::Relaxed)
    }
}

#[derive(Debug, Default)]
struct Stored {
    /// The latest versions, newest last; empty after a delete.
    versions: VecDeque<(u64, Bytes)>,
}

#[derive(Debug)]
struct Inner {
    version: u64,
    objects: HashMap<(String, String), Stored>,
    /// Every list with the time it came into being, newest last.
    lists: VecDeque<(Instant, Arc<Listing>)>,
    faults: PlatformFaults,
    rng: StdRng,
}

#[derive(Debug)]
struct State {
    inner: Mutex<Inner>,
    calls: Calls,
    /// The latest version of any object; wakes watches.
    changed: watch::Sender<u64>,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        // Watches that wait must meet the faults, too.
        self.changed.send_modify(|_| ());
    }

    fn change_list(&self, change: impl FnOnce(&mut Listing)) {
        let mut inner = self.lock();
        let mut listing = inner.lists.back().map_or_else(Listing::default, |(_, l)| (**l).clone());
        change(&mut listing);
        listing.version += 1;
        inner.lists.push_back((Instant::now(), Arc::new(listing)));
        if inner.lists.len() > KEPT_LISTS {
            inner.lists.pop_front();
        }
    }
}

/// A stand-in platform that runs in this process.
#[derive(Debug)]
pub struct StandinPlatform {
    state: Arc<State>,
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for StandinPlatform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StandinPlatform {
    /// Starts a platform on a free port.
    ///
    /// # Errors
    ///
    /// The system's error when no port can be had.
    pub async fn start() -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts a platform at an address.
    ///
    /// # Errors
    ///
    /// The system's error when the address cannot be had.
    pub async fn start_at(addr: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let first = (Instant::now(), Arc::new(Listing { version: 1, ..Listing::default() }));
        let inner = Inner {
            version: 1,
            objects: HashMap::new(),
            lists: VecDeque::from([first]),
            faults: PlatformFaults::default(),
            rng: StdRng::seed_from_u64(1),
        };
        let state = Arc::new(State {
            inner: Mutex::new(inner),
            calls: Calls::default(),
            changed: watch::Sender::new(1),
        });
        let handler_state = Arc::clone(&state);
        let handler = move |req| handle(Arc::clone(&handler_state), req);
        let task = serve(listener, Limits::default(), handler);
        Ok(Self { state, addr, task })
    }

    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its address as the settings of a node name it.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Counts of calls.
    #[must_use]
    pub fn calls(&self) -> &Calls {
        &self.state.calls
    }

    /// Sets the seed of the faults that are drawn.
    pub fn set_seed(&self, seed: u64) {
        self.state.lock().rng = StdRng::seed_from_u64(seed);
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Switches the outage alone.
    pub fn set_out(&self, out: bool) {
        let faults = self.state.lock().faults;
        self.set_faults(PlatformFaults { out, ..faults });
    }

    /// Replaces the searchers of the list.
    pub fn set_searchers(&self, searchers: Vec<SearcherRecord>) {
        self.change_list(|listing| listing.searchers = searchers);
    }

    /// Adds an instance of the tier to the list, or replaces it.
    pub fn put_instance(&self, record: InstanceRecord) {
        self.change_list(|listing| {
            listing.instances.retain(|i| i.name != record.name);
            listing.instances.push(record);
        });
    }

    /// Removes an instance of the tier from the list.
    pub fn remove_instance(&self, name: &str) {
        self.change_list(|listing| listing.instances.retain(|i| i.name.as_str() != name));
    }

    /// Changes the list.
    pub fn change_list(&self, change: impl FnOnce(&mut Listing)) {
        self.state.change_list(change);
    }

    /// The latest version of an object; `None` when there is none.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<(u64, Bytes)> {
        let inner = self.state.lock();
        let stored = inner.objects.get(&(kind.to_owned(), name.to_owned()))?;
        stored.versions.back().cloned()
    }
}

/// Changes the list or the faults, for stand-ins that run on their own.
async fn administer(state: &State, req: Request<Incoming>) -> Reply {
    let what = req.uri().path().to_owned();
    let Ok(body) = req.into_body().collect().await else {
        return Reply::Dropped;
    };
    let body = body.to_bytes();
    let done = match what.as_str() {
        "/admin/searcher" => serde_json::from_slice::<SearcherRecord>(&body).map(|record| {
            state.change_list(|listing| {
                listing.searchers.retain(|s| s.name != record.name);
                listing.searchers.push(record);
            });
        }),
        "/admin/instance" => serde_json::from_slice::<InstanceRecord>(&body).map(|record| {
            state.change_list(|listing| {
                listing.instances.retain(|i| i.name != record.name);
                listing.instances.push(record);
            });
        }),
        "/admin/faults" => serde_json::from_slice(&body).map(|faults| state.set_faults(faults)),
        _ => return Reply::status(StatusCode::NOT_FOUND),
    };
    match done {
        Ok(()) => Reply::status(StatusCode::OK),
        Err(e) => {
            let mut res = Response::new(Bytes::from(format!("{e}\n")));
            *res.status_mut() = StatusCode::BAD_REQUEST;
            Reply::Whole(res)
        }
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Reply {
    if req.uri().path().starts_with("/admin/") {
        return administer(&state, req).await;
    }
    let faults = state.lock().faults;
    sleep(faults.delay).await;
    if faults.out {
        return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let path = req.uri().path().to_owned();
    if path == "/v1/instances" {
        return list(&state);
    }
    let Some((kind, name)) = path.strip_prefix("/v1/objects/").and_then(|p| p.split_once('/'))
    else {
        return Reply::status(StatusCode::NOT_FOUND);
    };
    let key = (kind.to_owned(), name.to_owned());
    match *req.method() {
        Method::GET => get(&state, &key, req.uri().query().unwrap_or_default()).await,
        Method::PUT => put(&state, key, req).await,
        Method::DELETE => delete(&state, &key, req.headers()),
        _ => Reply::status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn list(state: &State) -> Reply {
    state.calls.lists.fetch_add(1, Ordering::Relaxed);
    let inner = state.lock();
    let lag = inner.faults.list_lag;
    let shown = inner.lists.iter().rev().find(|(at, _)| at.elapsed() >= lag);
    let listing = shown.or_else(|| inner.lists.front()).map(|(_, l)| Arc::clone(l));
    let json = serde_json::to_vec(&listing.unwrap_or_default()).unwrap_or_default();
    Reply::Whole(Response::new(Bytes::from(json)))
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

async fn get(state: &State, key: &(String, String), query: &str) -> Reply {
    let Some(after) = query_number(query, "after") else {
        state.calls.reads.fetch_add(1, Ordering::Relaxed);
        return match read(state, key).0 {
            Some((version, body)) => object_reply(version, body),
            None => Reply::status(StatusCode::NOT_FOUND),
        };
    };
    state.calls.watches.fetch_add(1, Ordering::Relaxed);
    let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
    let by = Instant::now() + wait;
    let mut changed = state.changed.subscribe();
    loop {
        changed.mark_unchanged();
        if state.lock().faults.out {
            return Reply::Dropped;
        }
        let (found, is_stale) = read(state, key);
        // A stale read shows an earlier version to a watch, too.
        if let Some((version, body)) = found.filter(|(version, _)| is_stale || *version > after) {
            return object_reply(version, body);
        }
        if !matches!(timeout_at(by, changed.changed()).await, Ok(Ok(()))) {
            return Reply::status(StatusCode::NOT_MODIFIED);
        }
    }
}

/// Reads an object, sometimes an earlier version of it; says whether it is.
fn read(state: &State, key: &(String, String)) -> (Option<(u64, Bytes)>, bool) {
    let mut inner = state.lock();
    let share = inner.faults.stale_reads;
    let is_stale = share > 0.0 && inner.rng.random_range(0.0..1.0) < share;
    let versions = inner.objects.get(key).map(|stored| &stored.versions);
    let found = versions.and_then(|v| if is_stale { v.front() } else { v.back() });
    (found.cloned(), is_stale)
}

fn object_reply(version: u64, body: Bytes) -> Reply {
    let mut res = Response::new(body);
    set_etag(&mut res, version);
    Reply::Whole(res)
}

fn set_etag(res: &mut Response<Bytes>, version: u64) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        res.headers_mut().insert(ETAG, value);
    }
}

fn conflict(current: Option<u64>) -> Reply {
    let mut res = Response::new(Bytes::new());
    *res.status_mut() = StatusCode::PRECONDITION_FAILED;
    if let Some(version) = current {
        set_etag(&mut res, version);
    }
    Reply::Whole(res)
}

fn header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Whether the condition of a write holds at the current version.
fn holds(headers: &HeaderMap, current: Option<u64>) -> bool {
    if header(headers, &IF_NONE_MATCH) == Some("*") {
        return current.is_none();
    }
    let wanted = header(headers, &IF_MATCH).and_then(|v| v.trim_matches('"').parse::<u64>().ok());
    wanted.is_some() && wanted == current
}

async fn put(state: &State, key: (String, String), req: Request<Incoming>) -> Reply {
    state.calls.writes.fetch_add(1, Ordering::Relaxed);
    let headers = req.headers().clone();
    let Ok(body) = req.into_body().collect().await else {
        return Reply::Dropped;
    };
    let body = body.to_bytes();
    if body.len() > MAX_OBJECT_BYTES {
        return Reply::status(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut inner = state.lock();
    let version = inner.version + 1;
    let stored = inner.objects.entry(key).or_default();
    let current = stored.versions.back().map(|(version, _)| *version);
    if !holds(&headers, current) {
        return conflict(current);
    }
    stored.versions.push_back((version, body));
    if stored.versions.len() > KEPT_VERSIONS {
        stored.versions.pop_front();
    }
    inner.version = version;
    let share = inner.faults.lost_replies;
    let is_lost = share > 0.0 && inner.rng.random_range(0.0..1.0) < share;
    drop(inner);
    state.changed.send_replace(version);
    if is_lost {
        return Reply::Dropped;
    }
    let mut res = Response::new(Bytes::new());
    set_etag(&mut res, version);
    Reply::Whole(res)
}

fn delete(state: &State, key: &(String, String), headers: &HeaderMap) -> Reply {
    state.calls.writes.fetch_add(1, Ordering::Relaxed);
    let mut inner = state.lock();
    let current =
        inner.objects.get(key).and_then(|s| s.versions.back()).map(|(version, _)| *version);
    match current {
        None => Reply::status(StatusCode::NOT_FOUND),
        Some(_) if holds(headers, current) => {
            inner.objects.remove(key);
            Reply::status(StatusCode::NO_CONTENT)
        }
        Some(_) => conflict(current),
    }
}
