//! What an instance does while the newest configuration in the store is one that
//! it cannot use.
//!
//! An instance that has an older one in force goes on with it, and keeps it in
//! the store. One that has none, since it started meanwhile and no sibling has one
//! either, puts the kept one in force, so that a restart of all instances does not
//! end the service. Either way a configuration is in force as a whole, and the next
//! one that can be used replaces it.

use std::sync::Arc;

use endivevale_core::{distribution::refused_config::RefusedConfig, intent::ConfigVersion};
use endivevale_store::registry::{ServiceRegistry, StoredConfig};
use tokio::{
    sync::mpsc,
    time::{Duration, sleep},
};

use super::ControlTask;
use crate::forwarding::store_reads::{Report, send_report};

/// The pause after a failed call, or one that found nothing.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

impl<R: ServiceRegistry> ControlTask<R> {
    /// Puts a configuration of the store in force, or deals with the fact that it
    /// cannot be used.
    pub(super) fn apply_stored_config(&mut self, config: &StoredConfig) {
        match config {
            StoredConfig::Versioned { version, text } => {
                self.sink.apply_config(*version, text, "the store");
            }
            StoredConfig::Unversioned(reason) => {
                self.sink.refuse_config(RefusedConfig::unversioned(reason));
            }
        }
        if self.sink.config.refused().is_some() {
            self.keep_or_read_usable_config();
        }
    }

    /// Puts the configuration in force that other instances have kept.
    pub(super) fn apply_usable_config(&mut self, config: &StoredConfig) {
        self.is_usable_read_running = false;
        let refused = self.sink.config.refused();
        match config {
            StoredConfig::Versioned { version, text } => {
                self.sink.apply_config(*version, text, "the last usable one in the store");
                // The newest one stays refused, also if it has no version that says
                // that it is newer.
                if let Some(refused) = refused {
                    self.sink.refuse_config(RefusedConfig::clone(&refused));
                }
            }
            StoredConfig::Unversioned(reason) => log::error!(
                target: "node",
                "The configuration that was kept has no valid version: {reason}."
            ),
        }
        self.update_view("the last usable configuration in the store");
    }

    pub(super) fn keep_or_read_usable_config(&mut self) {
        let Some(current) = self.sink.config.current() else {
            if !std::mem::replace(&mut self.is_usable_read_running, true) {
                let (registry, report_tx) = (Arc::clone(&self.registry), self.report_tx.clone());
                let sink = self.sink.clone();
                let has_config = move || sink.config.current().is_some();
                tokio::spawn(read_usable_config(registry, has_config, report_tx));
            }
            return;
        };
        let version = current.version();
        if self.kept_config < version {
            self.kept_config = version;
            let (registry, text) = (Arc::clone(&self.registry), Arc::clone(current.text()));
            tokio::spawn(keep_usable_config(registry, version, text));
        }
    }
}

/// Keeps a configuration in the store. Retries until it succeeds, however long the
/// store is unavailable.
async fn keep_usable_config<R: ServiceRegistry>(
    registry: Arc<R>,
    version: ConfigVersion,
    text: Arc<str>,
) {
    while let Err(e) = registry.keep_usable_config(version, &text).await {
        log::warn!(
            target: "platform",
            "Keeping configuration {version} in the store failed, retrying: {e}."
        );
        sleep(RETRY_PAUSE).await;
    }
    log::info!(
        target: "platform",
        "Configuration {version} is kept in the store, since the newest one cannot be used."
    );
}

/// Reads the configuration that instances have kept. Retries until there is one or
/// this instance has a configuration.
async fn read_usable_config<R: ServiceRegistry>(
    registry: Arc<R>,
    has_config: impl Fn() -> bool + Send,
    report_tx: mpsc::Sender<Report>,
) {
    while !has_config() {
        match registry.read_usable_config().await {
            Ok(Some(config)) => return send_report(&report_tx, Report::UsableConfig(config)).await,
            Ok(None) => log::warn!(
                target: "platform",
                "No instance has kept a configuration that can be used; waiting for one."
            ),
            Err(e) => log::warn!(
                target: "platform",
                "Reading the last usable configuration failed, retrying: {e}."
            ),
        }
        sleep(RETRY_PAUSE).await;
    }
}
