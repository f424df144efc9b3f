//! An instance that forwards routed requests, on a platform where searchers
//! and instances register themselves in a store.
//!
//! | module | purpose |
//! |---|---|
//! | `follow` | the control task: builds views from the store and from siblings |
//! | `read` | reads the store and sends reports to the control task |
//! | `instance` | binds, assembles and stops the instance |

mod follow;
mod instance;
mod read;

pub use instance::start;
