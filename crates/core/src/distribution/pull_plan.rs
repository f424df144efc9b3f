//! Whom an instance asks for a newer state, and when.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{DistributionTree, ListingVersions, StoreRevision};
use crate::{intent::ConfigVersion, layout::InstanceRecord};

/// How long an instance that did not answer, or had nothing newer, is passed
/// over.
const SOURCE_AVOIDED_FOR: Duration = Duration::from_secs(3);

/// The pause after the first pull in a row that brought nothing newer.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause after pulls that brought nothing newer.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// How long an instance stays behind without any progress before it reads the
/// store by itself.
pub const STALLED_AFTER: Duration = Duration::from_millis(1500);

/// The versions of the state of one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// The version of the configuration in force.
    pub config: ConfigVersion,
    /// The versions of the listing.
    pub listing: ListingVersions,
}

/// The versions that an instance has announced to its siblings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The version of its configuration.
    pub config: ConfigVersion,
    /// The versions of its listing; [`ListingVersions::NONE`] if none is
    /// announced.
    pub listing: ListingVersions,
    /// The store revision up to which its searchers are current;
    /// [`StoreRevision::NONE`] if unknown.
    pub store_revision: StoreRevision,
    /// The address of the instance for siblings.
    pub source: SocketAddr,
}

impl Announcement {
    /// Returns whether an instance with these versions lacks what is announced.
    #[must_use]
    pub fn is_newer_than(&self, known: KnownVersions) -> bool {
        self.config > known.config || self.listing.has_newer_part_than(known.listing)
    }

    /// Returns the higher of each version, with the source of `later`.
    fn merged_with(self, later: Announcement) -> Self {
        let is_later_newer = later.listing.searchers > self.listing.searchers;
        let newest = if is_later_newer { later } else { self };
        Self {
            config: self.config.max(later.config),
            listing: self.listing.newest_of_each(later.listing),
            store_revision: newest.store_revision,
            source: later.source,
        }
    }
}

/// A pull in progress. Only [`PullPlan::start_pull`] creates one, and
/// [`PullPlan::record_end`] consumes it, so that a pull ends once.
#[derive(Debug, PartialEq, Eq)]
pub struct Pull {
    source: SocketAddr,
    announcement: Announcement,
    /// The versions of this instance at the start.
    known: KnownVersions,
}

impl Pull {
    /// Returns the address of the instance to ask.
    #[must_use]
    pub const fn source(&self) -> SocketAddr {
        self.source
    }

    /// Returns what this instance was told of.
    #[must_use]
    pub const fn announcement(&self) -> Announcement {
        self.announcement
    }
}

/// Decides whom to ask for a newer state, and when. One pull runs at a time;
/// what is announced meanwhile is fetched right after it.
#[derive(Debug, Default)]
pub struct PullPlan {
    tree: DistributionTree,
    /// The newest announcement received.
    announced: Option<Announcement>,
    /// Sources to pass over, with the end of that time.
    avoided: HashMap<SocketAddr, Instant>,
    is_running: bool,
    /// The time before which no pull starts.
    paused_until: Option<Instant>,
    /// The pause after the next pull that brings nothing newer.
    pause: Duration,
    /// Since when this instance is behind and its versions have not increased.
    behind_since: Option<Instant>,
}

impl PullPlan {
    /// Creates a plan without announcements.
    #[must_use]
    pub fn new() -> Self {
        Self { pause: MIN_PAUSE, ..Self::default() }
    }

    /// Sets the instances of the tier, which determine the sources.
    pub fn set_instances(&mut self, own: &InstanceRecord, instances: &[InstanceRecord]) {
        self.tree = DistributionTree::new(own, instances);
    }

    /// Records an announcement, unless it has nothing newer than earlier ones.
    pub fn announce(&mut self, announcement: Announcement) {
        let Some(known) = self.announced else {
            self.announced = Some(announcement);
            return;
        };
        let known_versions = KnownVersions { config: known.config, listing: known.listing };
        if announcement.is_newer_than(known_versions) {
            self.announced = Some(known.merged_with(announcement));
        }
    }

    /// Returns the pull to start now, and marks it as running; `None` if nothing
    /// newer is announced, one is running, or a pause has not ended.
    pub fn start_pull(&mut self, known: KnownVersions, now: Instant) -> Option<Pull> {
        let Some(announcement) = self.announced.filter(|a| a.is_newer_than(known)) else {
            self.behind_since = None;
            self.paused_until = None;
            self.pause = MIN_PAUSE;
            return None;
        };
        self.behind_since.get_or_insert(now);
        if self.is_running || self.paused_until.is_some_and(|until| now < until) {
            return None;
        }
        self.is_running = true;
        Some(Pull { source: self.source(announcement, now), announcement, known })
    }

    /// Returns the nearest ancestor that is not avoided, or else the instance
    /// that announced the state.
    fn source(&mut self, announcement: Announcement, now: Instant) -> SocketAddr {
        self.avoided.retain(|_, until| now < *until);
        let ancestors = self.tree.ancestors().iter().copied();
        let mut nearest = ancestors.filter(|addr| !self.avoided.contains_key(addr));
        nearest.next().unwrap_or(announcement.source)
    }

    /// Records the end of a pull; `known` are the versions after it.
    pub fn record_end(&mut self, pull: Pull, known: KnownVersions, now: Instant) {
        self.is_running = false;
        let has_progressed = known.config > pull.known.config
            || known.listing.has_newer_part_than(pull.known.listing);
        if has_progressed {
            self.behind_since = None;
            self.paused_until = None;
            self.pause = MIN_PAUSE;
            return;
        }
        self.avoided.insert(pull.source, now + SOURCE_AVOIDED_FOR);
        if pull.source == pull.announcement.source {
            self.paused_until = Some(now + self.pause);
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        }
    }

    /// Returns the time at which the next pull is due although nothing happens
    /// until then.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        self.paused_until.filter(|_| !self.is_running)
    }

    /// Returns whether this instance has been behind for [`STALLED_AFTER`]
    /// without any progress, so that it should read the store by itself.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.behind_since.is_some_and(|since| now.duration_since(since) >= STALLED_AFTER)
    }

    /// Begins the time until this instance counts as stalled anew, since it
    /// reads the store.
    pub fn record_store_read(&mut self, now: Instant) {
        self.behind_since = self.behind_since.map(|_| now);
    }
}
