//! `endivectl trace`: shows the events of one request from the logs of the
//! instances.
//!
//! # Example
//!
//! `endivectl trace --log entry-1.log --log entry-2.log 9c41d07be2a35f68`

use std::{
    fmt::Write,
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde::Serialize;

use crate::{cli::GlobalOptions, outcome::Outcome, request_log::RequestLogLine};

/// A log line about the request and the log that contains it.
#[derive(Debug, Serialize)]
struct LogMatch {
    /// Path of the log file; `None` for standard input.
    log: Option<PathBuf>,
    #[serde(flatten)]
    line: RequestLogLine,
}

/// Prints all log lines about the request `id`, in order of time.
///
/// # Errors
///
/// The outcome, when a log cannot be read or when no line has the identifier.
pub fn run(options: &GlobalOptions, logs: &[PathBuf], id: &str) -> Result<Outcome, Outcome> {
    let mut matches = Vec::new();
    match logs {
        [] => collect_matches(io::stdin().lock(), None, id, &mut matches)
            .map_err(|e| report_io_error("-", &e))?,
        logs => {
            for log in logs {
                let name = log.display().to_string();
                let file = File::open(log).map_err(|e| report_io_error(&name, &e))?;
                collect_matches(BufReader::new(file), Some(log), id, &mut matches)
                    .map_err(|e| report_io_error(&name, &e))?;
            }
        }
    }
    matches.sort_by(|a, b| a.line.time.cmp(&b.line.time));
    if matches.is_empty() {
        eprintln!(
            "{id}: no line; it was answered without anything on its way, or its line was left out"
        );
        return Err(Outcome::Failed);
    }
    options.output.write(&matches, || matches.iter().map(format_match).collect());
    Ok(Outcome::Done)
}

fn report_io_error(name: &str, e: &io::Error) -> Outcome {
    eprintln!("{name}: {e}");
    Outcome::Failed
}

fn collect_matches(
    log: impl BufRead,
    name: Option<&Path>,
    id: &str,
    matches: &mut Vec<LogMatch>,
) -> io::Result<()> {
    for line in log.lines() {
        let line = RequestLogLine::parse(&line?).filter(|line| line.request == id);
        matches.extend(line.map(|line| LogMatch { log: name.map(Path::to_owned), line }));
    }
    Ok(())
}

fn format_match(log_match: &LogMatch) -> String {
    let line = &log_match.line;
    let mut out = String::new();
    // Writing to a `String` cannot fail, so the results are ignored.
    let log = log_match.log.as_ref().map_or("-".to_owned(), |log| log.display().to_string());
    let _ = writeln!(
        out,
        "{} {log}: route {} by configuration {}: {} after {:.1} ms",
        line.time, line.route, line.version, line.outcome, line.took_ms
    );
    for event in &line.events {
        let searcher = event.searcher.as_deref().unwrap_or("-");
        let (service, kind) = (&event.service, &event.event);
        let _ = writeln!(out, "  {:7.1} ms  {service:20} {searcher:20} {kind}", event.at_ms);
    }
    out
}
