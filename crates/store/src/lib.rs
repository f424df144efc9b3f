//! Client of the store, the platform's object store.
//!
//! The store holds the accepted configuration, the claims of idempotency keys
//! and the listing. It limits the rate of calls and has outages, so each client
//! has a local budget of calls, and code that retries waits between attempts
//! with a [`backoff::Backoff`]. The only call on the path of a query is the
//! claim of its idempotency key.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() -> Result<(), endivevale_store::StoreError> {
//! use endivevale_store::{ObjectStoreClient, Precondition};
//!
//! let client = ObjectStoreClient::new("http://127.0.0.1:7000");
//! let version = client.put("intent", "current", "{}".into(), Precondition::Absent).await?;
//! assert!(version > 0);
//! # Ok(())
//! # }
//! ```

pub mod accepted_config;
pub mod backoff;
pub mod claims;
pub mod client;
pub mod listing_document;
pub mod registry;

pub use client::{
    MAX_OBJECT_BYTES, Object, ObjectStoreClient, Precondition, StoreClient, StoreError, StoreReply,
};
