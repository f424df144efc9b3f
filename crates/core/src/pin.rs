//! The choice of the snapshot that a query is pinned to.
//!
//! A query is pinned to the newest version that can cover all its shards
//! with replicas known to hold it; failing that, to the version that covers
//! most of them, the newest among equals. Every attempt then names the
//! version, so no retry or hedge can bring in another one.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{layout::Layout, pin};
//!
//! assert!(pin::choose(&Layout::default(), pin::Target::All).is_none());
//! ```

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    layout::{Generation, IndexVersion, Layout, ShardId},
    searcher::Searcher,
};

/// The shards that a query asks for, before its generation is known.
#[derive(Debug, Clone, Copy)]
pub enum Target<'a> {
    /// Every shard.
    All,
    /// These shards.
    Shards(&'a [ShardId]),
    /// The shard that this hash chooses.
    Hash(u64),
}

impl Target<'_> {
    /// The shards of a generation that the target names.
    #[must_use]
    pub fn shards_in(&self, generation: &Generation) -> Vec<ShardId> {
        match self {
            Target::All => generation.shards().collect(),
            Target::Shards(shards) => shards.to_vec(),
            Target::Hash(_) if generation.shard_count() == 0 => Vec::new(),
            Target::Hash(hash) => {
                let number = hash % generation.shard_count() as u64;
                vec![ShardId::new(number as u16)]
            }
        }
    }
}

/// The snapshot of a query and the shards it reaches there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pin {
    version: IndexVersion,
    shards: Vec<ShardId>,
}

impl Pin {
    /// The version that every part must bear.
    #[must_use]
    pub const fn version(&self) -> IndexVersion {
        self.version
    }

    /// The shards that the query reaches.
    #[must_use]
    pub fn shards(&self) -> &[ShardId] {
        &self.shards
    }
}

/// Chooses the snapshot for a query, or `None` when no version is known.
#[must_use]
pub fn choose(layout: &Layout, target: Target<'_>) -> Option<Pin> {
    let mut best: Option<(usize, Pin)> = None;
    for (number, generation) in layout.newest_first() {
        let shards = target.shards_in(generation);
        for version in versions_of(number, generation, &shards).into_iter().rev() {
            let covered = shards.iter().filter(|s| is_covered(generation, **s, version)).count();
            if covered == shards.len() {
                return Some(Pin { version, shards });
            }
            // Coverage of two generations compares by share, not by count.
            let permille = covered * 1000 / shards.len().max(1);
            if best.as_ref().is_none_or(|(most, _)| permille > *most) {
                best = Some((permille, Pin { version, shards: shards.clone() }));
            }
        }
    }
    best.map(|(_, pin)| pin)
}

/// The versions that usable replicas of these shards hold, lowest first.
fn versions_of(number: u32, generation: &Generation, shards: &[ShardId]) -> BTreeSet<IndexVersion> {
    let replicas = shards.iter().flat_map(|s| generation.replicas(*s));
    let held = replicas.filter(|r| !r.is_leaving()).map(|r| r.held());
    let mut versions = BTreeSet::new();
    for list in held {
        versions.extend(list.iter().filter(|v| v.generation() == number));
    }
    versions
}

fn is_covered(generation: &Generation, shard: ShardId, version: IndexVersion) -> bool {
    let usable = |r: &Arc<Searcher>| !r.is_leaving() && r.holds(version);
    generation.replicas(shard).iter().any(usable)
}
