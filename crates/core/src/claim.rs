//! The claim of an idempotency key, as a typestate.
//!
//! A request that must not be repeated and carries a key is sent only by the
//! instance that created the key's record on the platform. The create is
//! conditional, so of two instances one wins. A lost reply is resolved by
//! reading the record back and recognising the nonce. A claim is never
//! handed on: a lease would let a paused holder send after its lapse.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{claim::ClaimKey, name::{CallerName, IdempotencyKey, ServiceName}};
//!
//! let key = ClaimKey::new(
//!     &ServiceName::try_new("orders").unwrap(),
//!     &CallerName::try_new("desk").unwrap(),
//!     &IdempotencyKey::try_new("o-17").unwrap(),
//! );
//! assert_eq!(key.object_name().len(), 32);
//! ```

use std::{fmt, future::Future, marker::PhantomData, time::Duration};

use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    attempt::NotRun,
    error::ErrorKind,
    id::Nonce,
    name::{CallerName, IdempotencyKey, ServiceName},
};

/// The pause between two tries to resolve a claim.
const RESOLVE_PAUSE: Duration = Duration::from_millis(20);

/// The longest time that a release may delay a refusal.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// The name of a claim's record on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// The record's name for a caller's key at a service. Keys of different
    /// callers or services never meet.
    #[must_use]
    pub fn new(service: &ServiceName, caller: &CallerName, key: &IdempotencyKey) -> Self {
        // A name holds no slash, so the three parts cannot run together.
        let text = format!("{service}/{caller}/{key}");
        Self(format!("{:032x}", xxhash_rust::xxh3::xxh3_128(text.as_bytes())))
    }

    /// The record's name.
    #[must_use]
    pub fn object_name(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of a claim's record on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordVersion(pub u64);

/// What the platform said to a conditional create.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Created {
    /// The record was created.
    New(RecordVersion),
    /// There is a record already.
    Exists,
    /// The reply was lost, or the platform refused for now.
    Unknown,
}

/// What the platform said to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// The record and who wrote it.
    Record(Nonce, RecordVersion),
    /// There is no record.
    Absent,
    /// No reply.
    Unknown,
}

/// Where claims are kept.
pub trait ClaimStore: Send + Sync + 'static {
    /// Creates the record unless it exists.
    fn create(&self, key: &ClaimKey, nonce: Nonce) -> impl Future<Output = Created> + Send;

    /// Reads the record.
    fn read(&self, key: &ClaimKey) -> impl Future<Output = Found> + Send;

    /// Deletes the record if it has this version.
    fn delete(&self, key: &ClaimKey, version: RecordVersion) -> impl Future<Output = ()> + Send;
}

/// Nothing was asked of the platform yet.
#[derive(Debug)]
pub enum Wanted {}

/// The record is this instance's.
#[derive(Debug)]
pub enum Held {}

/// A claim in state `S`.
#[derive(Debug)]
pub struct Claim<S> {
    key: ClaimKey,
    nonce: Nonce,
    /// Invariant: the version that the platform gave, from [`Held`] on.
    version: RecordVersion,
    state: PhantomData<S>,
}

impl Claim<Wanted> {
    /// A claim with a fresh nonce.
    #[must_use]
    pub fn wanted(key: ClaimKey) -> Self {
        Self { key, nonce: Nonce::fresh(), version: RecordVersion(0), state: PhantomData }
    }

    /// Makes the claim, by the deadline.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::KeyClaimed`] when the record is another request's, and
    /// [`ErrorKind::ClaimUnavailable`] when the platform does not say. In
    /// both cases this request must not be sent.
    pub async fn make<C: ClaimStore>(
        self,
        store: &C,
        by: Instant,
    ) -> Result<Claim<Held>, ErrorKind> {
        match timeout_at(by, self.resolve(store)).await {
            Ok(Some(version)) => {
                Ok(Claim { key: self.key, nonce: self.nonce, version, state: PhantomData })
            }
            Ok(None) => Err(ErrorKind::KeyClaimed),
            Err(_) => Err(ErrorKind::ClaimUnavailable),
        }
    }

    /// Asks until the platform says whose the record is; `None` when it is
    /// another request's.
    async fn resolve<C: ClaimStore>(&self, store: &C) -> Option<RecordVersion> {
        loop {
            match store.create(&self.key, self.nonce).await {
                Created::New(version) => return Some(version),
                Created::Exists | Created::Unknown => {}
            }
            match store.read(&self.key).await {
                Found::Record(nonce, version) => return (nonce == self.nonce).then_some(version),
                Found::Absent | Found::Unknown => sleep(RESOLVE_PAUSE).await,
            }
        }
    }
}

impl Claim<Held> {
    /// Gives the key back. This takes the evidence that the request was not
    /// run and never will be; without it the key stays claimed for good.
    pub async fn release<C: ClaimStore>(self, store: &C, _evidence: &NotRun) {
        let release = store.delete(&self.key, self.version);
        // When the release is lost, the key stays claimed, which is safe.
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, release).await;
    }
}
