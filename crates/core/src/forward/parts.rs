//! The parts of one query that have been received, and the shards for which a
//! part may still come.

use std::sync::Arc;

use bytes::Bytes;

use super::{Merged, RelayReply, Reply, not_run_failure, sub_request};
use crate::{
    attempt::CombinedEvidence,
    error::{ErrorKind, Failure},
    records,
    route::ShardSet,
};

/// The progress of one shard of a query.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ShardProgress {
    /// Whether the shard's part has been received.
    is_covered: bool,
    /// The number of open sub-requests of this instance.
    open_sub_requests: u32,
    /// The number of siblings that may still send the shard's part.
    open_relays: u32,
}

impl ShardProgress {
    /// Records that one sibling sends nothing more for the shard. Returns whether
    /// it was relayed.
    const fn end_relay(&mut self) -> bool {
        let was_relayed = self.open_relays > 0;
        self.open_relays = self.open_relays.saturating_sub(1);
        was_relayed
    }

    /// Returns whether the shard's part is missing and may still come.
    const fn is_pending(self) -> bool {
        !self.is_covered && (self.open_sub_requests > 0 || self.open_relays > 0)
    }
}

/// The parts of one query. Shards are addressed by their index in the set.
#[derive(Debug)]
pub(crate) struct PartCollector<'a> {
    set: &'a ShardSet,
    /// One entry for each shard of the set.
    shards: Vec<ShardProgress>,
    bodies: Vec<Bytes>,
    /// Invariant: one for each covered shard.
    signatures: Vec<Arc<str>>,
    evidence: CombinedEvidence,
}

impl<'a> PartCollector<'a> {
    pub(crate) fn new(set: &'a ShardSet) -> Self {
        Self {
            set,
            shards: vec![ShardProgress::default(); set.shards.len()],
            bodies: Vec::with_capacity(set.shards.len()),
            signatures: Vec::with_capacity(set.shards.len()),
            evidence: CombinedEvidence::default(),
        }
    }

    /// Records that this instance started a sub-request for the shard.
    pub(crate) fn start_sub_request(&mut self, index: usize) {
        self.shards[index].open_sub_requests += 1;
    }

    /// Records that the shard's sub-request was sent to a sibling.
    pub(super) fn begin_relay(&mut self, index: usize) {
        self.shards[index].open_relays += 1;
    }

    /// Records the result of a sub-request of this instance.
    pub(crate) fn finish_sub_request<X>(
        &mut self,
        index: usize,
        result: Result<Reply<X>, sub_request::SubRequestFailure<X>>,
    ) {
        self.shards[index].open_sub_requests -= 1;
        match result {
            Ok(Reply { signature: Some(signature), body, .. }) => {
                self.add_part(index, body, signature)
            }
            // A reply without a signature is not a part.
            Ok(_) => self.evidence.mark_may_have_run(),
            Err(failure) if failure.evidence.not_run().is_none() => {
                self.evidence.mark_may_have_run()
            }
            Err(_) => {}
        }
    }

    fn add_part(&mut self, index: usize, body: Bytes, signature: Arc<str>) {
        if !self.shards[index].is_covered {
            self.shards[index].is_covered = true;
            self.bodies.push(body);
            self.signatures.push(signature);
        }
    }

    /// Adds the parts of a sibling's reply. `indices` are the shards that were
    /// requested from the sibling. Returns the shards that the reply covers, or
    /// none if it is discarded.
    ///
    /// Merged records cannot be separated again. A reply that includes a shard
    /// which is covered already is therefore discarded as a whole.
    pub(super) fn add_relayed(&mut self, indices: &[usize], reply: &RelayReply) -> Vec<usize> {
        let index_of =
            |(position, _): &(u16, Arc<str>)| indices.get(usize::from(*position)).copied();
        let covered: Option<Vec<usize>> = reply.parts.iter().map(index_of).collect();
        let Some(covered) = covered else { return Vec::new() };
        for index in &covered {
            self.shards[*index].end_relay();
        }
        if covered.is_empty() || covered.iter().any(|index| self.shards[*index].is_covered) {
            return Vec::new();
        }
        for index in &covered {
            self.shards[*index].is_covered = true;
        }
        self.bodies.push(reply.body.clone());
        self.signatures.extend(reply.parts.iter().map(|(_, signature)| Arc::clone(signature)));
        covered
    }

    /// Records that a sibling sends nothing more for the shard. Returns whether it
    /// was relayed, has no part now and none may still come.
    pub(super) fn end_relay(&mut self, index: usize, may_have_run: bool) -> bool {
        let shard = &mut self.shards[index];
        if !shard.end_relay() {
            return false;
        }
        if may_have_run {
            self.evidence.mark_may_have_run();
        }
        !shard.is_covered && !shard.is_pending()
    }

    /// Returns whether the shard's part can come from a sibling only.
    pub(super) fn is_only_relayed(&self, index: usize) -> bool {
        self.shards[index].is_pending() && self.shards[index].open_sub_requests == 0
    }

    /// Returns whether the parts cover the minimum share of the set.
    pub(crate) fn has_min_coverage(&self) -> bool {
        self.signatures.len() >= self.set.min_shards()
    }

    /// Returns whether waiting longer cannot help: no part may still come, or
    /// too few may still come to cover the minimum share of the set.
    pub(crate) fn is_outcome_final(&self) -> bool {
        let pending = self.shards.iter().filter(|shard| shard.is_pending()).count();
        pending == 0 || self.signatures.len() + pending < self.set.min_shards()
    }

    /// Merges the parts into an answer.
    pub(crate) fn into_merged(self) -> Merged {
        Merged {
            body: records::merge_greatest(&self.bodies, self.set.top_k),
            missing: self.set.shards.len() - self.signatures.len(),
            signatures: self.signatures,
        }
    }

    /// Returns the failure of a query whose parts cover too few shards.
    pub(crate) fn into_failure(self, deadline_passed: bool) -> Failure {
        let (covered, needed) = (self.signatures.len(), self.set.min_shards());
        let text =
            format!("{covered} of {} shards answered, {needed} are needed", self.set.shards.len());
        // Sub-requests that are still open, or whose parts are discarded, may
        // have run.
        let is_settled = covered == 0 && !self.shards.iter().any(|shard| shard.is_pending());
        if is_settled && let Some(evidence) = self.evidence.not_run() {
            return not_run_failure(evidence, &text);
        }
        let kind =
            if deadline_passed { ErrorKind::NothingCovered } else { ErrorKind::SearcherFailed };
        Failure::new(kind, text)
    }
}
