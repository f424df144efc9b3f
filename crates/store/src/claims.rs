//! Claims of idempotency keys, stored as objects in the store.
//!
//! # Example
//!
//! ```no_run
//! # use std::sync::Arc;
//! use endivevale_store::{ObjectStoreClient, claims::ObjectClaimStore};
//!
//! let claims = ObjectClaimStore::new(Arc::new(ObjectStoreClient::new("http://127.0.0.1:7000")));
//! ```

use std::sync::Arc;

use endivevale_core::{
    claim::{ClaimKey, ClaimStore, CreateOutcome, ReadOutcome, RecordVersion},
    id::Nonce,
};
use serde::{Deserialize, Serialize};

use crate::client::{Object, ObjectStoreClient, Precondition, StoreError};

/// Kind of the objects that hold claims.
pub const CLAIM_OBJECT_KIND: &str = "claim";

/// A [`ClaimStore`] that keeps each claim as an object in the store.
#[derive(Debug, Clone)]
pub struct ObjectClaimStore {
    client: Arc<ObjectStoreClient>,
}

/// The stored content of a claim, encoded as JSON.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimRecord {
    nonce: Nonce,
}

impl ObjectClaimStore {
    /// Creates a claim store that uses this client.
    #[must_use]
    pub const fn new(client: Arc<ObjectStoreClient>) -> Self {
        Self { client }
    }
}

impl ClaimStore for ObjectClaimStore {
    async fn create(&self, key: &ClaimKey, nonce: Nonce) -> CreateOutcome {
        let body = serde_json::to_vec(&ClaimRecord { nonce }).unwrap_or_default();
        let name = key.object_name();
        match self.client.put(CLAIM_OBJECT_KIND, name, body.into(), Precondition::Absent).await {
            Ok(version) => CreateOutcome::New(RecordVersion(version)),
            Err(StoreError::Conflict(_)) => CreateOutcome::Exists,
            Err(e) => {
                log::debug!(
                    target: "platform",
                    "Could not create a claim: {e}; its outcome is unknown."
                );
                CreateOutcome::Unknown
            }
        }
    }

    async fn read(&self, key: &ClaimKey) -> ReadOutcome {
        match self.client.get(CLAIM_OBJECT_KIND, key.object_name()).await {
            Ok(Some(object)) => decode_claim(&object),
            Ok(None) => ReadOutcome::NotFound,
            Err(_) => ReadOutcome::Unknown,
        }
    }

    async fn delete(&self, key: &ClaimKey, version: RecordVersion) {
        let result = self.client.delete(CLAIM_OBJECT_KIND, key.object_name(), version.0).await;
        if let Err(e) = result {
            log::debug!(target: "platform", "Could not delete a claim: {e}.");
        }
    }
}

/// Decodes the claim in an object. Returns a zero nonce if the object is
/// malformed: another program wrote it, so the key counts as claimed by another
/// writer.
fn decode_claim(object: &Object) -> ReadOutcome {
    let version = RecordVersion(object.version);
    match serde_json::from_slice::<ClaimRecord>(&object.body) {
        Ok(record) => ReadOutcome::Record(record.nonce, version),
        Err(_) => ReadOutcome::Record(Nonce::from_raw(0), version),
    }
}
