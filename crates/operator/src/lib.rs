//! What operators see and say: the declarative file, the admin endpoints,
//! the metrics and the reports.
//!
//! # Example
//!
//! ```
//! use endivevale_operator::file;
//!
//! let faults = file::read("intent.yaml", "deployment: sfax\nobjectiv: tail\n").unwrap_err();
//! let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
//! assert!(lines.contains(&"intent.yaml:2: objectiv: is not a field of the file".to_owned()));
//! ```

pub mod admin;
pub mod diff;
pub mod fault;
pub mod file;
pub mod metrics;
pub mod status;

mod node;
mod section;
