//! `endivectl diff`: shows what a file would change.
//!
//! # Example
//!
//! `endivectl --platform http://127.0.0.1:7000 diff sfax.yaml`

use std::path::Path;

use endivevale_operator::diff::diff;
use endivevale_platform::intent;
use serde_json::json;

use super::{platform, read_checked, unreachable};
use crate::{cli::Common, outcome::Outcome};

/// Shows the difference between the accepted file and another.
pub async fn run(cx: &Common, file: &Path) -> Outcome {
    let proposal = match read_checked(cx, file) {
        Ok(proposal) => proposal,
        Err(outcome) => return outcome,
    };
    let platform = match platform(cx) {
        Ok(platform) => platform,
        Err(outcome) => return outcome,
    };
    let accepted = match intent::read(&platform).await {
        Ok(accepted) => accepted,
        Err(e) => return unreachable(&e),
    };
    let (version, before) = match &accepted {
        Some((version, record)) => (version.number(), record.text().as_ref()),
        None => (0, ""),
    };
    match diff(before, proposal.text()) {
        Ok(changes) => {
            let result = json!({ "base": version, "changes": changes });
            cx.output.write(&result, || {
                let lines = changes.iter().map(|change| format!("{change}\n"));
                format!("against version {version}\n{}", lines.collect::<String>())
            });
            Outcome::Done
        }
        Err(e) => {
            eprintln!("the accepted file: {e}");
            Outcome::Failed
        }
    }
}
