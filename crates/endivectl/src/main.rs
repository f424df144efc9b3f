//! `endivectl`, the operators' command.
//!
//! Exit codes: 0 done; 1 wrong arguments, or the platform or an instance
//! could not be reached; 2 the file has faults; 3 another file was accepted
//! meanwhile; 4 the outcome is not known; 5 not in force everywhere in time.

use std::process::ExitCode;

use endivectl::{
    cli::{self, Command},
    commands::{apply, check, diff, leave, show, status},
    outcome::Outcome,
};

fn main() -> ExitCode {
    let options = cli::options().run();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("the runtime did not start: {e}");
            return Outcome::Failed.into();
        }
    };
    runtime.block_on(run(options)).into()
}

async fn run(options: cli::Options) -> Outcome {
    let cx = options.common;
    match options.command {
        Command::Check { file } => check::run(&cx, &file),
        Command::Diff { file } => diff::run(&cx, &file).await,
        Command::Apply(args) => apply::run(&cx, &args).await,
        Command::Show => show::run(&cx).await,
        Command::Status { service } => status::run(&cx, service.as_deref()).await,
        Command::Leave { instance, timeout } => leave::run(&cx, &instance, timeout).await,
    }
}
