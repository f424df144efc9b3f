//! `endivectl apply`: applies a file as a whole.
//!
//! # Example
//!
//! `endivectl --platform http://127.0.0.1:7000 apply --wait sfax.yaml`

use std::{
    io::{IsTerminal, Write, stderr},
    time::Duration,
};

use endivevale_core::intent::ConfigVersion;
use endivevale_platform::{
    Platform, PlatformError,
    intent::{self, Applied, IntentRecord},
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{platform, read_checked, unreachable};
use crate::{
    cli::{ApplyArgs, Common},
    fleet,
    outcome::Outcome,
};

/// The pause between two looks at the instances.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Applies a file, and waits for it if asked to.
pub async fn run(cx: &Common, args: &ApplyArgs) -> Outcome {
    match try_run(cx, args).await {
        Ok(outcome) | Err(outcome) => outcome,
    }
}

async fn try_run(cx: &Common, args: &ApplyArgs) -> Result<Outcome, Outcome> {
    let proposal = read_checked(cx, &args.file)?;
    let platform = platform(cx)?;
    let base = match args.base {
        Some(base) => ConfigVersion::new(base),
        None => accepted_version(&platform).await.map_err(|e| unreachable(&e))?,
    };
    let record = IntentRecord::new(proposal.text(), &operator());
    let version = match intent::apply(&platform, &record, base).await {
        Applied::Accepted(version) => proposal.accepted(version).version(),
        other => return Err(report_not_accepted(cx, base, &other)),
    };
    let waited = match args.wait {
        true => Some(wait(&platform, version, args.timeout).await),
        false => None,
    };
    let missing = waited.as_ref().map(|missing| json!(missing));
    let result = json!({ "accepted": true, "version": version, "not_in_force": missing });
    cx.output.write(&result, || describe(version, waited.as_deref()));
    match waited {
        Some(missing) if !missing.is_empty() => Ok(Outcome::NotEverywhere),
        _ => Ok(Outcome::Done),
    }
}

async fn accepted_version(platform: &Platform) -> Result<ConfigVersion, PlatformError> {
    let accepted = intent::read(platform).await?;
    Ok(accepted.map_or(ConfigVersion::NONE, |(version, _)| version))
}

/// Who applies, as far as the environment tells.
fn operator() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

fn report_not_accepted(cx: &Common, base: ConfigVersion, applied: &Applied) -> Outcome {
    let (outcome, reason, text): (_, Value, String) = match applied {
        Applied::Conflict { other } => {
            let other = other.map_or("another".to_owned(), |v| v.to_string());
            let text = format!("not accepted: version {other} stands, not {base}");
            (Outcome::Conflict, json!({ "conflict": other }), text)
        }
        Applied::Unknown(why) => {
            let text = format!("not known whether it is accepted: {why}");
            (Outcome::Unknown, json!({ "unknown": why }), text)
        }
        Applied::Refused(e) => {
            (Outcome::Failed, json!({ "refused": e.to_string() }), format!("not accepted: {e}"))
        }
        Applied::Accepted(_) => (Outcome::Done, Value::Null, String::new()),
    };
    let result = json!({ "accepted": false, "base": base, "reason": reason });
    cx.output.write(&result, || text);
    outcome
}

fn describe(version: ConfigVersion, missing: Option<&[NotInForce]>) -> String {
    match missing {
        None => format!("accepted as version {version}"),
        Some([]) => format!("version {version} is in force on every instance"),
        Some(missing) => {
            let lines = missing.iter().map(|m| format!("  {}: {}\n", m.instance, m.reason));
            let lines: String = lines.collect();
            format!("version {version} is accepted, but not in force on\n{lines}")
        }
    }
}

/// An instance that does not have the version in force.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
struct NotInForce {
    instance: String,
    reason: String,
}

/// Waits until every listed instance has the version; returns those that
/// have not by the end.
async fn wait(platform: &Platform, version: ConfigVersion, timeout: Duration) -> Vec<NotInForce> {
    let by = Instant::now() + timeout;
    let mut progress = Progress::new();
    loop {
        let missing = not_in_force(platform, version).await;
        if missing.is_empty() || Instant::now() >= by {
            progress.end();
            return missing;
        }
        progress.show(missing.len(), by);
        sleep(LOOK_PAUSE).await;
    }
}

async fn not_in_force(platform: &Platform, version: ConfigVersion) -> Vec<NotInForce> {
    let listing = match platform.listing().await {
        Ok(listing) => listing,
        Err(e) => {
            return vec![NotInForce { instance: "the list".to_owned(), reason: e.to_string() }];
        }
    };
    let statuses = fleet::statuses(&listing.instances).await;
    let behind = statuses.into_iter().filter_map(|(instance, status)| {
        let reason = match status {
            Ok(status) if status.config_version >= version.number() => return None,
            Ok(status) => format!("has version {}", status.config_version),
            Err(e) => format!("could not be asked: {e}"),
        };
        Some(NotInForce { instance: instance.name.to_string(), reason })
    });
    behind.collect()
}

/// A line of progress, if someone is there to see it.
struct Progress {
    is_shown: bool,
}

impl Progress {
    fn new() -> Self {
        Self { is_shown: stderr().is_terminal() }
    }

    fn show(&mut self, missing: usize, by: Instant) {
        if self.is_shown {
            let left = by.saturating_duration_since(Instant::now()).as_secs();
            eprint!("\rwaiting for {missing} instances, {left} s left   ");
            // A line of progress that cannot be written is not missed.
            drop(stderr().flush());
        }
    }

    fn end(&self) {
        if self.is_shown {
            eprint!("\r{:50}\r", "");
        }
    }
}
