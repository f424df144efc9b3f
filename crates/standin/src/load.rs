//! An open-loop load client: requests leave at their intended times whether
//! or not earlier ones have been answered, and latency is measured from the
//! intended time, so that a stall does not hide itself.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() {
//! use std::{sync::Arc, time::Duration};
//! use endivevale_standin::load::{Load, run};
//!
//! let load = Load {
//!     targets: vec!["127.0.0.1:8000".parse().unwrap()],
//!     per_second: 200.0,
//!     span: Duration::from_secs(5),
//!     document: Arc::new(|n| serde_json::json!({
//!         "service": "stock-search", "caller": "sales-desk", "body": n.to_string(),
//!     })),
//! };
//! println!("{}", run(load).await);
//! # }
//! ```

use std::{
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use reqwest::Client;
use serde_json::Value;
use tokio::{sync::mpsc, task::JoinSet};

/// The significant digits of recorded latencies.
const DIGITS: u8 = 3;

/// The longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// How long a load client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// What to send where and how often.
#[derive(Clone)]
pub struct Load {
    /// The nodes, asked in turn.
    pub targets: Vec<SocketAddr>,
    /// Requests a second.
    pub per_second: f64,
    /// How long to go on.
    pub span: Duration,
    /// The query document of the request with this number.
    pub document: Arc<dyn Fn(u64) -> Value + Send + Sync>,
}

impl fmt::Debug for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Load").field("per_second", &self.per_second).finish_non_exhaustive()
    }
}

/// How one request ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    /// The number of the request.
    pub number: u64,
    /// From the intended time to the end.
    pub latency: Duration,
    /// The HTTP status, or `None` when no answer came.
    pub status: Option<u16>,
    /// The answer or failure; `Null` when none came.
    pub json: Value,
}

impl Ended {
    /// Whether the answer covers every shard.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.json["whole"] == Value::Bool(true)
    }

    /// Whether the failure says that the request was not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.json["error"]["run"] == "not_run"
    }
}

/// What came of a load.
#[derive(Debug, Clone)]
pub struct Report {
    /// Latencies of answers, in microseconds.
    pub answers: Histogram<u64>,
    /// Latencies of refusals, in microseconds.
    pub refusals: Histogram<u64>,
    /// Whole answers.
    pub whole: u64,
    /// Partial answers.
    pub partial: u64,
    /// Refusals that say the request was not run.
    pub refused: u64,
    /// Failures with an unknown outcome, or no answer.
    pub unknown: u64,
}

impl Default for Report {
    fn default() -> Self {
        let new = || Histogram::new_with_max(LONGEST_US, DIGITS).expect("three digits are allowed");
        Self { answers: new(), refusals: new(), whole: 0, partial: 0, refused: 0, unknown: 0 }
    }
}

impl Report {
    /// Counts one end.
    pub fn add(&mut self, ended: &Ended) {
        let us = ended.latency.as_micros() as u64;
        match ended.status {
            Some(200) => {
                self.answers.saturating_record(us);
                *(if ended.is_whole() { &mut self.whole } else { &mut self.partial }) += 1;
            }
            _ if ended.is_not_run() => {
                self.refusals.saturating_record(us);
                self.refused += 1;
            }
            _ => self.unknown += 1,
        }
    }

    /// A latency of answers at a quantile, in milliseconds.
    #[must_use]
    pub fn answer_ms(&self, quantile: f64) -> f64 {
        self.answers.value_at_quantile(quantile) as f64 / 1000.0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "whole {} partial {} refused {} unknown {}; p50 {:.2} ms, p90 {:.2} ms, p99 {:.2} ms",
            self.whole,
            self.partial,
            self.refused,
            self.unknown,
            self.answer_ms(0.5),
            self.answer_ms(0.9),
            self.answer_ms(0.99),
        )
    }
}

/// A client for load: it neither retries nor follows redirects.
///
/// # Panics
///
/// Panics when the HTTP client cannot be set up.
#[must_use]
pub fn client() -> Client {
    Client::builder()
        .retry(reqwest::retry::never())
        .no_proxy()
        .tcp_nodelay(true)
        .timeout(ANSWER_TIMEOUT)
        .build()
        .expect("an HTTP client without TLS needs nothing from outside")
}

/// Sends one query document and waits for the answer.
pub async fn ask(client: &Client, target: SocketAddr, document: &Value) -> (Option<u16>, Value) {
    let (status, body) = ask_raw(client, target, document).await;
    (status, parse(&body))
}

async fn ask_raw(
    client: &Client,
    target: SocketAddr,
    document: &Value,
) -> (Option<u16>, bytes::Bytes) {
    let sent = client.post(format!("http://{target}/v1/query")).json(document).send().await;
    let Ok(res) = sent else { return (None, bytes::Bytes::new()) };
    let status = res.status().as_u16();
    match res.bytes().await {
        Ok(body) => (Some(status), body),
        Err(_) => (None, bytes::Bytes::new()),
    }
}

fn parse(body: &[u8]) -> Value {
    serde_json::from_slice(body).unwrap_or_default()
}

/// Runs the load to its end and counts what came.
pub async fn run(load: Load) -> Report {
    let mut report = Report::default();
    run_with(load, |ended| report.add(&ended)).await;
    report
}

/// Runs the load to its end and hands over each end.
pub async fn run_with(load: Load, mut each: impl FnMut(Ended)) {
    let client = client();
    let mut due = pace(load.per_second, load.span);
    let mut running = JoinSet::new();
    loop {
        tokio::select! {
            next = due.recv() => match next {
                Some((number, intended)) => {
                    let target = load.targets[number as usize % load.targets.len()];
                    let document = (load.document)(number);
                    let client = client.clone();
                    running.spawn(async move {
                        let (status, body) = ask_raw(&client, target, &document).await;
                        let latency = intended.elapsed();
                        Ended { number, latency, status, json: parse(&body) }
                    });
                }
                None => break,
            },
            Some(Ok(ended)) = running.join_next() => each(ended),
        }
    }
    while let Some(Ok(ended)) = running.join_next().await {
        each(ended);
    }
}

/// Sends a number and its intended time whenever a request is due. The pace
/// is kept by a thread of its own, since the runtime's timer is too coarse.
#[must_use]
pub fn pace(per_second: f64, span: Duration) -> mpsc::UnboundedReceiver<(u64, Instant)> {
    let (tx, rx) = mpsc::unbounded_channel();
    let count = (per_second * span.as_secs_f64()) as u64;
    std::thread::spawn(move || {
        let began = Instant::now();
        for number in 0..count {
            let intended = began + Duration::from_secs_f64(number as f64 / per_second);
            std::thread::sleep(intended.saturating_duration_since(Instant::now()));
            if tx.send((number, intended)).is_err() {
                return;
            }
        }
    });
    rx
}
