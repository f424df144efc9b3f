//! How the configuration and the listing reach every instance from the one that
//! has read them in the store.
//!
//! The instance that has read a newer state announces its versions to all. Each
//! of the others fetches that state once, from its parent in a
//! [`DistributionTree`], so that no instance sends more than a few replies
//! however many instances there are, and one transfer enters each availability
//! zone. A [`PullPlan`] decides whom to ask and when, and goes past instances
//! that do not answer.

pub mod listing_delta;
pub mod listing_tracker;
pub mod liveness;
pub mod membership;
pub mod read_schedule;
pub mod refused_config;
pub mod register;
pub mod store_contact;
pub mod watcher;

mod digest;
mod listing_versions;
mod pull_plan;
mod recent_texts;
mod store_revision;
mod tree;

pub use self::{
    digest::ContentDigest,
    listing_versions::ListingVersions,
    pull_plan::{Announcement, KnownVersions, Pull, PullPlan, STALLED_AFTER},
    recent_texts::RecentTexts,
    store_revision::StoreRevision,
    tree::{DistributionTree, MAX_CHILDREN},
};
