//! `endivectl report burn`: prints the burn rates of the objectives.
//!
//! # Example
//!
//! `endivectl --platform http://127.0.0.1:7000 report burn --html burn.html`

use std::{net::SocketAddr, path::Path};

use super::{fetch_listing, store_client};
use crate::{admin_client, cli::GlobalOptions, html, outcome::Outcome, report::BurnReport};

/// Builds the burn report from the counters of the instances at `addrs`, or
/// of all listed instances if `addrs` is empty.
///
/// # Errors
///
/// The outcome, when the listing cannot be fetched or the HTML file cannot be
/// written.
pub async fn run(
    options: &GlobalOptions,
    addrs: &[SocketAddr],
    html_path: Option<&Path>,
) -> Result<Outcome, Outcome> {
    let addrs = match addrs {
        [] => {
            let listing = fetch_listing(&store_client(options)?).await?;
            listing.instances.iter().map(|instance| instance.admin).collect()
        }
        addrs => addrs.to_vec(),
    };
    let report = BurnReport::build(&admin_client::fetch_tallies(&addrs).await);
    if let Some(path) = html_path {
        std::fs::write(path, html::render(&report)).map_err(|e| {
            eprintln!("{}: {e}", path.display());
            Outcome::Failed
        })?;
    }
    options.output.write(&report, || report.to_text());
    Ok(if report.is_complete() { Outcome::Done } else { Outcome::Failed })
}
