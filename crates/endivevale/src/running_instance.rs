//! The handle of a running instance, which either serves queries or forwards
//! routed requests.

use std::{net::SocketAddr, sync::Arc};

use tokio::{sync::Notify, task::JoinHandle};

/// The addresses at which an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Addresses {
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for siblings.
    pub sibling: SocketAddr,
}

impl Addresses {
    /// Returns the addresses as one line of JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The handle of an instance that runs until its planned stop.
#[derive(Debug)]
pub struct RunningInstance {
    addresses: Addresses,
    leave_notify: Arc<Notify>,
    stop_task: JoinHandle<()>,
}

impl RunningInstance {
    /// Creates the handle of an instance that starts its planned stop when
    /// `leave_notify` is notified and has stopped when `stop_task` ends.
    pub(crate) const fn new(
        addresses: Addresses,
        leave_notify: Arc<Notify>,
        stop_task: JoinHandle<()>,
    ) -> Self {
        Self { addresses, leave_notify, stop_task }
    }

    /// Returns the addresses at which the instance listens.
    #[must_use]
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Starts the planned stop.
    pub fn leave(&self) {
        self.leave_notify.notify_one();
    }

    /// Waits until the planned stop is complete.
    pub async fn stopped(self) {
        if let Err(e) = self.stop_task.await {
            log::error!(target: "node", "The task of the planned stop failed: {e}.");
        }
    }
}
