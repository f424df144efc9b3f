//! `endivevale`, one instance of the query tier.
//!
//! Reads its settings, prints the addresses at which it listens as one line of
//! JSON, and runs until a signal or an operator starts its planned stop. The
//! exit code is 0 after a planned stop, 1 if the instance could not start, and 2
//! for invalid settings or arguments.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use endivevale::{forwarding, logs, reload, settings::Settings};

/// The exit code if the instance could not start.
const EXIT_START_FAILED: u8 = 1;

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// One instance of the endivevale query tier
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// The settings file, in YAML
    #[bpaf(long, short, env("ENDIVEVALE_NODE_FILE"), argument("FILE"))]
    settings: PathBuf,

    /// Check the settings file and exit
    #[bpaf(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = args().run();
    let (text, settings) = match read_settings(&args.settings) {
        Ok(text_and_settings) => text_and_settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    if let Err(e) = logs::init(settings.log) {
        eprintln!("the logger cannot be installed: {e}");
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("the runtime did not start: {e}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    runtime.block_on(run(args.settings, text, settings))
}

fn read_settings(path: &std::path::Path) -> Result<(String, Settings), String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
    match Settings::parse(&file, &text) {
        Ok(settings) => Ok((text, settings)),
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            Err(lines.join("\n"))
        }
    }
}

async fn run(path: PathBuf, text: String, settings: Settings) -> ExitCode {
    let current_settings = match reload::watch_file(path, text, settings.clone()) {
        Ok(current_settings) => current_settings,
        Err(e) => {
            eprintln!("the SIGHUP handler cannot be installed: {e}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let start_result = match settings.forwarding {
        Some(forwarding) => forwarding::start(current_settings, forwarding).await,
        None => endivevale::start(settings).await,
    };
    match start_result {
        Ok(instance) => {
            println!("{}", instance.addresses().to_json());
            instance.stopped().await;
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}
