//! Declared intent: which services exist, what each query must reach, which
//! callers come first and what may never be repeated.
//!
//! The intent is a plain immutable value. Its way from a text to being in
//! force is the typestate [`Proposal`]: a text that was not checked cannot be
//! accepted, and one that the platform has not accepted cannot enter force.
//!
//! # Example
//!
//! ```
//! use endivevale_core::intent::Rank;
//!
//! assert!(Rank::new(1).precedes(Rank::new(2)));
//! ```

use std::{collections::BTreeMap, marker::PhantomData, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::name::{CallerName, ServiceName};

/// A caller's rank; rank 1 comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank(u8);

impl Rank {
    /// The rank with this number.
    #[must_use]
    pub const fn new(number: u8) -> Self {
        Self(number)
    }

    /// The number of the rank.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Whether this rank is served before the other.
    #[must_use]
    pub const fn precedes(self, other: Rank) -> bool {
        self.0 < other.0
    }
}

/// What a deployment weighs more when the two conflict.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum Objective {
    /// Coverage and extra load before tail latency.
    Coverage,
    /// Tail latency before coverage and extra load.
    Tail,
}

/// How a query's shards are chosen.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum Routing {
    /// Every query reaches every shard.
    All,
    /// A query may name its shards, and reaches all when it names none.
    Shards,
    /// A query names a key, whose hash chooses one shard.
    Key,
}

/// Service-level objectives, from which the burn report is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceObjectives {
    /// Answers slower than this count against the latency objective.
    pub latency: Duration,
    /// The share of answers that must be in time, in `0.0..1.0`.
    pub in_time: f64,
    /// The share of answers that must cover every shard, in `0.0..1.0`.
    pub whole: f64,
    /// The share of requests that may be refused, in `0.0..1.0`.
    pub refused: f64,
    /// Sub-requests beyond those needed, as a share of those needed.
    pub extra_load: f64,
}

/// The declared intent for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceIntent {
    /// The service's name.
    pub name: ServiceName,
    /// How a query's shards are chosen.
    pub routing: Routing,
    /// Whether a request may be sent to a searcher more than once. A caller
    /// can forbid repetition for one request but never allow it.
    pub repeatable: bool,
    /// The deadline of a request that names none. Invariant: above zero and
    /// at most `max_deadline`.
    pub default_deadline: Duration,
    /// The longest deadline that a request may name.
    pub max_deadline: Duration,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Requests that a searcher runs at the same time. Invariant: above zero.
    pub slots: u32,
    /// Connections that a searcher takes from all instances together.
    /// Invariant: above zero.
    pub connections: u32,
    /// Attempts beyond the first, as a share of first attempts.
    pub extra_attempts: f64,
    /// The objectives that the burn report measures against.
    pub objectives: ServiceObjectives,
}

/// One deployment's whole declared intent.
#[derive(Debug, Clone, PartialEq)]
pub struct Intent {
    /// The deployment's name.
    pub deployment: Arc<str>,
    /// What the deployment weighs more.
    pub objective: Objective,
    /// The rank of each declared caller.
    pub callers: BTreeMap<CallerName, Rank>,
    /// The rank of a caller that is not declared.
    pub default_rank: Rank,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceIntent>>,
}

impl Intent {
    /// The rank of a caller.
    #[must_use]
    pub fn rank_of(&self, caller: &CallerName) -> Rank {
        self.callers.get(caller).copied().unwrap_or(self.default_rank)
    }

    /// The last rank that any caller can have.
    #[must_use]
    pub fn last_rank(&self) -> Rank {
        self.callers.values().copied().fold(self.default_rank, Rank::max)
    }

    /// The longest deadline of any service.
    #[must_use]
    pub fn longest_deadline(&self) -> Duration {
        self.services.values().map(|s| s.max_deadline).max().unwrap_or_default()
    }
}

/// The version that the platform gave to an accepted configuration.
///
/// Invariant: a later acceptance has a higher version.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// No configuration yet.
    pub const NONE: ConfigVersion = ConfigVersion(0);

    /// The version with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number of the version.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A text that has not been read.
#[derive(Debug)]
pub enum Draft {}

/// A text that was read and has no fault.
#[derive(Debug)]
pub enum Checked {}

/// A checked text that the platform holds under a version.
#[derive(Debug)]
pub enum Accepted {}

/// An accepted configuration that this instance works by.
#[derive(Debug)]
pub enum InForce {}

/// A configuration on its way into force, in state `S`.
#[derive(Debug)]
pub struct Proposal<S> {
    text: Arc<str>,
    /// Invariant: present from [`Checked`] on.
    intent: Option<Arc<Intent>>,
    /// Invariant: above [`ConfigVersion::NONE`] from [`Accepted`] on.
    version: ConfigVersion,
    state: PhantomData<S>,
}

impl<S> Proposal<S> {
    /// The text as the operator wrote it.
    #[must_use]
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    fn into_state<T>(self) -> Proposal<T> {
        Proposal { text: self.text, intent: self.intent, version: self.version, state: PhantomData }
    }
}

impl Proposal<Draft> {
    /// A text as an operator wrote it.
    #[must_use]
    pub fn draft(text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        Self { text, intent: None, version: ConfigVersion::NONE, state: PhantomData }
    }

    /// Reads the text with the given reader.
    ///
    /// # Errors
    ///
    /// The reader's error, when the text has faults.
    pub fn check<E>(
        self,
        read: impl FnOnce(&str) -> Result<Intent, E>,
    ) -> Result<Proposal<Checked>, E> {
        let intent = Arc::new(read(&self.text)?);
        Ok(Proposal { intent: Some(intent), ..self.into_state() })
    }
}

impl Proposal<Checked> {
    /// The platform holds the text under this version.
    #[must_use]
    pub fn accepted(self, version: ConfigVersion) -> Proposal<Accepted> {
        Proposal { version, ..self.into_state() }
    }
}

impl Proposal<Accepted> {
    /// The version that the platform gave.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    pub(crate) fn enter_force(self) -> Proposal<InForce> {
        self.into_state()
    }
}

impl Proposal<InForce> {
    /// The version in force.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The intent in force.
    ///
    /// # Panics
    ///
    /// Never: the intent is present from the checked state on.
    #[must_use]
    pub fn intent(&self) -> &Arc<Intent> {
        self.intent.as_ref().expect("a proposal in force was checked")
    }
}
