//! What a searcher says about itself with a reply.

use std::time::Duration;

use crate::{layout::IndexVersion, searcher::named_limit::LimitStatement};

/// The state that a searcher reports with any reply.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SearcherReport {
    /// The versions that it holds; empty if the reply did not list them.
    pub held_versions: Vec<IndexVersion>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// What it says of the requests that it takes.
    pub limit: LimitStatement,
    /// For how long it asks for no further requests.
    pub pause: Option<Duration>,
}
