//! Reading the settings again while the node runs.
//!
//! The file is read again at a hang-up signal, and when its text is found
//! changed, since it may change without any signal. A file with faults
//! changes nothing. The seeds and the times of the planned stop are followed;
//! a change of anything else is logged and takes effect at the next start.

use std::{io, path::PathBuf, sync::Arc, time::Duration};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::{MissedTickBehavior, interval},
};

use crate::settings::Settings;

/// How often the file is looked at.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// The settings as they are now.
pub type CurrentSettings = watch::Receiver<Arc<Settings>>;

/// Follows the settings of a file, from the text that was read first.
///
/// # Errors
///
/// The system's error when signals cannot be listened for.
pub fn follow(path: PathBuf, text: String, settings: Settings) -> io::Result<CurrentSettings> {
    let hangup = signal(SignalKind::hangup())?;
    let (tx, rx) = watch::channel(Arc::new(settings));
    tokio::spawn(run(path, text, hangup, tx));
    Ok(rx)
}

async fn run(
    path: PathBuf,
    mut text: String,
    mut hangup: Signal,
    tx: watch::Sender<Arc<Settings>>,
) {
    let mut looks = interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    if !is_file(&path).await {
        log::info!(target: "node", "The settings are in no file and are not read again.");
        loop {
            hangup.recv().await;
        }
    }
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!(target: "node", "Told by a signal to read the settings again."),
            _ = looks.tick() => {}
        }
        match tokio::fs::read_to_string(&path).await {
            Ok(read) if read != text => {
                text = read;
                take(&path, &text, &tx);
            }
            Ok(_) => {}
            Err(e) => log::warn!(target: "node", "The settings cannot be read again: {e}."),
        }
    }
}

async fn is_file(path: &std::path::Path) -> bool {
    tokio::fs::metadata(path).await.is_ok_and(|found| found.is_file())
}

fn take(path: &std::path::Path, text: &str, tx: &watch::Sender<Arc<Settings>>) {
    match Settings::parse(&path.display().to_string(), text) {
        Ok(settings) => {
            let old = tx.borrow().clone();
            log::info!(
                target: "node",
                "The settings have changed; {}.",
                if old.needs_restart(&settings) {
                    "some take effect at the next start"
                } else {
                    "they are in effect"
                },
            );
            tx.send_replace(Arc::new(settings));
        }
        Err(faults) => {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            log::error!(target: "node", "The changed settings have faults and are left out: {first}.");
        }
    }
}
