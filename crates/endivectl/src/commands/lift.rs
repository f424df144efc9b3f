//! `endivectl lift`: lifts the refusal of a request that has crashed searchers.
//!
//! # Example
//!
//! `endivectl lift --instance 10.1.0.39:8227 c7347ba8b0d3b9b3cc384304a6ce7f8a`

use std::net::SocketAddr;

use endivevale_core::quarantine::RequestFingerprint;
use serde_json::json;

use crate::{admin_client, cli::GlobalOptions, outcome::Outcome};

/// Asks an instance to lift the refusal. It tells the others.
///
/// # Errors
///
/// The outcome, when the instance cannot be asked or does not know the request.
pub async fn run(
    options: &GlobalOptions,
    instance: SocketAddr,
    fingerprint: RequestFingerprint,
) -> Result<Outcome, Outcome> {
    if let Err(e) = admin_client::request_lift(instance, fingerprint).await {
        eprintln!("{instance}: the refusal was not lifted: {e}");
        return Err(Outcome::Failed);
    }
    let result = json!({ "fingerprint": fingerprint.to_string(), "lifted": true });
    options.output.write(&result, || format!("request {fingerprint} is let in again"));
    Ok(Outcome::Done)
}
