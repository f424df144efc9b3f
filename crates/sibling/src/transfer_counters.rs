//! Counters of the transfers of configurations and listings between siblings.
//!
//! # Example
//!
//! ```
//! use endivevale_sibling::transfer_counters::TransferCounters;
//!
//! let counters = TransferCounters::default();
//! counters.received_bytes.add(120);
//! assert!(counters.by_kind().contains(&("received_bytes", 120)));
//! ```

use endivevale_core::stats::Counter;

/// What one instance has fetched from its siblings and sent to them.
#[derive(Debug, Default)]
pub struct TransferCounters {
    /// Transfers from a sibling that brought something newer.
    pub fetched: Counter,
    /// Transfers from a sibling that failed or brought nothing newer.
    pub not_fetched: Counter,
    /// Bytes of replies from siblings.
    pub received_bytes: Counter,
    /// Transfers to a sibling that were carried out.
    pub served: Counter,
    /// Bytes of replies to siblings.
    pub sent_bytes: Counter,
}

impl TransferCounters {
    /// Returns the kind of each counter, as it is labelled in metrics, with its
    /// value.
    #[must_use]
    pub fn by_kind(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("fetched", self.fetched.get()),
            ("not_fetched", self.not_fetched.get()),
            ("received_bytes", self.received_bytes.get()),
            ("served", self.served.get()),
            ("sent_bytes", self.sent_bytes.get()),
        ]
    }
}
