//! Reloading of the settings while the instance runs.
//!
//! The file is read at SIGHUP and polled, since it may change without a
//! signal. An invalid file is ignored. Changes of the seeds and of the
//! times of the planned stop take effect at once; a change of any other
//! setting is logged and takes effect at the next start.

use std::{io, path::PathBuf, sync::Arc, time::Duration};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::{MissedTickBehavior, interval},
};

use crate::settings::Settings;

/// The time between two polls of the file.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The current settings, updated when the file changes.
pub type CurrentSettings = watch::Receiver<Arc<Settings>>;

/// Starts to watch the settings file for changes. `text` and `settings` are
/// its content as read at the start.
///
/// # Errors
///
/// The operating system's error if the handler for SIGHUP cannot be installed.
pub fn watch_file(path: PathBuf, text: String, settings: Settings) -> io::Result<CurrentSettings> {
    let hangup = signal(SignalKind::hangup())?;
    let (settings_tx, settings_rx) = watch::channel(Arc::new(settings));
    tokio::spawn(watch_loop(path, text, hangup, settings_tx));
    Ok(settings_rx)
}

async fn watch_loop(
    path: PathBuf,
    mut text: String,
    mut hangup: Signal,
    settings_tx: watch::Sender<Arc<Settings>>,
) {
    let mut polls = interval(POLL_INTERVAL);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    if !is_file(&path).await {
        log::info!(
            target: "node",
            "The settings path is not a regular file; changes will not be read."
        );
        loop {
            hangup.recv().await;
        }
    }
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!(
                target: "node",
                "Received SIGHUP; reading the settings file."
            ),
            _ = polls.tick() => {}
        }
        match tokio::fs::read_to_string(&path).await {
            Ok(new_text) if new_text != text => {
                text = new_text;
                apply(&path, &text, &settings_tx);
            }
            Ok(_) => {}
            Err(e) => {
                log::warn!(
                    target: "node",
                    "Reading the settings file failed; the current settings stay in effect: {e}."
                )
            }
        }
    }
}

async fn is_file(path: &std::path::Path) -> bool {
    tokio::fs::metadata(path).await.is_ok_and(|metadata| metadata.is_file())
}

fn apply(path: &std::path::Path, text: &str, settings_tx: &watch::Sender<Arc<Settings>>) {
    match Settings::parse(&path.display().to_string(), text) {
        Ok(settings) => {
            let previous = settings_tx.borrow().clone();
            log::info!(
                target: "node",
                "The settings file has changed; {}.",
                if previous.needs_restart(&settings) {
                    "some changes take effect at the next start"
                } else {
                    "all changes are in effect"
                },
            );
            settings_tx.send_replace(Arc::new(settings));
        }
        Err(errors) => {
            let first_error = errors.first().map(ToString::to_string).unwrap_or_default();
            log::error!(
                target: "node",
                "The changed settings file is invalid and is ignored: {first_error}."
            );
        }
    }
}
