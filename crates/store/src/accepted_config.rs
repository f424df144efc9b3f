//! The accepted configuration, stored as one object in the store.
//!
//! The object is replaced as a whole by a conditional write, so a configuration
//! file is accepted completely or not at all. Of two concurrent applies that are
//! based on the same version, only one is accepted. The other one returns a
//! conflict, or an unknown outcome if replies were lost.
//!
//! # Example
//!
//! ```
//! use endivevale_store::accepted_config::IntentRecord;
//!
//! let record = IntentRecord::new("deployment: sfax\n", "operator-1");
//! let parsed = IntentRecord::parse(&record.to_bytes()).unwrap();
//! assert_eq!(parsed.apply_id(), record.apply_id());
//! ```

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_core::{id::Nonce, intent::ConfigVersion};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    backoff::Backoff,
    client::{Object, ObjectStoreClient, Precondition, StoreError},
};

/// Kind of the object that holds the configuration.
pub const CONFIG_OBJECT_KIND: &str = "intent";

/// Name of the object that holds the configuration.
pub const CONFIG_OBJECT_NAME: &str = "current";

/// Maximum number of attempts to write the configuration, and to read it back
/// after a conflict.
const MAX_ATTEMPTS: u32 = 12;

/// Upper bounds of the delay between two attempts: of the first delay, and of
/// all later ones.
const ATTEMPT_DELAYS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1000));

/// The content of the configuration object, encoded as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRecord {
    /// Identifies the apply, so that its writer can recognise its own write after
    /// a lost reply.
    apply_id: Nonce,
    applied_by: Arc<str>,
    text: Arc<str>,
}

impl IntentRecord {
    /// Creates a record of a configuration text with a new apply identifier.
    #[must_use]
    pub fn new(text: &str, applied_by: &str) -> Self {
        Self { apply_id: Nonce::random(), applied_by: applied_by.into(), text: text.into() }
    }

    /// Parses a record.
    ///
    /// # Errors
    ///
    /// Returns the message of the JSON parser if the bytes are not a valid
    /// record.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(body).map_err(|e| e.to_string())
    }

    /// Encodes the record as JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Returns the identifier of the apply.
    #[must_use]
    pub const fn apply_id(&self) -> Nonce {
        self.apply_id
    }

    /// Returns the name of the operator that applied the configuration.
    #[must_use]
    pub const fn applied_by(&self) -> &Arc<str> {
        &self.applied_by
    }

    /// Returns the text of the configuration.
    #[must_use]
    pub const fn text(&self) -> &Arc<str> {
        &self.text
    }
}

/// The outcome of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The configuration was accepted with this version.
    Accepted(ConfigVersion),
    /// The configuration was not accepted, since the accepted version is not the
    /// one that the apply was based on.
    Conflict {
        /// The accepted version, if the store returned it.
        other: Option<ConfigVersion>,
    },
    /// The outcome is unknown, for this reason. The configuration may have been
    /// accepted, or may still be.
    OutcomeUnknown(String),
    /// The configuration was not accepted and will not be.
    Rejected(StoreError),
}

/// Reads the accepted configuration. Returns `None` if there is none.
///
/// # Errors
///
/// Returns a [`StoreError`] if the call fails or the object is not a valid
/// [`IntentRecord`].
pub async fn read_accepted_config(
    client: &ObjectStoreClient,
) -> Result<Option<(ConfigVersion, IntentRecord)>, StoreError> {
    let object = client.get(CONFIG_OBJECT_KIND, CONFIG_OBJECT_NAME).await?;
    object.map(|object| decode_object(&object)).transpose()
}

/// Waits up to `wait` for a configuration with a version higher than `after`.
/// Returns `None` if there is none by then.
///
/// # Errors
///
/// Returns a [`StoreError`] if the call fails or the object is not a valid
/// [`IntentRecord`].
pub async fn watch_accepted_config(
    client: &ObjectStoreClient,
    after: ConfigVersion,
    wait: Duration,
) -> Result<Option<(ConfigVersion, IntentRecord)>, StoreError> {
    let object = client.watch(CONFIG_OBJECT_KIND, CONFIG_OBJECT_NAME, after.number(), wait).await?;
    object.map(|object| decode_object(&object)).transpose()
}

fn decode_object(object: &Object) -> Result<(ConfigVersion, IntentRecord), StoreError> {
    let record = IntentRecord::parse(&object.body).map_err(StoreError::NoReply)?;
    Ok((ConfigVersion::new(object.version), record))
}

/// Replaces the accepted configuration if its version is `base`, or creates it
/// if `base` is [`ConfigVersion::NONE`].
///
/// A write without a reply is retried with the same precondition, so it takes
/// effect at most once. If a retry fails with a conflict, the configuration is
/// read back and its apply identifier compared with that of `record`.
pub async fn apply_config(
    client: &ObjectStoreClient,
    record: &IntentRecord,
    base: ConfigVersion,
) -> ApplyOutcome {
    let precondition = match base {
        ConfigVersion::NONE => Precondition::Absent,
        version => Precondition::Version(version.number()),
    };
    let mut backoff = Backoff::new(ATTEMPT_DELAYS.0, ATTEMPT_DELAYS.1);
    let mut no_reply_reason = None;
    for _ in 0..MAX_ATTEMPTS {
        match client
            .put(CONFIG_OBJECT_KIND, CONFIG_OBJECT_NAME, record.to_bytes(), precondition)
            .await
        {
            Ok(version) => return ApplyOutcome::Accepted(ConfigVersion::new(version)),
            Err(StoreError::Conflict(other)) => match no_reply_reason {
                None => return ApplyOutcome::Conflict { other: other.map(ConfigVersion::new) },
                Some(_) => return resolve_conflict(client, record).await,
            },
            Err(StoreError::NoReply(reason)) => no_reply_reason = Some(reason),
            Err(e) if no_reply_reason.is_none() => return ApplyOutcome::Rejected(e),
            Err(_) => {}
        }
        sleep(backoff.next_delay()).await;
    }
    ApplyOutcome::OutcomeUnknown(no_reply_reason.unwrap_or_default())
}

/// Reads the accepted configuration back after a conflict that an earlier write
/// of the same record may have caused, and returns the outcome of the apply.
async fn resolve_conflict(client: &ObjectStoreClient, record: &IntentRecord) -> ApplyOutcome {
    let mut backoff = Backoff::new(ATTEMPT_DELAYS.0, ATTEMPT_DELAYS.1);
    for _ in 0..MAX_ATTEMPTS {
        match read_accepted_config(client).await {
            Ok(Some((version, accepted))) if accepted.apply_id() == record.apply_id() => {
                return ApplyOutcome::Accepted(version);
            }
            // Another apply was accepted, either in place of this one or after
            // it. The record does not show which.
            Ok(Some((version, _))) => {
                return ApplyOutcome::OutcomeUnknown(format!(
                    "version {version} is another apply's"
                ));
            }
            Ok(None) | Err(_) => sleep(backoff.next_delay()).await,
        }
    }
    ApplyOutcome::OutcomeUnknown("the platform does not answer".to_owned())
}
