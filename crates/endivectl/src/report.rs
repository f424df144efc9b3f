//! The burn report: the request counts of all instances and the burn rates of
//! the objectives.
//!
//! An instance that could not be reached is listed with the reason. Its requests
//! are missing from the counts; they do not count as successful.
//!
//! # Example
//!
//! ```
//! use endivectl::report::BurnReport;
//!
//! let report = BurnReport::build(&[("10.0.0.1:80".parse().unwrap(), Err("refused".into()))]);
//! assert_eq!((report.reached, report.unreachable.len()), (0, 1));
//! assert!(report.to_text().contains("10.0.0.1:80 could not be asked: refused"));
//! ```

use std::{collections::BTreeMap, fmt::Write, net::SocketAddr};

use endivevale_core::burn_rate::{Objective, ObjectiveTargets, RequestCounts};
use endivevale_operator::burn::{InstanceTally, Subject};
use serde::Serialize;

/// Burn rate from which an operator should investigate immediately.
pub const FAST_BURN_RATE: f64 = 14.0;

/// Burn rate from which the objective will be missed if the rate persists.
pub const SLOW_BURN_RATE: f64 = 1.0;

/// An instance that could not be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Unreachable {
    /// The admin address of the instance.
    pub instance: SocketAddr,
    /// Why the request to it failed.
    #[serde(rename = "why")]
    pub error: String,
}

/// The burn rate of one objective.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct BurnRate {
    /// The objective.
    pub objective: Objective,
    /// The share of requests that failed the objective, divided by the share
    /// that may fail it.
    pub burn: f64,
}

/// The counts and burn rates of one subject in one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SubjectBurn {
    /// The service or route, and the rank of the requests.
    pub subject: Subject,
    /// The objectives that the requests are measured against.
    pub targets: ObjectiveTargets,
    /// Request counts, summed over the instances that answered.
    pub tally: RequestCounts,
    /// The burn rate of each objective.
    pub rates: Vec<BurnRate>,
}

/// One window of the report, summed over all instances.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WindowReport {
    /// Length of the window, in seconds.
    pub window_s: u64,
    /// The smallest part of the window that any instance has counts for, in
    /// seconds.
    pub covered_s: u64,
    /// The subjects that had at least one request, in order of kind, name and
    /// rank.
    #[serde(rename = "rows")]
    pub subjects: Vec<SubjectBurn>,
}

/// The burn report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// Number of instances that answered.
    #[serde(rename = "asked")]
    pub reached: usize,
    /// The instances that could not be reached; their counts are missing.
    pub unreachable: Vec<Unreachable>,
    /// The windows, shortest first.
    pub windows: Vec<WindowReport>,
}

/// Running totals of one window while the instances are summed up.
#[derive(Default)]
struct WindowTotals {
    covered_s: Option<u64>,
    subjects: BTreeMap<Subject, (ObjectiveTargets, RequestCounts)>,
}

impl BurnReport {
    /// Builds the report from the counts of the instances, or the error of
    /// each instance that could not be reached.
    #[must_use]
    pub fn build(results: &[(SocketAddr, Result<InstanceTally, String>)]) -> Self {
        let mut totals: BTreeMap<u64, WindowTotals> = BTreeMap::new();
        let mut unreachable = Vec::new();
        let mut reached = 0;
        for (instance, result) in results {
            match result {
                Ok(tally) => {
                    reached += 1;
                    add_instance(&mut totals, tally);
                }
                Err(error) => {
                    unreachable.push(Unreachable { instance: *instance, error: error.clone() })
                }
            }
        }
        let windows = totals
            .into_iter()
            .map(|(window_s, window_totals)| WindowReport::new(window_s, window_totals));
        Self { reached, unreachable, windows: windows.collect() }
    }

    /// Returns whether every instance answered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.unreachable.is_empty()
    }

    /// Formats the report as plain text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        // Writing to a `String` cannot fail, so the results are ignored.
        let instance_count = self.reached + self.unreachable.len();
        let _ = writeln!(out, "{} of {instance_count} instances were asked", self.reached);
        for Unreachable { instance, error } in &self.unreachable {
            let _ = writeln!(out, "{instance} could not be asked: {error}; its counts are missing");
        }
        for window in &self.windows {
            let (window_s, covered_s) = (window.window_s, window.covered_s);
            let _ = writeln!(out, "last {window_s} s, of which {covered_s} s are covered");
            for subject in &window.subjects {
                let Subject { kind, name, rank } = &subject.subject;
                let _ =
                    write!(out, "  {kind} {name} rank {rank}: {} requests", subject.tally.asked);
                for rate in &subject.rates {
                    let _ = write!(out, ", {} {:.2}", rate.objective, rate.burn);
                }
                let _ = writeln!(out, "{}", subject.severity_suffix());
            }
        }
        out
    }
}

/// Adds the counts of one instance to the totals of each window.
fn add_instance(totals: &mut BTreeMap<u64, WindowTotals>, tally: &InstanceTally) {
    for window in &tally.windows {
        let window_totals = totals.entry(window.window_s).or_default();
        let covered_s =
            window_totals.covered_s.map_or(window.covered_s, |least| least.min(window.covered_s));
        window_totals.covered_s = Some(covered_s);
        for subject in &window.subjects {
            let zero = (subject.targets, RequestCounts::default());
            let entry = window_totals.subjects.entry(subject.subject.clone()).or_insert(zero);
            entry.1 = entry.1.plus(subject.tally);
        }
    }
}

impl WindowReport {
    fn new(window_s: u64, window_totals: WindowTotals) -> Self {
        let subjects = window_totals.subjects.into_iter().map(|(subject, (targets, tally))| {
            let objectives = [Objective::InTime, Objective::Whole, Objective::Refused];
            let rates = objectives.iter().filter_map(|objective| {
                let burn = targets.burn_rate(*objective, tally)?;
                Some(BurnRate { objective: *objective, burn })
            });
            SubjectBurn { subject, targets, tally, rates: rates.collect() }
        });
        Self {
            window_s,
            covered_s: window_totals.covered_s.unwrap_or(0),
            subjects: subjects.collect(),
        }
    }
}

impl SubjectBurn {
    /// Returns the highest burn rate of any objective, or 0 if there is none.
    #[must_use]
    pub fn highest_burn_rate(&self) -> f64 {
        self.rates.iter().map(|rate| rate.burn).fold(0.0, f64::max)
    }

    fn severity_suffix(&self) -> &'static str {
        match self.highest_burn_rate() {
            burn if burn >= FAST_BURN_RATE => " - look at once",
            burn if burn >= SLOW_BURN_RATE => " - the objective will be missed",
            _ => "",
        }
    }
}
