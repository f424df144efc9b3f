//! An instance that forwards routed requests, on a platform where searchers
//! and instances register themselves in a store.
//!
//! | module | purpose |
//! |---|---|
//! | `control` | the control task: builds views from the store and from siblings |
//! | `store_reads` | reads the store and sends reports to the control task |
//! | `instance` | binds, assembles and stops the instance |

mod control;
mod instance;
mod store_reads;

pub use instance::start;
