//! The connections of simulated instances to the searchers, with their cost and
//! number.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use endivevale_core::{
    forward::{ConnectError, ExchangeOutcome, ForwardTransport},
    searcher::Searcher,
};
use tokio::time::{Instant, sleep};

use crate::sim::SimTransport;

/// The time that opening a connection to a searcher takes.
const HANDSHAKE: Duration = Duration::from_millis(6);

/// How long an idle connection to a searcher stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// The connections of all instances to the searchers, and the exchanges on them,
/// since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionTotals {
    pub opened: u32,
    pub exchanges: u32,
    /// The most connections that one searcher had at the same time.
    pub peak: u32,
}

impl ConnectionTotals {
    /// Returns the connections opened for each exchange since an earlier state.
    pub fn opened_per_exchange_since(self, earlier: Self) -> f64 {
        f64::from(self.opened - earlier.opened) / f64::from(self.exchanges - earlier.exchanges)
    }
}

/// The open connections of each searcher, and the totals.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    open: HashMap<String, u32>,
    totals: ConnectionTotals,
}

impl ConnectionCounts {
    pub const fn totals(&self) -> ConnectionTotals {
        self.totals
    }

    fn open(&mut self, searcher: &str) {
        let open = self.open.entry(searcher.to_owned()).or_default();
        *open += 1;
        self.totals.opened += 1;
        self.totals.peak = self.totals.peak.max(*open);
    }

    fn close(&mut self, searcher: &str) {
        *self.open.get_mut(searcher).unwrap() -= 1;
    }
}

/// A connection to a searcher; closed when dropped.
#[derive(Debug)]
pub struct FleetChannel {
    searcher: String,
    counts: Arc<Mutex<ConnectionCounts>>,
}

impl Drop for FleetChannel {
    fn drop(&mut self) {
        self.counts.lock().unwrap().close(&self.searcher);
    }
}

/// The idle connections to each searcher, by name, and since when.
type IdleChannels = HashMap<String, Vec<(FleetChannel, Instant)>>;

/// The connections of one instance to the searchers of the simulation.
#[derive(Debug)]
pub struct FleetTransport {
    searchers: Arc<SimTransport>,
    idle: Mutex<IdleChannels>,
    counts: Arc<Mutex<ConnectionCounts>>,
}

impl FleetTransport {
    /// Creates the connections of an instance, which are counted in `counts`.
    pub fn new(searchers: &Arc<SimTransport>, counts: &Arc<Mutex<ConnectionCounts>>) -> Self {
        Self {
            searchers: Arc::clone(searchers),
            idle: Mutex::default(),
            counts: Arc::clone(counts),
        }
    }

    fn pop_idle(&self, searcher: &str) -> Option<FleetChannel> {
        let mut idle = self.idle.lock().unwrap();
        let channels = idle.get_mut(searcher)?;
        channels.retain(|(_, since)| since.elapsed() < IDLE_TIMEOUT);
        channels.pop().map(|(channel, _)| channel)
    }
}

impl ForwardTransport for FleetTransport {
    type Head = ();
    type ReplyHead = u16;
    type Channel = FleetChannel;

    async fn open(
        &self,
        searcher: &Arc<Searcher>,
        deadline: Instant,
    ) -> Result<FleetChannel, ConnectError> {
        let name = searcher.name().as_str();
        if let Some(channel) = self.pop_idle(name) {
            return Ok(channel);
        }
        self.searchers.open(searcher, deadline).await?;
        sleep(HANDSHAKE).await;
        self.counts.lock().unwrap().open(name);
        Ok(FleetChannel { searcher: name.to_owned(), counts: Arc::clone(&self.counts) })
    }

    async fn is_gone(&self, searcher: &Arc<Searcher>, deadline: Instant) -> bool {
        self.searchers.is_gone(searcher, deadline).await
    }

    async fn exchange(
        &self,
        channel: FleetChannel,
        searcher: &Arc<Searcher>,
        head: &Arc<()>,
        deadline: Instant,
    ) -> ExchangeOutcome<u16> {
        self.counts.lock().unwrap().totals.exchanges += 1;
        let outcome = self.searchers.exchange((), searcher, head, deadline).await;
        let mut idle = self.idle.lock().unwrap();
        let channels = idle.entry(channel.searcher.clone()).or_default();
        if searcher.keeps_connections() && channels.len() < searcher.connection_share() as usize {
            channels.push((channel, Instant::now()));
        }
        outcome
    }
}
