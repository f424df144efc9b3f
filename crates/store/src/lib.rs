//! Client of the platform's object API.
//!
//! The platform holds the accepted configuration, the claims of idempotency
//! keys and the list of instances. It counts each call and has outages, so
//! every call passes a local budget, and callers pause between failures by a
//! back-off with jitter. Nothing here is on the path of a request but the
//! claim of an idempotency key.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() -> Result<(), endivevale_store::PlatformError> {
//! use endivevale_store::{Condition, Platform};
//!
//! let platform = Platform::new("http://127.0.0.1:7000");
//! let version = platform.put("intent", "current", "{}".into(), Condition::Absent).await?;
//! assert!(version > 0);
//! # Ok(())
//! # }
//! ```

pub mod backoff;
pub mod claims;
pub mod client;
pub mod directory;
pub mod intent;

pub use client::{
    Condition, MAX_OBJECT_BYTES, Object, Platform, PlatformError, StoreClient, StoreReply,
};
