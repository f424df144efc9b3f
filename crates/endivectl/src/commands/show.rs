//! `endivectl show`: prints the file that is accepted.
//!
//! # Example
//!
//! `endivectl --platform http://127.0.0.1:7000 show > sfax.yaml`

use endivevale_platform::intent;
use serde_json::json;

use super::{platform, unreachable};
use crate::{cli::Common, outcome::Outcome};

/// Prints the accepted file.
pub async fn run(cx: &Common) -> Outcome {
    let platform = match platform(cx) {
        Ok(platform) => platform,
        Err(outcome) => return outcome,
    };
    match intent::read(&platform).await {
        Ok(Some((version, record))) => {
            let result = json!({
                "version": version,
                "applied_by": record.applied_by(),
                "text": record.text(),
            });
            cx.output.write(&result, || record.text().to_string());
            Outcome::Done
        }
        Ok(None) => {
            cx.output.write(&json!({ "version": 0 }), || "no file is accepted yet".to_owned());
            Outcome::Done
        }
        Err(e) => unreachable(&e),
    }
}
