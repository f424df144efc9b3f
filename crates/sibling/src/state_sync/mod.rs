//! Transfer of the configuration and the listing between siblings over TCP.
//!
//! Each message is preceded by its length as four bytes in little-endian
//! order. Each connection carries one request and one reply. The reply has the
//! configuration as a change to the text that the requesting instance named by
//! its digest, if the sibling still has that text, and whole otherwise. A
//! sibling that has not yet got what the requesting instance was told of waits
//! for it up to [`REPLY_WAIT`].
//!
//! # Example
//!
//! ```no_run
//! # async fn run() {
//! use endivevale_sibling::{
//!     state_sync::{self, KnownState}, transfer_counters::TransferCounters,
//! };
//!
//! let addr = "127.0.0.1:7100".parse().unwrap();
//! let counters = TransferCounters::default();
//! let reply = state_sync::fetch_state(addr, &KnownState::default(), &counters).await;
//! # }
//! ```

use std::{fmt, io, time::Duration};

use tokio::time::error::Elapsed;

use crate::wire::WireError;

mod client;
mod compression;
mod framing;
mod server;

pub(crate) use self::framing::{read_message, write_message};
pub use self::{
    client::{FetchedState, KnownState, fetch_state, is_reachable},
    server::{StateRegisters, StateServer},
};

/// How long a sibling waits for a state that it does not have yet, before it
/// replies with what it has.
pub const REPLY_WAIT: Duration = Duration::from_millis(500);

/// Timeout of one exchange, on each side.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// The time within which the next bytes of a message must come.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the text of a configuration, in bytes: the maximum size of
/// an object in the store, plus room for another encoding of it.
const MAX_TEXT_BYTES: usize = 2 * 1024 * 1024;

/// Maximum size of an encoded listing, in bytes.
const MAX_LISTING_BYTES: usize = 16 * 1024 * 1024;

/// Cause of a failed exchange.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection failed.
    Io(io::Error),
    /// A message could not be encoded, or a received one was dropped.
    Wire(WireError),
    /// The exchange timed out.
    TimedOut,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::Io(e) => write!(f, "the connection failed: {e}"),
            ExchangeError::Wire(e) => write!(f, "invalid message ({e})"),
            ExchangeError::TimedOut => f.write_str("the exchange timed out"),
        }
    }
}

impl std::error::Error for ExchangeError {}

impl ExchangeError {
    /// Returns whether the sibling refused the connection or did not reply in
    /// time.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        match self {
            ExchangeError::Io(e) => {
                matches!(e.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::TimedOut)
            }
            ExchangeError::TimedOut => true,
            ExchangeError::Wire(_) => false,
        }
    }
}

impl From<io::Error> for ExchangeError {
    fn from(e: io::Error) -> Self {
        ExchangeError::Io(e)
    }
}

impl From<Elapsed> for ExchangeError {
    fn from(_: Elapsed) -> Self {
        ExchangeError::TimedOut
    }
}

impl From<WireError> for ExchangeError {
    fn from(e: WireError) -> Self {
        ExchangeError::Wire(e)
    }
}
