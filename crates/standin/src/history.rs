//! Checks of a history of requests against what the searchers ran.
//!
//! Every request carries a body of its own, so that whatever a searcher ran
//! is found again by the body, whichever instance and attempt it came by.
//!
//! # Example
//!
//! ```
//! use endivevale_standin::history::History;
//!
//! let history = History::default();
//! assert!(history.check(&[]).is_empty());
//! ```

use std::{
    collections::{HashMap, HashSet},
    fmt,
    time::Duration,
};

use serde_json::Value;

use crate::searcher::{Ran, StandinSearcher};

/// One request and how it ended.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The body, unique among all requests but those of one key.
    pub body: String,
    /// Whether the request must not be repeated.
    pub is_order: bool,
    /// The HTTP status; `None` when no answer came.
    pub status: Option<u16>,
    /// The answer or failure.
    pub json: Value,
    /// From sending to the end.
    pub latency: Duration,
}

/// Requests in the order of their ends.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// The entries.
    pub entries: Vec<Entry>,
}

/// How many requests ended in which way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Whole answers.
    pub whole: usize,
    /// Partial answers.
    pub partial: usize,
    /// Failures that say the request was not run.
    pub not_run: usize,
    /// Failures that say the outcome is unknown.
    pub unknown: usize,
    /// No answer came.
    pub silent: usize,
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "whole {} partial {} not run {} unknown {} silent {}",
            self.whole, self.partial, self.not_run, self.unknown, self.silent
        )
    }
}

/// What every searcher ran, by the body of the request.
#[derive(Debug, Default)]
pub struct RunLog(HashMap<String, Vec<Ran>>);

impl RunLog {
    /// Collects the logs of searchers.
    #[must_use]
    pub fn collect(searchers: &[StandinSearcher]) -> Self {
        let mut log: HashMap<String, Vec<Ran>> = HashMap::new();
        for ran in searchers.iter().flat_map(StandinSearcher::log) {
            let body = String::from_utf8_lossy(&ran.body).into_owned();
            log.entry(body).or_default().push(ran);
        }
        Self(log)
    }

    /// What was run of the request with this body.
    #[must_use]
    pub fn of(&self, body: &str) -> &[Ran] {
        self.0.get(body).map_or(&[], Vec::as_slice)
    }

    /// The bodies of which something was run, with how much.
    pub fn counts(&self) -> impl Iterator<Item = (&str, usize)> {
        self.0.iter().map(|(body, ran)| (body.as_str(), ran.len()))
    }
}

impl History {
    /// How many requests ended in which way.
    #[must_use]
    pub fn tally(&self) -> Tally {
        let mut tally = Tally::default();
        for entry in &self.entries {
            let run = entry.json["error"]["run"].as_str();
            let count = match (entry.status, run) {
                (None, _) => &mut tally.silent,
                (Some(200), _) if entry.json["whole"] == true => &mut tally.whole,
                (Some(200), _) => &mut tally.partial,
                (_, Some("not_run")) => &mut tally.not_run,
                _ => &mut tally.unknown,
            };
            *count += 1;
        }
        tally
    }

    /// Checks every entry; returns what is broken, one line each.
    #[must_use]
    pub fn check(&self, searchers: &[StandinSearcher]) -> Vec<String> {
        let log = RunLog::collect(searchers);
        let mut broken = Vec::new();
        for entry in &self.entries {
            let found = match entry.status {
                Some(200) => check_answer(entry, &log),
                Some(_) => check_failure(entry, &log),
                None => Ok(()),
            };
            if let Err(why) = found {
                broken.push(format!("{}: {why}", entry.body));
            }
        }
        let orders: HashSet<&str> =
            self.entries.iter().filter(|e| e.is_order).map(|e| e.body.as_str()).collect();
        for (body, count) in log.counts() {
            if orders.contains(body) && count > 1 {
                broken.push(format!("{body}: an order ran {count} times"));
            }
        }
        broken
    }
}

/// One snapshot, true coverage, and the whole answer to its own request.
fn check_answer(entry: &Entry, log: &RunLog) -> Result<(), String> {
    let json = &entry.json;
    let version = json["version"].as_str().ok_or("no version")?;
    let request = json["request"].as_str().ok_or("no request")?;
    let covered = json["covered"].as_array().ok_or("no coverage")?;
    let parts = json["parts"].as_array().ok_or("no parts")?;
    let shards: Vec<_> = parts.iter().map(|part| &part["shard"]).collect();
    if covered.iter().collect::<Vec<_>>() != shards {
        return Err(format!("covers {covered:?} by parts of {shards:?}"));
    }
    for part in parts {
        let body = &part["body"];
        if body["version"] != version {
            return Err(format!("a part of {} in an answer of {version}", body["version"]));
        }
        if body["request"] != request || body["echo"] != entry.body.as_str() {
            return Err(format!("a part that answers {body}"));
        }
        let shard = part["shard"].as_u64();
        if body["shard"].as_u64() != shard {
            return Err(format!("shard {shard:?} is covered by a part of {}", body["shard"]));
        }
        let was_run = log.of(&entry.body).iter().any(|ran| {
            Some(u64::from(ran.shard.number())) == shard && ran.version.to_string() == version
        });
        if !was_run {
            return Err(format!("shard {shard:?} is covered but was not run at {version}"));
        }
    }
    check_missing(entry, log)
}

/// A shard that is said not to have run the request has not run it at this
/// answer's version.
fn check_missing(entry: &Entry, log: &RunLog) -> Result<(), String> {
    let version = entry.json["version"].as_str().unwrap_or_default();
    let missing = entry.json["missing"].as_array().ok_or("no list of missing shards")?;
    for shard in missing.iter().filter(|shard| shard["run"] == "not_run") {
        let number = shard["shard"].as_u64();
        let ran = log.of(&entry.body).iter().any(|ran| {
            Some(u64::from(ran.shard.number())) == number && ran.version.to_string() == version
        });
        if ran {
            return Err(format!("shard {number:?} is said not to have run, but did"));
        }
    }
    if entry.json["whole"] == true && !missing.is_empty() {
        return Err("a whole answer misses shards".to_owned());
    }
    Ok(())
}

/// What is refused as not run was not run.
fn check_failure(entry: &Entry, log: &RunLog) -> Result<(), String> {
    let run = entry.json["error"]["run"].as_str().ok_or("a failure says nothing of the run")?;
    let count = log.of(&entry.body).len();
    if run == "not_run" && count > 0 {
        return Err(format!("refused as not run, but ran {count} times: {}", entry.json));
    }
    Ok(())
}
