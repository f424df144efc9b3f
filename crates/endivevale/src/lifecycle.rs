//! The life cycle of the instance, held by the control task.

use endivevale_core::lifecycle::{InstanceLifecycle, Leaving, Serving, Starting};

/// The states of the life cycle.
pub(crate) enum Lifecycle {
    /// The instance has not served yet.
    Starting(InstanceLifecycle<Starting>),
    /// The instance accepts requests.
    Serving(InstanceLifecycle<Serving>),
    /// The planned stop has started: the instance reports not ready, so that the
    /// balancer sends no new requests, and finishes those in flight.
    Leaving(
        #[expect(dead_code, reason = "a leaving instance has no further step")]
        InstanceLifecycle<Leaving>,
    ),
    /// A transition is in progress. Invariant: never observed outside of a
    /// method of this type.
    Transitioning,
}

impl Lifecycle {
    /// Starts serving if the instance has not served yet; does nothing
    /// otherwise.
    pub(crate) fn serve(&mut self) {
        *self = match std::mem::replace(self, Lifecycle::Transitioning) {
            Lifecycle::Starting(lifecycle) => {
                log::info!(target: "node", "Configuration and listing are known; now serving.");
                Lifecycle::Serving(lifecycle.serve())
            }
            unchanged => unchanged,
        };
    }

    /// Starts the planned stop; does nothing if it was started before.
    pub(crate) fn leave(&mut self) {
        *self = match std::mem::replace(self, Lifecycle::Transitioning) {
            Lifecycle::Starting(lifecycle) => Lifecycle::Leaving(lifecycle.leave()),
            Lifecycle::Serving(lifecycle) => Lifecycle::Leaving(lifecycle.leave()),
            unchanged => unchanged,
        };
    }
}
