//! Soak tests: one short run, and one run for each seed that has failed before.
//!
//! Long runs are started by hand:
//! `cargo run --release -p endivevale-platform-standin --example soak`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use endivevale_cases::cases;
use endivevale_platform_standin::soak::{SoakSettings, run_seed};

const INSTANCE_BIN: &str = env!("CARGO_BIN_EXE_endivevale");

/// Runs the soak with this seed. Asserts that it reports no violation and more
/// than 200 responses with status 200.
fn run_soak(seed: u64, fault_duration: Duration) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let settings = SoakSettings { instances: 3, callers: 6, fault_duration };
    let report = runtime.block_on(run_seed(INSTANCE_BIN.into(), seed, settings)).unwrap();
    assert!(report.violations.is_empty(), "{report:?}");
    assert!(report.statuses.get(&200).is_some_and(|count| *count > 200), "{report:?}");
}

cases! {
    fn no_guarantee_is_violated_under_the_faults_of_a_seed(seed: u64, seconds: u64) {
        run_soak(seed, Duration::from_secs(seconds));
    }
    short => (11, 8),
    // Failed once because of a defect of the soak: an instance that was told
    // twice to stop was also started again twice, and the second start ended a
    // healthy process.
    instance_stopped_twice => (4, 15),
    // Failed in one of four runs: a connection that was accepted while a planned
    // stop closed the server for callers was not counted as open, so the process
    // ended while the connection still was.
    connection_accepted_during_the_stop => (2014, 15),
    // Failed in six of eight runs: changes of the listing were applied to other
    // searchers under the same version, so that an instance stayed without any.
    changes_for_other_searchers_under_the_same_version => (100016, 15),
}
