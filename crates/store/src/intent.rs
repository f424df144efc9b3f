//! The accepted configuration, as one object of the platform.
//!
//! The object is replaced as a whole by a conditional write, so either all
//! of a file takes force or none of it does, and of two operators that apply
//! at the same time one is told of the other.
//!
//! # Example
//!
//! ```
//! use endivevale_store::intent::IntentRecord;
//!
//! let record = IntentRecord::new("deployment: sfax\n", "operator-1");
//! let read = IntentRecord::parse(&record.to_bytes()).unwrap();
//! assert_eq!(read.apply_id(), record.apply_id());
//! ```

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use endivevale_core::{id::Nonce, intent::ConfigVersion};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    backoff::Backoff,
    client::{Condition, Object, Platform, PlatformError},
};

/// The kind of the object that holds the configuration.
pub const INTENT_KIND: &str = "intent";

/// The name of the object that holds the configuration.
pub const INTENT_NAME: &str = "current";

/// The most times that the outcome of an apply is asked for.
const RESOLVE_TRIES: u32 = 12;

/// The first and the longest pause between two such questions.
const RESOLVE_PAUSES: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1000));

/// What the object holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRecord {
    /// By which the writer recognises its own write after a lost reply.
    apply_id: Nonce,
    applied_by: Arc<str>,
    text: Arc<str>,
}

impl IntentRecord {
    /// A record of a text with a fresh apply identifier.
    #[must_use]
    pub fn new(text: &str, applied_by: &str) -> Self {
        Self { apply_id: Nonce::random(), applied_by: applied_by.into(), text: text.into() }
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// The reader's message, when the bytes are not a record.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(body).map_err(|e| e.to_string())
    }

    /// The record as the platform holds it.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// The identifier of the apply.
    #[must_use]
    pub const fn apply_id(&self) -> Nonce {
        self.apply_id
    }

    /// Who applied it.
    #[must_use]
    pub const fn applied_by(&self) -> &Arc<str> {
        &self.applied_by
    }

    /// The operator's text.
    #[must_use]
    pub const fn text(&self) -> &Arc<str> {
        &self.text
    }
}

/// How an apply ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The text was accepted under this version.
    Accepted(ConfigVersion),
    /// Another text was accepted meanwhile, under this version.
    Conflict {
        /// The other text's version, if it was told.
        other: Option<ConfigVersion>,
    },
    /// The platform does not say. The text may be accepted or become so.
    Unknown(String),
    /// The text was not accepted and will not be.
    Refused(PlatformError),
}

/// Reads the accepted configuration.
///
/// # Errors
///
/// A [`PlatformError`] when the platform does not say.
pub async fn read(
    platform: &Platform,
) -> Result<Option<(ConfigVersion, IntentRecord)>, PlatformError> {
    let object = platform.get(INTENT_KIND, INTENT_NAME).await?;
    object.map(|o| read_object(&o)).transpose()
}

/// Waits up to `wait` for a configuration above the version `after`.
///
/// # Errors
///
/// A [`PlatformError`] when the platform does not say.
pub async fn watch(
    platform: &Platform,
    after: ConfigVersion,
    wait: Duration,
) -> Result<Option<(ConfigVersion, IntentRecord)>, PlatformError> {
    let object = platform.watch(INTENT_KIND, INTENT_NAME, after.number(), wait).await?;
    object.map(|o| read_object(&o)).transpose()
}

fn read_object(object: &Object) -> Result<(ConfigVersion, IntentRecord), PlatformError> {
    let record = IntentRecord::parse(&object.body).map_err(PlatformError::NoReply)?;
    Ok((ConfigVersion::new(object.version), record))
}

/// Applies a record over the version `base`; [`ConfigVersion::NONE`] means
/// that there is none yet.
///
/// A write without a reply is written again over the same base, which takes
/// effect at most once, and a conflict after it is resolved by reading back
/// and recognising the record's apply identifier.
pub async fn apply(platform: &Platform, record: &IntentRecord, base: ConfigVersion) -> Applied {
    let condition = match base {
        ConfigVersion::NONE => Condition::Absent,
        version => Condition::Version(version.number()),
    };
    let mut backoff = Backoff::new(RESOLVE_PAUSES.0, RESOLVE_PAUSES.1);
    let mut lost = None;
    for _ in 0..RESOLVE_TRIES {
        match platform.put(INTENT_KIND, INTENT_NAME, record.to_bytes(), condition).await {
            Ok(version) => return Applied::Accepted(ConfigVersion::new(version)),
            Err(PlatformError::Conflict(other)) => match lost {
                None => return Applied::Conflict { other: other.map(ConfigVersion::new) },
                Some(_) => return recognise(platform, record).await,
            },
            Err(PlatformError::NoReply(why)) => lost = Some(why),
            Err(e) if lost.is_none() => return Applied::Refused(e),
            Err(_) => {}
        }
        sleep(backoff.next_pause()).await;
    }
    Applied::Unknown(lost.unwrap_or_default())
}

/// Finds out whose write stands after one of this record's had no reply.
async fn recognise(platform: &Platform, record: &IntentRecord) -> Applied {
    let mut backoff = Backoff::new(RESOLVE_PAUSES.0, RESOLVE_PAUSES.1);
    for _ in 0..RESOLVE_TRIES {
        match read(platform).await {
            Ok(Some((version, found))) if found.apply_id() == record.apply_id() => {
                return Applied::Accepted(version);
            }
            // Another write was accepted over the same base or over this one;
            // which of the two cannot be told from here.
            Ok(Some((version, _))) => {
                return Applied::Unknown(format!("version {version} is another apply's"));
            }
            Ok(None) | Err(_) => sleep(backoff.next_pause()).await,
        }
    }
    Applied::Unknown("the platform does not answer".to_owned())
}
