//! Simulated searchers, and the transport that finds them by name.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use endivevale_core::{
    forward::{
        ConnectError, ExchangeOutcome, ForwardTransport, LossReason, RejectionReason, Reply,
    },
    searcher::Searcher,
};
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep, sleep_until},
};

/// How a simulated searcher handles requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// Runs the request and replies with success.
    Succeeds,
    /// Rejects this share of the requests, in `0.0..=1.0`, and runs the others.
    Rejects(f64),
    /// Runs the request, but the reply is lost.
    LosesReplies,
    /// Runs the request and never replies.
    NeverReplies,
    /// Runs the request and replies with a failure.
    ReturnsErrors,
    /// Runs the request and ends: the connection breaks, and others are refused.
    Crashes,
    /// Refuses connections.
    RefusesConnections,
    /// Another searcher has the address and rejects the request.
    AddressReused,
    /// The idle connection is closed when the next request is written, so that
    /// request is unsent; later ones succeed.
    IdleConnectionClosed,
}

/// One searcher of the simulation.
#[derive(Debug)]
pub struct SimSearcher {
    pub behaviour: Mutex<Behaviour>,
    /// The time that one request takes.
    pub service_time: Mutex<Duration>,
    /// The time until which replies are held back, if the searcher is paused.
    pub paused_until: Mutex<Option<Instant>>,
    /// Limits the requests that run at the same time; others wait.
    slots: Semaphore,
    pub counts: Mutex<Counts>,
}

/// The requests of a searcher, counted by what happened to them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that reached the searcher, rejected ones included.
    pub received: u32,
    /// Requests that were run.
    pub executed: u32,
    /// Exchanges that were carried out to their end.
    pub finished: u32,
    /// Exchanges that were dropped before their end.
    pub cancelled: u32,
}

/// Counts an exchange on drop: as finished if the flag is set, as cancelled
/// otherwise.
struct ExchangeGuard<'a>(&'a SimSearcher, bool);

impl Drop for ExchangeGuard<'_> {
    fn drop(&mut self) {
        let mut counts = self.0.counts.lock().unwrap();
        if self.1 {
            counts.finished += 1;
        } else {
            counts.cancelled += 1;
        }
    }
}

impl SimSearcher {
    pub fn new(service_time: Duration, slots: usize) -> Self {
        Self {
            behaviour: Mutex::new(Behaviour::Succeeds),
            service_time: Mutex::new(service_time),
            paused_until: Mutex::default(),
            slots: Semaphore::new(slots),
            counts: Mutex::default(),
        }
    }

    async fn run(&self, name: &str) -> ExchangeOutcome<u16> {
        let behaviour = *self.behaviour.lock().unwrap();
        self.counts.lock().unwrap().received += 1;
        match behaviour {
            Behaviour::Rejects(share) if rand::random::<f64>() < share => {
                return ExchangeOutcome::Rejected(RejectionReason::Full);
            }
            Behaviour::AddressReused => {
                return ExchangeOutcome::Rejected(RejectionReason::NotThere);
            }
            Behaviour::IdleConnectionClosed => {
                self.counts.lock().unwrap().received -= 1;
                *self.behaviour.lock().unwrap() = Behaviour::Succeeds;
                return ExchangeOutcome::Unsent;
            }
            _ => {}
        }
        let mut exchange = ExchangeGuard(self, false);
        let _slot = self.slots.acquire().await.unwrap();
        self.counts.lock().unwrap().executed += 1;
        let service_time = *self.service_time.lock().unwrap();
        sleep(service_time).await;
        let resume_at = *self.paused_until.lock().unwrap();
        if let Some(until) = resume_at {
            sleep_until(until).await;
        }
        if behaviour == Behaviour::NeverReplies {
            std::future::pending::<()>().await;
        }
        exchange.1 = true;
        let reply = |status| Reply {
            signature: Some(Arc::from(name)),
            body: Bytes::from(format!("{name:0>16.16}")),
            head: status,
        };
        match behaviour {
            Behaviour::LosesReplies => ExchangeOutcome::Lost(LossReason::Broken),
            Behaviour::Crashes => {
                *self.behaviour.lock().unwrap() = Behaviour::RefusesConnections;
                ExchangeOutcome::Lost(LossReason::Broken)
            }
            Behaviour::ReturnsErrors => ExchangeOutcome::Failure(reply(500)),
            _ => ExchangeOutcome::Success(reply(200)),
        }
    }
}

/// A transport that finds simulated searchers by name.
#[derive(Debug, Default)]
pub struct SimTransport {
    pub searchers: Mutex<HashMap<String, Arc<SimSearcher>>>,
}

impl SimTransport {
    pub fn searcher(&self, name: &str) -> Arc<SimSearcher> {
        Arc::clone(&self.searchers.lock().unwrap()[name])
    }

    pub fn set_behaviour(&self, name: &str, behaviour: Behaviour) {
        *self.searcher(name).behaviour.lock().unwrap() = behaviour;
    }

    pub fn counts(&self, name: &str) -> Counts {
        *self.searcher(name).counts.lock().unwrap()
    }

    /// Returns the number of requests received by all searchers.
    pub fn received_total(&self) -> u32 {
        self.searchers.lock().unwrap().values().map(|s| s.counts.lock().unwrap().received).sum()
    }
}

impl ForwardTransport for SimTransport {
    type Head = ();
    type ReplyHead = u16;
    type Channel = ();

    async fn open(&self, searcher: &Arc<Searcher>, deadline: Instant) -> Result<(), ConnectError> {
        match *self.searcher(searcher.name().as_str()).behaviour.lock().unwrap() {
            Behaviour::RefusesConnections if Instant::now() < deadline => {
                Err(ConnectError::Refused)
            }
            Behaviour::RefusesConnections => Err(ConnectError::TimedOut),
            _ => Ok(()),
        }
    }

    async fn is_gone(&self, searcher: &Arc<Searcher>, _deadline: Instant) -> bool {
        let behaviour = &self.searcher(searcher.name().as_str()).behaviour;
        *behaviour.lock().unwrap() == Behaviour::RefusesConnections
    }

    async fn exchange(
        &self,
        _channel: (),
        searcher: &Arc<Searcher>,
        _head: &Arc<()>,
        _deadline: Instant,
    ) -> ExchangeOutcome<u16> {
        let name = searcher.name().as_str();
        self.searcher(name).run(name).await
    }
}
