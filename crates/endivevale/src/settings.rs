//! The settings of one node, in YAML.
//!
//! A node learns its addresses and availability zone from here; everything
//! that concerns the deployment as a whole is in the operators' file.
//! Unknown fields are refused.
//!
//! # Example
//!
//! ```
//! use endivevale::settings::Settings;
//!
//! let text = "
//! name: entry-1
//! zone: a
//! listen: {caller: '127.0.0.1:0', admin: '127.0.0.1:0', sibling: '127.0.0.1:0'}
//! platform: http://127.0.0.1:7000
//! ";
//! let settings = Settings::parse("node.yaml", text).unwrap();
//! assert_eq!(settings.name.as_str(), "entry-1");
//! assert!(Settings::parse("node.yaml", "nam: x").is_err());
//! ```

use std::{fmt, net::SocketAddr, time::Duration};

use endivevale_core::name::{InstanceName, ZoneName};
use serde::{Deserialize, Deserializer, de};

/// How long a leaving node goes on serving before it stops accepting, so
/// that the balancer has time to see it.
const DEFAULT_SETTLE: Duration = Duration::from_secs(5);

/// Everything that one node is told.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, unique in the deployment.
    pub name: InstanceName,
    /// The node's availability zone.
    pub zone: ZoneName,
    /// Where the node listens.
    pub listen: Listen,
    /// Where the platform is, such as `http://127.0.0.1:7000`.
    pub platform: String,
    /// Siblings to ask while the platform's list cannot be had.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The planned stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Where the node listens; port 0 takes any free one.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, HTTP.
    pub caller: SocketAddr,
    /// For operators, HTTP.
    pub admin: SocketAddr,
    /// For siblings, UDP and TCP.
    pub sibling: SocketAddr,
}

/// The planned stop.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// How long a leaving node goes on accepting, such as `5s`.
    #[serde(deserialize_with = "span")]
    pub settle: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { settle: DEFAULT_SETTLE }
    }
}

/// Logs.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// How a line is written.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: LogLevel,
}

/// How a log line is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Plain,
    /// One JSON object.
    Json,
}

/// The least severe level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need someone.
    Error,
    /// Failures that the node copes with.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Single failures and retries.
    Debug,
}

/// Why settings could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    file: String,
    line: u64,
    message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads settings.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the file, the line and the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        serde_saphyr::from_str(text).map_err(|e| SettingsError {
            file: file.to_owned(),
            line: e.location().map_or(0, |at| at.line()),
            message: e.without_snippet().to_string(),
        })
    }
}

fn span<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(de::Error::custom)
}
