//! The answer to a query: its parts, its snapshot and its true coverage.
//!
//! Coverage is computed from the parts that were merged, never from what was
//! sent. The merge takes parts of the pinned version only, each shard once.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{answer::{Merge, MissReason}, layout::{IndexVersion, ShardId}};
//!
//! let v = IndexVersion::new(1, 1);
//! let mut merge = Merge::new(v);
//! merge.miss(ShardId::new(0), MissReason::TimedOut);
//! assert!(!merge.is_whole());
//! ```

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::{
    error::Run,
    id::RequestId,
    layout::{IndexVersion, ShardId},
    name::ServiceName,
};

/// How a part's body is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// The searcher said that it is JSON.
    Json,
    /// Anything else.
    Opaque,
}

/// What one shard answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The shard.
    pub shard: ShardId,
    /// The snapshot that the searcher read.
    pub version: IndexVersion,
    /// How the body is to be read.
    pub kind: BodyKind,
    /// The body, whole.
    pub body: Bytes,
}

/// Why a shard is not covered.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum MissReason {
    /// No usable replica of the shard is known.
    NoReplica,
    /// No replica holds the pinned version any more.
    VersionGone,
    /// The deadline passed before the shard was asked.
    NotSent,
    /// Every replica that was asked refused.
    Refused,
    /// No reply came in time.
    TimedOut,
    /// The exchange broke off, or its reply was not to be trusted.
    Failed,
    /// The request must not be repeated, was sent, and no reply came.
    OutcomeUnknown,
}

impl MissReason {
    /// Whether the shard may have run the request.
    #[must_use]
    pub const fn run(self) -> Run {
        match self {
            MissReason::NoReplica
            | MissReason::VersionGone
            | MissReason::NotSent
            | MissReason::Refused => Run::NotRun,
            MissReason::TimedOut | MissReason::Failed | MissReason::OutcomeUnknown => Run::Unknown,
        }
    }
}

/// Why a part was not merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeError {
    /// The part is of another snapshot.
    OtherVersion,
    /// The shard has a part already.
    Duplicate,
}

/// The parts of one answer while they come in.
#[derive(Debug)]
pub struct Merge {
    version: IndexVersion,
    /// Invariant: every part bears `version`.
    parts: BTreeMap<ShardId, Part>,
    /// Invariant: no shard is both here and in `parts`.
    missing: BTreeMap<ShardId, MissReason>,
}

impl Merge {
    /// Nothing has come in yet for a query pinned to this version.
    #[must_use]
    pub const fn new(version: IndexVersion) -> Self {
        Self { version, parts: BTreeMap::new(), missing: BTreeMap::new() }
    }

    /// Takes in one part.
    ///
    /// # Errors
    ///
    /// A [`MergeError`] when the part is of another snapshot or its shard
    /// has a part already; nothing changes then.
    pub fn add(&mut self, part: Part) -> Result<(), MergeError> {
        if part.version != self.version {
            return Err(MergeError::OtherVersion);
        }
        if self.parts.contains_key(&part.shard) {
            return Err(MergeError::Duplicate);
        }
        self.missing.remove(&part.shard);
        self.parts.insert(part.shard, part);
        Ok(())
    }

    /// Records that a shard is not covered, unless it has a part.
    pub fn miss(&mut self, shard: ShardId, reason: MissReason) {
        if !self.parts.contains_key(&shard) {
            self.missing.insert(shard, reason);
        }
    }

    /// Whether no shard is missing.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.missing.is_empty()
    }

    /// Whether no shard has a part.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The reasons of the shards that are not covered.
    pub fn reasons(&self) -> impl Iterator<Item = MissReason> {
        self.missing.values().copied()
    }

    /// Closes the merge.
    #[must_use]
    pub fn into_answer(self, request: RequestId, service: ServiceName) -> Answer {
        Answer {
            request,
            service,
            version: self.version,
            parts: self.parts.into_values().collect(),
            missing: self.missing.into_iter().collect(),
        }
    }
}

/// A whole or honestly partial answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    request: RequestId,
    service: ServiceName,
    version: IndexVersion,
    /// Invariant: in order of shards, each once, all of `version`.
    parts: Vec<Part>,
    /// Invariant: in order of shards, none of them in `parts`.
    missing: Vec<(ShardId, MissReason)>,
}

impl Answer {
    /// The request that this answers.
    #[must_use]
    pub const fn request(&self) -> RequestId {
        self.request
    }

    /// The service that was asked.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The one snapshot that every part reflects.
    #[must_use]
    pub const fn version(&self) -> IndexVersion {
        self.version
    }

    /// The parts, in order of shards.
    #[must_use]
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// The shards that are not covered, each with its reason.
    #[must_use]
    pub fn missing(&self) -> &[(ShardId, MissReason)] {
        &self.missing
    }

    /// Whether every shard is covered.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.missing.is_empty()
    }
}
