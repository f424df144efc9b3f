//! What an instance remembers of its counters, for the burn report.
//!
//! Counters only grow, so a window needs what they were at its beginning. An
//! instance keeps a reading each [`READ_INTERVAL`] for as long as the longest
//! window; one that has run for less says how much of a window it covers.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::view::View;
//! use endivevale_operator::burn_rate::History;
//!
//! let history = History::default();
//! history.read(&View::default());
//! let document = history.document("entry-1", &View::default());
//! assert_eq!(document.windows.len(), 2);
//! assert_eq!(document.windows[0].covered_s, 0);
//! # });
//! ```

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use endivevale_core::{
    burn_rate::{ObjectiveTargets, RequestCounts},
    view::{View, ViewCell},
};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, interval};

/// The time between two readings.
pub const READ_INTERVAL: Duration = Duration::from_secs(30);

/// The windows of a report, the short one first.
pub const WINDOWS: [Duration; 2] = [Duration::from_secs(5 * 60), Duration::from_secs(60 * 60)];

/// Whether requests were counted by their service or by their route.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Queries to a service.
    Service,
    /// Forwarded requests of a route.
    Route,
}

/// Whose requests are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// Whether it is a service or a route.
    pub kind: Kind,
    /// The name.
    pub name: String,
    /// The rank of the requests.
    pub rank: u8,
}

/// What a subject came to in a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SubjectTally {
    /// Whose requests these are.
    pub subject: Subject,
    /// What they are held to.
    pub targets: ObjectiveTargets,
    /// What was counted.
    pub tally: RequestCounts,
}

/// What one instance counted in one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowTally {
    /// The window, in seconds.
    pub window_s: u64,
    /// How much of it the instance has readings of, in seconds.
    pub covered_s: u64,
    /// Every subject that had a request.
    pub subjects: Vec<SubjectTally>,
}

/// What one instance tells of its counters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceTally {
    /// The instance's name.
    pub instance: String,
    /// The windows, the short one first.
    pub windows: Vec<WindowTally>,
}

type Counts = BTreeMap<Subject, (ObjectiveTargets, RequestCounts)>;

/// The readings of one instance.
#[derive(Debug, Default)]
pub struct History {
    /// Invariant: in order of time, none much older than the longest window.
    readings: Mutex<VecDeque<(Instant, Counts)>>,
}

impl History {
    /// Takes readings for as long as the task runs.
    pub async fn run(self: Arc<Self>, views: Arc<ViewCell>) {
        let mut ticks = interval(READ_INTERVAL);
        loop {
            ticks.tick().await;
            self.read(&views.load());
        }
    }

    /// Takes one reading.
    pub fn read(&self, view: &View) {
        let now = Instant::now();
        let longest = WINDOWS[WINDOWS.len() - 1];
        let mut readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        readings.push_back((now, counts(view)));
        // The reading before the longest window's beginning is its base.
        while readings.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= longest) {
            readings.pop_front();
        }
    }

    /// What was counted in each window up to now.
    #[must_use]
    pub fn document(&self, instance: &str, view: &View) -> InstanceTally {
        let now = Instant::now();
        let counted = counts(view);
        let readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        let windows = WINDOWS.iter().map(|window| {
            let is_base = |(at, _): &&(Instant, Counts)| now.duration_since(*at) >= *window;
            let base = readings.iter().rev().find(is_base).or_else(|| readings.front());
            window_tally(*window, now, &counted, base)
        });
        InstanceTally { instance: instance.to_owned(), windows: windows.collect() }
    }
}

fn window_tally(
    window: Duration,
    now: Instant,
    counted: &Counts,
    base: Option<&(Instant, Counts)>,
) -> WindowTally {
    let covered = base.map_or(Duration::ZERO, |(at, _)| now.duration_since(*at));
    let subjects = counted.iter().filter_map(|(subject, (targets, tally))| {
        let before = base.and_then(|(_, counts)| counts.get(subject));
        let tally = tally.since(before.map_or(RequestCounts::default(), |(_, tally)| *tally));
        (tally.asked > 0).then(|| SubjectTally {
            subject: subject.clone(),
            targets: *targets,
            tally,
        })
    });
    WindowTally {
        window_s: window.as_secs(),
        covered_s: covered.as_secs(),
        subjects: subjects.collect(),
    }
}

/// Every subject of a view that had a request.
fn counts(view: &View) -> Counts {
    let mut counts = Counts::new();
    for service in view.services() {
        let targets = ObjectiveTargets::from_objectives(&service.intent().objectives);
        for (rank, stats) in (1..).zip(service.state().ranks()) {
            let name = service.intent().name.to_string();
            let subject = Subject { kind: Kind::Service, name, rank };
            counts.insert(subject, (targets, RequestCounts::from_stats(stats)));
        }
    }
    let routes = view.intent().map(|intent| &intent.routes);
    for route in routes.into_iter().flat_map(|routes| routes.iter()) {
        let (name, rank) = (route.name.to_string(), route.rank.number());
        let subject = Subject { kind: Kind::Route, name, rank };
        let tally = RequestCounts::from_stats(&view.route_state(route).stats);
        counts.insert(subject, (ObjectiveTargets::ROUTE_DEFAULTS, tally));
    }
    counts.retain(|_, (_, tally)| tally.asked > 0);
    counts
}
