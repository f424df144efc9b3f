//! Whether a request may be sent to a second searcher while it may have run at
//! the first.
//!
//! A route limits the searchers at which one request may run. Two instances work
//! on a relayed request, and either could send it once more: the aggregator that
//! sent it, or the instance that relayed it, if the aggregator falls silent. The
//! right to do so stays with the relaying instance until it grants it, so that
//! never both use it.
//!
//! # Example
//!
//! ```
//! use endivevale_core::forward::ExtraAttempts;
//!
//! assert!(ExtraAttempts::allowed().are_allowed());
//! let (grant, extra_attempts) = ExtraAttempts::on_grant();
//! assert!(!extra_attempts.are_allowed());
//! grant.grant();
//! assert!(extra_attempts.are_allowed());
//! ```

use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

/// Whether extra attempts that may run a request again are allowed.
#[derive(Debug, Clone)]
pub struct ExtraAttempts {
    /// `None` if they are allowed from the start.
    granted: Option<watch::Receiver<bool>>,
}

/// Allows the extra attempts of one request, once. Dropping it instead means that
/// they will never be allowed.
#[derive(Debug)]
pub struct ExtraAttemptsGrant(watch::Sender<bool>);

impl ExtraAttemptsGrant {
    /// Allows the extra attempts.
    pub fn grant(self) {
        self.0.send_replace(true);
    }
}

impl ExtraAttempts {
    /// Returns extra attempts that are allowed from the start.
    #[must_use]
    pub const fn allowed() -> Self {
        Self { granted: None }
    }

    /// Returns extra attempts that are allowed once the grant is given.
    #[must_use]
    pub fn on_grant() -> (ExtraAttemptsGrant, Self) {
        let (tx, rx) = watch::channel(false);
        (ExtraAttemptsGrant(tx), Self { granted: Some(rx) })
    }

    /// Returns whether extra attempts are allowed now.
    #[must_use]
    pub fn are_allowed(&self) -> bool {
        self.granted.as_ref().is_none_or(|granted| *granted.borrow())
    }

    /// Waits until extra attempts are allowed. Returns false if they were not
    /// allowed by the deadline or can no longer be.
    pub async fn wait_until(&self, deadline: Instant) -> bool {
        let Some(granted) = &self.granted else { return true };
        let mut granted = granted.clone();
        let granted = timeout_at(deadline, granted.wait_for(|granted| *granted));
        matches!(granted.await, Ok(Ok(_)))
    }
}
