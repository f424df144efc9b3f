//! The commands, one module each.
//!
//! # Example
//!
//! See [`crate::cli`].

use std::path::Path;

use endivevale_core::intent::{Checked, Proposal};
use endivevale_operator::{fault::Fault, file};
use endivevale_platform::Platform;

use crate::{cli::Common, outcome::Outcome};

pub mod apply;
pub mod check;
pub mod diff;
pub mod leave;
pub mod show;
pub mod status;

/// The platform that the command line names.
fn platform(cx: &Common) -> Result<Platform, Outcome> {
    match &cx.platform {
        Some(url) => Ok(Platform::new(url)),
        None => {
            eprintln!("--platform: is missing, and ENDIVEVALE_PLATFORM is not set");
            Err(Outcome::Failed)
        }
    }
}

/// Reads and checks a file; its faults are written as the command line asks.
fn read_checked(cx: &Common, path: &Path) -> Result<Proposal<Checked>, Outcome> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        eprintln!("{name}: {e}");
        Outcome::Failed
    })?;
    Proposal::draft(text).check(|text| file::read(&name, text)).map_err(|faults| {
        cx.output.write(&serde_json::json!({ "faults": faults }), || describe(&faults));
        Outcome::Faulty
    })
}

fn describe(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

/// Reports that the platform could not be asked.
fn unreachable(e: &impl std::fmt::Display) -> Outcome {
    eprintln!("platform: {e}");
    Outcome::Failed
}
