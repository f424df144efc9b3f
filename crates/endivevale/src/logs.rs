//! Logs by `fern`: short sentences with a fixed prefix for each part.
//!
//! # Example
//!
//! ```
//! use endivevale::{logs, settings::LogSettings};
//!
//! logs::set_up(LogSettings::default()).expect("no logger was set before");
//! log::info!(target: "node", "Up.");
//! ```

use std::time::SystemTime;

use log::{LevelFilter, SetLoggerError};

use crate::settings::{LogFormat, LogLevel, LogSettings};

/// Libraries log at this level or above only.
const LIBRARY_LEVEL: LevelFilter = LevelFilter::Warn;

/// The parts of this program, which are also the prefixes of their lines.
const PARTS: [&str; 6] = ["node", "caller", "searcher", "platform", "sibling", "operator"];

/// Sends logs to standard error.
///
/// # Errors
///
/// An error when a logger was set before.
pub fn set_up(settings: LogSettings) -> Result<(), SetLoggerError> {
    let level = match settings.level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let mut dispatch = fern::Dispatch::new()
        .level(LIBRARY_LEVEL)
        // It writes a warning for each launch.
        .level_for("rocket", LevelFilter::Error);
    for part in PARTS {
        dispatch = dispatch.level_for(part, level);
    }
    let dispatch = match settings.format {
        LogFormat::Plain => dispatch.format(|out, message, record| {
            out.finish(format_args!(
                "{} {:5} [{}] {message}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level(),
                record.target(),
            ));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            let line = serde_json::json!({
                "time": humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
                "level": record.level().as_str(),
                "part": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        }),
    };
    dispatch.chain(std::io::stderr()).apply()
}
