//! A bound on the bytes of peers that an instance holds at a time.
//!
//! Each message of a peer has a size limit of its own, but many peers, or many
//! connections of one peer, can each send that much. The messages of one kind of
//! peer therefore share a [`ByteBudget`]. The first [`FREE_BYTES`] of each
//! message do not count, so that messages of the usual size are received however
//! many large ones are on their way.
//!
//! # Example
//!
//! ```
//! use endivevale_core::byte_budget::{ByteBudget, FREE_BYTES};
//!
//! let budget = ByteBudget::new(1000);
//! let mut first = budget.lease();
//! assert!(first.try_add(FREE_BYTES + 1000).is_ok());
//! let mut second = budget.lease();
//! assert!(second.try_add(FREE_BYTES).is_ok());
//! assert!(second.try_add(1).is_err());
//! drop(first);
//! assert!(second.try_add(1).is_ok());
//! ```

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;

/// The bytes of each message that do not count.
pub const FREE_BYTES: usize = 16 * 1024;

/// The budget of the replies of searchers, in bytes.
pub const MAX_REPLY_BYTES_HELD: usize = 32 * 1024 * 1024;

/// The budget of the requests of callers, in bytes.
pub const MAX_REQUEST_BYTES_HELD: usize = 32 * 1024 * 1024;

/// The budget of the relay messages of siblings, in bytes.
pub const MAX_RELAY_BYTES_HELD: usize = 32 * 1024 * 1024;

/// A message needs more bytes than the budget has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExhausted;

impl fmt::Display for BudgetExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the instance holds too many bytes of other messages")
    }
}

impl std::error::Error for BudgetExhausted {}

/// The bytes that all messages of one kind may hold together. Clones share the
/// budget.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    /// The bytes that are left. Invariant: together with the bytes of all leases,
    /// the size of the budget.
    left: Arc<AtomicUsize>,
}

impl ByteBudget {
    /// Creates a budget of this size, in bytes.
    #[must_use]
    pub fn new(size: usize) -> Self {
        Self { left: Arc::new(AtomicUsize::new(size)) }
    }

    /// Returns a lease for one message, which holds no bytes yet.
    #[must_use]
    pub fn lease(&self) -> ByteLease {
        ByteLease { left: Arc::clone(&self.left), received: 0, held: 0 }
    }

    /// Returns the bytes that are left.
    #[must_use]
    pub fn left(&self) -> usize {
        self.left.load(Ordering::Acquire)
    }
}

/// The bytes that one message holds. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct ByteLease {
    left: Arc<AtomicUsize>,
    /// The bytes of the message that were received.
    received: usize,
    /// The bytes that were taken from the budget. Invariant: those of `received`
    /// beyond [`FREE_BYTES`].
    held: usize,
}

impl ByteLease {
    /// Adds bytes that were received, and takes them from the budget if the
    /// message is larger than [`FREE_BYTES`].
    ///
    /// # Errors
    ///
    /// [`BudgetExhausted`] if the budget has fewer left. The lease then holds what
    /// it held before.
    pub fn try_add(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let received = self.received + bytes;
        let needed = received.saturating_sub(FREE_BYTES) - self.held;
        let taken = self
            .left
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| left.checked_sub(needed));
        taken.map_err(|_| BudgetExhausted)?;
        (self.received, self.held) = (received, self.held + needed);
        Ok(())
    }

    /// Returns the bytes of the message, which hold the lease until the last
    /// reference to them is dropped.
    #[must_use]
    pub fn attach(self, message: Bytes) -> Bytes {
        match self.held {
            0 => message,
            _ => Bytes::from_owner(LeasedBytes { message, _lease: self }),
        }
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.left.fetch_add(self.held, Ordering::AcqRel);
    }
}

struct LeasedBytes {
    message: Bytes,
    _lease: ByteLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.message
    }
}
