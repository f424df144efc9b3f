//! Parser for the log lines that instances write about requests.
//!
//! # Example
//!
//! ```
//! use endivectl::request_log::RequestLogLine;
//!
//! let text = "2026-01-01T00:00:00.000Z INFO  [caller] request=r1 route=sweep version=4 \
//!     answered missing=1 ms=12.5 patience_ms=800 left_out=0 events=s1/a@5.0=slow,s1/-@5.1=over_budget";
//! let line = RequestLogLine::parse(text).unwrap();
//! assert_eq!((line.request.as_str(), line.events.len()), ("r1", 2));
//! assert_eq!(line.events[0].searcher.as_deref(), Some("a"));
//! ```

use serde::Serialize;

/// One event in the course of a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestEvent {
    /// The service or shard of the sub-request.
    pub service: String,
    /// The searcher, if the event is about an attempt at one.
    pub searcher: Option<String>,
    /// Time since the request was received, in milliseconds.
    pub at_ms: f64,
    /// The name of the event.
    #[serde(rename = "what")]
    pub event: String,
}

/// The log line of one instance about one request: of the instance that received it
/// from its caller, or of an aggregator to which sub-requests were relayed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestLogLine {
    /// Timestamp of the line, by the instance's clock.
    pub time: String,
    /// The request identifier that the caller set.
    pub request: String,
    /// The name of the route.
    pub route: String,
    /// The version of the configuration that applied to the request.
    pub version: u64,
    /// The outcome that was reported to the caller.
    pub outcome: String,
    /// Duration of the request, in milliseconds.
    pub took_ms: f64,
    /// The events of the request, in the order in which they were logged.
    pub events: Vec<RequestEvent>,
}

impl RequestLogLine {
    /// Parses a log line in text or JSON format. Returns `None` for a line that
    /// is not about a request.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        match serde_json::from_str::<serde_json::Value>(line) {
            Ok(json) => Self::parse_message(json["message"].as_str()?, json["time"].as_str()?),
            Err(_) => {
                let (prefix, message) =
                    line.split_once("[caller] ").or_else(|| line.split_once("[sibling] "))?;
                Self::parse_message(message, prefix.split_whitespace().next()?)
            }
        }
    }

    /// Parses the message of a line, without the timestamp and level.
    fn parse_message(message: &str, time: &str) -> Option<Self> {
        let rest = message.strip_prefix("request=")?;
        let (request, rest) = rest.split_once(" route=")?;
        let (route, rest) = rest.split_once(" version=")?;
        let (version, rest) = rest.split_once(' ')?;
        let (outcome, rest) = rest.rsplit_once(" ms=")?;
        let (duration_ms, rest) = rest.split_once(' ')?;
        let (_, events) = rest.split_once("events=")?;
        Some(Self {
            time: time.to_owned(),
            request: request.to_owned(),
            route: route.to_owned(),
            version: version.parse().ok()?,
            outcome: outcome.to_owned(),
            took_ms: duration_ms.parse().ok()?,
            events: events.trim_end().split(',').filter_map(parse_event).collect(),
        })
    }
}

/// Parses one event, `SERVICE/SEARCHER@MS=EVENT`; the searcher `-` is none.
fn parse_event(text: &str) -> Option<RequestEvent> {
    let (target, event) = text.split_once('=')?;
    let (target, elapsed_ms) = target.rsplit_once('@')?;
    let (service, searcher) = target.split_once('/')?;
    Some(RequestEvent {
        service: service.to_owned(),
        searcher: (searcher != "-").then(|| searcher.to_owned()),
        at_ms: elapsed_ms.parse().ok()?,
        event: event.to_owned(),
    })
}
