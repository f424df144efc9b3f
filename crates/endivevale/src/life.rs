//! The node's life cycle, for the one task that owns it.

use endivevale_core::node::{Leaving, Node, Serving, Starting};

/// The states of the node's life cycle.
pub(crate) enum Life {
    /// It has not served yet.
    Starting(Node<Starting>),
    /// It takes requests.
    Serving(Node<Serving>),
    /// It finishes what it has.
    Leaving(#[expect(dead_code, reason = "a leaving node has no further step")] Node<Leaving>),
    /// Between two states. Invariant: never seen outside of a transition.
    Moving,
}

impl Life {
    /// Begins to serve, if the node has not served yet.
    pub(crate) fn serve(&mut self) {
        *self = match std::mem::replace(self, Life::Moving) {
            Life::Starting(node) => {
                log::info!(target: "node", "Serving.");
                Life::Serving(node.serve())
            }
            life => life,
        };
    }

    /// Begins the planned stop.
    pub(crate) fn leave(&mut self) {
        *self = match std::mem::replace(self, Life::Moving) {
            Life::Starting(node) => Life::Leaving(node.leave()),
            Life::Serving(node) => Life::Leaving(node.leave()),
            life => life,
        };
    }
}
