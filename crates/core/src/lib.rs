//! The decisions of the query tier, free of any encoding or transport.
//!
//! Everything that decides something lives here: which snapshot a query is
//! pinned to, which replica a shard is asked from, when a second attempt is
//! worth its load, who may pass at the crest of a demand swing, and what an
//! answer may claim. The packages around this one only translate between
//! these types and a peer's protocol, so another front end or another
//! transport reuses the same decisions.
//!
//! The crate uses the runtime's clock ([`tokio::time::Instant`]), which tests
//! pause and advance, and performs no I/O.
//!
//! # Example
//!
//! ```
//! use endivevale_core::{error::{ErrorKind, Run}, name::ServiceName};
//!
//! let service = ServiceName::try_new("stock-search").expect("a valid name");
//! assert_eq!(service.as_str(), "stock-search");
//! assert_eq!(ErrorKind::Overloaded.verdict().run(), Run::NotRun);
//! ```

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod budget;
pub mod claim;
pub mod connection;
pub mod departure;
pub mod duty;
pub mod engine;
pub mod error;
pub mod gate;
pub mod id;
pub mod intent;
pub mod layout;
pub mod membership;
pub mod name;
pub mod node;
pub mod pin;
pub mod quantile;
pub mod query;
pub mod register;
pub mod routing;
pub mod searcher;
pub mod share;
pub mod stats;
pub mod view;
