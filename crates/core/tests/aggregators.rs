//! The division of instances among groups of shards, and what each instance may
//! use of a searcher's connections and of the extra attempts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::HashMap;

use endivevale_cases::cases;
use endivevale_core::{
    aggregators::{
        assignment::{assign_groups, group_count},
        share::{Role, TierSize, group_size},
    },
    attempt_budget::ExtraAttemptBudget,
    circuit_breaker::CircuitBreaker,
    intent::AttemptAllowance,
    name::InstanceName,
    searcher::connection_share::HEADROOM_INSTANCES,
};
use proptest::prelude::*;
use tokio::time::{Duration, advance};

fn instance_names(count: usize) -> Vec<InstanceName> {
    (0..count).map(|n| InstanceName::try_new(&format!("entry-{n}")).unwrap()).collect()
}

/// Returns the group of each instance, by name.
fn groups_by_name(names: &[InstanceName], groups: usize) -> HashMap<&InstanceName, usize> {
    let assigned = assign_groups(&names.iter().collect::<Vec<_>>(), groups);
    names.iter().zip(assigned).collect()
}

cases! {
    fn zone_is_divided_so_that_groups_have_the_wanted_size(
        instances: usize, wanted: usize, groups: usize,
    ) {
        assert_eq!(group_count(instances, wanted), groups);
    }
    no_instance => (0, 4, 1),
    fewer_than_one_group => (3, 4, 1),
    less_than_two_groups => (7, 4, 1),
    two_groups => (8, 4, 2),
    rounded_down_to_a_power_of_two => (27, 4, 4),
    hundreds => (184, 4, 32),
    no_wanted_size => (5, 0, 4),
}

cases! {
    fn group_size_follows_the_connection_limit(connections: u32, zones: u32, size: usize) {
        assert_eq!(group_size(connections, zones), size);
    }
    plenty => (125, 6, 4),
    few => (30, 6, 2),
    fewer_than_zones => (3, 6, 1),
    no_zone => (30, 0, 4),
}

proptest! {
    #[test]
    fn groups_differ_by_one_instance_at_most(count in 1_usize..120, groups in 1_usize..40) {
        let names = instance_names(count);
        let mut sizes = vec![0; groups];
        groups_by_name(&names, groups).values().for_each(|group| sizes[*group] += 1);
        let (least, most) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
        prop_assert!(most - least <= 1, "{:?}", sizes);
    }

    #[test]
    fn assignment_does_not_depend_on_the_order_of_names(seed in any::<u64>()) {
        let names = instance_names(33);
        let mut shuffled = names.clone();
        shuffled.sort_by_key(|name| name.stable_hash() ^ seed);
        prop_assert_eq!(groups_by_name(&names, 8), groups_by_name(&shuffled, 8));
    }

    /// The shares of all aggregators, of as many new ones as the headroom allows,
    /// and the reserve for other instances stay within the limit, unless the limit
    /// is below one connection for each.
    #[test]
    fn connection_shares_of_a_divided_tier_stay_within_the_limit(
        limit in 1_u32..500,
        aggregators in 1_u32..60,
        others in 0_u32..4000,
    ) {
        let tier = TierSize { instances: aggregators + others, aggregators, is_divided: true };
        let share = tier.connections(Role::Aggregator, limit);
        prop_assert!(share >= 1);
        if share > 1 {
            let reserve = others.min(limit / 4);
            prop_assert!(share * (aggregators + HEADROOM_INSTANCES) + reserve <= limit);
        }
    }

    #[test]
    fn extra_attempts_of_all_instances_add_up_to_the_allowance(
        aggregators in 1_u32..60,
        others in 0_u32..4000,
    ) {
        let tier = TierSize { instances: aggregators + others, aggregators, is_divided: true };
        let sum = f64::from(aggregators) * tier.extra_attempts(Role::Aggregator)
            + f64::from(others) * tier.extra_attempts(Role::Other);
        prop_assert!((sum - 1.0).abs() < 1e-6, "{}", sum);
    }
}

/// Guards against cold connections after each change of the tier: a single
/// instance that leaves or comes must move few others to another group.
#[test]
fn a_change_of_one_instance_moves_few_others() {
    let names = instance_names(33);
    let before = groups_by_name(&names, 8);
    let mut moved = Vec::new();
    for left in &names {
        let remaining: Vec<_> = names.iter().filter(|name| *name != left).cloned().collect();
        let after = groups_by_name(&remaining, 8);
        moved.push(remaining.iter().filter(|name| before[name] != after[name]).count());
    }
    let mean = moved.iter().sum::<usize>() as f64 / moved.len() as f64;
    assert!(mean <= 3.0 && moved.iter().all(|n| *n <= 8), "{mean} {moved:?}");
}

/// Guards against extra attempts that stay unused where they are needed, because
/// each of hundreds of instances has an equal part of a few: all aggregators
/// together may spend most of the allowance at once, and never more than it.
#[tokio::test(start_paused = true)]
async fn aggregators_can_spend_most_of_the_allowance_where_it_is_needed() {
    let allowance = AttemptAllowance { count: 430.0, window: Duration::from_secs(10) };
    let tier = TierSize { instances: 195, aggregators: 15, is_divided: true };
    let budget_of = |role| {
        let budget = ExtraAttemptBudget::new(0.2);
        budget.set_allowance_fraction(allowance, tier.extra_attempts(role));
        (0..1000).for_each(|_| budget.deposit());
        budget
    };
    let spend = |budgets: &[ExtraAttemptBudget]| -> usize {
        budgets.iter().map(|b| (0..1000).filter(|_| b.try_withdraw()).count()).sum()
    };
    let aggregators: Vec<_> = (0..15).map(|_| budget_of(Role::Aggregator)).collect();
    let spent = spend(&aggregators);
    assert!((200..=430).contains(&spent), "{spent}");
}

/// Guards against an instance that is cut off from a zone and lets each request
/// wait for siblings there.
#[tokio::test(start_paused = true)]
async fn circuit_breaker_opens_after_failures_and_closes_after_a_success() {
    let breaker = CircuitBreaker::new();
    (0..3).for_each(|_| breaker.record_failure());
    assert!(!breaker.is_open() && !breaker.try_begin_probe());
    breaker.record_failure();
    assert!(breaker.is_open() && !breaker.try_begin_probe());
    advance(Duration::from_millis(501)).await;
    assert!(breaker.try_begin_probe(), "a probe is due");
    assert!(!breaker.try_begin_probe(), "only one probe is due");
    breaker.record_success();
    assert!(!breaker.is_open() && !breaker.try_begin_probe());
}
