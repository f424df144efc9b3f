//! The node: one instance of the query tier, wired from the packages.
//!
//! Nothing is decided or encoded here. The node reads its settings, starts
//! the feeds that bring in configuration, list and heartbeats, runs the
//! control task that turns them into views, and serves callers and operators
//! until it is told to leave.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! use endivevale::{Instance, settings::Settings};
//!
//! let text = std::fs::read_to_string("node.yaml")?;
//! let settings = Settings::parse("node.yaml", &text)?;
//! let instance = Instance::start(settings).await?;
//! println!("{}", instance.addresses().to_json());
//! instance.stopped().await;
//! # Ok(())
//! # }
//! ```

pub mod logs;
pub mod settings;

mod control;
mod feeds;
mod instance;
mod listen;
mod stop;

pub use instance::{Addresses, Instance, StartError};
