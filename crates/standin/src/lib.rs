//! Stand-ins for the peers of the query tier, for tests and measurements.
//!
//! Nothing here is shipped. The stand-ins speak the peers' protocols over
//! loopback and can be told to fail: searchers slow down, drain, lose or cut
//! replies; the platform goes out, slows down, loses replies and shows a
//! lagging list; a relay cuts, freezes and silences connections.
//!
//! # Example
//!
//! ```no_run
//! # async fn run() -> std::io::Result<()> {
//! use endivevale_standin::platform::StandinPlatform;
//!
//! let platform = StandinPlatform::start().await?;
//! platform.set_out(true);
//! println!("{} calls", platform.calls().total());
//! # Ok(())
//! # }
//! ```

pub mod deployment;
pub mod http;
pub mod load;
pub mod platform;
pub mod process;
pub mod relay;
pub mod searcher;
pub mod sizes;
