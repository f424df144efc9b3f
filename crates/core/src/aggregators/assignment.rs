//! The division of a zone's instances among groups of shards.
//!
//! Every instance computes the division by itself from the names that it knows,
//! by rendezvous hashing with a capacity for each group. Instances that know the
//! same names agree without exchanging messages, the groups are equally large,
//! and an instance that comes or goes moves few others.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{aggregators::assignment::assign_groups, name::InstanceName};
//!
//! let names: Vec<_> =
//!     (0..8).map(|n| InstanceName::try_new(&format!("entry-{n}")).unwrap()).collect();
//! let groups = assign_groups(&names.iter().collect::<Vec<_>>(), 2);
//! assert_eq!(groups.iter().filter(|group| **group == 0).count(), 4);
//! ```

use crate::name::InstanceName;

/// Returns the number of groups into which `instances` instances are divided, so
/// that each group has at least `group_size` of them; a power of two, so that it
/// seldom changes as instances come and go.
#[must_use]
pub const fn group_count(instances: usize, group_size: usize) -> usize {
    let full_groups = instances / if group_size == 0 { 1 } else { group_size };
    match full_groups {
        0 => 1,
        n => 1 << n.ilog2(),
    }
}

/// Assigns each instance to one of `groups` groups and returns the groups, in the
/// order of `names`. The sizes of two groups differ by one at most.
///
/// Instances are assigned in the order of their weights: first until each group
/// has its equal share, then the remaining ones, at most one for each group.
#[must_use]
pub fn assign_groups(names: &[&InstanceName], groups: usize) -> Vec<usize> {
    let groups = groups.max(1);
    let mut assigned = vec![None; names.len()];
    let mut sizes = vec![0; groups];
    let candidates = candidates_by_weight(names, groups);
    let equal_share = names.len() / groups;
    for capacity in [equal_share, equal_share + 1] {
        for candidate in &candidates {
            let is_free = assigned[candidate.instance].is_none();
            if is_free && sizes[candidate.group] < capacity {
                assigned[candidate.instance] = Some(candidate.group);
                sizes[candidate.group] += 1;
            }
        }
    }
    assigned.into_iter().map(Option::unwrap_or_default).collect()
}

/// A possible assignment.
struct Candidate {
    weight: u64,
    /// The index of the instance.
    instance: usize,
    group: usize,
}

/// Returns every possible assignment, the one with the greatest weight first.
fn candidates_by_weight(names: &[&InstanceName], groups: usize) -> Vec<Candidate> {
    let mut candidates = Vec::with_capacity(names.len() * groups);
    for (instance, name) in names.iter().enumerate() {
        for group in 0..groups {
            candidates.push(Candidate { weight: weight(name, group), instance, group });
        }
    }
    // Equal weights are ordered by name, so that the order of `names` does not
    // matter.
    candidates.sort_unstable_by_key(|c| (std::cmp::Reverse(c.weight), names[c.instance], c.group));
    candidates
}

/// The weight of an instance in the rendezvous hashing of a group.
fn weight(instance: &InstanceName, group: usize) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), group as u64)
}
