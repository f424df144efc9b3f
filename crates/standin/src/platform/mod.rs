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
use rand::{SeedableRng, rngs::StdRng};
use serde::{Deserialize, Deserializer};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::Instant};

use crate::http::{self, Limits};

mod serve;

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
        let handler = move |req| serve::handle(Arc::clone(&handler_state), req);
        let task = http::serve(listener, Limits::default(), handler);
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
