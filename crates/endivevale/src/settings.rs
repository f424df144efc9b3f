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

use std::{net::SocketAddr, time::Duration};

use endivevale_core::name::{InstanceName, ZoneName};
use endivevale_operator::{
    fault::{Fault, Faults},
    section::Section,
};

/// How long a leaving node goes on serving before it stops accepting, so
/// that the balancer has time to see it.
const DEFAULT_SETTLE: Duration = Duration::from_secs(5);

/// Everything that one node is told.
#[derive(Debug, Clone)]
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
    pub seeds: Vec<SocketAddr>,
    /// The planned stop.
    pub stop: StopSettings,
    /// Logs.
    pub log: LogSettings,
}

/// Where the node listens; port 0 takes any free one.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// For callers, HTTP.
    pub caller: SocketAddr,
    /// For operators, HTTP.
    pub admin: SocketAddr,
    /// For siblings, UDP and TCP.
    pub sibling: SocketAddr,
}

/// The planned stop.
#[derive(Debug, Clone, Copy)]
pub struct StopSettings {
    /// How long a leaving node goes on accepting, such as `5s`.
    pub settle: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { settle: DEFAULT_SETTLE }
    }
}

/// Logs.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogSettings {
    /// How a line is written.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: LogLevel,
}

/// How a log line is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::EnumString, strum::VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Plain,
    /// One JSON object.
    Json,
}

/// The least severe level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::EnumString, strum::VariantNames)]
#[strum(serialize_all = "snake_case")]
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

impl Settings {
    /// Reads settings.
    ///
    /// # Errors
    ///
    /// Every fault of the file, each with its line and field.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let mut faults = Faults::new(file);
        let root = Section::read(text, &mut faults);
        let settings = root.and_then(|root| Self::read(root, &mut faults));
        match (settings, faults.into_result(())) {
            (Some(settings), Ok(())) => Ok(settings),
            (_, Err(found)) => Err(found),
            (None, Ok(())) => Err(Vec::new()),
        }
    }

    fn read(mut root: Section, faults: &mut Faults) -> Option<Self> {
        let name = root.parsed("name", faults);
        let zone = root.parsed("zone", faults);
        let listen = root.section("listen", faults).and_then(|s| Listen::read(s, faults));
        let platform = root.text("platform", faults);
        let seeds = match root.has("seeds") {
            true => root.list("seeds", faults),
            false => Some(Vec::new()),
        };
        let stop = match root.has("stop") {
            true => root.section("stop", faults).and_then(|s| StopSettings::read(s, faults)),
            false => Some(StopSettings::default()),
        };
        let log = match root.has("log") {
            true => root.section("log", faults).and_then(|s| LogSettings::read(s, faults)),
            false => Some(LogSettings::default()),
        };
        root.close(faults);
        Some(Self {
            name: name?,
            zone: zone?,
            listen: listen?,
            platform: platform?,
            seeds: seeds?,
            stop: stop?,
            log: log?,
        })
    }
}

impl Listen {
    fn read(mut section: Section, faults: &mut Faults) -> Option<Self> {
        let caller = section.parsed("caller", faults);
        let admin = section.parsed("admin", faults);
        let sibling = section.parsed("sibling", faults);
        section.close(faults);
        Some(Self { caller: caller?, admin: admin?, sibling: sibling? })
    }
}

impl StopSettings {
    fn read(mut section: Section, faults: &mut Faults) -> Option<Self> {
        let settle = section.span_or_zero("settle", faults);
        section.close(faults);
        Some(Self { settle: settle? })
    }
}

impl LogSettings {
    fn read(mut section: Section, faults: &mut Faults) -> Option<Self> {
        let default = Self::default();
        let format = match section.has("format") {
            true => section.one_of("format", faults),
            false => Some(default.format),
        };
        let level = match section.has("level") {
            true => section.one_of("level", faults),
            false => Some(default.level),
        };
        section.close(faults);
        Some(Self { format: format?, level: level? })
    }
}
