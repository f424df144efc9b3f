//! The burn report: what all instances counted, and how fast objectives are
//! used up.
//!
//! An instance that could not be asked is listed; it never counts as good.
//!
//! # Example
//!
//! ```
//! use endivectl::report::BurnReport;
//!
//! let report = BurnReport::build(&[("10.0.0.1:80".parse().unwrap(), Err("refused".into()))]);
//! assert_eq!((report.asked, report.unreachable.len()), (0, 1));
//! assert!(report.to_text().contains("10.0.0.1:80 could not be asked: refused"));
//! ```

use std::{collections::BTreeMap, fmt::Write, net::SocketAddr};

use endivevale_core::burn_rate::{Objective, ObjectiveTargets, RequestCounts};
use endivevale_operator::burn::{InstanceTally, Subject};
use serde::Serialize;

/// A burn rate from which a person should look at once.
pub const FAST_BURN: f64 = 14.0;

/// A burn rate from which the objective will be missed.
pub const SLOW_BURN: f64 = 1.0;

/// An instance that could not be asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Unreachable {
    /// Its admin address.
    pub instance: SocketAddr,
    /// Why it could not be asked.
    pub why: String,
}

/// How fast one objective is used up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Rate {
    /// The objective.
    pub objective: Objective,
    /// The share that fails it, over the share that may.
    pub burn: f64,
}

/// One subject in one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Whose requests these are.
    pub subject: Subject,
    /// What they are held to.
    pub targets: ObjectiveTargets,
    /// What all instances that were asked counted.
    pub tally: RequestCounts,
    /// The rates of every objective.
    pub rates: Vec<Rate>,
}

/// One window over all instances.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Window {
    /// The window, in seconds.
    pub window_s: u64,
    /// The least that an instance covers of it, in seconds.
    pub covered_s: u64,
    /// Every subject that had a request, in order.
    pub rows: Vec<Row>,
}

/// The report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// The instances that were asked.
    pub asked: usize,
    /// The instances that could not be asked; what they counted is missing.
    pub unreachable: Vec<Unreachable>,
    /// The windows, the short one first.
    pub windows: Vec<Window>,
}

/// A window while instances are added up.
#[derive(Default)]
struct Sum {
    covered_s: Option<u64>,
    subjects: BTreeMap<Subject, (ObjectiveTargets, RequestCounts)>,
}

impl BurnReport {
    /// Adds up what the instances said.
    #[must_use]
    pub fn build(answers: &[(SocketAddr, Result<InstanceTally, String>)]) -> Self {
        let mut sums: BTreeMap<u64, Sum> = BTreeMap::new();
        let mut unreachable = Vec::new();
        let mut asked = 0;
        for (instance, answer) in answers {
            match answer {
                Ok(tally) => {
                    asked += 1;
                    add(&mut sums, tally);
                }
                Err(why) => unreachable.push(Unreachable { instance: *instance, why: why.clone() }),
            }
        }
        let windows = sums.into_iter().map(|(window_s, sum)| Window::new(window_s, sum));
        Self { asked, unreachable, windows: windows.collect() }
    }

    /// Whether every instance was asked.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.unreachable.is_empty()
    }

    /// The report for people.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        let all = self.asked + self.unreachable.len();
        let _ = writeln!(out, "{} of {all} instances were asked", self.asked);
        for Unreachable { instance, why } in &self.unreachable {
            let _ = writeln!(out, "{instance} could not be asked: {why}; its counts are missing");
        }
        for window in &self.windows {
            let (span, covered) = (window.window_s, window.covered_s);
            let _ = writeln!(out, "last {span} s, of which {covered} s are covered");
            for row in &window.rows {
                let Subject { kind, name, rank } = &row.subject;
                let _ = write!(out, "  {kind} {name} rank {rank}: {} requests", row.tally.asked);
                for rate in &row.rates {
                    let _ = write!(out, ", {} {:.2}", rate.objective, rate.burn);
                }
                let _ = writeln!(out, "{}", row.verdict());
            }
        }
        out
    }
}

fn add(sums: &mut BTreeMap<u64, Sum>, tally: &InstanceTally) {
    for window in &tally.windows {
        let sum = sums.entry(window.window_s).or_default();
        let covered = sum.covered_s.map_or(window.covered_s, |least| least.min(window.covered_s));
        sum.covered_s = Some(covered);
        for subject in &window.subjects {
            let zero = (subject.targets, RequestCounts::default());
            let entry = sum.subjects.entry(subject.subject.clone()).or_insert(zero);
            entry.1 = entry.1.plus(subject.tally);
        }
    }
}

impl Window {
    fn new(window_s: u64, sum: Sum) -> Self {
        let rows = sum.subjects.into_iter().map(|(subject, (targets, tally))| {
            let objectives = [Objective::InTime, Objective::Whole, Objective::Refused];
            let rates = objectives.iter().filter_map(|objective| {
                let burn = targets.burn_rate(*objective, tally)?;
                Some(Rate { objective: *objective, burn })
            });
            Row { subject, targets, tally, rates: rates.collect() }
        });
        Self { window_s, covered_s: sum.covered_s.unwrap_or(0), rows: rows.collect() }
    }
}

impl Row {
    /// The highest rate of any objective.
    #[must_use]
    pub fn highest(&self) -> f64 {
        self.rates.iter().map(|rate| rate.burn).fold(0.0, f64::max)
    }

    fn verdict(&self) -> &'static str {
        match self.highest() {
            burn if burn >= FAST_BURN => " - look at once",
            burn if burn >= SLOW_BURN => " - the objective will be missed",
            _ => "",
        }
    }
}
