//! The newest configuration in the store, if this instance cannot use it.
//!
//! An instance puts a configuration in force as a whole or not at all. While it
//! refuses the newest one, it works by an older one, which operators must see at
//! once: callers are answered by what is no longer declared.

use std::sync::Arc;

use crate::intent::ConfigVersion;

/// The maximum length of a reason, in characters.
const MAX_REASON_CHARS: usize = 300;

/// A configuration that this instance refuses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedConfig {
    version: Option<ConfigVersion>,
    /// Invariant: at most [`MAX_REASON_CHARS`] characters.
    reason: Arc<str>,
}

impl RefusedConfig {
    /// Creates the record of a configuration whose text is invalid.
    #[must_use]
    pub fn versioned(version: ConfigVersion, reason: &str) -> Self {
        Self { version: Some(version), reason: bounded(reason) }
    }

    /// Creates the record of a configuration without a valid version.
    #[must_use]
    pub fn unversioned(reason: &str) -> Self {
        Self { version: None, reason: bounded(reason) }
    }

    /// Returns the version, if the configuration has a valid one.
    #[must_use]
    pub const fn version(&self) -> Option<ConfigVersion> {
        self.version
    }

    /// Returns why the configuration is refused.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// Returns whether a configuration of this version makes the refused one
    /// obsolete.
    #[must_use]
    pub fn is_replaced_by(&self, version: ConfigVersion) -> bool {
        self.version.is_none_or(|refused| refused <= version)
    }
}

fn bounded(reason: &str) -> Arc<str> {
    reason.chars().take(MAX_REASON_CHARS).collect::<String>().into()
}
