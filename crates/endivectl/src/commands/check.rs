//! `endivectl check`: tells all faults of a file.
//!
//! # Example
//!
//! `endivectl check sfax.yaml`

use std::path::Path;

use serde_json::json;

use super::read_checked;
use crate::{cli::Common, outcome::Outcome};

/// Checks a file.
#[must_use]
pub fn run(cx: &Common, file: &Path) -> Outcome {
    match read_checked(cx, file) {
        Ok(_) => {
            let faults: [(); 0] = [];
            let text = format!("{}: no fault", file.display());
            cx.output.write(&json!({ "faults": faults }), || text);
            Outcome::Done
        }
        Err(outcome) => outcome,
    }
}
