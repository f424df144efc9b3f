//! Claims of idempotency keys, kept as objects of the platform.
//!
//! # Example
//!
//! ```no_run
//! # use std::sync::Arc;
//! use endivevale_store::{Platform, claims::PlatformClaims};
//!
//! let claims = PlatformClaims::new(Arc::new(Platform::new("http://127.0.0.1:7000")));
//! ```

use std::sync::Arc;

use endivevale_core::{
    claim::{ClaimKey, ClaimStore, CreateOutcome, ReadOutcome, RecordVersion},
    id::Nonce,
};
use serde::{Deserialize, Serialize};

use crate::client::{Condition, Object, Platform, PlatformError};

/// The kind of the objects that hold claims.
pub const CLAIM_KIND: &str = "claim";

/// Keeps claims on the platform.
#[derive(Debug, Clone)]
pub struct PlatformClaims {
    platform: Arc<Platform>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ClaimRecord {
    nonce: Nonce,
}

impl PlatformClaims {
    /// Claims kept on this platform.
    #[must_use]
    pub const fn new(platform: Arc<Platform>) -> Self {
        Self { platform }
    }
}

impl ClaimStore for PlatformClaims {
    async fn create(&self, key: &ClaimKey, nonce: Nonce) -> CreateOutcome {
        let body = serde_json::to_vec(&ClaimRecord { nonce }).unwrap_or_default();
        let name = key.object_name();
        match self.platform.put(CLAIM_KIND, name, body.into(), Condition::Absent).await {
            Ok(version) => CreateOutcome::New(RecordVersion(version)),
            Err(PlatformError::Conflict(_)) => CreateOutcome::Exists,
            Err(e) => {
                log::debug!(target: "platform", "No reply to a claim: {e}.");
                CreateOutcome::Unknown
            }
        }
    }

    async fn read(&self, key: &ClaimKey) -> ReadOutcome {
        match self.platform.get(CLAIM_KIND, key.object_name()).await {
            Ok(Some(object)) => read_record(&object),
            Ok(None) => ReadOutcome::NotFound,
            Err(_) => ReadOutcome::Unknown,
        }
    }

    async fn delete(&self, key: &ClaimKey, version: RecordVersion) {
        let result = self.platform.delete(CLAIM_KIND, key.object_name(), version.0).await;
        if let Err(e) = result {
            log::debug!(target: "platform", "A claim was not released: {e}.");
        }
    }
}

/// A record that cannot be read was written by another program; it is
/// another's claim.
fn read_record(object: &Object) -> ReadOutcome {
    let version = RecordVersion(object.version);
    match serde_json::from_slice::<ClaimRecord>(&object.body) {
        Ok(record) => ReadOutcome::Record(record.nonce, version),
        Err(_) => ReadOutcome::Record(Nonce::from_raw(0), version),
    }
}
