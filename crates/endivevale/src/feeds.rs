//! The feeds that bring in what the platform holds.
//!
//! Both go on for as long as the node runs. While the platform is out they
//! pause by a back-off with jitter, and the node works by what it has.

use std::{sync::Arc, time::Duration};

use endivevale_core::{
    intent::{ConfigVersion, Proposal},
    layout::Listing,
    register::{ConfigRegister, ListingRegister},
};
use endivevale_operator::file;
use endivevale_platform::{Platform, PlatformError, backoff::Backoff, intent};
use rand::RngExt;
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// How often an instance that does not watch asks by itself; its siblings
/// tell it of changes long before.
const POLL_INTERVAL: Duration = Duration::from_secs(15);

/// How often the list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// The first and the longest pause between failed calls.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Where the feeds deliver.
#[derive(Debug, Clone)]
pub(crate) struct Sink {
    pub(crate) config: Arc<ConfigRegister>,
    pub(crate) listing: Arc<ListingRegister>,
    /// Wakes the control task.
    pub(crate) changed: Arc<Notify>,
}

impl Sink {
    /// Takes an accepted text, from whichever side it came.
    pub(crate) fn take_config(&self, version: ConfigVersion, text: &str, source: &str) {
        if version <= self.config.version() {
            return;
        }
        let checked = Proposal::draft(text).check(|text| file::read("accepted", text));
        match checked {
            Ok(checked) => {
                if self.config.adopt(checked.accepted(version)) {
                    log::info!(target: "node", "Configuration {version} is in force, by {source}.");
                    self.changed.notify_one();
                }
            }
            Err(faults) => {
                let first = faults.first().map(ToString::to_string).unwrap_or_default();
                log::error!(
                    target: "node",
                    "Configuration {version} was accepted with faults and is left out: {first}."
                );
            }
        }
    }

    /// Takes a list, from whichever side it came.
    pub(crate) fn take_listing(&self, listing: Listing) {
        if self.listing.adopt(listing) {
            self.changed.notify_one();
        }
    }
}

/// Watches or polls the configuration. `duty` says whether this instance is
/// one of those that watch.
pub(crate) async fn follow_config(
    platform: Arc<Platform>,
    sink: Sink,
    mut duty: watch::Receiver<bool>,
) {
    let mut backoff = Backoff::new(PAUSES.0, PAUSES.1);
    // The highest version read, also of a text that was left out for faults,
    // which must not be read again and again.
    let mut seen = ConfigVersion::NONE;
    loop {
        let is_watcher = *duty.borrow_and_update();
        let read = if is_watcher {
            intent::watch(&platform, seen, WATCH_WAIT).await
        } else {
            intent::read(&platform).await
        };
        match read {
            Ok(Some((version, record))) => {
                backoff.reset();
                seen = seen.max(version);
                sink.take_config(version, record.text(), "the platform");
            }
            Ok(None) if seen == ConfigVersion::NONE => sleep(backoff.next_pause()).await,
            Ok(None) => {}
            Err(e) => {
                pause_after(&e, "configuration", &mut backoff).await;
                continue;
            }
        }
        if !is_watcher && seen > ConfigVersion::NONE {
            tokio::select! {
                () = sleep(around(POLL_INTERVAL)) => {}
                _ = duty.changed() => {}
            }
        }
    }
}

/// A span near the given one, so that instances do not fall into step.
fn around(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// Reads the list again and again.
pub(crate) async fn follow_list(platform: Arc<Platform>, sink: Sink) {
    let mut backoff = Backoff::new(PAUSES.0, PAUSES.1);
    loop {
        match platform.listing().await {
            Ok(listing) => {
                backoff.reset();
                sink.take_listing(listing);
                sleep(around(LIST_INTERVAL)).await;
            }
            Err(e) => pause_after(&e, "list", &mut backoff).await,
        }
    }
}

async fn pause_after(e: &PlatformError, what: &str, backoff: &mut Backoff) {
    log::debug!(target: "platform", "The {what} could not be read: {e}.");
    sleep(backoff.next_pause()).await;
}
