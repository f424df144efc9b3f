//! Request counts of one instance over time windows, for the burn report.
//!
//! The counters only grow, so the count of a window is the difference between
//! their values now and at the start of the window. An instance samples its
//! counters every [`SAMPLE_INTERVAL`] and keeps the samples for the longest
//! window. An instance that has been running for less time reports which part
//! of a window its counts cover.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::view::View;
//! use endivevale_operator::burn::CounterHistory;
//!
//! let history = CounterHistory::default();
//! history.record_sample(&View::default());
//! let tally = history.tally("entry-1", &View::default());
//! assert_eq!(tally.windows.len(), 2);
//! assert_eq!(tally.windows[0].covered_s, 0);
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

/// Interval at which the counters are sampled.
pub const SAMPLE_INTERVAL: Duration = Duration::from_secs(30);

/// The windows of a report, shortest first.
pub const WINDOWS: [Duration; 2] = [Duration::from_secs(5 * 60), Duration::from_secs(60 * 60)];

/// The kind of a [`Subject`].
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
pub enum SubjectKind {
    /// A service, with the queries to it.
    Service,
    /// A route, with its forwarded requests.
    Route,
}

/// A service or route with one rank, whose requests are counted together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// Whether this is a service or a route.
    pub kind: SubjectKind,
    /// The name of the service or route.
    pub name: String,
    /// The rank of the requests.
    pub rank: u8,
}

/// The request counts of one subject in one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SubjectTally {
    /// The service or route, and the rank of the requests.
    pub subject: Subject,
    /// The objectives that the requests are measured against.
    pub targets: ObjectiveTargets,
    /// The request counts.
    pub tally: RequestCounts,
}

/// The request counts of one instance in one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowTally {
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// Age of the sample that the counts start from, in seconds. It is less
    /// than the window while the instance has no older sample, and may exceed
    /// it by about [`SAMPLE_INTERVAL`].
    pub covered_s: u64,
    /// The subjects that had at least one request in the window.
    pub subjects: Vec<SubjectTally>,
}

/// The response of `GET /v1/burn`: the request counts of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceTally {
    /// The instance's name.
    pub instance: String,
    /// The windows, shortest first.
    pub windows: Vec<WindowTally>,
}

/// The targets and the counter values at one point in time, by subject.
type SubjectCounts = BTreeMap<Subject, (ObjectiveTargets, RequestCounts)>;

/// Samples of the request counters of one instance.
#[derive(Debug, Default)]
pub struct CounterHistory {
    /// Invariant: in order of time. When a sample is added, only one sample that
    /// is at least as old as the longest window is kept: the newest such one,
    /// from which the counts of that window start.
    samples: Mutex<VecDeque<(Instant, SubjectCounts)>>,
}

impl CounterHistory {
    /// Records a sample every [`SAMPLE_INTERVAL`]; never returns.
    pub async fn run(self: Arc<Self>, views: Arc<ViewCell>) {
        let mut ticker = interval(SAMPLE_INTERVAL);
        loop {
            ticker.tick().await;
            self.record_sample(&views.load());
        }
    }

    /// Records a sample of the counters and drops the ones that no window needs
    /// any more.
    pub fn record_sample(&self, view: &View) {
        let now = Instant::now();
        let longest_window = WINDOWS[WINDOWS.len() - 1];
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.push_back((now, current_counts(view)));
        // Keeps one sample from before the longest window: its values are
        // subtracted from the current ones.
        while samples
            .get(1)
            .is_some_and(|(taken_at, _)| now.duration_since(*taken_at) >= longest_window)
        {
            samples.pop_front();
        }
    }

    /// Returns the request counts of each window that ends now.
    #[must_use]
    pub fn tally(&self, instance: &str, view: &View) -> InstanceTally {
        let now = Instant::now();
        let latest = current_counts(view);
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let windows = WINDOWS.iter().map(|window| {
            let is_before_window = |(taken_at, _): &&(Instant, SubjectCounts)| {
                now.duration_since(*taken_at) >= *window
            };
            let base = samples.iter().rev().find(is_before_window).or_else(|| samples.front());
            window_tally(*window, now, &latest, base)
        });
        InstanceTally { instance: instance.to_owned(), windows: windows.collect() }
    }
}

/// Computes the counts of one window as the difference between `latest` and
/// the sample `base`.
fn window_tally(
    window: Duration,
    now: Instant,
    latest: &SubjectCounts,
    base: Option<&(Instant, SubjectCounts)>,
) -> WindowTally {
    let covered = base.map_or(Duration::ZERO, |(taken_at, _)| now.duration_since(*taken_at));
    let subjects = latest.iter().filter_map(|(subject, (targets, tally))| {
        let base_tally = base.and_then(|(_, counts)| counts.get(subject));
        let tally = tally.since(base_tally.map_or(RequestCounts::default(), |(_, tally)| *tally));
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

/// Reads the counters of every subject in the view that has counted a request.
fn current_counts(view: &View) -> SubjectCounts {
    let mut counts = SubjectCounts::new();
    for service in view.services() {
        let targets = ObjectiveTargets::from_objectives(&service.intent().objectives);
        for (rank, stats) in (1..).zip(service.state().ranks()) {
            let name = service.intent().name.to_string();
            let subject = Subject { kind: SubjectKind::Service, name, rank };
            counts.insert(subject, (targets, RequestCounts::from_stats(stats)));
        }
    }
    let routes = view.intent().map(|intent| &intent.routes);
    for route in routes.into_iter().flat_map(|routes| routes.iter()) {
        let (name, rank) = (route.name.to_string(), route.rank.number());
        let subject = Subject { kind: SubjectKind::Route, name, rank };
        let tally = RequestCounts::from_stats(&view.route_state(route).stats);
        counts.insert(subject, (ObjectiveTargets::ROUTE_DEFAULTS, tally));
    }
    counts.retain(|_, (_, tally)| tally.asked > 0);
    counts
}
