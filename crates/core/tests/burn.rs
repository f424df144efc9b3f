//! Burn rates of objectives, and sums and differences of request counts.

use endivevale_cases::cases;
use endivevale_core::burn_rate::{Objective, ObjectiveTargets, RequestCounts};

const TARGETS: ObjectiveTargets = ObjectiveTargets { in_time: 0.99, whole: 0.9, refused: 0.001 };

cases! {
    fn burn_rate_is_the_failed_share_over_the_allowed_share(
        objective: Objective, counts: RequestCounts, expected: Option<f64>,
    ) {
        let rate = TARGETS.burn_rate(objective, counts);
        let is_equal = match (rate, expected) {
            (Some(rate), Some(expected)) => (rate - expected).abs() < 1e-6,
            (rate, expected) => rate == expected,
        };
        assert!(is_equal, "{rate:?}");
    }
    no_requests => (Objective::InTime, RequestCounts::default(), None),
    all_in_time => (
        Objective::InTime, RequestCounts { asked: 10, in_time: 10, whole: 10, refused: 0 }, Some(0.0)
    ),
    one_tenth_late => (
        Objective::InTime, RequestCounts { asked: 100, in_time: 90, whole: 100, refused: 0 }, Some(10.0)
    ),
    one_fifth_partial => (
        Objective::Whole, RequestCounts { asked: 100, in_time: 80, whole: 80, refused: 0 }, Some(2.0)
    ),
    one_refused => (
        Objective::Refused, RequestCounts { asked: 1000, in_time: 999, whole: 999, refused: 1 }, Some(1.0)
    ),
    // Counters are read one after the other, so they can be inconsistent.
    inconsistent_counts => (
        Objective::Whole, RequestCounts { asked: 1, in_time: 2, whole: 2, refused: 0 }, Some(0.0)
    ),
}

#[test]
fn objective_that_allows_no_failures_has_a_finite_rate() {
    let targets = ObjectiveTargets { in_time: 1.0, whole: 1.0, refused: 0.0 };
    let counts = RequestCounts { asked: 10, in_time: 9, whole: 10, refused: 0 };
    assert!(targets.burn_rate(Objective::InTime, counts).is_some_and(f64::is_finite));
}

#[test]
fn counts_since_earlier_ones_are_the_difference() {
    let earlier = RequestCounts { asked: 4, in_time: 3, whole: 4, refused: 0 };
    let later = RequestCounts { asked: 9, in_time: 7, whole: 8, refused: 1 };
    let difference = later.since(earlier);
    assert_eq!(difference, RequestCounts { asked: 5, in_time: 4, whole: 4, refused: 1 });
    assert_eq!(earlier.plus(difference), later);
}
