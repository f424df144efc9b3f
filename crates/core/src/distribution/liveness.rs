//! Which of the listed instances are gone for good.
//!
//! An instance enters itself in the store's list and cannot take itself out when it
//! is killed or its machine is removed, and nothing in the store expires. The
//! instance that reads the store on behalf of all therefore checks whether others
//! can still be reached: first those that did not answer last, those that said
//! that they leave, and those before it in the order of reads, then all others in
//! turn. One that has been silent for long enough is gone, and its entry may be
//! removed.
//!
//! An instance that is cut off looks the same as one that is gone. It loses
//! nothing but its entry, which it writes again when it finds that it is missing.
//! An instance that is cut off itself finds everyone silent; it therefore waits
//! much longer while nobody answers it.
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! use endivevale_core::{distribution::liveness::InstanceLiveness, name::InstanceName};
//! use tokio::time::Instant;
//!
//! let name = InstanceName::try_new("entry-2").unwrap();
//! let mut liveness = InstanceLiveness::default();
//! liveness.record_check(&name, false, Instant::now());
//! assert!(!liveness.is_gone(&name, Instant::now()));
//! # });
//! ```

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::{layout::InstanceRecord, name::InstanceName};

/// The time between two rounds of checks.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of instances that are checked in one round.
pub const MAX_CHECKS: usize = 16;

/// The number of checks in a row that a gone instance has not answered.
const SILENT_CHECKS: u32 = 3;

/// How long an instance has been silent when it counts as gone, if another
/// instance has answered meanwhile. Longer than a restart takes.
const SILENCE: Duration = Duration::from_secs(8);

/// The same, if no instance has answered.
const SILENCE_OF_ALL: Duration = Duration::from_secs(60);

/// How long an instance that said that it leaves is left out of the order of reads.
/// Longer than a planned stop takes.
const LEAVING_TIME: Duration = Duration::from_secs(30);

/// A time in which an instance has not answered.
#[derive(Debug, Clone, Copy)]
struct Silence {
    since: Instant,
    /// Invariant: above zero.
    checks: u32,
}

/// What an instance knows of whether others can still be reached.
#[derive(Debug, Default)]
pub struct InstanceLiveness {
    silent: HashMap<InstanceName, Silence>,
    /// When an instance last said that it leaves.
    leaving: HashMap<InstanceName, Instant>,
    /// When any instance last answered.
    last_answer: Option<Instant>,
    /// The index after that of the instance that was last checked in its turn.
    next_in_turn: usize,
}

impl InstanceLiveness {
    /// Records a heartbeat of an instance.
    pub fn record_heartbeat(&mut self, sender: &InstanceName, is_leaving: bool, now: Instant) {
        self.record_answer(sender, now);
        if is_leaving {
            self.leaving.entry(sender.clone()).or_insert(now);
        } else {
            self.leaving.remove(sender);
        }
    }

    /// Records whether an instance could be reached.
    pub fn record_check(&mut self, name: &InstanceName, is_reached: bool, now: Instant) {
        if is_reached {
            return self.record_answer(name, now);
        }
        let silence = self.silent.entry(name.clone()).or_insert(Silence { since: now, checks: 0 });
        silence.checks += 1;
    }

    fn record_answer(&mut self, name: &InstanceName, now: Instant) {
        self.silent.remove(name);
        self.last_answer = Some(now);
    }

    /// Returns whether an instance is gone for good, as far as is known.
    #[must_use]
    pub fn is_gone(&self, name: &InstanceName, now: Instant) -> bool {
        let Some(silence) = self.silent.get(name) else { return false };
        let is_another_heard = self.last_answer.is_some_and(|at| at > silence.since);
        let min_silence = if is_another_heard { SILENCE } else { SILENCE_OF_ALL };
        silence.checks >= SILENT_CHECKS && now.duration_since(silence.since) >= min_silence
    }

    /// Returns whether an instance has a place in the order of reads: one that
    /// leaves has none.
    #[must_use]
    pub fn has_place(&self, name: &InstanceName, now: Instant) -> bool {
        self.leaving.get(name).is_none_or(|at| now.duration_since(*at) >= LEAVING_TIME)
    }

    /// Returns the instances to check in the next round, and forgets those that
    /// are not listed any more. `precedes` tells which instances come before this
    /// one in the order of reads.
    pub fn start_round(
        &mut self,
        others: &[&InstanceRecord],
        precedes: impl Fn(&InstanceName) -> bool,
    ) -> Vec<InstanceRecord> {
        let is_listed = |name: &InstanceName| others.iter().any(|other| other.name == *name);
        self.silent.retain(|name, _| is_listed(name));
        self.leaving.retain(|name, _| is_listed(name));
        let mut chosen: Vec<InstanceRecord> = Vec::new();
        let mut choose = |record: &InstanceRecord| {
            let is_known = chosen.iter().any(|other| other.name == record.name);
            if !is_known && chosen.len() < MAX_CHECKS {
                chosen.push(record.clone());
            }
        };
        if let Some(next) = others.get(self.next_in_turn % others.len().max(1)) {
            self.next_in_turn = self.next_in_turn.wrapping_add(1);
            choose(next);
        }
        let suspects = others.iter().filter(|other| self.silent.contains_key(&other.name));
        let leaving = others.iter().filter(|other| self.leaving.contains_key(&other.name));
        let before = others.iter().filter(|other| precedes(&other.name));
        suspects.chain(leaving).chain(before).for_each(|other| choose(other));
        chosen
    }
}
